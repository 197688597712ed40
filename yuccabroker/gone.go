package yuccabroker

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// goneAfter is how long nothing must be heard of an entry whose machine refuses connections until it counts as ended. A cut
// may refuse them, too: then its messages come over other processes, within forwardInterval.
const goneAfter = 600 * time.Millisecond

// refusal is the refused connection to a process since which nothing was heard of it.
type refusal struct {
	incarnation uint64
	since       time.Time
}

// HandleEntryGone processes a refused connection to the machine of another entry, or the news that a third one counts that
// entry as ended. It is asked over other processes, and counts as ended here if nothing is heard of it for goneAfter.
func (b *Broker) HandleEntryGone(now time.Time, name string, incarnation uint64) {
	if b.incarnations[name] != incarnation || b.gone[name] == incarnation {
		return
	}
	if _, isRefusing := b.refusals[name]; isRefusing {
		return
	}
	b.refusals[name] = refusal{incarnation: incarnation, since: now}
	b.forward(&yuccawire.Forward{To: name, OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}})
}

// recordAlive undoes what a refused connection has said of a process that is heard of.
func (b *Broker) recordAlive(key entryKey) {
	delete(b.gone, key.name)
	delete(b.refusals, key.name)
	if l := b.openElsewhere[key]; l != nil {
		l.endsAt = time.Time{}
	}
}

// checkRefusals counts the entries as ended of which nothing was heard for goneAfter. They have received no job that is
// open here: their next process places nothing before it knows the open jobs.
func (b *Broker) checkRefusals(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(b.refusals)) {
		r := b.refusals[name]
		if now.Sub(r.since) < goneAfter {
			continue
		}
		delete(b.refusals, name)
		b.gone[name] = r.incarnation
		b.removeReader(now, name)
		jobs := 0
		if l := b.openElsewhere[entryKey{name: name, incarnation: r.incarnation}]; l != nil && l.endsAt.IsZero() {
			l.endsAt = r.since.Add(ordersEndAfter)
			jobs = len(l.jobs)
		}
		b.options.Logger.Info("entry has ended, its open jobs are over when its leases have expired", "entry", name, "incarnation", r.incarnation, "jobs", jobs,
			"refused_ms", now.Sub(r.since).Milliseconds())
	}
}

// restartRefusals counts goneAfter from now on, as this entry has read nothing while it stood still.
func (b *Broker) restartRefusals(now time.Time) {
	for name, r := range b.refusals {
		r.since = now
		b.refusals[name] = r
	}
}
