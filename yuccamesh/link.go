package yuccamesh

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// dialer maintains a link to one address.
type dialer struct {
	mesh    *Mesh
	address string
	cancel  context.CancelFunc
}

func (d *dialer) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		if d.connect(ctx) {
			delay = minRedialDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect opens a link and reads it until it closes. It returns false if no
// link could be opened.
func (d *dialer) connect(ctx context.Context) bool {
	m := d.mesh
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	node := m.entryAt(d.address)
	link, err := m.options.Network.Dial(dialCtx, d.address)
	if err != nil {
		m.recordDialFailure(d.address)
		if node != nil && errors.Is(err, syscall.ECONNREFUSED) {
			m.emit(EntryGone{Node: node})
		}
		return false
	}
	node, err = yuccawire.SayHello(dialCtx, link, m.options.Self)
	if err != nil || node.GetName() == m.options.Self.GetName() {
		m.recordDialFailure(d.address)
		m.disconnect(&Peer{link: link, address: d.address})
		return false
	}
	m.serveLink(ctx, newPeer(m, link, node, d.address, 0))
	return true
}

// entryAt returns the known entry at an address, or nil.
func (m *Mesh) entryAt(address string) *yuccawire.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, node := range m.roster.Nodes(time.Now()) {
		if node.GetAddress() == address {
			return node
		}
	}
	return nil
}

// acceptor starts a handshake for each accepted link.
type acceptor struct {
	mesh     *Mesh
	listener yuccawire.Listener
	// accepted counts the links.
	accepted uint64
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		a.accepted++
		h := &handshake{mesh: a.mesh, link: link, number: a.accepted}
		go h.run(ctx)
	})
}

// handshake is the exchange of Hello messages on an accepted link.
type handshake struct {
	mesh   *Mesh
	link   yuccawire.Link
	number uint64
}

func (h *handshake) run(ctx context.Context) {
	node, err := yuccawire.AcceptHello(ctx, h.link, h.mesh.options.Self)
	if err != nil {
		h.mesh.options.Metrics.Add("mesh_links_rejected", 1)
		return
	}
	h.mesh.serveLink(ctx, newPeer(h.mesh, h.link, node, "", h.number))
}

func (m *Mesh) recordDialFailure(address string) {
	m.options.Metrics.Add("mesh_dials_failed", 1)
	m.mu.Lock()
	m.topology.HandleDialFailed(time.Now(), address)
	m.mu.Unlock()
}

// disconnect closes a link and, for a dialled one, its connection.
func (m *Mesh) disconnect(p *Peer) {
	p.Close()
	if d, ok := m.options.Network.(connectionDropper); ok && p.isDialled() {
		d.Drop(p.address)
	}
}

// serveLink registers the peer and reads its link until that closes.
func (m *Mesh) serveLink(ctx context.Context, p *Peer) {
	stop := context.AfterFunc(ctx, p.Close)
	defer stop()
	defer m.disconnect(p)
	now := time.Now()
	m.mu.Lock()
	m.peers[p] = struct{}{}
	m.roster.RecordContact(now, p.node)
	m.topology.SetMembers(m.roster.Nodes(now), m.options.Seeds())
	m.topology.HandleLinkUp(now, p.node, p.isDialled())
	first := m.firstRoster(now, p)
	m.mu.Unlock()
	m.options.Metrics.Add("mesh_links_opened", 1)
	p.Send(first)
	m.wakeUp()
	m.emit(LinkUp{Peer: p})
	for {
		message, err := p.link.Receive()
		if err != nil {
			break
		}
		m.receive(p, message)
	}
	m.mu.Lock()
	delete(m.peers, p)
	m.topology.HandleLinkDown(p.node, p.isDialled())
	m.mu.Unlock()
	m.wakeUp()
	m.emit(LinkDown{Peer: p})
}

func (m *Mesh) receive(p *Peer, message *yuccawire.Envelope) {
	now := time.Now()
	p.lastReceived.Store(int64(now.Sub(m.startedAt)))
	m.traffic.recordReceived(message)
	switch body := message.GetBody().(type) {
	case *yuccawire.Envelope_Roster:
		m.receiveRoster(now, p, body.Roster)
	case *yuccawire.Envelope_Heartbeat:
		m.receiveHeartbeat(now, p, body.Heartbeat)
	default:
		m.emit(Received{Peer: p, Message: message})
	}
}

// emit passes an event to the receiver. It does not depend on the context of a link,
// since the end of a link must be reported after that context has ended.
func (m *Mesh) emit(e Event) {
	select {
	case m.events <- e:
	case <-m.stopped:
	}
}
