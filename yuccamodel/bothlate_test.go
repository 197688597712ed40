package yuccamodel_test

import (
	"testing"
	"time"
)

// submitTwoLateStarts is submitLateStart for two runs of the task: the first fails, and the first try of the
// second is executed late, too.
func (w *world) submitTwoLateStarts() (*callerJob, *modelSide) {
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.run(40 * time.Millisecond)
	side.worker.fails = true
	for _, r := range side.worker.runs {
		r.remainingMS = 60
	}
	for !side.core.Idle() {
		w.run(time.Millisecond)
	}
	side.worker.fails = false
	for side.core.Idle() {
		w.run(callDelay / 3)
	}
	w.run(callDelay / 3) // The call before the start is on its way.
	side.worker.delayedCallShare = 1
	w.run(20 * time.Millisecond)
	side.worker.delayedCallShare = 0
	return job, side
}

func TestLateStartsOfTwoRunsOfATaskRunAtTheSameTime(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(warmUp)
	job, side := w.submitTwoLateStarts()
	w.losePower(side, 600*time.Millisecond, 900*time.Millisecond)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
