package yuccabroker

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// An entry that has said nothing to a backup for silentIntervals times the interval that it keeps, and silentSlack, may stand
	// still. Its callers may come again elsewhere before its links are found lost.
	silentIntervals = 2
	silentSlack     = 100 * time.Millisecond
)

// owner is a linked entry that this one is a backup of.
type owner struct {
	// jobs are those that may have runs, by id.
	jobs map[string]*placement
	// heardAt is when it last told of its jobs, interval how often it does, zero if it hasn't said.
	heardAt  time.Time
	interval time.Duration
	// isSilent is set once it has not been heard for too long.
	isSilent bool
}

// recordHeard notes that a linked entry goes on.
func (b *Broker) recordHeard(now time.Time, key entryKey, o *owner, interval time.Duration) {
	if o.isSilent {
		b.options.Logger.Info("silent entry goes on", "entry", key.name, "incarnation", key.incarnation, "silent_ms", now.Sub(o.heardAt).Milliseconds())
	}
	o.heardAt, o.interval, o.isSilent = now, interval, false
}

// restartSilences counts the silence of the other entries from now on, as this entry has read nothing while it stood still.
func (b *Broker) restartSilences(now time.Time) {
	for _, o := range b.owners {
		o.heardAt = now
	}
}

// updateSilentOwners has the jobs of linked entries that are silent wait for the sides that may have runs of them, here and at
// the linked entries. Such an entry may go on: it has told its open jobs then, and places none of those that were taken from
// it meanwhile.
func (b *Broker) updateSilentOwners(now time.Time) {
	m := &yuccawire.LostPlacements{}
	for _, key := range slices.SortedFunc(maps.Keys(b.owners), compareEntries) {
		o := b.owners[key]
		if o.isSilent || o.interval == 0 || len(o.jobs) == 0 || now.Sub(o.heardAt) < silentIntervals*o.interval+silentSlack {
			continue
		}
		o.isSilent = true
		l := b.loseOwner(now, key, o.jobs)
		l.isPublished = true
		news := maps.Clone(o.jobs)
		maps.DeleteFunc(news, func(_ string, p *placement) bool { return p.isPublished || len(p.sides) == 0 })
		b.metrics.Add("entries_silent", 1)
		b.options.Logger.Warn("entry is silent, telling the others where its jobs may have runs", "entry", key.name, "incarnation", key.incarnation,
			"silent_ms", now.Sub(o.heardAt).Milliseconds(), "jobs", len(o.jobs), "new", len(news))
		if len(news) == 0 {
			continue
		}
		for _, p := range news {
			p.isPublished = true
		}
		m.Owners = append(m.Owners, l.toWire(now, key, news))
	}
	if len(m.GetOwners()) > 0 {
		b.publishLostPlacements(m, nil, nil)
	}
}

// closeLostJob removes a job of an entry that has been silent, and has told since that the job has no runs.
func (b *Broker) closeLostJob(now time.Time, key entryKey, id string) {
	l := b.lostOwners[key]
	if l == nil || l.jobs[id] == nil {
		return
	}
	lastRun := l.jobs[id].lastRun
	delete(l.jobs, id)
	if !b.mayRunForLostEntry(id) {
		b.handleClosed(now, id, lastRun)
	}
}
