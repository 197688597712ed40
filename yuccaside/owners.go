package yuccaside

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// ownerLink is a link to one incarnation of an entry. The entry owns the jobs that
// it dispatches.
type ownerLink struct {
	link yuccawire.Link
	node *yuccawire.Node
	// openedAt is when the handshake completed. Deadlines in messages are relative
	// to it.
	openedAt time.Time
	// suspendedBefore is for how long the machine had been suspended by then.
	suspendedBefore time.Duration
	// startsSeen counts the starts received over the link. The entry compares it
	// with the starts it has sent, to correct outdated counts of free slots.
	startsSeen uint32
}

func (o *ownerLink) send(m *yuccawire.Envelope) { _ = o.link.Send(m) }

// acceptor accepts the links that entries open.
type acceptor struct {
	side     *Side
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		r := &linkReader{side: a.side, link: link}
		go r.run(ctx)
	})
}

// linkReader performs the handshake of an accepted link, then posts the received
// messages to the event loop until the link is closed.
type linkReader struct {
	side *Side
	link yuccawire.Link
}

func (r *linkReader) run(ctx context.Context) {
	defer r.link.Close()
	node, err := yuccawire.AcceptHello(ctx, r.link, r.side.options.Self)
	if err != nil {
		r.side.metrics.Add("links_rejected", 1)
		r.side.options.Logger.Warn("link rejected", "error", err)
		return
	}
	owner := &ownerLink{link: r.link, node: node, openedAt: time.Now(), suspendedBefore: r.side.options.Suspensions.Check().Total}
	if r.side.post(ctx, linkOpened{owner: owner}) != nil {
		return
	}
	for {
		m, err := r.link.Receive()
		if err != nil {
			break
		}
		if r.side.post(ctx, linkMessage{from: owner, message: m}) != nil {
			return
		}
	}
	_ = r.side.post(ctx, linkClosed{owner: owner})
}

// handleLinkOpened replaces the owner's previous link, whose unread messages are
// discarded. It closes the new link instead if the previous one belongs to a later
// incarnation of the owner.
func (s *Side) handleLinkOpened(o *ownerLink) {
	old := s.owners[o.node.GetName()]
	if old != nil && old.node.GetIncarnation() > o.node.GetIncarnation() {
		_ = o.link.Close()
		return
	}
	if old != nil {
		_ = old.link.Close()
	}
	s.owners[o.node.GetName()] = o
	s.reportLoad()
}

func (s *Side) handleLinkClosed(o *ownerLink) {
	if s.owners[o.node.GetName()] == o {
		delete(s.owners, o.node.GetName())
	}
}

func (s *Side) handleMessage(ctx context.Context, now time.Time, from *ownerLink, m *yuccawire.Envelope) {
	if s.owners[from.node.GetName()] != from {
		s.metrics.Add("messages_of_old_links", 1)
		return
	}
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Start:
		s.handleStart(ctx, now, from, body.Start)
	case *yuccawire.Envelope_Cancel:
		s.handleCancel(now, from, body.Cancel)
	case *yuccawire.Envelope_Forget:
		s.handleForget(from, body.Forget)
	case *yuccawire.Envelope_Query:
		s.handleQuery(now, from, body.Query)
	case *yuccawire.Envelope_Gather:
		s.handleGather(from, body.Gather)
	}
}

// handleForget drops results. It ignores a fenced owner, whose jobs may belong to another
// one that needs them.
func (s *Side) handleForget(from *ownerLink, f *yuccawire.Forget) {
	if s.gate.IsFenced(from.node.GetName(), from.node.GetIncarnation()) {
		s.metrics.Add("forgets_fenced", 1)
		return
	}
	for _, job := range f.GetJobs() {
		s.gate.Forget(job)
	}
}

// handleQuery answers an owner that reconnected. It sends the results of finished
// attempts and refusals for starts that were refused or never received. It sends
// nothing for running attempts: their results follow when they finish.
func (s *Side) handleQuery(now time.Time, from *ownerLink, q *yuccawire.Query) {
	for _, key := range q.GetKeys() {
		result := s.gate.Query(now, key)
		switch {
		case result.Refused != nil:
			s.sendRefused(from, result.Refused)
		case result.Result != nil:
			s.sendFinished(from, result.Result)
		}
	}
}

// handleGather hands a job over to a new owner: it fences the old owner and sends
// the state of the job's attempts to the new one, which also receives the results
// of running attempts when they finish. It answers no new owner that is fenced itself, as
// another one may have the job.
func (s *Side) handleGather(from *ownerLink, g *yuccawire.Gather) {
	s.gate.Fence(g.GetFence().GetOwner(), g.GetFence().GetIncarnation())
	if s.gate.IsFenced(from.node.GetName(), from.node.GetIncarnation()) {
		s.metrics.Add("gathers_fenced", 1)
		return
	}
	gathered := s.gate.Gather(g.GetJob())
	for _, key := range gathered.GetRunning() {
		if r := s.running[runKeyOf(key)]; r != nil {
			r.owner = from.node.GetName()
		}
	}
	from.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Gathered{Gathered: gathered}})
}

func (s *Side) sendRefused(o *ownerLink, r *yuccawire.Refused) {
	message := &yuccawire.Refused{
		Key: r.GetKey(), Reason: r.GetReason(), Service: r.GetService(),
		FreeSlots: uint32(s.freeSlots(r.GetService())), StartsSeen: o.startsSeen,
	}
	o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Refused{Refused: message}})
}

func (s *Side) sendFinished(o *ownerLink, f *yuccawire.Finished) {
	message := &yuccawire.Finished{
		Key: f.GetKey(), State: f.GetState(), Status: f.GetStatus(), Headers: f.GetHeaders(), Body: f.GetBody(),
		Failure: f.GetFailure(), RunUs: f.GetRunUs(), Service: f.GetService(),
		FreeSlots: uint32(s.freeSlots(f.GetService())), StartsSeen: o.startsSeen,
	}
	o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: message}})
}
