package yuccabroker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// heldAfter is how long the runs of an ended job may take to end before the other entries
	// are told. The caller submits the job at one of them after 1.3 s at the earliest.
	heldAfter = 250 * time.Millisecond
	// heldInterval is the least time between two lists of this entry.
	heldInterval = 200 * time.Millisecond
	// heldSlack is how long before its time a task may be omitted for that time's sake.
	heldSlack = 500 * time.Millisecond
	// heldExtension is by how much the time of a held task has to be extended for other entries to
	// be told.
	heldExtension = 2 * time.Second
	// heldRetention is how long an empty list is known, so that an older one which comes
	// later by another way is recognised.
	heldRetention = 10 * time.Second
	// heldSeenTimeout is how long a linked entry may take to say that it has received a list. After that, the
	// others are told that it may not have.
	heldSeenTimeout = 400 * time.Millisecond
	// maxHeldTasks limits the tasks of a list, maxHeldLists the lists that are known.
	maxHeldTasks = 16_384
	maxHeldLists = 4096
)

// heldKey identifies a process that lists held tasks.
type heldKey struct {
	sender      string
	incarnation uint64
}

// heldList is the last list of a process, with the tasks of later ones that other entries have passed on.
type heldList struct {
	// sequence is the number of the last whole list, partialSequence the highest number of those of
	// which only a part was received.
	sequence, partialSequence uint64
	receivedAt                time.Time
	tasks                     map[string]heldTask
	// reached are the entries that the list numbered reachedSequence has reached, reachedBefore those of the one before it.
	reached, reachedBefore []string
	reachedSequence        uint64
}

// heldTask is a task that is held until its sender says otherwise, or until a time: statedUntil
// as its sender has said, or later if a caller who came again waits longer.
type heldTask struct {
	statedUntil, until time.Time
	// passedOnUntil is the time that other entries were last told, if they may not be told by the sender.
	passedOnUntil time.Time
	// side is the only one that can have runs of the task, empty if that is not known. run is the
	// highest number of these runs.
	side string
	run  uint64
	// sequence is the number of the list that has named the side.
	sequence uint64
}

// merge combines what is known of a task twice. It runs nowhere if its runs are at several sides.
func (h heldTask) merge(other heldTask) heldTask {
	if h.side != other.side {
		h.side = ""
	}
	h.statedUntil, h.until = later(h.statedUntil, other.statedUntil), later(h.until, other.until)
	h.run = max(h.run, other.run)
	return h
}

// heldHere returns the tasks with a run that may be in progress or may still start, although its
// job has ended some time ago, its side is silent or has restarted, or it was lost or has ended, and
// until when their callers wait.
func (b *Broker) heldHere(now time.Time) map[string]heldTask {
	var held map[string]heldTask
	hold := func(t *task, sideName string) {
		until := t.job.Deadline.Add(outcomeRetention)
		if !now.Before(until) {
			return
		}
		if held == nil {
			held = make(map[string]heldTask)
		}
		addHeldTask(held, t.name, heldTask{until: until, side: sideName, run: t.run})
	}
	b.endingJobs = slices.DeleteFunc(b.endingJobs, func(j *job) bool { return j.runsInFlight == 0 })
	for _, j := range b.endingJobs {
		if now.Sub(j.endedAt) < heldAfter {
			continue
		}
		for _, st := range j.steps {
			for _, t := range st.tasks {
				if b.runs[runKey{task: t.name, run: t.run}] == t {
					hold(t, t.side.name)
				}
			}
		}
	}
	for _, s := range b.sideList {
		for t := range s.unsettled {
			hold(t, s.name)
		}
		isSilent := now.Sub(s.lastHeard()) >= maxBusyReportAge+heldAfter
		hasOrphans := s.hasOrphans && now.Sub(s.linkedAt) >= heldAfter
		if !isSilent && !hasOrphans {
			continue
		}
		for t := range s.runs {
			if isSilent || t.sideIncarnation != s.Incarnation {
				hold(t, s.name)
			}
		}
	}
	for t := range b.pinned {
		if t.state != taskDone || t.job.ended {
			for _, sideName := range t.pinnedTo {
				hold(t, sideName)
			}
		}
	}
	return held
}

