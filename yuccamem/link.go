package yuccamem

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const linkCapacity = 16384

type listener struct {
	fabric  *Fabric
	address string
	links   chan yuccawire.Link
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next link that a host dials.
func (l *listener) Accept() (yuccawire.Link, error) {
	select {
	case link := <-l.links:
		return link, nil
	case <-l.closed:
		return nil, yuccawire.ErrLinkClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.listeners, l.address)
		l.fabric.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Address is the address that hosts dial.
func (l *listener) Address() string { return l.address }

// parcel is a message with the time at which it arrives.
type parcel struct {
	message *yuccawire.Envelope
	due     time.Time
}

// shared is what both ends of a link close together.
type shared struct {
	closed chan struct{}
	once   sync.Once
}

// link is one end; it sends in its direction and receives from its twin.
type link struct {
	fabric    *Fabric
	direction direction
	shared    *shared
	outbox    chan parcel
	inbox     chan *yuccawire.Envelope
	twin      *link
}

func (f *Fabric) pair(from, to string) (near, far *link) {
	s := &shared{closed: make(chan struct{})}
	near = f.end(s, direction{from, to})
	far = f.end(s, direction{to, from})
	near.twin = far
	far.twin = near
	go near.run()
	go far.run()
	return near, far
}

func (f *Fabric) end(s *shared, d direction) *link {
	l := &link{
		fabric:    f,
		direction: d,
		shared:    s,
		outbox:    make(chan parcel, linkCapacity),
		inbox:     make(chan *yuccawire.Envelope, linkCapacity),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[l] = struct{}{}
	return l
}

// Send queues a copy of the envelope.
func (l *link) Send(m *yuccawire.Envelope) error {
	select {
	case <-l.shared.closed:
		return yuccawire.ErrLinkClosed
	default:
	}
	p := parcel{message: proto.CloneOf(m), due: time.Now().Add(l.fabric.delay())}
	select {
	case l.outbox <- p:
		return nil
	default:
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
}

// Receive waits for the next message of the twin.
func (l *link) Receive() (*yuccawire.Envelope, error) {
	select {
	case m := <-l.inbox:
		return m, nil
	case <-l.shared.closed:
		return nil, yuccawire.ErrLinkClosed
	}
}

// Close ends both ends; messages under way are lost.
func (l *link) Close() error {
	l.shared.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.links, l)
		delete(l.fabric.links, l.twin)
		l.fabric.mu.Unlock()
		close(l.shared.closed)
	})
	return nil
}

// run delivers the messages of this end to its twin, in order.
func (l *link) run() {
	for {
		select {
		case p := <-l.outbox:
			if !l.deliver(p) {
				return
			}
		case <-l.shared.closed:
			return
		}
	}
}

func (l *link) deliver(p parcel) bool {
	if !l.pause(time.Until(p.due)) {
		return false
	}
	for cut := l.fabric.cut(l.direction); cut != nil; cut = l.fabric.cut(l.direction) {
		select {
		case <-cut:
		case <-l.shared.closed:
			return false
		}
	}
	select {
	case l.twin.inbox <- p.message:
		return true
	case <-l.shared.closed:
		return false
	}
}

func (l *link) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.shared.closed:
		return false
	}
}
