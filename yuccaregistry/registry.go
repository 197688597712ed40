// Package yuccaregistry tracks, at the leading control, the processes that hold a
// lease, the targets that they announced and the versions of the configuration
// sections that they have applied.
//
// The registry is not replicated. A new leader starts with an empty one and sends
// no deltas until all leases granted by its predecessor have expired or been
// renewed.
//
// A service of a side is joining until every entry that holds a lease has reported
// to know it, or has lost its lease. Entries send it no tasks before, so that none of
// them has missed a side that started tasks while its own lease was valid.
//
// # Usage
//
//	registry := yuccaregistry.New(term, now, false)
//	registry.Renew(now, renew)
//	delta := registry.Delta(now, renew.GetMembersEpoch(), renew.GetMembersVersion())
//	expired := registry.Expire(now)
//	registry.ConfirmJoins(now)
package yuccaregistry

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxRemovals limits the number of retained removals. A reader that lags further
// behind receives a full delta.
const maxRemovals = 4096

// Registry holds the processes with a lease from this leader. It is not safe for
// concurrent use.
type Registry struct {
	epoch      uint64
	version    uint64
	completeAt time.Time
	members    map[string]*Member
	removals   []removal
	// discardedVersion is the version of the latest removal that is no longer in
	// removals.
	discardedVersion uint64
	// hasJoining is set if services of a member may be joining.
	hasJoining bool
}

type removal struct {
	name    string
	version uint64
}

// Member is a process that holds a lease.
type Member struct {
	wire     *yuccawire.Member
	version  uint64
	expires  time.Time
	sections map[string]uint64
	// pending counts its pending jobs by queue.
	pending map[string]uint32
	// joinedAt has the version that announced each of the joining services.
	joinedAt map[string]uint64
	// seen is the version that the process has reported to know.
	seen uint64
}

// Node returns the identity of the process.
func (m *Member) Node() *yuccawire.Node { return m.wire.GetNode() }

// Targets returns the targets that the process announced.
func (m *Member) Targets() []*yuccawire.Target { return m.wire.GetTargets() }

// Leaving reports whether the process is shutting down.
func (m *Member) Leaving() bool { return m.wire.GetLeaving() }

// Expires returns the time at which control removes the process unless it renews
// its lease.
func (m *Member) Expires() time.Time { return m.expires }

// SectionVersion returns the version of the section that the process has applied,
// zero if there is none.
func (m *Member) SectionVersion(section string) uint64 { return m.sections[section] }

// Follows reports whether the process receives updates of the section.
func (m *Member) Follows(section string) bool {
	_, ok := m.sections[section]
	return ok
}

// New returns the registry of a control that became leader in the term at time
// now. If firstLeader is set, the group had no leader before, so that no earlier
// leases can be valid and the registry is complete at once.
func New(term uint64, now time.Time, firstLeader bool) *Registry {
	r := &Registry{epoch: term, version: 1, completeAt: now, members: make(map[string]*Member)}
	if !firstLeader {
		r.completeAt = now.Add(yuccalease.GracePeriod)
	}
	return r
}

// IsComplete reports whether every process that holds a lease is registered: each
// lease granted by a former leader has been renewed here or has expired.
func (r *Registry) IsComplete(now time.Time) bool { return !now.Before(r.completeAt) }

// Renew extends the lease of a process and records what it announced. It returns
// false if a newer incarnation of the process is registered.
func (r *Registry) Renew(now time.Time, renew *yuccawire.Renew) bool {
	node := renew.GetNode()
	m := r.members[node.GetName()]
	if m != nil && m.Node().GetIncarnation() > node.GetIncarnation() {
		return false
	}
	joinedAt := r.joinVersions(m, renew)
	next := &yuccawire.Member{
		Node: node, Targets: renew.GetTargets(), Leaving: renew.GetLeaving(), Joining: slices.Sorted(maps.Keys(joinedAt)),
	}
	if m == nil || !proto.Equal(m.wire, next) {
		r.version++
		m = &Member{wire: next, version: r.version, joinedAt: joinedAt}
		r.members[node.GetName()] = m
		r.hasJoining = r.hasJoining || len(joinedAt) > 0
	}
	m.seen = 0
	if renew.GetMembersEpoch() == r.epoch {
		m.seen = renew.GetMembersVersion()
	}
	m.expires = now.Add(yuccalease.GracePeriod)
	m.sections = make(map[string]uint64, len(renew.GetSections()))
	for _, s := range renew.GetSections() {
		m.sections[s.GetName()] = s.GetVersion()
	}
	m.pending = make(map[string]uint32, len(renew.GetPending()))
	for _, q := range renew.GetPending() {
		m.pending[q.GetQueue()] = q.GetJobs()
	}
	return true
}

