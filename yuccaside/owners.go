package yuccaside

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// ownerLink is the link of one run of an entry.
type ownerLink struct {
	link yuccawire.Link
	node *yuccawire.Node
	// opened is when the hello came. Deadlines of the link's messages count
	// from it.
	openedAt   time.Time
	startsSeen uint32
}

func (o *ownerLink) send(m *yuccawire.Envelope) { _ = o.link.Send(m) }

// acceptor greets the processes that dial this side.
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

// reader greets one owner and reads its link until it ends.
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
	owner := &ownerLink{link: r.link, node: node, openedAt: time.Now()}
	if r.side.post(ctx, linkUp{owner: owner}) != nil {
		return
	}
	for {
		m, err := r.link.Receive()
		if err != nil {
			break
		}
		if r.side.post(ctx, messageReceived{from: owner, message: m}) != nil {
			return
		}
	}
	_ = r.side.post(ctx, linkDown{owner: owner})
}

// link makes this the owner's only link. What still waits in an older one of
// the same owner is not read any more.
func (s *Side) handleLinkUp(o *ownerLink) {
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

func (s *Side) handleLinkDown(o *ownerLink) {
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
		s.handleCancel(now, body.Cancel)
	case *yuccawire.Envelope_Forget:
		s.handleForget(body.Forget)
	case *yuccawire.Envelope_Query:
		s.handleQuery(now, from, body.Query)
	case *yuccawire.Envelope_Gather:
		s.handleGather(from, body.Gather)
	}
}

func (s *Side) handleForget(f *yuccawire.Forget) {
	for _, job := range f.GetJobs() {
		s.gate.Forget(job)
	}
}

// query answers an owner that reconnected: results, refusals of what never
// arrived, and nothing for what still runs.
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

// gather fences the old owner of a job, then tells its new owner all that is
// known. What still runs is answered to the new owner later.
func (s *Side) handleGather(from *ownerLink, g *yuccawire.Gather) {
	s.gate.Fence(g.GetFence().GetOwner(), g.GetFence().GetIncarnation())
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
