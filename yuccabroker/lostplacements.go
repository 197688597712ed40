package yuccabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// maxPlacements limits the jobs of another entry whose placements are known.
	maxPlacements = 100_000
	// sameLoss is the time within which several entries notice the same loss.
	sameLoss = 200 * time.Millisecond
)

// placement is a job of another entry, with the sides that may have runs of it.
type placement struct {
	sides   []string
	until   time.Time
	lastRun uint64
	// isPublished is set once the linked entries were told of it.
	isPublished bool
	// queries holds what the sides were asked about the job, absentAt since when those that have replied have no run of it.
	queries  map[string]sideQuery
	absentAt map[string]time.Time
}

func newPlacement() *placement {
	return &placement{queries: make(map[string]sideQuery), absentAt: make(map[string]time.Time)}
}

// lostOwner is an entry that has ended, is unreachable for one of its backups or was silent, with its jobs by id.
type lostOwner struct {
	lostAt time.Time
	jobs   map[string]*placement
	// isPublished is set once the linked entries were told of it.
	isPublished bool
}

// add adds a job as its owner has told it, beside what is known of it from others. All of its sides have to be asked.
func (l *lostOwner) add(id string, told *placement) {
	p := newPlacement()
	p.sides, p.until, p.lastRun = slices.Clone(told.sides), told.until, told.lastRun
	if known := l.jobs[id]; known != nil {
		p.sides = append(p.sides, slices.DeleteFunc(known.sides, func(name string) bool { return slices.Contains(told.sides, name) })...)
		p.until, p.lastRun = later(p.until, known.until), max(p.lastRun, known.lastRun)
	}
	l.jobs[id] = p
}

// HandlePlacements records at which sides jobs of a linked entry may have runs.
func (b *Broker) HandlePlacements(now time.Time, name string, incarnation uint64, m *yuccawire.Placements) {
	key := entryKey{name: name, incarnation: incarnation}
	o := b.owners[key]
	if o == nil {
		o = &owner{jobs: make(map[string]*placement)}
		b.owners[key] = o
	}
	b.recordHeard(now, key, o, time.Duration(m.GetIntervalMs())*time.Millisecond)
	for _, id := range m.GetClosed() {
		delete(o.jobs, id)
		b.closeLostJob(now, key, id)
	}
	b.mergePlacements(now, key, o.jobs, m.GetPlaced(), now)
	for _, placed := range m.GetPlaced() {
		if p := o.jobs[placed.GetJob()]; p != nil {
			p.isPublished = false
		}
	}
}

// mergePlacements adds placements to those known of an entry, whose orders may arrive until endAt. It returns those
// that say something new.
func (b *Broker) mergePlacements(now time.Time, key entryKey, jobs map[string]*placement, placements []*yuccawire.Placement, endAt time.Time) []*yuccawire.Placement {
	var news []*yuccawire.Placement
	for _, m := range placements {
		p := jobs[m.GetJob()]
		if p == nil && len(jobs) >= maxPlacements {
			b.metrics.Add("placements_ignored", 1)
			b.options.Logger.Error("too many placements of an entry, job ignored", "entry", key.name, "jobs", len(jobs), "job", m.GetJob())
			continue
		}
		if p == nil {
			p = newPlacement()
			jobs[m.GetJob()] = p
		}
		known := len(p.sides)
		for _, name := range m.GetSides() {
			isAbsent := !p.absentAt[name].IsZero() && !p.absentAt[name].Before(endAt)
			if !isAbsent && !slices.Contains(p.sides, name) {
				p.sides = append(p.sides, name)
			}
		}
		p.until = later(p.until, now.Add(time.Duration(m.GetRemainingMs())*time.Millisecond))
		p.lastRun = max(p.lastRun, m.GetLastRun())
		if len(p.sides) > known {
			news = append(news, m)
		}
	}
	return news
}

// updateLostOwners notes which of the entries that this one is a backup of are linked no more, or have restarted.
func (b *Broker) updateLostOwners(now time.Time) {
	for key, o := range b.owners {
		if slices.Contains(b.peers, key.name) && b.incarnations[key.name] == key.incarnation {
			continue
		}
		delete(b.owners, key)
		if len(o.jobs) == 0 {
			continue
		}
		b.options.Logger.Warn("entry was lost, telling the others where its jobs may have runs", "entry", key.name, "incarnation", key.incarnation, "jobs", len(o.jobs))
		b.loseOwner(now, key, o.jobs).isPublished = false
	}
}

// loseOwner has the jobs of a lost entry wait for the sides that may have runs of them.
func (b *Broker) loseOwner(now time.Time, key entryKey, jobs map[string]*placement) *lostOwner {
	l := b.lostOwner(key, now)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		l.add(id, jobs[id])
		b.holdLostJob(now, id, key)
	}
	return l
}

// lostOwner returns the record of an entry that was lost at the given time, perhaps not for the first time. What the sides
// were asked after an earlier loss says nothing of the orders since.
func (b *Broker) lostOwner(key entryKey, lostAt time.Time) *lostOwner {
	l := b.lostOwners[key]
	if l == nil {
		l = &lostOwner{jobs: make(map[string]*placement)}
		b.lostOwners[key] = l
	}
	if lostAt.Sub(l.lostAt) > sameLoss {
		l.lostAt = lostAt
		for _, p := range l.jobs {
			clear(p.queries)
		}
	}
	return l
}

