// Package yuccatopology decides which entries a process keeps links to.
//
// In a small deployment every process is linked to every entry. In a larger one,
// the number of links of a process is bounded: a process chooses entries by
// rendezvous hashing of its own name and theirs, most of them in its own data
// centre and at least one in each other data centre. The choice needs no
// coordination, spreads the processes evenly over the entries, and changes little
// when entries join or leave. An entry that can't be reached is replaced by the
// next one in the order of the hash, and is tried further.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	topology := yuccatopology.New(self)
//	topology.SetMembers(roster.Nodes(now), seeds)
//	topology.HandleDialFailed(now, address)
//	topology.HandleLinkUp(now, peer, dialled)
//	for _, address := range topology.Targets(now) { ... }
package yuccatopology

import "time"

const (
	// fullMeshEntries is the number of other entries up to which a process is linked
	// to all of them. Links of this number cost an idle entry less than a hundredth
	// of a core.
	fullMeshEntries = 16
	// unreachableAfter is how long an entry must have been unreachable for another
	// one to be chosen in its place. A restart takes less.
	unreachableAfter = 1500 * time.Millisecond
	// seedDelay is how long a process with a link waits for the news of the entries
	// that have the other seeds, before it dials these.
	seedDelay = time.Second
	// surplusGracePeriod is how long a link that is no longer a target is kept, so
	// that passing failures and a roster that is still growing close no links.
	surplusGracePeriod = 5 * time.Second
)

// bounds limits the links of a process in a deployment with more than
// fullMeshEntries other entries.
type bounds struct {
	// local is the maximum number of links to entries in the own data centre, remote
	// the number of links to each other one.
	local, remote int
	// total is the number of links that the remote ones are increased to reach, if
	// there are few data centres.
	total int
}

var (
	// sideBounds make each worker reachable from all entries of its data centre, up
	// to eight, and from one of each other data centre.
	sideBounds = bounds{local: 8, remote: 1, total: 12}
	// entryBounds are those of the gossip among entries. Each entry has about twice
	// as many links, as others choose it too.
	entryBounds = bounds{local: 2, remote: 1, total: 6}
)
