package yuccamesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// LinkStatus describes an open link.
type LinkStatus struct {
	// Peer, Role and DataCentre are those of the process at the other end.
	Peer       string
	Role       yuccawire.Role
	DataCentre string
	// Dialled is set if this process has opened the link.
	Dialled bool
	// Surplus is set if the link is to be closed.
	Surplus bool
	// Silent is the time since the last message, MaxSilent the time after which the
	// link is closed.
	Silent    time.Duration
	MaxSilent time.Duration
}

// Links returns the open links, sorted by peer.
func (m *Mesh) Links() []LinkStatus {
	sinceStart := time.Since(m.startedAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]LinkStatus, 0, len(m.peers))
	for p := range m.peers {
		links = append(links, LinkStatus{
			Peer: p.node.GetName(), Role: p.node.GetRole(), DataCentre: p.node.GetDataCentre(), Dialled: p.isDialled(), Surplus: p.isSurplus,
			Silent: p.silence(sinceStart), MaxSilent: p.maxSilence(),
		})
	}
	slices.SortFunc(links, func(a, b LinkStatus) int { return cmp.Compare(a.Peer, b.Peer) })
	return links
}
