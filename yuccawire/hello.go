package yuccawire

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// ProtocolVersion is the version of the messages in wire.proto. Processes with
// different versions reject each other's links.
const ProtocolVersion = 1

// HandshakeTimeout limits the time to wait for the peer's Hello. Both ends count
// times such as the deadline of a Start from the handshake, so it also limits how
// far these times differ between the two ends.
const HandshakeTimeout = time.Second

// ErrVersion is returned if the peer has a different protocol version.
var ErrVersion = merry.Sentinel("peer speaks another protocol version")

// SayHello performs the handshake on a dialled link: it sends self and returns
// the peer's node. If no valid Hello arrives, it closes the link.
func SayHello(ctx context.Context, link Link, self *Node) (*Node, error) {
	if err := link.Send(newHello(self)); err != nil {
		return nil, merry.Prepend(err, "sending hello")
	}
	peer, err := receiveHello(ctx, link)
	if err != nil {
		_ = link.Close()
		return nil, err
	}
	return peer, nil
}

// AcceptHello performs the handshake on an accepted link and returns the peer's
// node. If no valid Hello arrives, it sends the reason in a Rejected message and
// closes the link after HandshakeTimeout, which leaves the peer time to read it.
func AcceptHello(ctx context.Context, link Link, self *Node) (*Node, error) {
	peer, err := receiveHello(ctx, link)
	if err != nil {
		_ = link.Send(&Envelope{Body: &Envelope_Rejected{Rejected: &Rejected{Reason: err.Error()}}})
		time.AfterFunc(HandshakeTimeout, func() { _ = link.Close() })
		return nil, err
	}
	if err := link.Send(newHello(self)); err != nil {
		return nil, merry.Prepend(err, "answering hello")
	}
	return peer, nil
}

func newHello(self *Node) *Envelope {
	hello := &Hello{ProtocolVersion: ProtocolVersion, Node: self}
	return &Envelope{Body: &Envelope_Hello{Hello: hello}}
}

func receiveHello(ctx context.Context, link Link) (*Node, error) {
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	m, err := link.Receive()
	if err != nil {
		return nil, merry.Prepend(err, "waiting for hello")
	}
	if rejected := m.GetRejected(); rejected != nil {
		return nil, merry.Errorf("peer rejected the link: %s", rejected.GetReason())
	}
	hello := m.GetHello()
	if hello.GetNode() == nil {
		return nil, merry.Errorf("first message is %T, expected a hello", m.GetBody())
	}
	if hello.GetProtocolVersion() != ProtocolVersion {
		return nil, merry.Prependf(ErrVersion, "%s %q has version %d, expected %d",
			hello.GetNode().GetRole(), hello.GetNode().GetName(), hello.GetProtocolVersion(), ProtocolVersion)
	}
	return hello.GetNode(), nil
}
