package yuccamesh

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// dialler keeps a link to one address.
type dialler struct {
	mesh    *Mesh
	address string
}

func (d *dialler) run(ctx context.Context) {
	wait := minRedial
	for ctx.Err() == nil {
		if d.connect(ctx) {
			wait = minRedial
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		wait = min(2*wait, maxRedial)
	}
}

// connect opens a link and reads it until it ends. It returns false where none
// could be opened.
func (d *dialler) connect(ctx context.Context) bool {
	m := d.mesh
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := m.options.Network.Dial(dialling, d.address)
	if err != nil {
		m.options.Metrics.Add("mesh_dials_failed", 1)
		return false
	}
	node, err := yuccawire.SayHello(dialling, link, m.options.Self)
	if err != nil || node.GetName() == m.options.Self.GetName() {
		m.options.Metrics.Add("mesh_dials_failed", 1)
		m.cut(&Peer{link: link, address: d.address})
		return false
	}
	m.attach(ctx, &Peer{link: link, node: node, address: d.address})
	return true
}

// acceptor greets the processes that dial this one.
type acceptor struct {
	mesh     *Mesh
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		g := &greeting{mesh: a.mesh, link: link}
		go g.run(ctx)
	})
}

type greeting struct {
	mesh *Mesh
	link yuccawire.Link
}

func (g *greeting) run(ctx context.Context) {
	node, err := yuccawire.AcceptHello(ctx, g.link, g.mesh.options.Self)
	if err != nil {
		g.mesh.options.Metrics.Add("mesh_links_rejected", 1)
		return
	}
	g.mesh.attach(ctx, &Peer{link: g.link, node: node})
}
