// Package yuccaregistry knows, at the leading control, which processes hold a
// lease, what they announced, and what they have in force.
//
// The registry is not replicated. A new leader starts an empty one and spreads
// no members before all leases of its predecessor have run out or been renewed.
//
// # Usage
//
//	registry := yuccaregistry.New(term, now, false)
//	registry.Renew(now, renew)
//	delta := registry.Delta(now, renew.GetMembersEpoch(), renew.GetMembersVersion())
//	lost := registry.Expire(now)
package yuccaregistry

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxRemoved bounds the memory of removed members; readers that lag further
// behind get a full delta.
const maxRemovals = 4096

// Registry is the leader's view of the processes. It is not safe for
// concurrent use.
type Registry struct {
	epoch            uint64
	version          uint64
	completeAt       time.Time
	members          map[string]*Member
	removals         []removal
	discardedVersion uint64
}

type removal struct {
	name    string
	version uint64
}

// Member is one process under a lease.
type Member struct {
	wire     *yuccawire.Member
	version  uint64
	expires  time.Time
	sections map[string]uint64
}

// Node is the process.
func (m *Member) Node() *yuccawire.Node { return m.wire.GetNode() }

// Targets is what the process announced.
func (m *Member) Targets() []*yuccawire.Target { return m.wire.GetTargets() }

// Leaving tells that the process is shutting down.
func (m *Member) Leaving() bool { return m.wire.GetLeaving() }

// Expires is when control counts the lease as lost.
func (m *Member) Expires() time.Time { return m.expires }

// InForce is the version of the section that the process has in force.
func (m *Member) SectionVersion(section string) uint64 { return m.sections[section] }

// Wants tells whether the process keeps the section.
func (m *Member) Follows(section string) bool {
	_, ok := m.sections[section]
	return ok
}

// New returns the registry of a leader that began to lead in the term. The
// first leader of a group has no predecessor whose leases might still hold.
func New(term uint64, now time.Time, first bool) *Registry {
	r := &Registry{epoch: term, version: 1, completeAt: now, members: make(map[string]*Member)}
	if !first {
		r.completeAt = now.Add(yuccalease.GracePeriod)
	}
	return r
}

// Settled tells whether every lease that a former leader granted has been
// renewed here or has run out.
func (r *Registry) IsComplete(now time.Time) bool { return !now.Before(r.completeAt) }

// Renew takes in a renewal. It returns false for a process whose name is held
// by a newer incarnation.
func (r *Registry) Renew(now time.Time, renew *yuccawire.Renew) bool {
	node := renew.GetNode()
	m := r.members[node.GetName()]
	if m != nil && m.Node().GetIncarnation() > node.GetIncarnation() {
		return false
	}
	next := &yuccawire.Member{Node: node, Targets: renew.GetTargets(), Leaving: renew.GetLeaving()}
	if m == nil || !proto.Equal(m.wire, next) {
		r.version++
		m = &Member{wire: next, version: r.version}
		r.members[node.GetName()] = m
	}
	m.expires = now.Add(yuccalease.GracePeriod)
	m.sections = make(map[string]uint64, len(renew.GetSections()))
	for _, s := range renew.GetSections() {
		m.sections[s.GetName()] = s.GetVersion()
	}
	return true
}

// Expire removes the processes whose lease is lost, and returns them.
func (r *Registry) Expire(now time.Time) []*Member {
	var expired []*Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		if now.Before(m.expires) {
			continue
		}
		expired = append(expired, m)
		r.remove(name)
	}
	return expired
}

func (r *Registry) remove(name string) {
	delete(r.members, name)
	r.version++
	r.removals = append(r.removals, removal{name: name, version: r.version})
	if len(r.removals) > maxRemovals {
		r.discardedVersion = r.removals[maxRemovals/2-1].version
		r.removals = slices.Clone(r.removals[maxRemovals/2:])
	}
}

// Delta returns what brings a reader up to date, or nil where it lacks nothing
// or the registry has not settled.
func (r *Registry) Delta(now time.Time, epoch, version uint64) *yuccawire.MembersDelta {
	if !r.IsComplete(now) || epoch == r.epoch && version == r.version {
		return nil
	}
	delta := &yuccawire.MembersDelta{Epoch: r.epoch, Version: r.version}
	delta.Full = epoch != r.epoch || version < r.discardedVersion
	if delta.Full {
		version = 0
	}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if m := r.members[name]; m.version > version {
			delta.Changed = append(delta.Changed, m.wire)
		}
	}
	if delta.Full {
		return delta
	}
	for _, removed := range r.removals {
		if removed.version > version {
			delta.Removed = append(delta.Removed, removed.name)
		}
	}
	return delta
}

// Version changes with each change that a delta carries.
func (r *Registry) Version() uint64 { return r.version }

// Live tells whether the incarnation holds a lease, or may hold one that a
// former leader granted.
func (r *Registry) MayHoldLease(now time.Time, name string, incarnation uint64) bool {
	m := r.members[name]
	if m == nil {
		return !r.IsComplete(now)
	}
	return m.Node().GetIncarnation() == incarnation
}

// Members lists the processes in the order of their names.
func (r *Registry) Members() []*Member {
	members := make([]*Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[name])
	}
	return members
}

// Lagging lists the processes that want the section and have not reported this
// version of it in force.
func (r *Registry) Lagging(section string, version uint64) []string {
	var names []string
	for _, m := range r.Members() {
		if m.Follows(section) && m.SectionVersion(section) < version {
			names = append(names, m.Node().GetName())
		}
	}
	return names
}