func addHeldTask(held map[string]heldTask, name string, h heldTask) {
	if known, isHeld := held[name]; isHeld {
		h = h.merge(known)
	}
	held[name] = h
}

// publishHeld tells the other entries which tasks must not be placed, after a change.
func (b *Broker) publishHeld(now time.Time) {
	if now.Sub(b.heldAt) < heldInterval {
		return
	}
	held, reached := b.heldHere(now), b.reachedPeers(now)
	isUnreached := func(name string) bool { return !slices.Contains(reached, name) }
	isUrgent := len(held) > 0 && slices.ContainsFunc(b.heldReached, isUnreached)
	if !isUrgent && maps.Equal(held, b.held) {
		return
	}
	before := len(b.held)
	if len(held) > maxHeldTasks {
		b.metrics.Add("held_tasks_dropped", int64(len(held)-maxHeldTasks))
		b.options.Logger.Error("too many tasks with runs whose end is not known, other entries don't hear of all", "tasks", len(held), "limit", maxHeldTasks)
		for _, name := range slices.Sorted(maps.Keys(held))[maxHeldTasks:] {
			delete(held, name)
		}
	}
	for _, seen := range b.seenByPeer {
		if seen.sequence >= b.heldSequence {
			seen.unseenSince = now
		}
	}
	b.held, b.heldAt, b.heldReached = held, now, reached
	b.heldSequence++
	list := b.ownHeldList(now)
	b.metrics.Add("held_lists_made", 1)
	b.options.Logger.Warn("tasks with runs whose end is not known, telling the other entries", "tasks", len(held), "were", before, "first", firstHeld(list))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}})
}

func (b *Broker) ownHeldList(now time.Time) *yuccawire.HeldTasks {
	list := &yuccawire.HeldTasks{Sender: b.options.Name, Incarnation: b.options.Incarnation, Sequence: b.heldSequence, Reached: append(slices.Clone(b.heldReached), b.options.Name)}
	addHeld(now, list, b.held)
	return list
}

// addHeld adds the tasks to the list, as many as fit.
func addHeld(now time.Time, list *yuccawire.HeldTasks, held map[string]heldTask) {
	for _, name := range slices.Sorted(maps.Keys(held)) {
		h := held[name]
		remaining := min(max(h.until.Sub(now), 0).Milliseconds(), math.MaxUint32)
		list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: name, RemainingMs: uint32(remaining), Side: h.side, Run: h.run})
	}
}

func firstHeld(list *yuccawire.HeldTasks) string {
	if len(list.GetTasks()) == 0 {
		return ""
	}
	return list.GetTasks()[0].GetTask()
}

// HeldLists returns the known whole lists of held tasks for an entry that may not know them, and that
// of this entry if there was one.
func (b *Broker) HeldLists(now time.Time) []*yuccawire.HeldTasks {
	lists := b.heldLists(now, false)
	if b.heldSequence > 0 {
		lists = append(lists, b.ownHeldList(now))
	}
	return lists
}

// HeldParts returns the parts of lists that are known, for an entry that has said that it confirms lists.
func (b *Broker) HeldParts(now time.Time) []*yuccawire.HeldTasks { return b.heldLists(now, true) }

func (b *Broker) heldLists(now time.Time, isPartial bool) []*yuccawire.HeldTasks {
	var lists []*yuccawire.HeldTasks
	keys := slices.SortedFunc(maps.Keys(b.heldElsewhere), func(x, y heldKey) int {
		return cmp.Or(cmp.Compare(x.sender, y.sender), cmp.Compare(x.incarnation, y.incarnation))
	})
	for _, key := range keys {
		list := b.heldElsewhere[key].toWire(now, key)
		list.Reached = b.withPeers([]string{key.sender})
		if list.GetPartial() == isPartial {
			lists = append(lists, list)
		}
	}
	return lists
}

