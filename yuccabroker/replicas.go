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

// MissingReplicas returns the entries that this one has to be linked with for its jobs to have enough backups.
func (b *Broker) MissingReplicas() []string {
	isLinked := func(name string) bool { return slices.Contains(b.peers, name) }
	linked, missing := 0, slices.Sorted(maps.Keys(b.replicas))
	for name := range b.replicas {
		if isLinked(name) {
			linked++
		}
	}
	missing = slices.DeleteFunc(missing, isLinked)
	slices.SortFunc(missing, func(x, y string) int {
		return cmp.Compare(yuccaplacement.Weight(b.options.Name, x), yuccaplacement.Weight(b.options.Name, y))
	})
	return missing[:min(max(b.replicaBackups()-linked, 0), len(missing))]
}
