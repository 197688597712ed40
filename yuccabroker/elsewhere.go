package yuccabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

const (
	// startTimeout is how long an entry that has started waits for the open jobs of the others, readerTimeout
	// how long one that has stood still does. Neither proves anything of an entry that is cut off.
	startTimeout = 600 * time.Millisecond
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
	return b.openers[id] > 0
}

// set records an open job of another entry. openers counts the entries at which each job is open.
func (l *openList) set(openers map[string]int, id string, job openJob) {
	if _, isKnown := l.jobs[id]; !isKnown {
		openers[id]++
	}
	l.jobs[id] = job
}

func (l *openList) remove(openers map[string]int, id string) {
	if _, isKnown := l.jobs[id]; !isKnown {
		return
	}
	delete(l.jobs, id)
	if openers[id]--; openers[id] == 0 {
		delete(openers, id)
	}
}

// SetMembers tells the broker which other entries there are, beside the linked ones. One that has just started places nothing
// until it knows their open jobs, or startTimeout has passed.
func (b *Broker) SetMembers(now time.Time, names []string) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
		if !b.members[name] {
			b.await(name, b.startedAt.Add(startTimeout))
		}
	}
	for name := range b.members {
		switch {
		case members[name]:
		case slices.Contains(b.peers, name):
			members[name] = true
		default:
			delete(b.incarnations, name)
			delete(b.gone, name)
			delete(b.refusals, name)
			b.removeReader(now, name)
		}
	}
	b.members = members
}

func (b *Broker) await(entry string, until time.Time) { b.awaited[entry] = until }

// awaitLists requests the open jobs of the linked entries, as some of their messages may be unread.
func (b *Broker) awaitLists(now time.Time) {
	b.open.linkedWithMostSince = time.Time{}
	for name := range b.open.readers {
		b.await(name, now.Add(readerTimeout))
	}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}}}})
}

// awaitSecondList requests the open jobs of an entry whose link has come up meanwhile: the list that came with it may have
// been sent while this entry stood still.
func (b *Broker) awaitSecondList(name string, until time.Time) {
	b.await(name, until)
	b.awaitedTwice[name] = true
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}}}, To: []string{name}})
}

// recordAwaited notes that an entry has sent all of its open jobs.
func (b *Broker) recordAwaited(name string) {
	if b.awaitedTwice[name] {
		delete(b.awaitedTwice, name)
		return
	}
	delete(b.awaited, name)
}

// updateIsolation has an entry that had no link at all wait for the open jobs of the others once it has one again. What
// comes to it now may have come to them meanwhile.
func (b *Broker) updateIsolation(now time.Time) {
	isIsolated := len(b.peers) == 0 && !slices.ContainsFunc(b.sideList, func(s *side) bool { return s.linked })
	if b.isIsolated && !isIsolated {
		b.awaitLists(now)
	}
	b.isIsolated = isIsolated
}

