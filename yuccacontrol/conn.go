package yuccacontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	peerCapacity  = 1024
	peerRedial    = 200 * time.Millisecond
	peerDialLimit = time.Second
)

// conn is a link with the node at its other end.
type conn struct {
	link   yuccawire.Link
	node   *yuccawire.Node
	events chan<- event
	// session is what the loop keeps of a process under a lease.
	session *session
}

// run reads the link until it ends.
func (c *conn) run(ctx context.Context) {
	defer c.link.Close()
	for {
		m, err := c.link.Receive()
		if err != nil {
			break
		}
		select {
		case c.events <- received{from: c, message: m}:
		case <-ctx.Done():
			return
		}
	}
	select {
	case c.events <- closed{from: c}:
	case <-ctx.Done():
	}
}

// greeting answers the hello of an accepted link, then reads it.
type greeting struct {
	control *Control
	link    yuccawire.Link
}

func (g *greeting) run(ctx context.Context) {
	node, err := yuccawire.AcceptHello(ctx, g.link, g.control.node)
	if err != nil {
		g.control.metrics.Add("links_rejected", 1)
		return
	}
	c := &conn{link: g.link, node: node, events: g.control.events}
	c.run(ctx)
}

// peer dials another replica and passes messages to it. Messages are dropped
// while it can't be reached; the log sends them again.
type peer struct {
	control *Control
	address string
	outbox  chan *yuccawire.Envelope
	cancel  context.CancelFunc
	up      atomic.Bool
}

func (p *peer) send(m *yuccawire.Replica) {
	select {
	case p.outbox <- replicaEnvelope(m):
	default:
		p.control.metrics.Add("replica_messages_dropped", 1)
	}
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connect(ctx)
		p.discard()
		timer := time.NewTimer(peerRedial)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// discard drops what waited while the peer was away, so that it gets no stale
// messages first.
func (p *peer) discard() {
	for len(p.outbox) > 0 {
		<-p.outbox
	}
}

func (p *peer) connect(ctx context.Context) {
	dialling, cancel := context.WithTimeout(ctx, peerDialLimit)
	defer cancel()
	link, err := p.control.options.Network.Dial(dialling, p.address)
	if err != nil {
		return
	}
	defer link.Close()
	node, err := yuccawire.SayHello(ctx, link, p.control.node)
	if err != nil {
		return
	}
	p.up.Store(true)
	defer p.up.Store(false)
	ended := make(chan struct{})
	reader := &peerReader{conn: &conn{link: link, node: node, events: p.control.events}, ended: ended}
	go reader.run(ctx)
	p.pass(ctx, link, ended)
}

func (p *peer) pass(ctx context.Context, link yuccawire.Link, ended <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case m := <-p.outbox:
			if link.Send(m) != nil {
				return
			}
		}
	}
}

// peerReader reads a dialled link and tells when it has ended.
type peerReader struct {
	conn  *conn
	ended chan struct{}
}

func (r *peerReader) run(ctx context.Context) {
	defer close(r.ended)
	r.conn.run(ctx)
}
