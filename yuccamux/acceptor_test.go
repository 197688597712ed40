package yuccamux

import (
	"net"
	"syscall"
	"testing"

	"github.com/hashicorp/yamux"
)

// exhaustedListener has no descriptor for the first connection. It is closed by closing
// its channel.
type exhaustedListener struct {
	net.Listener
	conns chan net.Conn
	tries int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.tries++; l.tries == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *exhaustedListener) Close() error {
	close(l.conns)
	return nil
}

func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

// A process that has been out of descriptors for a moment must not stay unreachable.
func TestAcceptsAfterLackOfDescriptors(t *testing.T) {
	listener := &exhaustedListener{conns: make(chan net.Conn, 1)}
	near, far := net.Pipe()
	listener.conns <- far
	network := New(Options{KeepAlive: -1})
	a := network.serve(listener)
	defer a.Close()
	session, err := yamux.Client(near, muxConfig(network.options))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	if _, err := session.OpenStream(); err != nil {
		t.Fatalf("opening a stream: %v", err)
	}
	link, err := a.Accept()
	if err != nil {
		t.Fatalf("no link was accepted: %v", err)
	}
	_ = link.Close()
}