// publishLostOwners tells the linked entries of the entries that were lost.
func (b *Broker) publishLostOwners(now time.Time) {
	m := &yuccawire.LostPlacements{}
	for _, key := range sortedOwners(b.lostOwners) {
		if l := b.lostOwners[key]; !l.isPublished {
			l.isPublished = true
			m.Owners = append(m.Owners, l.toWire(now, key, l.jobs))
		}
	}
	if len(m.GetOwners()) > 0 {
		b.publishLostPlacements(m, nil, nil)
	}
}

// publishLostPlacements sends a message to the linked entries named in to, or to all if that is nil.
func (b *Broker) publishLostPlacements(m *yuccawire.LostPlacements, reached, to []string) {
	m.Reached = b.withPeers(reached)
	b.metrics.Add("lost_entries_told", int64(len(m.GetOwners())))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_LostPlacements{LostPlacements: m}}, To: to})
}

func sortedOwners(owners map[entryKey]*lostOwner) []entryKey {
	return slices.SortedFunc(maps.Keys(owners), compareEntries)
}

func compareEntries(x, y entryKey) int {
	return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.incarnation, y.incarnation))
}

// toWire returns what the other entries are told of jobs of the entry.
func (l *lostOwner) toWire(now time.Time, key entryKey, jobs map[string]*placement) *yuccawire.LostOwner {
	owner := &yuccawire.LostOwner{Entry: key.name, Incarnation: key.incarnation, LostMs: toMilliseconds(now.Sub(l.lostAt))}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if p := jobs[id]; len(p.sides) > 0 {
			owner.Placements = append(owner.Placements, &yuccawire.Placement{Job: id, Sides: slices.Clone(p.sides), RemainingMs: toMilliseconds(p.until.Sub(now)), LastRun: p.lastRun})
		}
	}
	return owner
}

// LostPlacements returns what is known of the jobs of lost entries. It has to be sent on a new link to another entry before
// [Broker.ListOpenJobs], for which that one may wait.
func (b *Broker) LostPlacements(now time.Time) *yuccawire.LostPlacements {
	b.updateLostOwners(now)
	m := &yuccawire.LostPlacements{Reached: b.withPeers(nil)}
	for _, key := range sortedOwners(b.lostOwners) {
		if owner := b.lostOwners[key].toWire(now, key, b.lostOwners[key].jobs); len(owner.GetPlacements()) > 0 {
			m.Owners = append(m.Owners, owner)
		}
	}
	return m
}

// HandleLostPlacements records the jobs of entries that another one has lost, and passes what is new on to the linked
// entries that this has not reached.
func (b *Broker) HandleLostPlacements(now time.Time, m *yuccawire.LostPlacements) {
	passedOn := &yuccawire.LostPlacements{}
	for _, owner := range m.GetOwners() {
		key := entryKey{name: owner.GetEntry(), incarnation: owner.GetIncarnation()}
		if key == (entryKey{name: b.options.Name, incarnation: b.options.Incarnation}) {
			continue
		}
		b.hasLosses = true
		isKnown := b.lostOwners[key] != nil
		lostAt := now.Add(-time.Duration(owner.GetLostMs()) * time.Millisecond)
		l := b.lostOwner(key, lostAt)
		lostAt = l.lostAt
		// The sender tells all others itself.
		l.isPublished = l.isPublished || !isKnown
		news := b.mergePlacements(now, key, l.jobs, owner.GetPlacements(), lostAt.Add(ordersEndAfter))
		if len(news) > 0 {
			passedOn.Owners = append(passedOn.Owners, &yuccawire.LostOwner{Entry: key.name, Incarnation: key.incarnation, LostMs: owner.GetLostMs(), Placements: news})
		}
		for _, p := range news {
			b.holdLostJob(now, p.GetJob(), key)
		}
	}
	if to := b.unreached(m.GetReached()); len(passedOn.GetOwners()) > 0 && len(to) > 0 {
		b.publishLostPlacements(passedOn, m.GetReached(), to)
	}
}

// holdLostJob has an open job of this entry wait for the sides that may have runs of it by a lost entry.
func (b *Broker) holdLostJob(now time.Time, id string, key entryKey) {
	j := b.jobs[id]
	if j == nil || !b.mayRunForLostEntry(id) {
		return
	}
	b.options.Logger.Warn("job may have runs of a lost entry", "job", id, "entry", key.name, "orders", j.runsSent)
	b.updateContested(now, j)
}

// lostPlacements returns what is known of a job at lost entries.
func (b *Broker) lostPlacements(id string) []*placement {
	var known []*placement
	for _, l := range b.lostOwners {
		if p := l.jobs[id]; p != nil {
			known = append(known, p)
		}
	}
	return known
}

// mayRunForLostEntry reports whether a side has not confirmed yet that it has no run of the job by a lost entry. The silence
// of a side proves nothing, nor does the end of its leases: its machine may stand still.
func (b *Broker) mayRunForLostEntry(id string) bool {
	return slices.ContainsFunc(b.lostPlacements(id), func(p *placement) bool { return len(p.sides) > 0 })
}

// evictPlacements removes the jobs that nobody submits again.
func (b *Broker) evictPlacements(now time.Time) {
	isOver := func(_ string, p *placement) bool { return !now.Before(p.until) }
	for _, o := range b.owners {
		maps.DeleteFunc(o.jobs, isOver)
	}
	for key, l := range b.lostOwners {
		maps.DeleteFunc(l.jobs, isOver)
		if len(l.jobs) == 0 {
			delete(b.lostOwners, key)
		}
	}
}
