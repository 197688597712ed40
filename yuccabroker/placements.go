package yuccabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// minBackups is how many linked entries are told at which sides a job may have runs. There are more if that many replicas
	// may be lost.
	minBackups = 3
	// placementsInterval is the time between two messages to a backup that tell of closed jobs, or only that this entry goes
	// on.
	placementsInterval = 250 * time.Millisecond
)

// placements are the jobs of this entry with orders, which their backups are told of.
type placements struct {
	told map[*job]*toldPlacement
	// pending are the messages that are not sent yet, by backup, sentAt is when all backups were last sent theirs.
	pending map[string]*yuccawire.Placements
	sentAt  time.Time
	// needsBackups is set if jobs may have fewer backups than there are candidates.
	needsBackups bool
}

// toldPlacement is what the backups of a job know.
type toldPlacement struct {
	sides   []string
	lastRun uint64
	backups []string
}

func newPlacements() *placements {
	return &placements{told: make(map[*job]*toldPlacement), pending: make(map[string]*yuccawire.Placements)}
}

func (p *placements) messageTo(backup string) *yuccawire.Placements {
	if p.pending[backup] == nil {
		p.pending[backup] = &yuccawire.Placements{}
	}
	return p.pending[backup]
}

// SetDataCentres tells the broker where the linked entries are, by name.
func (b *Broker) SetDataCentres(dataCentres map[string]string) { b.dataCentres = dataCentres }

// tellBackups tells the backups of jobs about the sides that get orders of them. It has to be called before these
// are sent: what only one process knows is lost with it.
func (b *Broker) tellBackups(now time.Time, batch *orderBatch) {
	for _, s := range batch.sides {
		for _, ordered := range batch.orders[s].GetJobs() {
			j := b.jobs[ordered.GetJob()]
			told := b.placements.told[j]
			if told == nil {
				told = &toldPlacement{}
				b.placements.told[j] = told
			}
			isNew := !slices.Contains(told.sides, s.name)
			if !isNew && j.lastRun <= told.lastRun {
				continue
			}
			told.lastRun = j.lastRun
			var added []string
			if isNew {
				added = []string{s.name}
				told.sides = append(told.sides, s.name)
			}
			b.tellPlacement(now, j, told, told.backups, added)
			b.addBackups(now, j, told)
		}
	}
	b.sendPlacements()
}

// tellPlacement adds sides of a job to the messages for some of its backups.
func (b *Broker) tellPlacement(now time.Time, j *job, told *toldPlacement, backups, sides []string) {
	until := j.Deadline.Add(outcomeRetention)
	for _, name := range backups {
		m := b.placements.messageTo(name)
		i := slices.IndexFunc(m.GetPlaced(), func(p *yuccawire.Placement) bool { return p.GetJob() == j.ID })
		if i < 0 {
			i = len(m.GetPlaced())
			m.Placed = append(m.Placed, &yuccawire.Placement{Job: j.ID, RemainingMs: toMilliseconds(until.Sub(now))})
		}
		m.Placed[i].Sides = append(m.Placed[i].Sides, sides...)
		m.Placed[i].LastRun = told.lastRun
	}
}

// addBackups chooses the backups that a job lacks among the linked entries by its id, and tells them of all its sides.
func (b *Broker) addBackups(now time.Time, j *job, told *toldPlacement) {
	for {
		backup := b.nextBackup(j.ID, told.backups)
		if backup == "" {
			return
		}
		told.backups = append(told.backups, backup)
		b.tellPlacement(now, j, told, []string{backup}, told.sides)
	}
}

// nextBackup returns another backup for a job, empty if it needs none or no linked entry is left. One replica more than may
// be lost knows of each job, so that one is left if all other entries are lost with them, and an entry without a replica, as
// all replicas may lose power at once. Backups are in other data centres than this entry and each other as far as there are
// some.
func (b *Broker) nextBackup(id string, backups []string) string {
	replicas := 0
	used := map[string]int{b.options.DataCentre: 1}
	for _, name := range backups {
		used[b.dataCentres[name]]++
		if b.replicas[name] {
			replicas++
		}
	}
	others, needed := len(backups)-replicas, b.replicaBackups()
	isLeft := func(name string) bool { return !slices.Contains(backups, name) }
	isReplica := func(name string) bool { return isLeft(name) && b.replicas[name] }
	isOther := func(name string) bool { return isLeft(name) && !b.replicas[name] }
	isCandidate := isLeft
	switch {
	case replicas < needed && slices.ContainsFunc(b.peers, isReplica):
		isCandidate = isReplica
	case others < max(minBackups-needed, 1) && slices.ContainsFunc(b.peers, isOther):
		isCandidate = isOther
	case len(backups) >= minBackups:
		return ""
	}
	best := ""
	for _, name := range b.peers {
		if isCandidate(name) && (best == "" || cmp.Or(cmp.Compare(used[b.dataCentres[name]], used[b.dataCentres[best]]),
			cmp.Compare(yuccaplacement.Weight(id, name), yuccaplacement.Weight(id, best))) < 0) {
			best = name
		}
	}
	return best
}

// sendPlacements sends the pending messages.
func (b *Broker) sendPlacements() {
	for _, name := range slices.Sorted(maps.Keys(b.placements.pending)) {
		m := b.placements.pending[name]
		if len(m.GetPlaced()) == 0 {
			continue
		}
		b.sendPlacementsTo(name, m)
	}
}

func (b *Broker) sendPlacementsTo(name string, m *yuccawire.Placements) {
	delete(b.placements.pending, name)
	m.IntervalMs = uint32(placementsInterval.Milliseconds())
	b.metrics.Add("placements_told", int64(len(m.GetPlaced())))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Placements{Placements: m}}, To: []string{name}})
}

// updatePlacements closes the jobs whose runs have ended, replaces the backups that were lost, and tells the others that this
// entry goes on.
func (b *Broker) updatePlacements(now time.Time) {
	p := b.placements
	for j, told := range p.told {
		if !j.ended || j.runsInFlight > 0 {
			continue
		}
		delete(p.told, j)
		if next := b.jobs[j.ID]; next != nil && p.told[next] != nil {
			continue
		}
		for _, name := range told.backups {
			m := p.messageTo(name)
			m.Closed = append(m.Closed, j.ID)
		}
	}
	if p.needsBackups {
		p.needsBackups = false
		for _, j := range slices.SortedFunc(maps.Keys(p.told), func(x, y *job) int { return cmp.Compare(x.ID, y.ID) }) {
			b.addBackups(now, j, p.told[j])
		}
		b.sendPlacements()
	}
	if now.Sub(p.sentAt) < placementsInterval {
		return
	}
	p.sentAt = now
	for _, told := range p.told {
		for _, name := range told.backups {
			p.messageTo(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.pending)) {
		b.sendPlacementsTo(name, p.pending[name])
	}
}

// loseBackup has the jobs of this entry get another backup, as the given one is linked no more or has restarted.
func (p *placements) loseBackup(isLost func(name string) bool) {
	maps.DeleteFunc(p.pending, func(name string, _ *yuccawire.Placements) bool { return isLost(name) })
	for _, told := range p.told {
		told.backups = slices.DeleteFunc(told.backups, isLost)
	}
	p.needsBackups = true
}
