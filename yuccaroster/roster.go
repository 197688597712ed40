// Package yuccaroster tracks the entries of a deployment by gossip, without
// control.
//
// Each process starts with the few addresses of its settings and learns the
// rest from its peers: rosters are merged, and of two records of one process
// the one with the later contact wins. A record that is not refreshed for
// [Retention] is dropped.
//
// Each change of a member gets a version, so that peers can be sent only what has
// changed since the last message to them.
//
// # Usage
//
//	roster := yuccaroster.New(self, replica)
//	roster.RecordContact(now, node)
//	roster.Merge(now, message)
//	for _, node := range roster.Nodes(now) { ... }
//	delta := roster.Changes(now, sentVersion)
package yuccaroster

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Retention is how long a member is retained after its last contact with any
// process. It is longer than any partition that the deployment must tolerate,
// so that both halves of a partition can find each other again, and than the news
// of a contact takes to reach processes that are several links away.
const Retention = 120 * time.Second

// addressReuseDelay is how long a member must have been without contact when
// another process is seen at its address, for the member to be evicted.
const addressReuseDelay = time.Second

const (
	// maxMembers limits the memory that wrong rosters can take. It is ten times the
	// entries of the largest deployment planned.
	maxMembers    = 4096
	maxNameLength = 253
)

// Roster is the set of the other entries that a process knows. It is not safe
// for concurrent use.
type Roster struct {
	self    *yuccawire.Node
	replica *yuccawire.ReplicaAddress
	members map[string]*member
	// version is that of the latest change of a member, other than of its last
	// contact.
	version uint64
}

type member struct {
	node        *yuccawire.Node
	replica     *yuccawire.ReplicaAddress
	lastContact time.Time
	// version is that of its latest change.
	version uint64
}

// New returns the roster of the process self. replica is the address of its
// control replica, or nil if it runs none.
func New(self *yuccawire.Node, replica *yuccawire.ReplicaAddress) *Roster {
	return &Roster{self: self, replica: replica, members: make(map[string]*member)}
}

// RecordContact records direct contact with a process at that time. Processes other than
// entries are ignored.
func (r *Roster) RecordContact(at time.Time, node *yuccawire.Node) {
	if node.GetRole() != yuccawire.Role_ROLE_ENTRY {
		return
	}
	if m := r.members[node.GetName()]; m != nil && m.node.GetIncarnation() == node.GetIncarnation() {
		if at.After(m.lastContact) {
			m.lastContact = at
		}
		return
	}
	r.update(at, node, nil)
}

// Merge applies the roster of a peer and drops expired members. It ignores invalid
// records, and those beyond maxMembers, and returns their number.
func (r *Roster) Merge(now time.Time, roster *yuccawire.Roster) (invalid int) {
	for _, m := range roster.GetMembers() {
		if !isValid(m.GetNode()) || len(r.members) >= maxMembers && r.members[m.GetNode().GetName()] == nil {
			invalid++
			continue
		}
		lastContact := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		if now.Sub(lastContact) < Retention {
			r.update(lastContact, m.GetNode(), m.GetReplica())
		}
	}
	r.expire(now)
	return invalid
}

// isValid reports whether a record describes an entry that can be dialled.
func isValid(node *yuccawire.Node) bool {
	if node.GetRole() != yuccawire.Role_ROLE_ENTRY || node.GetName() == "" || len(node.GetName()) > maxNameLength {
		return false
	}
	host, port, err := net.SplitHostPort(node.GetAddress())
	return err == nil && host != "" && port != "" && port != "0"
}

