package yuccabroker

import (
	"fmt"
	"time"
)

const (
	// maxCrashes is how many workers may crash under the runs of a task before it is
	// given up. Two are enough if they crashed at the same point of its runs: that is
	// the task's doing, not that of another one on the same worker.
	maxCrashes = 3
	// Crashes happened at the same point if the run times until then differ by at most
	// samePointShare of the longer one, since workers differ in speed, and
	// samePointSlack, with which the side sees starts and crashes.
	samePointShare = 0.25
	samePointSlack = 15 * time.Millisecond
	// maxCountedLosses limits the number of counters of tasks by their losses.
	maxCountedLosses = 6
)

// recordLoss counts a run that ended with its worker.
func (b *Broker) recordLoss(t *task) {
	t.losses++
	b.metrics.Add("runs_lost_with_worker", 1)
	b.metrics.Add(fmt.Sprintf("tasks_lost_%d_times", min(t.losses, maxCountedLosses)), 1)
}

// handleCrash handles a run under which the worker crashed. It queues the task again,
// or ends its job if the task is the likely cause.
func (b *Broker) handleCrash(now time.Time, t *task, ran time.Duration) {
	t.crashes = append(t.crashes, ran)
	if !crashesWorkers(t.crashes) {
		b.enqueue(now, t)
		return
	}
	b.metrics.Add("tasks_given_up_after_crashes", 1)
	b.answer(now, t.job, Outcome{State: Failed, Reason: fmt.Sprintf("task %s crashed %d workers", t.name, len(t.crashes))})
}

// crashesWorkers reports whether a task is the likely cause of crashes, given the run
// times after which its workers crashed.
func crashesWorkers(crashes []time.Duration) bool {
	if len(crashes) >= maxCrashes {
		return true
	}
	for i, a := range crashes {
		for _, b := range crashes[:i] {
			if isSamePoint(a, b) {
				return true
			}
		}
	}
	return false
}

func isSamePoint(a, b time.Duration) bool {
	return (a - b).Abs() <= time.Duration(samePointShare*float64(max(a, b)))+samePointSlack
}
