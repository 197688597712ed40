package yuccamux

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	peerAddress = "peer"
	// stuckAfter is far above what a goroutine needs that only has to be scheduled.
	stuckAfter = 10 * time.Second
)

// stallingConn is a connection whose Read or Close, once it is closed, does not
// return before stalled is closed, nor does a Write if sticks is set. The goroutine that ends a session then waits
// where it would wait for its turn on a busy machine.
type stallingConn struct {
	net.Conn
	stalled     chan struct{}
	stallsClose bool
	loses       atomic.Bool
	fails       atomic.Bool
	sticks      atomic.Bool
}

func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.stallsClose {
		<-c.stalled
	}
	return n, err
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if c.fails.Load() {
		return 0, errors.New("connection reset")
	}
	if c.sticks.Load() {
		<-c.stalled
		return 0, net.ErrClosed
	}
	if c.loses.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *stallingConn) Close() error {
	err := c.Conn.Close()
	if c.stallsClose {
		<-c.stalled
	}
	return err
}

// stallingPair is a pair of sessions, one of them over a stallingConn.
type stallingPair struct {
	network *Network
	conn    *stallingConn
	near    *session
	far     *session
}

// newStallingPair stores the session over the stallingConn in a network, for links
// to peerAddress.
func newStallingPair(t *testing.T, options Options, stallsClose bool) *stallingPair {
	t.Helper()
	near, far := net.Pipe()
	p := &stallingPair{
		network: New(options),
		conn:    &stallingConn{Conn: near, stalled: make(chan struct{}), stallsClose: stallsClose},
	}
	p.far = openSession(t, yamux.Server, far, New(Options{KeepAlive: -1}))
	p.near = openSession(t, yamux.Client, p.conn, p.network)
	p.network.storeSession(peerAddress, p.near)
	t.Cleanup(func() {
		close(p.conn.stalled)
		p.network.Close()
	})
	return p
}

func openSession(t *testing.T, open opener, conn net.Conn, network *Network) *session {
	t.Helper()
	opened, err := newSession(open, conn, network.traffic, network.options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	return opened
}

func (p *stallingPair) dial(t *testing.T) yuccawire.Link {
	t.Helper()
	l, err := p.network.Dial(t.Context(), peerAddress)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// receiveError returns a channel for the first error of Receive.
func receiveError(l yuccawire.Link) <-chan error {
	received := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = l.Receive()
		}
		received <- err
	}()
	return received
}

func awaitReceiveError(t *testing.T, received <-chan error) {
	t.Helper()
	select {
	case <-received:
	case <-time.After(stuckAfter):
		t.Error("Receive has not returned since its session ended")
	}
}

// A session that ends interrupts its readers before it waits for anything.
func TestReaderDoesNotSpinWhileSessionEnds(t *testing.T) {
	silent := Options{KeepAlive: -1}
	for _, c := range []struct {
		name        string
		options     Options
		stallsClose bool
		end         func(p *stallingPair, other yuccawire.Link)
	}{
		{"dropped", silent, false, func(p *stallingPair, _ yuccawire.Link) { p.network.Drop(peerAddress) }},
		{"network closed", silent, false, func(p *stallingPair, _ yuccawire.Link) { p.network.Close() }},
		{"keep-alive timeout", Options{KeepAlive: 10 * time.Millisecond, WriteTimeout: 2 * time.Second}, false, func(p *stallingPair, _ yuccawire.Link) {
			p.conn.loses.Store(true)
		}},
		{"send error", silent, false, func(p *stallingPair, other yuccawire.Link) {
			p.conn.fails.Store(true)
			_ = other.Send(new(yuccawire.Envelope))
		}},
		{"receive error", silent, true, func(p *stallingPair, _ yuccawire.Link) { _ = p.far.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newStallingPair(t, c.options, c.stallsClose)
			received, other := receiveError(p.dial(t)), p.dial(t)
			go c.end(p, other)
			awaitReceiveError(t, received)
		})
	}
}

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// A listener that is closed interrupts the readers of what it accepted.
func TestAcceptedReaderDoesNotSpinWhileListenerCloses(t *testing.T) {
	near, far := net.Pipe()
	conn := &stallingConn{Conn: near, stalled: make(chan struct{})}
	listener := &singleListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conns <- conn
	a := New(Options{KeepAlive: -1}).serve(listener)
	if _, err := openSession(t, yamux.Client, far, New(Options{KeepAlive: -1})).openLink(); err != nil {
		t.Fatal(err)
	}
	accepted, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer close(conn.stalled)
	received := receiveError(accepted)
	go a.Close()
	awaitReceiveError(t, received)
}

