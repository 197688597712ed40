package yuccawire

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ErrLinkClosed is returned by a link that either end has closed.
var ErrLinkClosed = merry.Sentinel("link is closed")

// ErrLinkFull is returned by Send when the peer reads too slowly. The link is
// closed, since a message was lost.
var ErrLinkFull = merry.Sentinel("link is full: the peer reads too slowly")

// Link carries envelopes both ways between two processes, in order.
type Link interface {
	// Send queues the envelope and returns without waiting for the peer. The
	// envelope must not be changed afterwards.
	Send(m *Envelope) error
	// Receive waits for the next envelope of the peer.
	Receive() (*Envelope, error)
	// Close ends the link for both ends. Queued envelopes may be lost.
	Close() error
}

// Listener accepts the links that peers dial.
type Listener interface {
	Accept() (Link, error)
	Close() error
	// Address is the address that peers dial.
	Address() string
}

// Network opens links between processes.
type Network interface {
	Dial(ctx context.Context, address string) (Link, error)
	Listen(address string) (Listener, error)
}

// AcceptAll hands each link that the listener accepts to greet, and closes the
// links when the context ends. It returns when the listener is closed.
func AcceptAll(ctx context.Context, listener Listener, handle func(link Link)) {
	for {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = link.Close() })
		handle(link)
	}
}