func (l *heldList) toWire(now time.Time, key heldKey) *yuccawire.HeldTasks {
	list := &yuccawire.HeldTasks{
		Sender: key.sender, Incarnation: key.incarnation,
		Sequence: max(l.sequence, l.partialSequence), Partial: l.partialSequence > l.sequence,
	}
	addHeld(now, list, l.tasks)
	return list
}

// heldChange is what a list changes: the tasks that other entries have to be told, those that only a later list
// names than before, the names of those for which something else follows than before, and how many are over.
type heldChange struct {
	news, repeated map[string]heldTask
	names          []string
	over           int
}

// update applies a list of the process, whole or in part.
func (l *heldList) update(now time.Time, m *yuccawire.HeldTasks) heldChange {
	change := heldChange{news: make(map[string]heldTask), repeated: make(map[string]heldTask)}
	before := l.tasks
	l.receivedAt = now
	isPartial := m.GetPartial() || m.GetSequence() < l.partialSequence
	if isPartial {
		l.partialSequence = max(l.partialSequence, m.GetSequence())
	} else {
		l.sequence = m.GetSequence()
		l.tasks = nil
	}
	if l.tasks == nil {
		l.tasks = make(map[string]heldTask)
	}
	for _, stated := range m.GetTasks()[:min(len(m.GetTasks()), maxHeldTasks)] {
		name, until := stated.GetTask(), now.Add(time.Duration(stated.GetRemainingMs())*time.Millisecond)
		h := heldTask{statedUntil: until, until: until, side: stated.GetSide(), run: stated.GetRun(), sequence: m.GetSequence()}
		known, isKnown := before[name]
		h.until = later(h.until, known.until)
		if isPartial {
			h.statedUntil, h.run = later(h.statedUntil, known.statedUntil), max(h.run, known.run)
		}
		if isPartial && known.sequence > h.sequence {
			h.side, h.sequence = known.side, known.sequence
		}
		h.passedOnUntil = known.passedOnUntil
		isChanged := !isKnown || h.run != known.run || h.side != known.side
		if isChanged {
			change.names = append(change.names, name)
		}
		switch {
		case isChanged || h.statedUntil.Sub(known.passedOnUntil) >= heldExtension:
			h.passedOnUntil = h.statedUntil
			change.news[name] = h
		case isPartial && h.sequence > known.sequence:
			change.repeated[name] = h
		}
		l.tasks[name] = h
	}
	if isPartial {
		return change
	}
	for name, h := range before {
		if _, isHeld := l.tasks[name]; !isHeld && now.Before(h.until) && !now.Before(h.statedUntil.Add(-heldSlack)) {
			l.tasks[name] = h
		} else if !isHeld {
			change.names = append(change.names, name)
			change.over++
		}
	}
	return change
}

// HandleHeldBySide is HandleHeldTasks for the list of a linked side, which is told that it was received.
func (b *Broker) HandleHeldBySide(now time.Time, name string, m *yuccawire.HeldTasks) {
	if s := b.sides[name]; s != nil && m != nil {
		m.Sender, m.Incarnation = s.name, s.Incarnation
		for _, h := range m.GetTasks() {
			h.Side = s.name
		}
		b.handleHeld(now, m, true)
		b.confirmHeld(name, m.GetSequence())
	}
}

// confirmHeld tells a side which of its lists was received, or on a new link that this will be told.
func (b *Broker) confirmHeld(sideName string, sequence uint64) {
	b.send(sideName, &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldSeen{HeldSeen: &yuccawire.HeldSeen{Sequence: sequence}}})
}

// HandleHeldTasks replaces the list of held tasks of another process, or adds to it. Tasks that wait here
// are placed at the side that has their runs, those that are over anywhere. What is new is passed on to
// the linked entries that the list has not reached.
func (b *Broker) HandleHeldTasks(now time.Time, m *yuccawire.HeldTasks) {
	b.handleHeld(now, m, !m.GetPartial())
}

