// Package yuccaroster knows which entries there are, without asking control.
//
// Each process starts with the few addresses of its settings and learns the
// rest from its peers: rosters are merged, and of two records of one process
// the one that was heard later wins. A record that nobody has refreshed is
// dropped.
//
// # Usage
//
//	roster := yuccaroster.New(self, replica)
//	roster.Heard(now, node, nil)
//	roster.Merge(now, message)
//	for _, node := range roster.Nodes(now) { ... }
package yuccaroster

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// KeptFor is how long a process is remembered after anybody last heard it. It
// outlives every partition that the deployment promises to bear, so that both
// halves find each other again.
const KeptFor = 60 * time.Second

// addressReuse is how long an address stays with the process that last used it.
const addressReuse = time.Second

// Roster is the set of entries that a process knows. It is not safe for
// concurrent use.
type Roster struct {
	self    *yuccawire.Node
	replica *yuccawire.ReplicaAddress
	members map[string]*member
}

type member struct {
	node    *yuccawire.Node
	replica *yuccawire.ReplicaAddress
	heard   time.Time
}

// New returns the roster of a process. The replica is that of a process with a
// disk, or nil.
func New(self *yuccawire.Node, replica *yuccawire.ReplicaAddress) *Roster {
	return &Roster{self: self, replica: replica, members: make(map[string]*member)}
}

// Heard notes that the process itself was heard. Only entries are kept.
func (r *Roster) Heard(now time.Time, node *yuccawire.Node) {
	if node.GetRole() != yuccawire.Role_ROLE_ENTRY {
		return
	}
	if m := r.members[node.GetName()]; m != nil && m.node.GetIncarnation() == node.GetIncarnation() {
		m.heard = now
		return
	}
	r.take(now, node, nil)
}

// Merge takes in what a peer knows.
func (r *Roster) Merge(now time.Time, roster *yuccawire.Roster) {
	for _, m := range roster.GetMembers() {
		heard := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		if now.Sub(heard) < KeptFor {
			r.take(heard, m.GetNode(), m.GetReplica())
		}
	}
	r.expire(now)
}

func (r *Roster) take(heard time.Time, node *yuccawire.Node, replica *yuccawire.ReplicaAddress) {
	if node.GetName() == r.self.GetName() || node.GetAddress() == "" {
		return
	}
	old := r.members[node.GetName()]
	if old != nil && heard.Before(old.heard) {
		if old.replica == nil && old.node.GetIncarnation() == node.GetIncarnation() {
			old.replica = replica
		}
		return
	}
	if old != nil && replica == nil && old.node.GetAddress() == node.GetAddress() {
		replica = old.replica
	}
	r.members[node.GetName()] = &member{node: node, replica: replica, heard: heard}
	r.evict(node, heard)
}

// evict drops other processes at an address that was taken over.
func (r *Roster) evict(node *yuccawire.Node, heard time.Time) {
	for name, m := range r.members {
		if name != node.GetName() && m.node.GetAddress() == node.GetAddress() && heard.Sub(m.heard) > addressReuse {
			delete(r.members, name)
		}
	}
}

func (r *Roster) expire(now time.Time) {
	for name, m := range r.members {
		if now.Sub(m.heard) >= KeptFor {
			delete(r.members, name)
		}
	}
}

// Wire returns the roster as a message, this process included if it is an
// entry.
func (r *Roster) Wire(now time.Time) *yuccawire.Roster {
	list := &yuccawire.Roster{}
	if r.self.GetRole() == yuccawire.Role_ROLE_ENTRY {
		list.Members = append(list.Members, &yuccawire.RosterMember{Node: r.self, Replica: r.replica})
	}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		age := now.Sub(m.heard)
		if age >= KeptFor {
			continue
		}
		list.Members = append(list.Members, &yuccawire.RosterMember{
			Node: m.node, Replica: m.replica, AgeMs: uint64(max(age, 0).Milliseconds()),
		})
	}
	return list
}

// Mark tells rosters with different processes apart, whatever their ages.
func (r *Roster) Mark() uint64 {
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		_, _ = fmt.Fprintf(h, "%s %d %s %d;", name, m.node.GetIncarnation(), m.node.GetAddress(), m.replica.GetId())
	}
	return h.Sum64()
}

// Nodes returns the other entries, in order of name.
func (r *Roster) Nodes(now time.Time) []*yuccawire.Node {
	var nodes []*yuccawire.Node
	for _, m := range r.members {
		if now.Sub(m.heard) < KeptFor {
			nodes = append(nodes, m.node)
		}
	}
	slices.SortFunc(nodes, func(a, b *yuccawire.Node) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return nodes
}

// Replicas returns the replicas of the other entries, in order of name.
func (r *Roster) Replicas(now time.Time) []*yuccawire.ReplicaAddress {
	var replicas []*yuccawire.ReplicaAddress
	for _, m := range r.members {
		if m.replica != nil && now.Sub(m.heard) < KeptFor {
			replicas = append(replicas, m.replica)
		}
	}
	slices.SortFunc(replicas, func(a, b *yuccawire.ReplicaAddress) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return replicas
}
