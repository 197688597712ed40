package yuccaworker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// maxPlacements limits the jobs of an owner that are known to have runs at other sides.
	maxPlacements = 100_000
	// placementsInterval is the time between two checks for jobs that nobody submits again.
	placementsInterval = time.Second
)

// placements are the jobs of an owner that has told where they may have runs, so that this is known if all entries are
// lost.
type placements struct {
	jobs map[string]*placement
	// lostAt is when the link of the owner was lost, zero while it is up.
	lostAt time.Time
}

// placement holds the sides at which a job may have runs until callers submit it no more.
type placement struct {
	sides   []string
	lastRun uint64
	until   time.Time
}

// HandlePlacements records at which sides jobs of an owner may have runs.
func (w *Worker) HandlePlacements(now time.Time, from Owner, m *yuccawire.Placements) {
	known := w.placements[from]
	if known == nil {
		known = &placements{jobs: make(map[string]*placement)}
		w.placements[from] = known
	}
	for _, id := range m.GetClosed() {
		delete(known.jobs, id)
	}
	for _, told := range m.GetPlaced() {
		p := known.jobs[told.GetJob()]
		if p == nil && len(known.jobs) >= maxPlacements {
			w.metrics.Add("placements_ignored", 1)
			w.options.Logger.Error("too many placements of an entry, job ignored", "entry", from.Name, "jobs", len(known.jobs), "job", told.GetJob())
			continue
		}
		if p == nil {
			p = &placement{}
			known.jobs[told.GetJob()] = p
		}
		for _, name := range told.GetSides() {
			if !slices.Contains(p.sides, name) {
				p.sides = append(p.sides, name)
			}
		}
		p.lastRun = max(p.lastRun, told.GetLastRun())
		p.until = latest(p.until, now.Add(time.Duration(told.GetRemainingMs())*time.Millisecond))
	}
}

// losePlacements tells the linked owners where jobs of owners may have runs that are lost.
func (w *Worker) losePlacements(now time.Time, isLost func(id Owner) bool) {
	m := &yuccawire.LostPlacements{}
	for _, id := range w.sortedPlacements() {
		known := w.placements[id]
		if !known.lostAt.IsZero() || !isLost(id) {
			continue
		}
		known.lostAt = now
		if len(known.jobs) > 0 {
			w.options.Logger.Warn("entry was lost, telling the others where its jobs may have runs", "entry", id.Name, "incarnation", id.Incarnation, "jobs", len(known.jobs))
			m.Owners = append(m.Owners, known.toWire(now, id))
		}
	}
	w.sendLostPlacements(m, func(o *owner) bool { return o.linked })
}

// sendAllLostPlacements tells an owner on a new link of all that were lost.
func (w *Worker) sendAllLostPlacements(now time.Time, to *owner) {
	m := &yuccawire.LostPlacements{}
	for _, id := range w.sortedPlacements() {
		if known := w.placements[id]; !known.lostAt.IsZero() && len(known.jobs) > 0 {
			m.Owners = append(m.Owners, known.toWire(now, id))
		}
	}
	w.sendLostPlacements(m, func(o *owner) bool { return o == to })
}

// sendLostPlacements sends a message to some of the linked owners. All of them know it then, or are told otherwise.
func (w *Worker) sendLostPlacements(m *yuccawire.LostPlacements, isTold func(o *owner) bool) {
	if len(m.GetOwners()) == 0 {
		return
	}
	for _, o := range w.ownerList {
		if o.linked {
			m.Reached = append(m.Reached, o.id.Name)
		}
	}
	slices.Sort(m.Reached)
	for _, o := range w.ownerList {
		if o.linked && isTold(o) {
			w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_LostPlacements{LostPlacements: m}}})
		}
	}
}

func (w *Worker) sortedPlacements() []Owner {
	return slices.SortedFunc(maps.Keys(w.placements), func(x, y Owner) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

func (p *placements) toWire(now time.Time, id Owner) *yuccawire.LostOwner {
	m := &yuccawire.LostOwner{Entry: id.Name, Incarnation: id.Incarnation, LostMs: uint32(now.Sub(p.lostAt).Milliseconds())}
	for _, job := range slices.Sorted(maps.Keys(p.jobs)) {
		known := p.jobs[job]
		m.Placements = append(m.Placements, &yuccawire.Placement{
			Job: job, Sides: slices.Clone(known.sides), LastRun: known.lastRun, RemainingMs: uint32(max(known.until.Sub(now), 0).Milliseconds()),
		})
	}
	return m
}

// evictPlacements removes the jobs that nobody submits again.
func (w *Worker) evictPlacements(now time.Time) {
	if now.Sub(w.placementsEvictedAt) < placementsInterval {
		return
	}
	w.placementsEvictedAt = now
	for id, known := range w.placements {
		maps.DeleteFunc(known.jobs, func(_ string, p *placement) bool { return !now.Before(p.until) })
		if len(known.jobs) == 0 {
			delete(w.placements, id)
		}
	}
}
