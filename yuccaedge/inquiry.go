package yuccaedge

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// ErrEntriesSilent is returned where an entry that may own the job has not answered.
var ErrEntriesSilent = merry.Sentinel("another entry, which may own the job, has not answered")

// asked is an inquiry of a caller of this entry.
type asked struct {
	inquiry *yuccawire.Inquiry
	done    chan<- inquiryAnswer
}

// inquiryAnswer is what all entries together know.
type inquiryAnswer struct {
	known   bool
	state   yuccabroker.State
	pending int
	// silent counts the entries that have not answered in time.
	silent int
}

// inquiry waits for the replies of the other entries.
type inquiry struct {
	number uint64
	asked  asked
	answer inquiryAnswer
	// open holds the links whose replies are outstanding.
	open  map[*yuccamesh.Peer]struct{}
	until time.Time
}

// ask answers from what this entry knows, and asks the others for the rest.
func (e *Edge) ask(now time.Time, a asked) {
	own := e.replyTo(now, a.inquiry)
	i := &inquiry{asked: a, until: now.Add(inquiryTimeout), open: make(map[*yuccamesh.Peer]struct{})}
	i.add(own)
	if own.GetKnown() && a.inquiry.GetKind() != yuccawire.InquiryKind_INQUIRY_KIND_PENDING {
		a.done <- i.answer
		return
	}
	e.next++
	i.number = e.next
	e.inquiries[i.number] = i
	question := &yuccawire.Inquiry{Number: i.number, Kind: a.inquiry.GetKind(), Queue: a.inquiry.GetQueue(), Job: a.inquiry.GetJob()}
	names := make(map[string]bool)
	for p := range e.entries {
		if names[p.Node().GetName()] {
			continue
		}
		names[p.Node().GetName()] = true
		i.open[p] = struct{}{}
		p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Inquiry{Inquiry: question}})
	}
	e.settle(i)
}

// replyTo answers an inquiry from what this entry knows.
func (e *Edge) replyTo(now time.Time, q *yuccawire.Inquiry) *yuccawire.InquiryReply {
	reply := &yuccawire.InquiryReply{Number: q.GetNumber()}
	switch q.GetKind() {
	case yuccawire.InquiryKind_INQUIRY_KIND_STATE:
		state, known := e.broker.JobState(q.GetQueue(), q.GetJob())
		reply.Known, reply.State = known, uint32(state)
	case yuccawire.InquiryKind_INQUIRY_KIND_CANCEL:
		reply.Known = e.broker.Cancel(now, q.GetQueue(), q.GetJob())
	case yuccawire.InquiryKind_INQUIRY_KIND_PENDING:
		reply.Known, reply.Pending = true, uint32(e.broker.Pending(q.GetQueue()))
	case yuccawire.InquiryKind_INQUIRY_KIND_UNSPECIFIED:
	}
	return reply
}

// add takes in one entry's reply. What an entry knows of a job that runs goes
// before what another keeps of an earlier try.
func (i *inquiry) add(reply *yuccawire.InquiryReply) {
	i.answer.pending += int(reply.GetPending())
	if !reply.GetKnown() {
		return
	}
	state := yuccabroker.State(reply.GetState())
	if !i.answer.known || state == yuccabroker.Running || state == yuccabroker.Completed {
		i.answer.known, i.answer.state = true, state
	}
}

// entryMessage handles what another entry has sent.
func (e *Edge) entryMessage(now time.Time, from *yuccamesh.Peer, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Inquiry:
		from.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_InquiryReply{InquiryReply: e.replyTo(now, body.Inquiry)}})
	case *yuccawire.Envelope_InquiryReply:
		e.inquiryReply(from, body.InquiryReply)
	}
}

func (e *Edge) inquiryReply(from *yuccamesh.Peer, reply *yuccawire.InquiryReply) {
	i := e.inquiries[reply.GetNumber()]
	if i == nil {
		return
	}
	if _, open := i.open[from]; !open {
		return
	}
	delete(i.open, from)
	i.add(reply)
	e.settle(i)
}

// settle answers an inquiry that has all its replies.
func (e *Edge) settle(i *inquiry) {
	if len(i.open) > 0 {
		return
	}
	delete(e.inquiries, i.number)
	i.asked.done <- i.answer
}

// entryDown counts the entry at a link that has ended as silent.
func (e *Edge) entryDown(p *yuccamesh.Peer) {
	delete(e.entries, p)
	for _, i := range e.inquiries {
		if _, open := i.open[p]; open {
			delete(i.open, p)
			i.answer.silent++
			e.settle(i)
		}
	}
}

// expireInquiries answers those that have waited long enough.
func (e *Edge) expireInquiries(now time.Time) {
	for _, i := range e.inquiries {
		if now.Before(i.until) {
			continue
		}
		i.answer.silent += len(i.open)
		e.options.Logger.Info("entries have not answered an inquiry", "kind", i.asked.inquiry.GetKind().String(),
			"job", i.asked.inquiry.GetJob(), "silent", i.answer.silent)
		clear(i.open)
		e.settle(i)
	}
}

func (e *Edge) inquire(ctx context.Context, kind yuccawire.InquiryKind, queue, id string) (inquiryAnswer, error) {
	done := make(chan inquiryAnswer, 1)
	select {
	case e.events <- asked{inquiry: &yuccawire.Inquiry{Kind: kind, Queue: queue, Job: id}, done: done}:
	case <-ctx.Done():
		return inquiryAnswer{}, ctx.Err()
	}
	select {
	case answer := <-done:
		return answer, nil
	case <-ctx.Done():
		return inquiryAnswer{}, ctx.Err()
	}
}

// JobState returns how far a job is, whichever entry owns it. It returns
// ErrEntriesSilent where an entry that has not answered may know the job.
func (e *Edge) JobState(ctx context.Context, queue, id string) (state yuccabroker.State, known bool, err error) {
	a, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_STATE, queue, id)
	if err == nil && !a.known && a.silent > 0 {
		err = ErrEntriesSilent
	}
	return a.state, a.known, err
}

// Pending returns the number of jobs of a queue that have not begun, at all
// entries that answer.
func (e *Edge) Pending(ctx context.Context, queue string) (int, error) {
	a, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_PENDING, queue, "")
	return a.pending, err
}

// Cancel ends a job, whichever entry owns it. It returns false for a job that no
// entry knows, and ErrEntriesSilent where one that has not answered may.
func (e *Edge) Cancel(ctx context.Context, queue, id string) (bool, error) {
	a, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_CANCEL, queue, id)
	if err == nil && !a.known && a.silent > 0 {
		err = ErrEntriesSilent
	}
	return a.known, err
}
