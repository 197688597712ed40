package yuccaentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	dialTimeout    = time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// dialer keeps a link to one run of a side or of another entry.
type dialer struct {
	entry  *Entry
	node   *yuccawire.Node
	random *rand.Rand
	cancel context.CancelFunc

	// Owned by the entry's loop.
	link        yuccawire.Link
	helloSentAt time.Time
}

func (e *Entry) openLink(ctx context.Context, node *yuccawire.Node) {
	e.closeLink(node.GetName())
	ctx, cancel := context.WithCancel(ctx)
	d := &dialer{entry: e, node: node, random: forkRandom(e.options.Random), cancel: cancel}
	e.dialers[node.GetName()] = d
	go d.run(ctx)
}

func (e *Entry) closeLink(name string) {
	if d := e.dialers[name]; d != nil {
		d.cancel()
		d.close()
		delete(e.dialers, name)
	}
}

func (d *dialer) close() {
	if d.link != nil {
		_ = d.link.Close()
	}
}

func (d *dialer) send(m *yuccawire.Envelope) {
	if d.link != nil {
		_ = d.link.Send(m)
	}
}

// sendStart sets the deadline on the clock of the link, so that time which the
// message spends under way counts.
func (d *dialer) sendStart(a yuccadispatch.SendStart) {
	if d.link == nil {
		return
	}
	a.Start.DeadlineMs = uint64(max(a.Deadline.Sub(d.helloSentAt), 0).Milliseconds())
	_ = d.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Start{Start: a.Start}})
}

func (e *Entry) handleLinkOpened(now time.Time, l linkOpened) {
	name := l.dialer.node.GetName()
	if e.dialers[name] != l.dialer {
		_ = l.link.Close()
		return
	}
	l.dialer.link = l.link
	l.dialer.helloSentAt = l.helloSentAt
	e.dispatcher.HandleLinkUp(now, name)
}

func (e *Entry) handleLinkClosed(u linkClosed) {
	name := u.dialer.node.GetName()
	if e.dialers[name] != u.dialer || u.dialer.link != u.link {
		return
	}
	u.dialer.link = nil
	e.metrics.Add("links_lost", 1)
	e.dispatcher.HandleLinkDown(name)
}

// run dials until the context ends.
func (d *dialer) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		if d.connect(ctx) {
			delay = minRedialDelay
		}
		sleep(ctx, delay/2+time.Duration(d.random.Int64N(int64(delay/2))))
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect dials once and reads the link until it ends. It returns false where
// no link came about.
func (d *dialer) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := d.entry.options.Network.Dial(dialCtx, d.node.GetAddress())
	if err != nil {
		return false
	}
	defer link.Close()
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	helloSentAt := time.Now()
	peer, err := yuccawire.SayHello(ctx, link, d.entry.self.Load())
	if err != nil || peer.GetName() != d.node.GetName() || peer.GetIncarnation() != d.node.GetIncarnation() {
		return false
	}
	if d.entry.post(ctx, linkOpened{dialer: d, link: link, helloSentAt: helloSentAt}) != nil {
		return false
	}
	d.read(ctx, link)
	_ = d.entry.post(ctx, linkClosed{dialer: d, link: link})
	return true
}

func (d *dialer) read(ctx context.Context, link yuccawire.Link) {
	for {
		m, err := link.Receive()
		if err != nil {
			return
		}
		if d.entry.post(ctx, linkMessage{name: d.node.GetName(), message: m}) != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// acceptor greets the entries that dial this one.
type acceptor struct {
	entry    *Entry
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		r := &reader{entry: a.entry, link: link}
		go r.run(ctx)
	})
}

// reader reads the questions of another entry.
type reader struct {
	entry *Entry
	link  yuccawire.Link
}

func (r *reader) run(ctx context.Context) {
	defer r.link.Close()
	node, err := yuccawire.AcceptHello(ctx, r.link, r.entry.self.Load())
	if err != nil {
		r.entry.metrics.Add("links_rejected", 1)
		return
	}
	for {
		m, err := r.link.Receive()
		if err != nil {
			return
		}
		if r.entry.post(ctx, linkMessage{name: node.GetName(), message: m}) != nil {
			return
		}
	}
}
