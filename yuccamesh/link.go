package yuccamesh

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// dialer maintains a link to one address.
type dialer struct {
	mesh    *Mesh
	address string
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
	link, err := m.options.Network.Dial(dialCtx, d.address)
	if err != nil {
		m.options.Metrics.Add("mesh_dials_failed", 1)
		return false
	}
	node, err := yuccawire.SayHello(dialCtx, link, m.options.Self)
	if err != nil || node.GetName() == m.options.Self.GetName() {
		m.options.Metrics.Add("mesh_dials_failed", 1)
		m.disconnect(&Peer{link: link, address: d.address})
		return false
	}
	m.serveLink(ctx, &Peer{link: link, node: node, address: d.address})
	return true
}

// acceptor starts a handshake for each accepted link.
type acceptor struct {
	mesh     *Mesh
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		h := &handshake{mesh: a.mesh, link: link}
		go h.run(ctx)
	})
}

// handshake is the exchange of Hello messages on an accepted link.
type handshake struct {
	mesh *Mesh
	link yuccawire.Link
}

func (h *handshake) run(ctx context.Context) {
	node, err := yuccawire.AcceptHello(ctx, h.link, h.mesh.options.Self)
	if err != nil {
		h.mesh.options.Metrics.Add("mesh_links_rejected", 1)
		return
	}
	h.mesh.serveLink(ctx, &Peer{link: h.link, node: node})
}
