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
	// placementsInterval is the time between two messages to an entry that tell of closed jobs, or only that this one goes on.
	placementsInterval = 250 * time.Millisecond
)

// placements are the jobs of this entry with orders, which their backups are told of.
type placements struct {
	told map[*job]*toldPlacement
	// pending are the messages that are not sent yet, sentAt is when all backups were last sent theirs.
	pending map[backup]*yuccawire.Placements
	sentAt  time.Time
	// needsBackups is set if jobs may have fewer backups than there are candidates.
	needsBackups bool
	// turn counts the batches of orders, for each of which another side is the backup.
	turn int
}

// backup is a process that is told at which sides jobs may have runs: a linked entry or side.
type backup struct {
	name   string
	isSide bool
}

// toldPlacement is what the backups of a job know: some entries, and a side or two.
type toldPlacement struct {
	sides       []string
	lastRun     uint64
	entries     []string
	sideBackups []string
}

// backups returns all backups of the job.
func (t *toldPlacement) backups() []backup {
	backups := make([]backup, 0, len(t.entries)+len(t.sideBackups))
	for _, name := range t.entries {
		backups = append(backups, backup{name: name})
	}
	for _, name := range t.sideBackups {
		backups = append(backups, backup{name: name, isSide: true})
	}
	return backups
}

func newPlacements() *placements {
	return &placements{told: make(map[*job]*toldPlacement), pending: make(map[backup]*yuccawire.Placements)}
}

func (p *placements) messageTo(to backup) *yuccawire.Placements {
	if p.pending[to] == nil {
		p.pending[to] = &yuccawire.Placements{}
	}
	return p.pending[to]
}

// SetDataCentres tells the broker where the linked entries are, by name.
func (b *Broker) SetDataCentres(dataCentres map[string]string) { b.dataCentres = dataCentres }

// tellBackups tells the backups of jobs about the sides that get orders of them. It has to be called before these
// are sent: what only one process knows is lost with it.
func (b *Broker) tellBackups(now time.Time, batch *orderBatch) {
	var changed []*job
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
			b.tellPlacement(now, j, told, told.backups(), added)
			b.addBackups(now, j, told)
			changed = append(changed, j)
		}
	}
	b.placements.turn++
	for _, j := range changed {
		b.addSideBackups(now, j, b.placements.told[j])
	}
	b.sendPlacements()
}

// tellPlacement adds sides of a job to the messages for some of its backups.
func (b *Broker) tellPlacement(now time.Time, j *job, told *toldPlacement, backups []backup, sides []string) {
	until := j.Deadline.Add(outcomeRetention)
	for _, to := range backups {
		m := b.placements.messageTo(to)
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
		next := b.nextBackup(j.ID, told.entries)
		if next == "" {
			return
		}
		told.entries = append(told.entries, next)
		b.tellPlacement(now, j, told, []backup{{name: next}}, told.sides)
	}
}

// addSideBackups tells linked sides where the job may have runs, as all entries may be lost: one that has no run of it itself,
// or two, so that one is left if the machine of a run stands still. They are in the data centre of this entry if there are some:
// if that is lost, entries in others know.
func (b *Broker) addSideBackups(now time.Time, j *job, told *toldPlacement) {
	mayHaveRun := func(name string) bool { return slices.Contains(told.sides, name) }
	for len(told.sideBackups) < 2 && !slices.ContainsFunc(told.sideBackups, func(name string) bool { return !mayHaveRun(name) }) {
		best, bestRank := "", 0
		for i := range b.sideList {
			s := b.sideList[(b.placements.turn+i)%len(b.sideList)]
			if !s.linked || slices.Contains(told.sideBackups, s.name) {
				continue
			}
			rank := 1
			if s.DataCentre == b.options.DataCentre {
				rank++
			}
			if !mayHaveRun(s.name) {
				rank += 2
			}
			if rank > bestRank {
				best, bestRank = s.name, rank
			}
			if rank == 4 {
				break
			}
		}
		if best == "" {
			return
		}
		told.sideBackups = append(told.sideBackups, best)
		b.tellPlacement(now, j, told, []backup{{name: best, isSide: true}}, told.sides)
	}
}

