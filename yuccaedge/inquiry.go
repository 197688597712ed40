package yuccaedge

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
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
	request inquiryRequest
	message *yuccawire.Inquiry
	result  inquiryResult
	// pendingReplies holds the names of the entries whose replies are outstanding,
	// and whether each has been sent the inquiry.
	pendingReplies map[string]bool
	deadline       time.Time
}

// startInquiry answers the request from what this entry knows if that is enough.
// Otherwise it asks all other entries, and opens links to those that it is not
// linked to.
func (e *Edge) startInquiry(now time.Time, request inquiryRequest) {
	reply := e.localReply(now, request.inquiry)
	i := &inquiry{request: request, deadline: now.Add(inquiryTimeout), pendingReplies: make(map[string]bool)}
	i.merge(reply)
	if e.isAnsweredLocally(now, request.inquiry, i) {
		if request.inquiry.GetKind() == yuccawire.InquiryKind_INQUIRY_KIND_CANCEL {
			e.tellCancelled(now, request.inquiry)
		}
		request.done <- i.result
		return
	}
	e.lastID++
	i.message = &yuccawire.Inquiry{Number: e.lastID, Kind: request.inquiry.GetKind(), Queue: request.inquiry.GetQueue(), Job: request.inquiry.GetJob()}
	e.inquiries[e.lastID] = i
	for p := range e.entryPeers {
		e.sendInquiry(i, p)
	}
	if request.inquiry.GetKind() != yuccawire.InquiryKind_INQUIRY_KIND_PENDING {
		e.askUnlinked(i)
	}
	e.finishIfComplete(i)
}

// isAnsweredLocally reports whether an inquiry needs no other entry: the job is
// here, or control has lately summed the pending jobs of the others, which are then
// added.
func (e *Edge) isAnsweredLocally(now time.Time, q *yuccawire.Inquiry, i *inquiry) bool {
	if q.GetKind() != yuccawire.InquiryKind_INQUIRY_KIND_PENDING {
		return i.result.known
	}
	if e.pendingElsewhereAt.IsZero() || now.Sub(e.pendingElsewhereAt) > maxPendingAge {
		return false
	}
	for _, c := range e.pendingElsewhere {
		if c.GetQueue() == q.GetQueue() {
			i.result.pendingJobs += int(c.GetJobs())
		}
	}
	return true
}

// tellCancelled tells the other entries of a job that was cancelled here: its request may come again
// there, or have come already. Those that are not linked are told once their links are up.
func (e *Edge) tellCancelled(now time.Time, q *yuccawire.Inquiry) {
	m := &yuccawire.Envelope{Body: &yuccawire.Envelope_EndedJobs{EndedJobs: e.broker.Cancellation(now, q.GetQueue(), q.GetJob())}}
	for p := range e.entryPeers {
		p.Send(m)
	}
	isUnlinked := func(n *yuccawire.Node) bool { return e.entryPeer(n.GetName()) == nil }
	if slices.ContainsFunc(e.options.Mesh.RecentNodes(ownerMemory), isUnlinked) {
		e.options.Mesh.LinkAll(inquiryLinkPeriod)
	}
}

// askUnlinked opens links to the entries that may own the job and are not linked.
// They are sent the inquiry once their links are up.
func (e *Edge) askUnlinked(i *inquiry) {
	unlinked := false
	for _, node := range e.options.Mesh.RecentNodes(ownerMemory) {
		if _, asked := i.pendingReplies[node.GetName()]; !asked {
			i.pendingReplies[node.GetName()] = false
			unlinked = true
		}
	}
	if unlinked {
		e.options.Mesh.LinkAll(inquiryLinkPeriod)
	}
}

// sendInquiry sends an inquiry to an entry unless it has been sent over another
// link.
func (e *Edge) sendInquiry(i *inquiry, p *yuccamesh.Peer) {
	if i.pendingReplies[p.Node().GetName()] {
		return
	}
	i.pendingReplies[p.Node().GetName()] = true
	p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Inquiry{Inquiry: i.message}})
}

