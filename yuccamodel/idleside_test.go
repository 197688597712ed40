package yuccamodel_test

import (
	"testing"
	"time"
)

// The worker restarts while its side has no run, which doesn't notice that before the worker reports.
func TestStartAtAWorkerThatHasRestartedUnnoticedRunsBesideALateOne(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(730 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.after(650*time.Millisecond, side.worker.crash)
	w.after(1150*time.Millisecond, func() { side.worker.restartWithClock(0, maxReportDelay) })
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
