package yuccabroker

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
)

// SetReplicas tells the broker which other entries have a replica of the configuration. Only ToleratedFailures of these, this
// entry included, may be lost at once, but any number of the others.
func (b *Broker) SetReplicas(names []string) {
	replicas := make(map[string]bool, len(names))
	for _, name := range names {
		replicas[name] = true
	}
	b.placements.needsBackups = b.placements.needsBackups || !maps.Equal(b.replicas, replicas)
	b.replicas = replicas
}

// replicaBackups returns how many other replicas have to know of a job for one of those that know of it to be left.
func (b *Broker) replicaBackups() int {
	if b.options.IsReplica {
		return b.options.ToleratedFailures
	}
	return b.options.ToleratedFailures + 1
}

// WantedReplicas returns the entries that this one has to be linked with for its jobs to have enough backups: as many linked
// replicas as that takes, and all others while there are fewer, as some of these may be down.
func (b *Broker) WantedReplicas() []string {
	byWeight := slices.SortedFunc(maps.Keys(b.replicas), func(x, y string) int {
		return cmp.Compare(yuccaplacement.Weight(b.options.Name, x), yuccaplacement.Weight(b.options.Name, y))
	})
	var linked, others []string
	for _, name := range byWeight {
		if slices.Contains(b.peers, name) {
			linked = append(linked, name)
		} else {
			others = append(others, name)
		}
	}
	if needed := b.replicaBackups(); len(linked) >= needed {
		return linked[:needed]
	}
	return append(linked, others...)
}
