package yuccabroker

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// linkRequestInterval is the time between two requests for the same link.
	linkRequestInterval = time.Second
	// maxRelays is how many of the entries that know each other tell another one of all tasks of a process.
	maxRelays = 3
	// linkRequestMemory is how long a request is known, so that it is passed on once: until before the next.
	linkRequestMemory = linkRequestInterval / 2
)

// linkRequest is a link that an entry needs, as a task of its may run at that side only.
type linkRequest struct{ entry, side string }

// heldSeen is the number of the last own list that a linked entry has received. If there are later ones, it has
// received none since unseenSince.
type heldSeen struct {
	sequence    uint64
	unseenSince time.Time
}

// SetPeers sets the names of the entries that this one is linked with.
func (b *Broker) SetPeers(names []string) {
	b.peers = slices.Clone(names)
	b.placements.loseBackup(func(to backup) bool { return !to.isSide && !slices.Contains(names, to.name) })
	maps.DeleteFunc(b.seenByPeer, func(name string, _ *heldSeen) bool { return !slices.Contains(names, name) })
}

// HandleHeldSeen processes the news that a linked entry has received a list of this one. The first on a link, of
// no list, only says that there will be more.
func (b *Broker) HandleHeldSeen(now time.Time, peer string, m *yuccawire.HeldSeen) {
	seen := b.seenByPeer[peer]
	if seen == nil {
		seen = &heldSeen{unseenSince: now}
		b.seenByPeer[peer] = seen
	}
	if m.GetSequence() > seen.sequence {
		seen.sequence, seen.unseenSince = m.GetSequence(), now
	}
}

// reachedPeers returns the linked entries, without those that take too long to say that they have received the
// last lists.
func (b *Broker) reachedPeers(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool {
		seen := b.seenByPeer[name]
		return seen != nil && seen.sequence < b.heldSequence && now.Sub(seen.unseenSince) >= heldSeenTimeout
	})
}

// withPeers adds this entry and those that it is linked with to the names.
func (b *Broker) withPeers(names []string) []string {
	all := slices.Concat(names, b.peers, []string{b.options.Name})
	slices.Sort(all)
	return slices.Compact(all)
}

// unreached returns the linked entries that are not among those named.
func (b *Broker) unreached(reached []string) []string {
	return slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool { return slices.Contains(reached, name) })
}

// passOnHeld tells the linked entries that a list has not reached of the tasks that are new, and those that
// earlier ones were said to have reached of all. These go over one more hop where a relay isn't linked with such an
// entry. There a whole list stays whole, so that copies are recognised by its number. A sender that doesn't say whom
// it reaches is of a version that expects nothing to be passed on.
func (b *Broker) passOnHeld(now time.Time, l *heldList, m *yuccawire.HeldTasks, change heldChange, isFromSender bool) {
	if len(m.GetReached()) == 0 {
		l.reached, l.reachedBefore = nil, nil
		return
	}
	unreached := b.unreached(m.GetReached())
	// A side names entries only. Its list with other names is one that a new link tells, and says nothing of whom it reaches.
	if slices.Contains(m.GetReached(), m.GetSender()) && !b.members[m.GetSender()] {
		b.passOn(now, m, change.news, unreached, true)
		return
	}
	l.recordReached(m)
	all := change.repeated
	maps.Copy(all, change.news)
	if isFromSender {
		all = l.tasks
	}
	isReached := isFromSender && slices.Contains(m.GetReached(), b.options.Name)
	if isReached && b.isRelayForUnlinked(l.reachedBefore, m.GetReached()) {
		b.passOn(now, m, all, unreached, m.GetPartial())
		return
	}
	left := slices.DeleteFunc(slices.Clone(unreached), func(name string) bool {
		return !slices.Contains(l.reachedBefore, name) || isReached && !b.isRelayFor(name, m.GetReached())
	})
	b.passOn(now, m, change.news, slices.DeleteFunc(unreached, func(name string) bool { return slices.Contains(left, name) }), true)
	b.passOn(now, m, all, left, isReached || m.GetPartial())
}

// recordReached records the entries that a list has reached. Of the copies that were passed on, which also name
// others on each way, the first one counts.
func (l *heldList) recordReached(m *yuccawire.HeldTasks) {
	if m.GetSequence() > l.reachedSequence {
		l.reachedBefore, l.reached, l.reachedSequence = l.reached, m.GetReached(), m.GetSequence()
	}
}

