package yuccacontrol

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	peerOutboxCapacity = 1024
	peerRedialDelay    = 200 * time.Millisecond
	peerDialTimeout    = time.Second
)

// conn is a link and the node that its hello announced.
type conn struct {
	link   yuccawire.Link
	node   *yuccawire.Node
	events chan<- event
	// session is nil until the process renews its lease. Owned by the loop.
	session *session
}

// run posts received messages to the loop until the link fails or the context
// ends, and then posts linkClosed.
func (c *conn) run(ctx context.Context) {
	defer c.link.Close()
	for {
		m, err := c.link.Receive()
		if err != nil {
			break
		}
		select {
		case c.events <- linkMessage{from: c, message: m}:
		case <-ctx.Done():
			return
		}
	}
	select {
	case c.events <- linkClosed{from: c}:
	case <-ctx.Done():
	}
}

// handshake completes the hello exchange on an accepted link and then reads it.
type handshake struct {
	control *Control
	link    yuccawire.Link
}

func (h *handshake) run(ctx context.Context) {
	node, err := yuccawire.AcceptHello(ctx, h.link, h.control.node)
	if err != nil {
		h.control.metrics.Add("links_rejected", 1)
		return
	}
	c := &conn{link: h.link, node: node, events: h.control.events}
	c.run(ctx)
}

// peer maintains an outgoing connection to another replica. Messages are dropped
// while the replica is unreachable or the outbox is full; the replication protocol
// resends them.
type peer struct {
	control   *Control
	address   string
	outbox    chan *yuccawire.Envelope
	cancel    context.CancelFunc
	connected atomic.Bool
	// losses counts the links that were opened and lost, lastLoss is why the last one was.
	losses   atomic.Int64
	lastLoss atomic.Pointer[error]
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
		p.drainOutbox()
		timer := time.NewTimer(peerRedialDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// drainOutbox drops the messages that were queued for the failed connection, so
// that the next connection doesn't begin with stale ones.
func (p *peer) drainOutbox() {
	for len(p.outbox) > 0 {
		<-p.outbox
	}
}

func (p *peer) connect(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	link, err := p.control.options.Network.Dial(dialCtx, p.address)
	if err != nil {
		return
	}
	defer link.Close()
	node, err := yuccawire.SayHello(ctx, link, p.control.node)
	if err != nil {
		return
	}
	p.connected.Store(true)
	defer p.connected.Store(false)
	done := make(chan struct{})
	reader := &peerReader{conn: &conn{link: link, node: node, events: p.control.events}, done: done}
	go reader.run(ctx)
	if err := p.forward(ctx, link, done); err != nil {
		p.losses.Add(1)
		p.lastLoss.Store(&err)
		p.control.metrics.Add("replica_links_lost", 1)
		if errors.Is(err, yuccawire.ErrLinkFull) {
			p.control.metrics.Add("replica_links_full", 1)
		}
	}
}

// forward sends the queued messages until the link is lost. It returns why, or nil if the context ends.
func (p *peer) forward(ctx context.Context, link yuccawire.Link, done <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return yuccawire.ErrLinkClosed
		case m := <-p.outbox:
			if err := link.Send(m); err != nil {
				return err
			}
		}
	}
}

// peerReader reads a dialled link and closes done when the link fails.
type peerReader struct {
	conn *conn
	done chan struct{}
}

func (r *peerReader) run(ctx context.Context) {
	defer close(r.done)
	r.conn.run(ctx)
}
