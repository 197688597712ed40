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

// isPinned reports whether the task may run at some sides only, or at none.
func (b *Broker) isPinned(t *task) bool {
	_, isHeld := b.heldTaskElsewhere(t.name)
	return isHeld || len(t.pinnedTo) > 0
}

// mayRunAt reports whether the side is the only one that may start an earlier run of the task, if
// there is any.
func (b *Broker) mayRunAt(t *task, s *side) bool {
	for _, sideName := range t.pinnedTo {
		if sideName != s.name {
			return false
		}
	}
	h, isHeld := b.heldTaskElsewhere(t.name)
	return !isHeld || h.side == s.name
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