// nextBackup returns another entry to tell of a job, beside those that know of it. It is empty if they are enough, or no linked
// entry is left. One replica more than may be lost has to know of each job, so that one is left if all other entries are lost
// with them, and an entry without a replica, as all replicas may lose power at once. Entries in other data centres than this
// one and those that know come first, but beside replicas there are others in this one, where messages cost less.
func (b *Broker) nextBackup(id string, known []string) string {
	replicas := 0
	used := map[string]int{b.options.DataCentre: 1}
	for _, name := range known {
		used[b.dataCentres[name]]++
		if b.replicas[name] {
			replicas++
		}
	}
	others, needed := len(known)-replicas, b.replicaBackups()
	isLeft := func(name string) bool { return !slices.Contains(known, name) }
	isReplica := func(name string) bool { return isLeft(name) && b.replicas[name] }
	isOther := func(name string) bool { return isLeft(name) && !b.replicas[name] }
	isCandidate := isLeft
	switch {
	case replicas < needed && slices.ContainsFunc(b.peers, isReplica):
		isCandidate = isReplica
	case others < max(minBackups-needed, 1) && slices.ContainsFunc(b.peers, isOther):
		isCandidate = isOther
	case len(known) >= minBackups:
		return ""
	}
	rank := func(name string) int {
		if replicas > 0 && !b.replicas[name] && b.dataCentres[name] == b.options.DataCentre {
			return -1
		}
		return used[b.dataCentres[name]]
	}
	best := ""
	for _, name := range b.peers {
		if isCandidate(name) && (best == "" || cmp.Or(cmp.Compare(rank(name), rank(best)),
			cmp.Compare(yuccaplacement.Weight(id, name), yuccaplacement.Weight(id, best))) < 0) {
			best = name
		}
	}
	return best
}

// sendPlacements sends the pending messages that tell of orders.
func (b *Broker) sendPlacements() {
	for _, to := range b.placements.pendingBackups() {
		if m := b.placements.pending[to]; len(m.GetPlaced()) > 0 {
			b.sendPlacementsTo(to, m)
		}
	}
}

func (p *placements) pendingBackups() []backup {
	return slices.SortedFunc(maps.Keys(p.pending), func(x, y backup) int {
		if x.name == y.name && x.isSide {
			return 1
		}
		return cmp.Compare(x.name, y.name)
	})
}

func (b *Broker) sendPlacementsTo(to backup, m *yuccawire.Placements) {
	delete(b.placements.pending, to)
	b.metrics.Add("placements_told", int64(len(m.GetPlaced())))
	envelope := &yuccawire.Envelope{Body: &yuccawire.Envelope_Placements{Placements: m}}
	if to.isSide {
		b.send(to.name, envelope)
		return
	}
	m.IntervalMs = uint32(placementsInterval.Milliseconds())
	b.emit(Publish{Message: envelope, To: []string{to.name}})
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
		for _, to := range told.backups() {
			m := p.messageTo(to)
			m.Closed = append(m.Closed, j.ID)
		}
	}
	if p.needsBackups {
		p.needsBackups = false
		for _, j := range slices.SortedFunc(maps.Keys(p.told), func(x, y *job) int { return cmp.Compare(x.ID, y.ID) }) {
			b.addBackups(now, j, p.told[j])
			b.addSideBackups(now, j, p.told[j])
		}
		b.sendPlacements()
	}
	if now.Sub(p.sentAt) < placementsInterval {
		return
	}
	p.sentAt = now
	for _, told := range p.told {
		for _, name := range told.entries {
			p.messageTo(backup{name: name})
		}
	}
	for _, to := range p.pendingBackups() {
		b.sendPlacementsTo(to, p.pending[to])
	}
}

// loseBackup has the jobs of this entry get another backup for those that are linked no more or have restarted.
func (p *placements) loseBackup(isLost func(to backup) bool) {
	maps.DeleteFunc(p.pending, func(to backup, _ *yuccawire.Placements) bool { return isLost(to) })
	for _, told := range p.told {
		told.entries = slices.DeleteFunc(told.entries, func(name string) bool { return isLost(backup{name: name}) })
		told.sideBackups = slices.DeleteFunc(told.sideBackups, func(name string) bool { return isLost(backup{name: name, isSide: true}) })
	}
	p.needsBackups = true
}
