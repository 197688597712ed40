package yuccamesh

import (
	"sync/atomic"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Peer is a link and the process at its other end.
type Peer struct {
	mesh *Mesh
	link yuccawire.Link
	node *yuccawire.Node
	// address is the dialled address, empty for an accepted link.
	address string
	// number is the number of an accepted link, zero for a dialled one.
	number uint64
	// lastReceived and lastSent are the times of the last messages, in nanoseconds
	// since the start of the mesh.
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	// heartbeatInterval is the longest time, in nanoseconds, that the peer leaves
	// the link idle.
	heartbeatInterval atomic.Int64

	// The fields below are guarded by the mutex of the mesh.

	// rosterVersion is the version of the roster up to which the peer was sent
	// changes.
	rosterVersion uint64
	// announcedInterval is the interval in the last heartbeat sent.
	announcedInterval time.Duration
	// isSurplus is set once LinkSurplus was emitted.
	isSurplus bool
}

func newPeer(m *Mesh, link yuccawire.Link, node *yuccawire.Node, address string, number uint64) *Peer {
	p := &Peer{mesh: m, link: link, node: node, address: address, number: number}
	now := int64(time.Since(m.startedAt))
	p.lastReceived.Store(now)
	p.lastSent.Store(now)
	p.heartbeatInterval.Store(int64(minHeartbeatInterval))
	return p
}

// Node returns the process at the other end of the link.
func (p *Peer) Node() *yuccawire.Node { return p.node }

// Number returns the number of an accepted link, zero for a dialled one. A link that the
// other process, or its successor, has opened after the end of this one has a higher number,
// while its [LinkUp] may come first.
func (p *Peer) Number() uint64 { return p.number }

// Send queues a message. A link whose queue is full is closed, which is reported
// as [LinkDown].
func (p *Peer) Send(m *yuccawire.Envelope) {
	p.lastSent.Store(int64(time.Since(p.mesh.startedAt)))
	p.mesh.traffic.recordSent(m)
	_ = p.link.Send(m)
}

// Close closes the link, which is reported as [LinkDown].
func (p *Peer) Close() { _ = p.link.Close() }

func (p *Peer) isEntry() bool { return p.node.GetRole() == yuccawire.Role_ROLE_ENTRY }

func (p *Peer) isDialled() bool { return p.address != "" }

// silence returns the time since the last message of the peer.
func (p *Peer) silence(sinceStart time.Duration) time.Duration {
	return sinceStart - time.Duration(p.lastReceived.Load())
}

// maxSilence returns the time without a message after which the link is closed.
func (p *Peer) maxSilence() time.Duration {
	return time.Duration(silenceFactor*float64(p.heartbeatInterval.Load())) + silenceSlack
}