// isInformed reports whether this entry knows the open jobs of the others, as far as they can tell.
func (b *Broker) isInformed(now time.Time) bool {
	maps.DeleteFunc(b.awaited, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(b.awaited) == 0 && !b.ticks.IsOverdue(now) && !b.awaitsSides(now)
}

// awaitsSides reports whether this entry may have started after all entries were lost. Then only the sides know where jobs may
// have runs, and most of them are linked with it within startTimeout.
func (b *Broker) awaitsSides(now time.Time) bool {
	return b.hasLosses && !b.hasOlderPeer && !b.startedAt.IsZero() && now.Sub(b.startedAt) < startTimeout
}

// HandleEntryUp processes a new link to another entry. The jobs of its earlier incarnations are over. The link of
// one of these may come up late, and is ignored.
func (b *Broker) HandleEntryUp(now time.Time, name string, incarnation uint64) {
	switch {
	case b.incarnations[name] > incarnation:
		return
	case b.incarnations[name] == incarnation:
		b.recordAlive(entryKey{name: name, incarnation: incarnation})
		return
	}
	b.incarnations[name] = incarnation
	b.placements.loseBackup(func(to backup) bool { return to == backup{name: name} })
	delete(b.gone, name)
	delete(b.refusals, name)
	until, isAwaited := b.awaited[name]
	// Its list, which comes next, makes it a reader again, unless it is of an earlier version.
	b.removeReader(now, name)
	if isAwaited {
		b.awaitSecondList(name, until)
	}
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

// HandleEntryReplaced processes the end of the links to an incarnation of another entry, while those to one with a
// lower number last: the clock of its machine was set back.
func (b *Broker) HandleEntryReplaced(now time.Time, name string, incarnation uint64) {
	if b.incarnations[name] > incarnation {
		delete(b.incarnations, name)
		b.HandleEntryUp(now, name, incarnation)
	}
}

// removeReader removes an entry that can't have received a job.
func (b *Broker) removeReader(now time.Time, name string) {
	delete(b.open.readers, name)
	delete(b.awaited, name)
	delete(b.awaitedTwice, name)
	b.open.updateConfirmed()
	b.updateAllContested(now)
}

// HandleOpenJobs processes the open jobs of a linked entry, and confirms them. Their tasks aren't placed here.
func (b *Broker) HandleOpenJobs(now time.Time, name string, incarnation uint64, m *yuccawire.OpenJobs) {
	b.handleOpenJobs(now, name, incarnation, m, false)
}

// handleOpenJobs is HandleOpenJobs for a list that comes from the entry itself, or over another process.
func (b *Broker) handleOpenJobs(now time.Time, name string, incarnation uint64, m *yuccawire.OpenJobs, isForwarded bool) {
	if b.incarnations[name] != incarnation {
		return
	}
	key := entryKey{name: name, incarnation: incarnation}
	l := b.openElsewhere[key]
	isCopy := l != nil && isForwarded && m.GetSequence() == l.sequence && slices.Contains(b.peers, name)
	if l == nil {
		l = &openList{jobs: make(map[string]openJob)}
		b.openElsewhere[key] = l
	}
	b.recordAlive(key)
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
	case len(m.GetOpened()) > maxOpenJobs || !m.GetWhole() && len(l.jobs)+len(m.GetOpened()) > maxOpenJobs:
		b.metrics.Add("open_jobs_ignored", 1)
		b.options.Logger.Error("too many open jobs of an entry, list ignored", "entry", name, "jobs", len(l.jobs)+len(m.GetOpened()))
		return
	}
	_, isAwaited := b.awaited[name]
	if isCopy && !isAwaited {
		b.reply(name, &yuccawire.OpenJobsSeen{Sequence: l.sequence})
		return
	}
	// What was sent during a standstill says nothing of an age, the list that was requested does.
	isDelayed := !m.GetWhole() && (isAwaited || b.ticks.IsOverdue(now))
	taken, closed := l.update(now, m, b.openers, func(id string, receivedAt time.Time) bool {
		return !isDelayed && b.takes(now, name, id, receivedAt, isForwarded)
	})
	b.reply(name, &yuccawire.OpenJobsSeen{Sequence: l.sequence, Taken: taken, WantsWhole: isDelayed})
	if m.GetWhole() {
		b.recordAwaited(name)
		// Earlier versions don't say how long they have run.
		b.hasOlderPeer = b.hasOlderPeer || m.GetRunningMs() == 0 || time.Duration(m.GetRunningMs())*time.Millisecond >= startTimeout
	}
	for _, opened := range m.GetOpened() {
		if j := b.jobs[opened.GetJob()]; j != nil {
			b.updateContested(now, j)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(closed)) {
		b.handleClosed(now, id, closed[id])
	}
}

func (b *Broker) reply(entry string, m *yuccawire.OpenJobsSeen) {
	if !slices.Contains(b.peers, entry) {
		b.forward(&yuccawire.Forward{To: entry, OpenJobsSeen: m})
		return
	}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobsSeen{OpenJobsSeen: m}}, To: []string{entry}})
}

