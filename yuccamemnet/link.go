package yuccamemnet

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// linkBufferSize is the capacity of an outbox or an inbox in messages.
const linkBufferSize = 16384

type listener struct {
	fabric  *Fabric
	address string
	links   chan yuccawire.Link
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next incoming link.
func (l *listener) Accept() (yuccawire.Link, error) {
	select {
	case link := <-l.links:
		return link, nil
	case <-l.closed:
		return nil, yuccawire.ErrLinkClosed
	}
}

// Close stops the listener and releases its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.listeners, l.address)
		l.fabric.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Address returns the address of the listener.
func (l *listener) Address() string { return l.address }

// delayedMessage is a message in flight, due at its time of arrival.
type delayedMessage struct {
	message *yuccawire.Envelope
	due     time.Time
	bytes   int64
}

// linkState is shared by both ends of a link.
type linkState struct {
	closed chan struct{}
	once   sync.Once
}

// link is one end of a link. It sends to its peer, which is the other end.
type link struct {
	fabric    *Fabric
	direction direction
	state     *linkState
	outbox    chan delayedMessage
	inbox     chan *yuccawire.Envelope
	peer      *link
	// pendingBytes is the size of the messages in the outbox.
	pendingBytes atomic.Int64
}

func (f *Fabric) newLinkPair(from, to string) (near, far *link) {
	s := &linkState{closed: make(chan struct{})}
	near = f.newLink(s, direction{from, to})
	far = f.newLink(s, direction{to, from})
	near.peer = far
	far.peer = near
	go near.run()
	go far.run()
	return near, far
}

func (f *Fabric) newLink(s *linkState, d direction) *link {
	l := &link{
		fabric:    f,
		direction: d,
		state:     s,
		outbox:    make(chan delayedMessage, linkBufferSize),
		inbox:     make(chan *yuccawire.Envelope, linkBufferSize),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[l] = struct{}{}
	return l
}

// Send queues a copy of the envelope. If the buffer is full, it closes the link
// and returns [yuccawire.ErrLinkFull].
func (l *link) Send(m *yuccawire.Envelope) error {
	select {
	case <-l.state.closed:
		return yuccawire.ErrLinkClosed
	default:
	}
	options := l.fabric.options
	p := delayedMessage{message: proto.CloneOf(m), due: time.Now().Add(l.fabric.nextDelay()), bytes: int64(proto.Size(m))}
	if pending := l.pendingBytes.Add(p.bytes) - p.bytes; options.MaxPendingBytes > 0 && pending >= options.MaxPendingBytes {
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
	select {
	case l.outbox <- p:
		return nil
	default:
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
}

// Receive returns the next message from the peer.
func (l *link) Receive() (*yuccawire.Envelope, error) {
	select {
	case m := <-l.inbox:
		return m, nil
	case <-l.state.closed:
		return nil, yuccawire.ErrLinkClosed
	}
}

// Close closes both ends. Messages in flight are lost.
func (l *link) Close() error {
	l.state.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.links, l)
		delete(l.fabric.links, l.peer)
		l.fabric.mu.Unlock()
		close(l.state.closed)
	})
	return nil
}

// run delivers the messages of this end to its peer, in order.
func (l *link) run() {
	for {
		select {
		case p := <-l.outbox:
			if !l.deliver(p) {
				return
			}
		case <-l.state.closed:
			return
		}
	}
}

func (l *link) deliver(p delayedMessage) bool {
	if !l.sleep(time.Until(p.due)) {
		return false
	}
	for healed := l.fabric.healSignal(l.direction); healed != nil; healed = l.fabric.healSignal(l.direction) {
		select {
		case <-healed:
		case <-l.state.closed:
			return false
		}
	}
	if rate := l.fabric.options.BytesPerSecond; rate > 0 && !l.sleep(time.Duration(float64(p.bytes)/float64(rate)*float64(time.Second))) {
		return false
	}
	l.pendingBytes.Add(-p.bytes)
	select {
	case l.peer.inbox <- p.message:
		return true
	case <-l.state.closed:
		return false
	}
}

func (l *link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.state.closed:
		return false
	}
}
