package yuccaedge

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// ErrEntriesUnresponsive is returned if an entry that may own the job has not
// replied in time.
var ErrEntriesUnresponsive = merry.Sentinel("another entry, which may own the job, has not answered")

// inquiryRequest is an inquiry of a caller of this entry. done receives the
// result.
type inquiryRequest struct {
	inquiry *yuccawire.Inquiry
	done    chan<- inquiryResult
}

// inquiryResult is the merged result of all entries.
type inquiryResult struct {
	known bool
	state yuccabroker.State
	// pendingJobs is the sum over the entries that have replied.
	pendingJobs int
	// unanswered counts the entries that have not replied in time.
	unanswered int
}

// inquiry is the state of an inquiry that waits for the replies of other entries.
type inquiry struct {
	number  uint64
	request inquiryRequest
	result  inquiryResult
	// pendingReplies holds the links whose replies are outstanding.
	pendingReplies map[*yuccamesh.Peer]struct{}
	deadline       time.Time
}

// startInquiry answers the request from the state of this entry if that is
// enough, and otherwise sends an inquiry to all other entries.
func (e *Edge) startInquiry(now time.Time, request inquiryRequest) {
	reply := e.localReply(now, request.inquiry)
	i := &inquiry{request: request, deadline: now.Add(inquiryTimeout), pendingReplies: make(map[*yuccamesh.Peer]struct{})}
	i.merge(reply)
	if reply.GetKnown() && request.inquiry.GetKind() != yuccawire.InquiryKind_INQUIRY_KIND_PENDING {
		request.done <- i.result
		return
	}
	e.lastID++
	i.number = e.lastID
	e.inquiries[i.number] = i
	query := &yuccawire.Inquiry{Number: i.number, Kind: request.inquiry.GetKind(), Queue: request.inquiry.GetQueue(), Job: request.inquiry.GetJob()}
	queried := make(map[string]bool)
	for p := range e.entryPeers {
		if queried[p.Node().GetName()] {
			continue
		}
		queried[p.Node().GetName()] = true
		i.pendingReplies[p] = struct{}{}
		p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Inquiry{Inquiry: query}})
	}
	e.finishIfComplete(i)
}

// localReply answers an inquiry from the state of this entry. An inquiry of the
// kind CANCEL cancels the job.
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

// merge applies the reply of one entry. The state of a running or completed job
// takes precedence over the state that another entry has retained of an earlier
// submission.
func (i *inquiry) merge(reply *yuccawire.InquiryReply) {
	i.result.pendingJobs += int(reply.GetPending())
	if !reply.GetKnown() {
		return
	}
	state := yuccabroker.State(reply.GetState())
	if !i.result.known || state == yuccabroker.Running || state == yuccabroker.Completed {
		i.result.known, i.result.state = true, state
	}
}

// handleEntryMessage handles an inquiry or a reply of another entry.
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

// finishIfComplete sends the result of an inquiry that has no outstanding replies.
func (e *Edge) finishIfComplete(i *inquiry) {
	if len(i.pendingReplies) > 0 {
		return
	}
	delete(e.inquiries, i.number)
	i.request.done <- i.result
}

// handleEntryDown counts the entry of a closed link as unanswered in all
// inquiries that wait for it.
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

// expireInquiries finishes the inquiries whose deadline has passed.
func (e *Edge) expireInquiries(now time.Time) {
	for _, i := range e.inquiries {
		if now.Before(i.deadline) {
			continue
		}
		i.result.unanswered += len(i.pendingReplies)
		e.options.Logger.Info("inquiry timed out", "kind", i.request.inquiry.GetKind().String(),
			"job", i.request.inquiry.GetJob(), "silent", i.result.unanswered)
		clear(i.pendingReplies)
		e.finishIfComplete(i)
	}
}

// inquire starts an inquiry and waits for its result.
func (e *Edge) inquire(ctx context.Context, kind yuccawire.InquiryKind, queue, id string) (inquiryResult, error) {
	done := make(chan inquiryResult, 1)
	select {
	case e.events <- inquiryRequest{inquiry: &yuccawire.Inquiry{Kind: kind, Queue: queue, Job: id}, done: done}:
	case <-ctx.Done():
		return inquiryResult{}, ctx.Err()
	}
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		return inquiryResult{}, ctx.Err()
	}
}

// JobState returns the state of a job of any entry, and false if no entry has the
// job. It returns ErrEntriesUnresponsive if an entry that has not replied may
// have it.
func (e *Edge) JobState(ctx context.Context, queue, id string) (state yuccabroker.State, known bool, err error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_STATE, queue, id)
	if err == nil && !result.known && result.unanswered > 0 {
		err = ErrEntriesUnresponsive
	}
	return result.state, result.known, err
}

// Pending returns the number of open jobs of a queue of which no task has been sent
// to a side, summed over all entries that reply.
func (e *Edge) Pending(ctx context.Context, queue string) (int, error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_PENDING, queue, "")
	return result.pendingJobs, err
}

// Cancel cancels a job of any entry, and returns false if no entry has the job. It
// returns ErrEntriesUnresponsive if an entry that has not replied may have it.
func (e *Edge) Cancel(ctx context.Context, queue, id string) (bool, error) {
	result, err := e.inquire(ctx, yuccawire.InquiryKind_INQUIRY_KIND_CANCEL, queue, id)
	if err == nil && !result.known && result.unanswered > 0 {
		err = ErrEntriesUnresponsive
	}
	return result.known, err
}