// sendInquiries sends the open inquiries to an entry whose link has come up.
func (e *Edge) sendInquiries(p *yuccamesh.Peer) {
	for _, i := range e.inquiries {
		if _, isPending := i.pendingReplies[p.Node().GetName()]; isPending {
			e.sendInquiry(i, p)
		}
	}
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

// handleEntryMessage handles an inquiry, a reply, a crash report, the demand, the held tasks,
// the ended jobs or the link request of another entry, or that it has received a list.
func (e *Edge) handleEntryMessage(now time.Time, from *yuccamesh.Peer, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Inquiry:
		from.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_InquiryReply{InquiryReply: e.localReply(now, body.Inquiry)}})
	case *yuccawire.Envelope_InquiryReply:
		e.handleInquiryReply(from, body.InquiryReply)
	case *yuccawire.Envelope_CrashReport:
		e.broker.HandleCrashReport(now, body.CrashReport)
	case *yuccawire.Envelope_Demand:
		e.handleDemand(now, from, body.Demand)
	case *yuccawire.Envelope_HeldTasks:
		e.broker.HandleHeldTasks(now, body.HeldTasks)
		list, sender := body.HeldTasks, from.Node()
		if list.GetSender() == sender.GetName() && list.GetIncarnation() == sender.GetIncarnation() && !list.GetPartial() {
			from.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldSeen{HeldSeen: &yuccawire.HeldSeen{Sequence: list.GetSequence()}}})
		}
	case *yuccawire.Envelope_HeldSeen:
		e.broker.HandleHeldSeen(now, from.Node().GetName(), body.HeldSeen)
		if body.HeldSeen.GetSequence() == 0 {
			for _, part := range e.broker.HeldParts(now) {
				from.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: part}})
			}
		}
	case *yuccawire.Envelope_EndedJobs:
		e.broker.HandleEndedJobs(now, body.EndedJobs)
	case *yuccawire.Envelope_OpenJobs:
		e.broker.HandleOpenJobs(now, from.Node().GetName(), from.Node().GetIncarnation(), body.OpenJobs)
	case *yuccawire.Envelope_OpenJobsSeen:
		e.broker.HandleOpenJobsSeen(now, from.Node().GetName(), body.OpenJobsSeen)
	case *yuccawire.Envelope_Placements:
		e.broker.HandlePlacements(now, from.Node().GetName(), from.Node().GetIncarnation(), body.Placements)
	case *yuccawire.Envelope_LostPlacements:
		e.broker.HandleLostPlacements(now, body.LostPlacements)
	case *yuccawire.Envelope_Forward:
		e.broker.HandleForward(now, body.Forward)
	case *yuccawire.Envelope_LinkRequest:
		e.broker.HandleLinkRequest(now, body.LinkRequest)
	}
}

func (e *Edge) handleInquiryReply(from *yuccamesh.Peer, reply *yuccawire.InquiryReply) {
	i := e.inquiries[reply.GetNumber()]
	if i == nil {
		return
	}
	if _, isPending := i.pendingReplies[from.Node().GetName()]; !isPending {
		return
	}
	delete(i.pendingReplies, from.Node().GetName())
	i.merge(reply)
	e.finishIfComplete(i)
}

// finishIfComplete sends the result of an inquiry that has no outstanding replies.
func (e *Edge) finishIfComplete(i *inquiry) {
	if len(i.pendingReplies) > 0 {
		return
	}
	delete(e.inquiries, i.message.GetNumber())
	i.request.done <- i.result
}

// handleEntryDown records the end of a link to another entry. Inquiries that wait
// for that entry are sent over its other link if there is one. Otherwise the
// entry counts as unanswered.
func (e *Edge) handleEntryDown(p *yuccamesh.Peer) {
	if _, isEntry := e.entryPeers[p]; !isEntry {
		return
	}
	delete(e.entryPeers, p)
	e.updatePeers()
	name := p.Node().GetName()
	e.broker.Demand().ForgetPeer(name)
	if other := e.entryPeer(name); other != nil && other.Node().GetIncarnation() < p.Node().GetIncarnation() {
		e.broker.HandleEntryReplaced(time.Now(), name, other.Node().GetIncarnation())
		other.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}}})
	}
	for _, i := range e.inquiries {
		if sent, isPending := i.pendingReplies[name]; !isPending || !sent {
			continue
		}
		delete(i.pendingReplies, name)
		if other := e.entryPeer(name); other != nil {
			e.sendInquiry(i, other)
			continue
		}
		i.result.unanswered++
		e.finishIfComplete(i)
	}
}

// entryPeer returns a link to the named entry, or nil if there is none.
func (e *Edge) entryPeer(name string) *yuccamesh.Peer {
	for p := range e.entryPeers {
		if p.Node().GetName() == name {
			return p
		}
	}
	return nil
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

// countPending counts the pending jobs of this entry for its lease.
func (e *Edge) countPending(now time.Time) {
	if now.Before(e.nextPendingCount) {
		return
	}
	e.nextPendingCount = now.Add(pendingCountInterval)
	counts := e.broker.PendingByQueue()
	e.pending.Store(&counts)
}

// PendingCounts returns the pending jobs of this entry by queue, which control sums
// for the other entries. They are up to half a second old.
func (e *Edge) PendingCounts() []*yuccawire.QueueCount {
	if counts := e.pending.Load(); counts != nil {
		return *counts
	}
	return nil
}

// inquire starts an inquiry and waits for its result.
func (e *Edge) inquire(ctx context.Context, kind yuccawire.InquiryKind, queue, id string) (inquiryResult, error) {
	done := make(chan inquiryResult, 1)
	request := inquiryRequest{inquiry: &yuccawire.Inquiry{Kind: kind, Queue: queue, Job: id}, done: done}
	if err := yuccaquery.Post(ctx, e.lifetime, e.events, event(request)); err != nil {
		return inquiryResult{}, err
	}
	return yuccaquery.Await(ctx, e.lifetime, done)
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
// to a side, summed over all entries. Those of the other entries are as control has
// summed them within the last two seconds; without control, the linked entries that
// reply are counted.
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