// handleHeld is HandleHeldTasks for a list that comes from its sender, or from an entry that passes it on.
func (b *Broker) handleHeld(now time.Time, m *yuccawire.HeldTasks, isFromSender bool) {
	key := heldKey{sender: m.GetSender(), incarnation: m.GetIncarnation()}
	l := b.heldElsewhere[key]
	switch {
	case key == heldKey{sender: b.options.Name, incarnation: b.options.Incarnation}:
		return
	case l != nil && m.GetSequence() <= l.sequence:
		return
	case l == nil && len(b.heldElsewhere) >= maxHeldLists:
		b.metrics.Add("held_lists_ignored", 1)
		b.options.Logger.Error("too many lists of held tasks, list ignored", "sender", key.sender, "tasks", len(m.GetTasks()))
		return
	case l == nil:
		l = &heldList{}
		b.heldElsewhere[key] = l
	}
	before := len(l.tasks)
	change := l.update(now, m)
	b.metrics.Add("held_lists_received", 1)
	if before == 0 || len(l.tasks) == 0 {
		b.options.Logger.Info("tasks held for runs elsewhere", "sender", key.sender, "incarnation", key.incarnation, "tasks", len(l.tasks),
			"first", firstHeld(m), "over", change.over, "passed_on", m.GetPartial())
	}
	b.passOnHeld(now, l, m, change, isFromSender)
	jobs := make(map[*job]bool)
	for _, h := range m.GetTasks() {
		if j := b.jobs[jobOf(h.GetTask())]; j != nil && !jobs[j] {
			jobs[j] = true
			b.extendHeld(j)
		}
	}
	for _, name := range change.names {
		b.updateHeldByTask(name)
	}
	b.needsPlacement = b.needsPlacement || len(change.names) > 0
}

// updateHeldByTask combines again what is known of a task.
func (b *Broker) updateHeldByTask(name string) {
	if b.heldByTask == nil {
		return
	}
	delete(b.heldByTask, name)
	for _, l := range b.heldElsewhere {
		if h, isHeld := l.tasks[name]; isHeld {
			addHeldTask(b.heldByTask, name, h)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// heldTaskElsewhere returns what all other processes know of a task that any of them holds.
func (b *Broker) heldTaskElsewhere(name string) (heldTask, bool) {
	if b.heldByTask == nil {
		b.heldByTask = make(map[string]heldTask)
		for _, l := range b.heldElsewhere {
			for task, h := range l.tasks {
				addHeldTask(b.heldByTask, task, h)
			}
		}
	}
	h, isHeld := b.heldByTask[name]
	return h, isHeld
}

// extendHeld lets the callers of a job decide how long its tasks are held that wait here, if they wait
// longer than the processes that hold them have said.
func (b *Broker) extendHeld(j *job) {
	if len(b.heldElsewhere) == 0 {
		return
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.run > j.runsBefore || t.state == taskDone || !b.extendHeldTask(t) || j.mayHaveRun {
				continue
			}
			j.mayHaveRun = true
			b.metrics.Add("jobs_held", 1)
			b.options.Logger.Info("job has a run of an earlier submission elsewhere", "job", j.ID, "task", t.name)
		}
	}
}

// extendHeldTask is extendHeld for one task. It returns false if no process holds it.
func (b *Broker) extendHeldTask(t *task) bool {
	isHeld := false
	for _, l := range b.heldElsewhere {
		if h, listed := l.tasks[t.name]; listed {
			h.until = later(h.until, t.job.Deadline)
			l.tasks[t.name] = h
			isHeld = true
		}
	}
	return isHeld
}

// evictHeld removes the held tasks whose time is over.
func (b *Broker) evictHeld(now time.Time) {
	for key, l := range b.heldElsewhere {
		for name, h := range l.tasks {
			if !now.Before(h.until) {
				delete(l.tasks, name)
				b.updateHeldByTask(name)
			}
		}
		if len(l.tasks) == 0 && now.Sub(l.receivedAt) > heldRetention {
			delete(b.heldElsewhere, key)
		}
	}
}
