package yuccaentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	dialTimeout = time.Second
	// minRedialDelay and maxRedialDelay limit the backoff before a node is dialled
	// again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// dialer maintains a link to one incarnation of a side or another entry.
type dialer struct {
	entry  *Entry
	node   *yuccawire.Node
	random *rand.Rand
	cancel context.CancelFunc

	// The fields below are owned by the event loop of the entry.
	link        yuccawire.Link
	helloSentAt time.Time
	// suspendedBefore is for how long the machine had been suspended by then.
	suspendedBefore time.Duration
}

// openLink starts a dialer for the node.
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

// sendStart sends a start with its deadline on the link clock, which both ends
// count from the handshake, so that the time in transit counts too.
func (d *dialer) sendStart(a yuccadispatch.SendStart) {
	if d.link == nil {
		return
	}
	suspendedFor := d.entry.suspensions.Total - d.suspendedBefore
	a.Start.DeadlineMs = uint64(max(a.Deadline.Sub(d.helloSentAt)+suspendedFor, 0).Milliseconds())
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
	l.dialer.suspendedBefore = l.suspendedBefore
	e.dispatcher.HandleLinkUp(now, name)
}

func (e *Entry) handleLinkClosed(l linkClosed) {
	name := l.dialer.node.GetName()
	if e.dialers[name] != l.dialer || l.dialer.link != l.link {
		return
	}
	l.dialer.link = nil
	e.metrics.Add("links_lost", 1)
	e.dispatcher.HandleLinkDown(name)
}

// run keeps the link open, redialling with backoff and jitter, until the context
// ends.
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

// connect dials once and reads the link until it closes. It returns false if no
// link could be opened.
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
	helloSentAt, suspendedBefore := time.Now(), d.entry.options.Suspensions.Check().Total
	peer, err := yuccawire.SayHello(ctx, link, d.entry.self.Load())
	if err != nil || peer.GetName() != d.node.GetName() || peer.GetIncarnation() != d.node.GetIncarnation() {
		return false
	}
	if d.entry.post(ctx, linkOpened{dialer: d, link: link, helloSentAt: helloSentAt, suspendedBefore: suspendedBefore}) != nil {
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
		if d.entry.post(ctx, linkMessage{dialer: d, name: d.node.GetName(), message: m}) != nil {
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

// acceptor accepts the links of other entries.
type acceptor struct {
	entry    *Entry
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		r := &linkReader{entry: a.entry, link: link}
		go r.run(ctx)
	})
}

// linkReader reads the messages of another entry from an accepted link.
type linkReader struct {
	entry *Entry
	link  yuccawire.Link
}

func (r *linkReader) run(ctx context.Context) {
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
