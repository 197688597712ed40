package yuccatopology

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Topology holds the links of one process and the entries that it may link to. It
// is not safe for concurrent use.
type Topology struct {
	self  *yuccawire.Node
	seeds []string
	// failedSeeds holds the seed addresses whose last attempt failed.
	failedSeeds map[string]bool
	// links counts the open links to entries, linkedSince is when the first of them
	// was opened.
	links       int
	linkedSince time.Time
	entries     map[string]*entry
	// byAddress holds the same entries by address.
	byAddress map[string]*entry
	// allUntil is the time until which links to all entries are wanted.
	allUntil time.Time
	// wantedUntil holds the entries that are targets until a time, by name.
	wantedUntil map[string]time.Time
	// surplusSince holds, for each dialled address that is no longer a target, since
	// when.
	surplusSince map[string]time.Time
}

// entry is another entry that this process knows.
type entry struct {
	node   *yuccawire.Node
	weight uint64
	// dialled and accepted count the open links to it.
	dialled, accepted int
	// failingSince is when dialling it first failed after the last link, zero if
	// the last attempt did not fail.
	failingSince time.Time
}

func (e *entry) isUnreachable(now time.Time) bool {
	return !e.failingSince.IsZero() && e.dialled+e.accepted == 0 && now.Sub(e.failingSince) > unreachableAfter
}

// New returns the topology of the process self, which knows no entries yet.
func New(self *yuccawire.Node) *Topology {
	return &Topology{
		self: self, failedSeeds: make(map[string]bool), entries: make(map[string]*entry), byAddress: make(map[string]*entry),
		surplusSince: make(map[string]time.Time), wantedUntil: make(map[string]time.Time),
	}
}

// SetMembers replaces the known entries, and the seed addresses that are dialled
// while no known entry has them.
func (t *Topology) SetMembers(nodes []*yuccawire.Node, seeds []string) {
	t.seeds = seeds
	previous := t.entries
	t.entries = make(map[string]*entry, len(nodes))
	clear(t.byAddress)
	for _, node := range nodes {
		if node.GetName() == t.self.GetName() {
			continue
		}
		e := previous[node.GetName()]
		if e == nil {
			e = &entry{weight: yuccaplacement.Weight(t.self.GetName(), node.GetName())}
		}
		if e.node.GetAddress() != node.GetAddress() {
			e.failingSince = time.Time{}
		}
		e.node = node
		t.entries[node.GetName()] = e
		t.byAddress[node.GetAddress()] = e
	}
}

// HandleLinkUp records an open link to an entry. Links of other processes are
// ignored.
func (t *Topology) HandleLinkUp(now time.Time, peer *yuccawire.Node, dialled bool) {
	e := t.entries[peer.GetName()]
	if e == nil {
		return
	}
	if t.links == 0 {
		t.linkedSince = now
	}
	t.links++
	delete(t.failedSeeds, peer.GetAddress())
	e.failingSince = time.Time{}
	if dialled {
		e.dialled++
	} else {
		e.accepted++
	}
}

// HandleLinkDown records that a link is closed.
func (t *Topology) HandleLinkDown(peer *yuccawire.Node, dialled bool) {
	e := t.entries[peer.GetName()]
	if e == nil {
		return
	}
	t.links = max(t.links-1, 0)
	if dialled {
		e.dialled = max(e.dialled-1, 0)
	} else {
		e.accepted = max(e.accepted-1, 0)
	}
}

// HandleDialFailed records that no link could be opened to an address.
func (t *Topology) HandleDialFailed(now time.Time, address string) {
	if e := t.byAddress[address]; e != nil && e.failingSince.IsZero() {
		e.failingSince = now
	}
	if slices.Contains(t.seeds, address) {
		t.failedSeeds[address] = true
	}
}

// WantAll makes all entries targets until the given time.
func (t *Topology) WantAll(until time.Time) {
	if until.After(t.allUntil) {
		t.allUntil = until
	}
}

