package yuccabroker

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

const (
	// listsTimeout is how long an entry that has started or stood still waits for the open jobs of the
	// others. The lease of an entry that tells nothing has expired by then.
	listsTimeout = 600 * time.Millisecond
	// minMissedLists is how long an entry must have stood still to have missed them: a job is told that
	// much earlier than it is submitted again.
	minMissedLists = 500 * time.Millisecond
	// ordersEndAfter is when after the end of an entry, or of its right to a job, none of its runs of it
	// is in progress.
	ordersEndAfter = yuccaworker.OwnerLease + lossSlack
	// maxOpenJobs limits the known open jobs of another entry.
	maxOpenJobs = 100_000
)

// entryKey identifies a start of another entry.
type entryKey struct {
	name        string
	incarnation uint64
}

// openList holds the open jobs of another entry, by id.
type openList struct {
	sequence uint64
	jobs     map[string]openJob
	// endsAt is when none of them is open anymore as the entry has restarted, zero if it has not.
	endsAt time.Time
}

// openJob is a job that another entry may have started until a time.
type openJob struct {
	until   time.Time
	lastRun uint64
}

// isOpenElsewhere reports whether another entry may have tasks of the job started.
func (b *Broker) isOpenElsewhere(id string) bool {
	for _, l := range b.openElsewhere {
		if _, isOpen := l.jobs[id]; isOpen {
			return true
		}
	}
	return false
}

// SetMembers tells the broker which other entries there are. One that has just started places nothing
// until it knows their open jobs, or listsTimeout has passed.
func (b *Broker) SetMembers(now time.Time, names []string) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	for _, name := range names {
		if !b.members[name] {
			b.members[name] = true
			b.await(name, b.startedAt.Add(listsTimeout))
		}
	}
}

func (b *Broker) await(entry string, until time.Time) { b.awaited[entry] = until }

// awaitLists requests the open jobs of the linked entries, as some of their messages may be unread.
func (b *Broker) awaitLists(now time.Time) {
	b.open.linkedWithMostSince = time.Time{}
	for name := range b.open.readers {
		b.await(name, now.Add(listsTimeout))
	}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}}}})
}

// isInformed reports whether this entry knows the open jobs of the others, as far as they can tell.
func (b *Broker) isInformed(now time.Time) bool {
	maps.DeleteFunc(b.awaited, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(b.awaited) == 0 && !b.ticks.IsOverdue(now)
}

// HandleEntryUp processes a new link to another entry. The jobs of its earlier incarnations are over.
func (b *Broker) HandleEntryUp(now time.Time, name string, incarnation uint64) {
	if r := b.open.readers[name]; r != nil {
		r.sequence = 0
		b.open.updateConfirmed()
	}
	if b.incarnations[name] == incarnation {
		return
	}
	b.incarnations[name] = incarnation
	for key, l := range b.openElsewhere {
		switch {
		case key.name != name:
		case key.incarnation == incarnation:
			l.endsAt = time.Time{}
		default:
			l.endsAt = now.Add(ordersEndAfter)
		}
	}
}

// HandleEntryGone processes the end of the process of another entry. Nobody else may receive a job there: its next
// process places nothing before it knows the open jobs.
func (b *Broker) HandleEntryGone(now time.Time, name string, incarnation uint64) {
	if l := b.openElsewhere[entryKey{name: name, incarnation: incarnation}]; l != nil && l.endsAt.IsZero() {
		l.endsAt = now.Add(ordersEndAfter)
		b.options.Logger.Info("entry has ended, its open jobs are over when its leases have expired", "entry", name, "incarnation", incarnation, "jobs", len(l.jobs))
	}
	if b.incarnations[name] == incarnation {
		delete(b.open.readers, name)
		delete(b.awaited, name)
		b.open.updateConfirmed()
		b.updateAllContested(now)
	}
}

// HandleOpenJobs processes the open jobs of a linked entry, and confirms them. Their tasks aren't placed here.
func (b *Broker) HandleOpenJobs(now time.Time, name string, incarnation uint64, m *yuccawire.OpenJobs) {
	if b.incarnations[name] != incarnation {
		return
	}
	key := entryKey{name: name, incarnation: incarnation}
	l := b.openElsewhere[key]
	if l == nil {
		l = &openList{jobs: make(map[string]openJob)}
		b.openElsewhere[key] = l
	}
	if b.open.readers[name] == nil {
		b.open.readers[name] = &reader{}
		b.open.updateConfirmed()
	}
	switch {
	case m.GetSequence() < l.sequence, !m.GetWhole() && m.GetSequence() == l.sequence:
		return
	case !m.GetWhole() && m.GetSequence() != l.sequence+1:
		b.reply(name, &yuccawire.OpenJobsSeen{WantsWhole: true})
		return
	case len(l.jobs)+len(m.GetOpened()) > maxOpenJobs:
		b.metrics.Add("open_jobs_ignored", 1)
		b.options.Logger.Error("too many open jobs of an entry, list ignored", "entry", name, "jobs", len(l.jobs)+len(m.GetOpened()))
		return
	}
	before := l.jobs
	taken := l.update(now, m, func(id string, receivedAt time.Time) bool { return b.takes(now, name, id, receivedAt) })
	b.reply(name, &yuccawire.OpenJobsSeen{Sequence: l.sequence, Taken: taken})
	if m.GetWhole() {
		delete(b.awaited, name)
		for id, known := range before {
			if _, isOpen := l.jobs[id]; !isOpen {
				b.handleClosed(now, id, known.lastRun)
			}
		}
	}
	for _, opened := range m.GetOpened() {
		if j := b.jobs[opened.GetJob()]; j != nil {
			b.updateContested(now, j)
		}
	}
	for _, c := range m.GetClosed() {
		b.handleClosed(now, c.GetJob(), c.GetLastRun())
	}
	b.updateAllContested(now)
}

func (b *Broker) reply(entry string, m *yuccawire.OpenJobsSeen) {
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: m}}, To: []string{entry}})
}

