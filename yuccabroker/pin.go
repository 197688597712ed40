package yuccabroker

import (
	"slices"
	"time"
)

// pin lets a task run at the given side only, whose worker may still execute a start of an earlier
// run. A later run at the same worker is safe: while the worker lives, it refuses that start as one of
// an ended run or by its token, and a restart ends the later run. The earlier and the later submission
// of the job are pinned with it.
func (b *Broker) pin(t *task, sideName string) {
	for _, j := range []*job{t.job, b.jobs[t.job.ID], b.outcomes[t.job.ID].job} {
		if same := j.task(t.name); same != nil {
			b.pinTask(same, sideName)
		}
	}
}

func (b *Broker) pinTask(t *task, sideName string) {
	if slices.Contains(t.pinnedTo, sideName) {
		return
	}
	t.pinnedTo = append(t.pinnedTo, sideName)
	t.job.mayHaveRun = true
	b.pinned[t] = struct{}{}
	b.metrics.Add("tasks_pinned", 1)
	b.options.Logger.Info("task pinned to the side whose worker may still start an earlier run of it", "job", t.job.ID, "task", t.name, "run", t.run,
		"side", sideName, "sides", len(t.pinnedTo))
}

// inheritPins pins the tasks of a job that is submitted again like those of its last submission.
func (b *Broker) inheritPins(j *job) {
	earlier := b.outcomes[j.ID].job
	if earlier == nil {
		return
	}
	for _, st := range earlier.steps {
		for _, t := range st.tasks {
			if same := j.task(t.name); same != nil {
				for _, sideName := range t.pinnedTo {
					b.pinTask(same, sideName)
				}
			}
		}
	}
}

// task returns the task with the name, nil if there is none.
func (j *job) task(name string) *task {
	if j == nil {
		return nil
	}
	for _, st := range j.steps {
		if i := slices.IndexFunc(st.tasks, func(t *task) bool { return t.name == name }); i >= 0 {
			return st.tasks[i]
		}
	}
	return nil
}

// onlySide returns the only side that may run the task, nil if there is none at present. It returns
// false if the task isn't pinned.
func (b *Broker) onlySide(t *task) (*side, bool) {
	name, isPinned := b.onlySideName(t)
	return b.sides[name], isPinned
}

// onlySideName is onlySide for the name of the side, which may not be known to this entry.
func (b *Broker) onlySideName(t *task) (string, bool) {
	sides := t.pinnedTo
	if h, isHeld := b.heldTaskElsewhere(t.name); isHeld && !slices.Contains(sides, h.side) {
		sides = append(slices.Clip(sides), h.side)
	}
	if len(sides) != 1 {
		return "", len(sides) > 0
	}
	return sides[0], true
}

// choosePinned returns the only side that may run the task if that has room for it, or nil. It requests
// a link if there is none.
func (b *Broker) choosePinned(now time.Time, t *task, only *side) *side {
	if only == nil || !only.linked {
		name, _ := b.onlySideName(t)
		b.requestLink(now, name)
		return nil
	}
	if !b.isEligible(now, t, only) || now.Before(t.notBefore) {
		return nil
	}
	available, size := only.available(t.tier), demand(t.step.Step)
	if !size.fitsIn(available.plus(only.queueLimit())) || t.heldBack && !t.mayStart(available, size, only.capacity) {
		return nil
	}
	return only
}

// mayRunAt reports whether the side may run the task, which may be pinned to another one.
func (b *Broker) mayRunAt(t *task, s *side) bool {
	only, isPinned := b.onlySide(t)
	return !isPinned || only == s
}

// nextRun returns the number of the next run of the task. A worker refuses one that isn't higher than
// those that have ended there.
func (b *Broker) nextRun(t *task) uint64 {
	h, _ := b.heldTaskElsewhere(t.name)
	return max(t.run, h.run) + 1
}

// evictPinned removes the pinned tasks of jobs that callers don't submit again.
func (b *Broker) evictPinned(now time.Time) {
	for t := range b.pinned {
		if t.job.isFinal || !now.Before(t.job.Deadline.Add(outcomeRetention)) {
			delete(b.pinned, t)
		}
	}
}

// hasPinned reports whether a task of the job is pinned that callers may submit again.
func (b *Broker) hasPinned(j *job) bool {
	for t := range b.pinned {
		if t.job == j {
			return true
		}
	}
	return false
}