// joinVersions returns the joining services of a process that renews its lease, with
// the versions that announced them. known is its former registration, or nil.
func (r *Registry) joinVersions(known *Member, renew *yuccawire.Renew) map[string]uint64 {
	isKnown := make(map[string]bool)
	if known != nil && known.Node().GetIncarnation() == renew.GetNode().GetIncarnation() {
		for _, t := range known.Targets() {
			isKnown[t.GetService()] = true
		}
	}
	joinedAt := make(map[string]uint64)
	for _, t := range renew.GetTargets() {
		if !isKnown[t.GetService()] {
			joinedAt[t.GetService()] = r.version + 1
		} else if version, isJoining := known.joinedAt[t.GetService()]; isJoining {
			joinedAt[t.GetService()] = version
		}
	}
	return joinedAt
}

// ConfirmJoins ends the joining of the services that all entries have reported to
// know. A process that joins later is sent them with its first members.
func (r *Registry) ConfirmJoins(now time.Time) {
	if !r.hasJoining || !r.IsComplete(now) {
		return
	}
	seen := r.seenByEntries()
	r.hasJoining = false
	for _, m := range r.members {
		before := len(m.joinedAt)
		maps.DeleteFunc(m.joinedAt, func(_ string, version uint64) bool { return version <= seen })
		r.hasJoining = r.hasJoining || len(m.joinedAt) > 0
		if len(m.joinedAt) == before {
			continue
		}
		r.version++
		m.version = r.version
		m.wire = proto.CloneOf(m.wire)
		m.wire.Joining = slices.Sorted(maps.Keys(m.joinedAt))
	}
}

// seenByEntries returns the latest version that all entries have reported to know.
func (r *Registry) seenByEntries() uint64 {
	seen := r.version
	for _, m := range r.members {
		if m.Node().GetRole() == yuccawire.Role_ROLE_ENTRY {
			seen = min(seen, m.seen)
		}
	}
	return seen
}

// PendingAtOthers returns the pending jobs of all processes but the named one, as
// of their last renewals, by queue.
func (r *Registry) PendingAtOthers(name string) []*yuccawire.QueueCount {
	sums := make(map[string]uint32)
	for other, m := range r.members {
		if other == name {
			continue
		}
		for queue, jobs := range m.pending {
			sums[queue] += jobs
		}
	}
	counts := make([]*yuccawire.QueueCount, 0, len(sums))
	for _, queue := range slices.Sorted(maps.Keys(sums)) {
		counts = append(counts, &yuccawire.QueueCount{Queue: queue, Jobs: sums[queue]})
	}
	return counts
}

// Expire removes the processes whose lease has expired and returns them, sorted by
// name.
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

// Delta returns the changes since the epoch and version of a reader, or nil if
// there are none or the registry is not complete. The delta is full if the reader
// is of another epoch or lags behind the retained removals.
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

// Version returns a number that increases with each change of the members.
func (r *Registry) Version() uint64 { return r.version }

// MayHoldLease reports whether the incarnation holds a lease, or may hold one that
// a former leader granted.
func (r *Registry) MayHoldLease(now time.Time, name string, incarnation uint64) bool {
	m := r.members[name]
	if m == nil {
		return !r.IsComplete(now)
	}
	return m.Node().GetIncarnation() == incarnation
}

// Members returns the processes, sorted by name.
func (r *Registry) Members() []*Member {
	members := make([]*Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[name])
	}
	return members
}

// Lagging returns the names of the processes that follow the section and have not
// reported this version, or a newer one, as applied.
func (r *Registry) Lagging(section string, version uint64) []string {
	var names []string
	for _, m := range r.Members() {
		if m.Follows(section) && m.SectionVersion(section) < version {
			names = append(names, m.Node().GetName())
		}
	}
	return names
}
