package yuccawire

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ErrLinkClosed is returned by Send on a closed link and by Accept on a closed
// listener. Receive on a closed link may return other errors.
var ErrLinkClosed = merry.Sentinel("link is closed")

// ErrLinkFull is returned by Send if the peer reads too slowly. It closes the
// link, since the message is lost.
var ErrLinkFull = merry.Sentinel("link is full: the peer reads too slowly")

// Link is a bidirectional connection between two processes. It delivers the
// envelopes of each direction in order.
type Link interface {
	// Send queues the envelope without waiting for the peer. The envelope must
	// not be modified afterwards.
	Send(m *Envelope) error
	// Receive waits for the next envelope from the peer.
	Receive() (*Envelope, error)
	// Close closes both ends of the link. Queued envelopes may be lost.
	Close() error
}

// Listener accepts the links of peers.
type Listener interface {
	Accept() (Link, error)
	Close() error
	// Address returns the address for peers to dial.
	Address() string
}

// Network opens links between processes.
type Network interface {
	Dial(ctx context.Context, address string) (Link, error)
	Listen(address string) (Listener, error)
}

// AcceptAll calls handle with each link that the listener accepts. handle should
// return quickly, since it delays the next link. The links are closed when the
// context ends. AcceptAll returns when the listener is closed.
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