// update applies a list, and returns the jobs for which takes returns true.
func (l *openList) update(now time.Time, m *yuccawire.OpenJobs, takes func(id string, receivedAt time.Time) bool) []string {
	var taken []string
	l.sequence = m.GetSequence()
	if m.GetWhole() {
		l.jobs = make(map[string]openJob)
	}
	for _, opened := range m.GetOpened() {
		until := now.Add(time.Duration(opened.GetRemainingMs())*time.Millisecond + ordersEndAfter)
		l.jobs[opened.GetJob()] = openJob{until: until, lastRun: opened.GetLastRun()}
		if takes(opened.GetJob(), now.Add(-time.Duration(opened.GetAgeMs())*time.Millisecond)) {
			taken = append(taken, opened.GetJob())
		}
	}
	for _, closed := range m.GetClosed() {
		delete(l.jobs, closed.GetJob())
	}
	return taken
}

// takes decides who keeps a job that is open here and at another entry: the one that has received it
// later, as callers send one request after the other. It returns true if that is this entry.
func (b *Broker) takes(now time.Time, entry, id string, receivedAt time.Time) bool {
	j := b.jobs[id]
	if j == nil || j.follows {
		return false
	}
	b.metrics.Add("jobs_open_twice", 1)
	b.options.Logger.Warn("job is open at two entries", "job", id, "entry", entry, "age_ms", now.Sub(j.receivedAt).Milliseconds(),
		"age_there_ms", now.Sub(receivedAt).Milliseconds(), "runs", j.runsInFlight, "orders", j.runsSent)
	if receivedAt.After(j.receivedAt) {
		b.giveUp(now, j, entry)
		return false
	}
	return true
}

// handleClosed continues the numbering of the runs of a job that another entry has closed.
func (b *Broker) handleClosed(now time.Time, id string, lastRun uint64) {
	j := b.jobs[id]
	if j == nil || j.runsSent > 0 {
		return
	}
	j.runsBefore, j.lastRun = max(j.runsBefore, lastRun), max(j.lastRun, lastRun)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.run = max(t.run, lastRun)
		}
	}
	b.extendHeld(j)
	b.updateContested(now, j)
}

// updateContested has the tasks of a job wait while another entry may have them started: it has told so,
// or may have received the job and doesn't know that it is open here.
func (b *Broker) updateContested(now time.Time, j *job) {
	j.follows = b.isOpenElsewhere(j.ID)
	isContested := j.follows || now.Sub(j.receivedAt) >= unconfirmedAge && !b.open.isConfirmed(j)
	if isContested == j.isContested {
		return
	}
	j.isContested = isContested
	if !isContested {
		delete(b.contested, j)
		b.options.Logger.Info("job waits for other entries no more", "job", j.ID, "age_ms", now.Sub(j.receivedAt).Milliseconds())
		b.enqueueReady(now, j)
		return
	}
	b.contested[j] = struct{}{}
	b.metrics.Add("jobs_contested", 1)
	j.mayHaveRun = j.mayHaveRun || j.follows
	b.options.Logger.Info("job waits for other entries", "job", j.ID, "open_there", j.follows, "age_ms", now.Sub(j.receivedAt).Milliseconds(), "runs", j.runsInFlight)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.state == taskQueued {
				b.queueOf(t).remove(t)
				t.state = taskBlocked
			}
		}
	}
}

func (b *Broker) updateAllContested(now time.Time) {
	for j := range b.contested {
		if j.ended {
			delete(b.contested, j)
			continue
		}
		b.updateContested(now, j)
	}
}

// evictElsewhere removes the jobs that other entries have no right to anymore.
func (b *Broker) evictElsewhere(now time.Time) {
	for key, l := range b.openElsewhere {
		if !l.endsAt.IsZero() && !now.Before(l.endsAt) {
			delete(b.openElsewhere, key)
			continue
		}
		maps.DeleteFunc(l.jobs, func(_ string, open openJob) bool { return !now.Before(open.until) })
		if len(l.jobs) == 0 && !slices.Contains(b.peers, key.name) {
			delete(b.openElsewhere, key)
		}
	}
	b.updateAllContested(now)
}