// update applies a list, and returns the jobs for which takes returns true, and those that are closed, with their
// last runs.
func (l *openList) update(now time.Time, m *yuccawire.OpenJobs, openers map[string]int, takes func(id string, receivedAt time.Time) bool) (taken []string, closed map[string]uint64) {
	closed = make(map[string]uint64)
	l.sequence = m.GetSequence()
	if m.GetWhole() {
		for id, known := range l.jobs {
			closed[id] = known.lastRun
		}
	}
	for _, opened := range m.GetOpened() {
		id := opened.GetJob()
		delete(closed, id)
		until := now.Add(time.Duration(opened.GetRemainingMs())*time.Millisecond + ordersEndAfter)
		l.set(openers, id, openJob{until: until, lastRun: opened.GetLastRun()})
		if takes(id, now.Add(-time.Duration(opened.GetAgeMs())*time.Millisecond)) {
			taken = append(taken, id)
		}
	}
	for _, c := range m.GetClosed() {
		closed[c.GetJob()] = c.GetLastRun()
	}
	for id := range closed {
		l.remove(openers, id)
	}
	return taken, closed
}

// takes decides who keeps a job that is open here and at another entry: the one that has received it
// later, as callers send one request after the other. It returns true if that is this entry. A list that
// was forwarded may be late, so that the other one has received the job earlier than it seems: that one decides.
func (b *Broker) takes(now time.Time, entry, id string, receivedAt time.Time, isForwarded bool) bool {
	j := b.jobs[id]
	if j == nil || j.follows && !j.isTold {
		return false
	}
	b.metrics.Add("jobs_open_twice", 1)
	b.options.Logger.Warn("job is open at two entries", "job", id, "entry", entry, "age_ms", now.Sub(j.receivedAt).Milliseconds(),
		"age_there_ms", now.Sub(receivedAt).Milliseconds(), "runs", j.runsInFlight, "orders", j.runsSent)
	switch {
	case !receivedAt.After(j.lastReceivedAt):
		return true
	case !isForwarded:
		b.giveUp(now, j, entry)
	}
	return false
}

// handleClosed continues the numbering of the runs of a job that another entry has closed.
func (b *Broker) handleClosed(now time.Time, id string, lastRun uint64) {
	j := b.jobs[id]
	switch {
	case j == nil:
		return
	case j.runsSent > 0:
		b.updateContested(now, j)
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
// or may have received the job and doesn't know that it is open here, or was lost while a side may have runs of it.
func (b *Broker) updateContested(now time.Time, j *job) {
	j.follows = b.isOpenElsewhere(j.ID)
	mayRunForLostEntry := b.mayRunForLostEntry(j.ID)
	j.mayHaveRun = j.mayHaveRun || j.follows || mayRunForLostEntry
	isContested := j.follows || mayRunForLostEntry || now.Sub(j.receivedAt) >= unconfirmedAge && !b.open.isConfirmed(j)
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
	b.options.Logger.Info("job waits for other entries", "job", j.ID, "open_there", j.follows, "lost_entry", mayRunForLostEntry, "age_ms", now.Sub(j.receivedAt).Milliseconds(), "runs", j.runsInFlight)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.state == taskQueued {
				b.queueOf(t).remove(t)
				t.state = taskBlocked
			}
		}
	}
}

// updateAllContested lets the jobs go on whose confirmation has come, in order.
func (b *Broker) updateAllContested(now time.Time) {
	waiting := slices.SortedFunc(maps.Keys(b.contested), func(x, y *job) int { return cmp.Compare(x.ID, y.ID) })
	for _, j := range waiting {
		if j.ended {
			delete(b.contested, j)
			continue
		}
		b.updateContested(now, j)
	}
}

// evictElsewhere removes the jobs that other entries have no right to anymore.
func (b *Broker) evictElsewhere(now time.Time) {
	if now.Sub(b.evictedElsewhereAt) < closedInterval {
		return
	}
	b.evictedElsewhereAt = now
	for key, l := range b.openElsewhere {
		isOver := !l.endsAt.IsZero() && !now.Before(l.endsAt)
		for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
			if open := l.jobs[id]; isOver || !now.Before(open.until) {
				l.remove(b.openers, id)
				b.handleClosed(now, id, open.lastRun)
			}
		}
		if len(l.jobs) == 0 && (isOver || !slices.Contains(b.peers, key.name)) {
			delete(b.openElsewhere, key)
		}
	}
}