// update applies the record of a process unless a later one is known. A record
// without a replica keeps the known replica if the address is the same. An earlier
// record only adds a replica that the known one of the same incarnation lacks.
func (r *Roster) update(lastContact time.Time, node *yuccawire.Node, replica *yuccawire.ReplicaAddress) {
	if node.GetName() == r.self.GetName() || node.GetAddress() == "" {
		return
	}
	known := r.members[node.GetName()]
	if known != nil && lastContact.Before(known.lastContact) {
		if known.replica == nil && replica != nil && known.node.GetIncarnation() == node.GetIncarnation() {
			known.replica = replica
			r.version++
			known.version = r.version
		}
		return
	}
	if known != nil && replica == nil && known.node.GetAddress() == node.GetAddress() {
		replica = known.replica
	}
	next := &member{node: node, replica: replica, lastContact: lastContact}
	if known != nil && known.isSame(next) {
		next.version = known.version
	} else {
		r.version++
		next.version = r.version
	}
	r.members[node.GetName()] = next
	r.evictByAddress(node, lastContact)
}

// isSame reports whether both records agree in what peers have to know.
func (m *member) isSame(other *member) bool {
	return m.node.GetIncarnation() == other.node.GetIncarnation() && m.node.GetAddress() == other.node.GetAddress() &&
		m.replica.GetId() == other.replica.GetId() && m.replica.GetAddress() == other.replica.GetAddress()
}

// evictByAddress drops other members at the address of the node if they have been
// without contact for addressReuseDelay: the node has taken over their address.
func (r *Roster) evictByAddress(node *yuccawire.Node, lastContact time.Time) {
	for name, m := range r.members {
		if name != node.GetName() && m.node.GetAddress() == node.GetAddress() && lastContact.Sub(m.lastContact) > addressReuseDelay {
			delete(r.members, name)
		}
	}
}

func (r *Roster) expire(now time.Time) {
	for name, m := range r.members {
		if now.Sub(m.lastContact) >= Retention {
			delete(r.members, name)
		}
	}
}

// ToWire returns the roster as a message. It includes this process if that is
// an entry.
func (r *Roster) ToWire(now time.Time) *yuccawire.Roster {
	roster := r.Changes(now, 0)
	if r.self.GetRole() == yuccawire.Role_ROLE_ENTRY {
		roster.Members = append(roster.Members, &yuccawire.RosterMember{Node: r.self, Replica: r.replica})
	}
	return roster
}

// Changes returns the other members that have changed since the version, as a
// message.
func (r *Roster) Changes(now time.Time, since uint64) *yuccawire.Roster {
	roster := &yuccawire.Roster{}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		age := now.Sub(m.lastContact)
		if age >= Retention || m.version <= since {
			continue
		}
		roster.Members = append(roster.Members, &yuccawire.RosterMember{
			Node: m.node, Replica: m.replica, AgeMs: uint64(max(age, 0).Milliseconds()),
		})
	}
	return roster
}

// Len returns the number of other members.
func (r *Roster) Len() int { return len(r.members) }

// Version returns the version of the latest change of a member.
func (r *Roster) Version() uint64 { return r.version }

// Nodes returns the other entries, sorted by name.
func (r *Roster) Nodes(now time.Time) []*yuccawire.Node { return r.RecentNodes(now, Retention) }

// RecentNodes returns the other entries that any process has had contact with
// within the given time, sorted by name.
func (r *Roster) RecentNodes(now time.Time, within time.Duration) []*yuccawire.Node {
	var nodes []*yuccawire.Node
	for _, m := range r.members {
		if now.Sub(m.lastContact) < within {
			nodes = append(nodes, m.node)
		}
	}
	slices.SortFunc(nodes, func(a, b *yuccawire.Node) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return nodes
}

// Replicas returns the control replicas of the other entries, sorted by name.
func (r *Roster) Replicas(now time.Time) []*yuccawire.ReplicaAddress {
	var replicas []*yuccawire.ReplicaAddress
	for _, m := range r.members {
		if m.replica != nil && now.Sub(m.lastContact) < Retention {
			replicas = append(replicas, m.replica)
		}
	}
	slices.SortFunc(replicas, func(a, b *yuccawire.ReplicaAddress) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return replicas
}