// Want makes the named entry a target for the given time, or longer if it was wanted for longer.
func (t *Topology) Want(now time.Time, name string, d time.Duration) {
	maps.DeleteFunc(t.wantedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(d); until.After(t.wantedUntil[name]) {
		t.wantedUntil[name] = until
	}
}

// Targets returns the addresses that the process has to dial, or to which it has
// to keep the link that it has dialled, in order.
func (t *Topology) Targets(now time.Time) []string {
	wanted := make(map[string]bool)
	for _, seed := range t.seedTargets(now) {
		wanted[seed] = true
	}
	for _, e := range t.chosen(now) {
		if !t.isLinkedByPeer(e) {
			wanted[e.node.GetAddress()] = true
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// seedTargets returns the seeds to dial: one that no known entry has, and those before
// it in the order of this process that have failed. While a link is young, its peer
// may still name the entries that have the other seeds. When all processes of a
// deployment start, each seed thus gets its share of them only.
func (t *Topology) seedTargets(now time.Time) []string {
	if t.links > 0 && now.Sub(t.linkedSince) < seedDelay {
		return nil
	}
	unknown := slices.DeleteFunc(slices.Clone(t.seeds), func(seed string) bool {
		return t.byAddress[seed] != nil || seed == t.self.GetAddress()
	})
	slices.SortFunc(unknown, func(a, b string) int {
		return cmp.Compare(yuccaplacement.Weight(t.self.GetName(), a), yuccaplacement.Weight(t.self.GetName(), b))
	})
	for i, seed := range unknown {
		if !t.failedSeeds[seed] {
			return unknown[:i+1]
		}
	}
	return unknown
}

// isLinkedByPeer reports whether the other entry maintains a link to this process
// that makes one of its own unnecessary. If both have dialled at the same time,
// the link of the entry whose name comes first is kept.
func (t *Topology) isLinkedByPeer(e *entry) bool {
	return e.accepted > 0 && (e.dialled == 0 || e.node.GetName() < t.self.GetName())
}

// chosen returns the entries to link to. Those that are unreachable are included
// in addition, so that the process notices their return.
func (t *Topology) chosen(now time.Time) []*entry {
	all := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.GetName(), b.node.GetName()))
	})
	if len(all) <= fullMeshEntries || now.Before(t.allUntil) {
		return all
	}
	limit := sideBounds
	if t.self.GetRole() == yuccawire.Role_ROLE_ENTRY {
		limit = entryBounds
	}
	perDataCentre := t.linksPerDataCentre(now, all, limit)
	var chosen []*entry
	for _, e := range all {
		left := perDataCentre[e.node.GetDataCentre()]
		if left == 0 && now.Before(t.wantedUntil[e.node.GetName()]) {
			chosen = append(chosen, e)
		}
		if left == 0 {
			continue
		}
		chosen = append(chosen, e)
		if !e.isUnreachable(now) {
			perDataCentre[e.node.GetDataCentre()] = left - 1
		}
	}
	return chosen
}

// linksPerDataCentre returns how many entries to choose in each data centre. The
// remote links are increased one by one until there are limit.total links, in an
// order of the data centres that differs between processes.
func (t *Topology) linksPerDataCentre(now time.Time, all []*entry, limit bounds) map[string]int {
	reachable := make(map[string]int)
	for _, e := range all {
		reachable[e.node.GetDataCentre()] += 0
		if !e.isUnreachable(now) {
			reachable[e.node.GetDataCentre()]++
		}
	}
	links := make(map[string]int, len(reachable))
	total := 0
	for name, n := range reachable {
		links[name] = min(limit.remote, n)
		if name == t.self.GetDataCentre() {
			links[name] = min(limit.local, n)
		}
		total += links[name]
	}
	order := slices.SortedFunc(maps.Keys(reachable), func(a, b string) int {
		return cmp.Compare(yuccaplacement.Weight(t.self.GetName(), a), yuccaplacement.Weight(t.self.GetName(), b))
	})
	for grown := true; grown; {
		grown = false
		for _, name := range order {
			if total < limit.total && name != t.self.GetDataCentre() && links[name] < reachable[name] {
				links[name]++
				total++
				grown = true
			}
		}
	}
	for name := range links {
		// A data centre without reachable entries is still tried.
		links[name] = max(links[name], 1)
	}
	return links
}

// Surplus returns the addresses among those dialled that have not been targets for
// surplusGracePeriod: their links are to be closed.
func (t *Topology) Surplus(now time.Time, dialled []string) []string {
	targets := t.Targets(now)
	var surplus []string
	since := make(map[string]time.Time)
	for _, address := range dialled {
		if slices.Contains(targets, address) {
			continue
		}
		since[address] = now
		if first, ok := t.surplusSince[address]; ok {
			since[address] = first
		}
		if now.Sub(since[address]) >= surplusGracePeriod {
			surplus = append(surplus, address)
		}
	}
	t.surplusSince = since
	return surplus
}