// isRelayForUnlinked reports whether this entry is among the relays for one that is reached no longer, and isn't
// linked with it. Other entries, which are told of all tasks then, may be.
func (b *Broker) isRelayForUnlinked(before, reached []string) bool {
	return slices.ContainsFunc(before, func(name string) bool {
		return !slices.Contains(reached, name) && !slices.Contains(b.peers, name) && b.isAmongRelays(name, reached)
	})
}

// isRelayFor reports whether this entry is among the relays of those reached for a linked one. Those that this
// entry isn't linked with don't count.
func (b *Broker) isRelayFor(entry string, reached []string) bool {
	return b.isAmongRelays(entry, slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool { return !slices.Contains(reached, name) }))
}

// isAmongRelays reports whether this entry is among the first maxRelays of the candidates and itself, in an order that
// depends on the entry to be told.
func (b *Broker) isAmongRelays(entry string, candidates []string) bool {
	before := 0
	for _, name := range candidates {
		if yuccaplacement.Weight(entry, name) > yuccaplacement.Weight(entry, b.options.Name) {
			before++
		}
	}
	return before < maxRelays
}

// passOn sends tasks of a list, or all of them, to linked entries, without those of an earlier version, which would
// take a part for the whole list.
func (b *Broker) passOn(now time.Time, m *yuccawire.HeldTasks, tasks map[string]heldTask, to []string, isPartial bool) {
	to = slices.DeleteFunc(slices.Clone(to), func(name string) bool { return b.seenByPeer[name] == nil })
	if len(tasks) == 0 || len(to) == 0 {
		return
	}
	list := &yuccawire.HeldTasks{
		Sender: m.GetSender(), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Partial: isPartial, Reached: slices.Concat(m.GetReached(), []string{b.options.Name}),
	}
	addHeld(now, list, tasks)
	b.metrics.Add("held_tasks_passed_on", int64(len(tasks)))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}, To: to})
}

// requestLink asks a side for a link, unless that was done lately. A side with a link that was lost
// opens the next one by itself, but not if the link was surplus.
func (b *Broker) requestLink(now time.Time, sideName string) {
	r := linkRequest{entry: b.options.Name, side: sideName}
	if s := b.sides[sideName]; sideName == "" || s != nil && now.Sub(s.linkLostAt) < linkRequestInterval || !b.recordLinkRequest(now, r, linkRequestInterval) {
		return
	}
	b.metrics.Add("side_links_requested", 1)
	b.options.Logger.Info("no link with the only side that may run a task, requesting one", "side", sideName, "entries", len(b.peers))
	b.publishLinkRequest(r, nil, nil)
}

// HandleLinkRequest passes the request of another entry on to the side, or towards it.
func (b *Broker) HandleLinkRequest(now time.Time, m *yuccawire.LinkRequest) {
	r := linkRequest{entry: m.GetEntry(), side: m.GetSide()}
	if r.entry == b.options.Name || !b.recordLinkRequest(now, r, linkRequestMemory) {
		return
	}
	if s := b.sides[r.side]; s != nil && s.linked {
		b.options.Logger.Info("side asked for a link with another entry", "side", r.side, "entry", r.entry)
		b.send(r.side, &yuccawire.Envelope{Body: &yuccawire.Envelope_LinkRequest{LinkRequest: m}})
		return
	}
	if to := b.unreached(m.GetReached()); len(to) > 0 {
		b.publishLinkRequest(r, m.GetReached(), to)
	}
}

func (b *Broker) publishLinkRequest(r linkRequest, reached, to []string) {
	m := &yuccawire.LinkRequest{Side: r.side, Entry: r.entry, Reached: b.withPeers(reached)}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_LinkRequest{LinkRequest: m}}, To: to})
}

// recordLinkRequest returns false if the same link was requested within the interval.
func (b *Broker) recordLinkRequest(now time.Time, r linkRequest, interval time.Duration) bool {
	if at, isKnown := b.linkRequests[r]; isKnown && now.Sub(at) < interval {
		return false
	}
	b.linkRequests[r] = now
	return true
}

func (b *Broker) evictLinkRequests(now time.Time) {
	maps.DeleteFunc(b.linkRequests, func(_ linkRequest, at time.Time) bool { return now.Sub(at) >= linkRequestInterval })
}