// A session that ends interrupts a writer that waits for its peer.
func TestWriterDoesNotSpinWhileSessionEnds(t *testing.T) {
	p := newStallingPair(t, Options{KeepAlive: -1}, false)
	l := p.dial(t).(*link)
	if _, err := p.far.acceptLink(); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, 2*streamWindowBytes)
	if err := l.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: &yuccawire.Finished{Body: body}}}); err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); p.network.Traffic().Sent() < streamWindowBytes; time.Sleep(time.Millisecond) {
		if time.Since(start) > stuckAfter {
			t.Fatalf("the window of the peer is not used up: %d sent", p.network.Traffic().Sent())
		}
	}
	go p.network.Drop(peerAddress)
	select {
	case <-l.closed:
	case <-time.After(stuckAfter):
		t.Error("the link is still writing after its session ended")
	}
}

// A link that is made while its session ends does not wait for the rest of the end.
func TestLinkMadeWhileSessionEndsDoesNotSpin(t *testing.T) {
	p := newStallingPair(t, Options{KeepAlive: -1}, true)
	stream, err := p.near.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	go p.network.Drop(peerAddress)
	<-p.near.CloseChan()
	awaitReceiveError(t, receiveError(p.near.newLink(stream)))
}

// A peer that stands still delays neither Send nor the end of Receive.
func TestFullLinkDoesNotWaitForStuckConnection(t *testing.T) {
	p := newStallingPair(t, Options{KeepAlive: -1, WriteTimeout: time.Hour, MaxPendingBytes: 1000}, false)
	l := p.dial(t)
	received, sent := receiveError(l), make(chan error, 1)
	p.conn.sticks.Store(true)
	go func() {
		var err error
		for err == nil {
			err = l.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: &yuccawire.Finished{Body: make([]byte, 100)}}})
		}
		sent <- err
	}()
	select {
	case err := <-sent:
		if !errors.Is(err, yuccawire.ErrLinkFull) {
			t.Errorf("Send on a full link returned %v", err)
		}
	case <-time.After(stuckAfter):
		t.Error("Send waits for the peer")
	}
	awaitReceiveError(t, received)
}

// A link that nobody uses ends with its session, and its goroutine with it.
func TestIdleLinkDoesNotOutliveSession(t *testing.T) {
	p := newStallingPair(t, Options{KeepAlive: -1}, true)
	l := p.dial(t).(*link)
	go p.network.Drop(peerAddress)
	select {
	case <-l.closed:
	case <-time.After(stuckAfter):
		t.Error("the link is still open after its session ended")
	}
}

// What has arrived before a session ends is received.
func TestArrivedMessageIsNotLostWhenSessionEnds(t *testing.T) {
	p := newStallingPair(t, Options{KeepAlive: -1}, true)
	near := p.dial(t)
	far, err := p.far.AcceptStream()
	if err != nil {
		t.Fatal(err)
	}
	// One frame has arrived as a whole once its first message is received.
	var frame bytes.Buffer
	for _, size := range []int{1, 10 * bufferBytes} {
		finished := &yuccawire.Finished{Body: make([]byte, size)}
		if _, err := protodelim.MarshalTo(&frame, &yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: finished}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := far.Write(frame.Bytes()); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Receive(); err != nil {
		t.Fatal(err)
	}
	go p.network.Drop(peerAddress)
	<-near.(*link).closed
	if m, err := near.Receive(); err != nil || len(m.GetFinished().GetBody()) != 10*bufferBytes {
		t.Errorf("the second message is %d bytes, %v", len(m.GetFinished().GetBody()), err)
	}
}
