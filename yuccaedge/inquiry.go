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
var ErrEntriesUnresponsive = merry.Sentinel("another entry, which may own the job, has not answered")

// asked is an inquiry of a caller of this entry.
type inquiryRequest struct {
	inquiry *yuccawire.Inquiry
	result  chan<- inquiryResult
}

// inquiryAnswer is what all entries together know.
type inquiryResult struct {
	known   bool
	state   yuccabroker.State
	pending int
	// silent counts the entries that have not answered in time.
	unanswered int
}

// inquiry waits for the replies of the other entries.
type inquiry struct {
	number  uint64
	request inquiryRequest
	result  inquiryResult
	// open holds the links whose replies are outstanding.
	pendingReplies map[*yuccamesh.Peer]struct{}
	deadline       time.Time
}

// ask answers from what this entry knows, and asks the others for the rest.
func (e *Edge) startInquiry(now time.Time, a inquiryRequest) {
	reply := e.localReply(now, a.inquiry)
	i := &inquiry{request: a, deadline: now.Add(inquiryTimeout), pendingReplies: make(map[*yuccamesh.Peer]struct{})}
	i.merge(reply)
	if reply.GetKnown() && a.inquiry.GetKind() != yuccawire.InquiryKind_INQUIRY_KIND_PENDING {
		a.result <- i.result
		return
	}
	e.lastID++
	i.number = e.lastID
	e.inquiries[i.number] = i
	message := &yuccawire.Inquiry{Number: i.number, Kind: a.inquiry.GetKind(), Queue: a.inquiry.GetQueue(), Job: a.inquiry.GetJob()}
	queried := make(map[string]bool)
	for p := range e.entryPeers {
		if queried[p.Node().GetName()] {
			continue
		}
		queried[p.Node().GetName()] = true
		i.pendingReplies[p] = struct{}{}
		p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Inquiry{Inquiry: message}})
	}
	e.finishIfComplete(i)
}

// replyTo answers an inquiry from what this entry knows.
func (e *Edge) localReply(now time.Time, q *yuccawire.Inquiry) *yuccawire.InquiryReply {
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
func (i *inquiry) merge(reply *yuccawire.InquiryReply) {
	i.result.pending += int(reply.GetPending())
	if !reply.GetKnown() {
		return
	}
	state := yuccabroker.State(reply.GetState())
	if !i.result.known || state == yuccabroker.Running || state == yuccabroker.Completed {
		i.result.known, i.result.state = true, state
	}
}

// entryMessage handles what another entry has sent.
func (e *Edge) handleEntryMessage(now time.Time, from *yuccamesh.Peer, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Inquiry:
		from.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_InquiryReply{InquiryReply: e.localReply(now, body.Inquiry)}})
	case *yuccawire.Envelope_InquiryReply:
		e.handleInquiryReply(from, body.InquiryReply)
	}
}

func (e *Edge) handleInquiryReply(from *yuccamesh.Peer, reply *yuccawire.InquiryReply) {
	i := e.inquiries[reply.GetNumber()]
	if i == nil {
		return
	}
	if _, isPending := i.pendingReplies[from]; !isPending {
		return
	}
	delete(i.pendingReplies, from)
	i.merge(reply)
	e.finishIfComplete(i)
}

// settle answers an inquiry that has all its replies.
func (e *Edge) finishIfComplete(i *inquiry) {
	if len(i.pendingReplies) > 0 {
		return
	}
	delete(e.inquiries, i.number)
	i.request.result <- i.result
}

// entryDown counts the entry at a link that has ended as silent.
func (e *Edge) handleEntryDown(p *yuccamesh.Peer) {
	delete(e.entryPeers, p)
	for _, i := range e.inquiries {
		if _, isPending := i.pendingReplies[p]; isPending {
			delete(i.pendingReplies, p)
			i.result.unanswered++
			e.finishIfComplete(i)
		}
	}
}

// expireInquiries answers those that have waited long enough.
func (e *Edge) expireInquiries(now time.Time) {
	for _, i := range e.inquiries {
		if now.Before(i.deadline) {
			continue
		}
		i.result.unanswered += len(i.pendingReplies)
		e.options.Logger.Info("entries have not answered an inquiry", "kind", i.request.inquiry.GetKind().String(),
			"job", i.request.inquiry.GetJob(), "silent", i.result.unanswered)
		clear(i.pendingReplies)
		e.finishIfComplete(i)
	}
}

func (e *Edge) inquire(ctx context.Context, kind yuccawire.InquiryKind, queue, id string) (inquiryResult, error) {
	result := make(chan inquiryResult, 1)
	select {
	case e.events <- inquiryRequest{inquiry: &yuccawire.Inquiry{Kind: kind, Queue: queue, Job: id}, result: result}:
	case <-ctx.Done():
		return inquiryResult{}, ctx.Err()
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return inquiryResult{}, ctx.Err()
	}
}

// JobState returns how far a job is, whichever entry owns it. It returns
// ErrEntriesSilent where an entry that has not answered may know the job.
func (e *Edge) JobState(ctx context.Context, queue, id string) (state yuccabroker.State, known bool, err error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_STATE, queue, id)
	if err == nil && !result.known && result.unanswered > 0 {
		err = ErrEntriesUnresponsive
	}
	return result.state, result.known, err
}

// Pending returns the number of jobs of a queue that have not begun, at all
// entries that answer.
func (e *Edge) Pending(ctx context.Context, queue string) (int, error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_PENDING, queue, "")
	return result.pending, err
}

// Cancel ends a job, whichever entry owns it. It returns false for a job that no
// entry knows, and ErrEntriesSilent where one that has not answered may.
func (e *Edge) Cancel(ctx context.Context, queue, id string) (bool, error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_CANCEL, queue, id)
	if err == nil && !result.known && result.unanswered > 0 {
		err = ErrEntriesUnresponsive
	}
	return result.known, err
}
