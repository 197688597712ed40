package yuccamodel_test

import (
	"testing"
	"time"
)

// The worker restarts before the late start arrives, its side afterwards.
func TestResendAtAnotherEntryRunsBesideALateStart(t *testing.T) {
	w, job := resendBesideALateStart(t)
	w.run(5 * time.Second)
	if !job.isCompleted() {
		t.Errorf("the job ends as %v, want it completed", job.state)
	}
}

// resendBesideALateStart submits a job whose first run starts late, at the next incarnation of the worker.
func resendBesideALateStart(t *testing.T) (*world, *callerJob) {
	w := newFleet(t, 1, 1, 2, 2)
	w.isLinked = func(e *modelEntry, s *modelSide) bool { return e == w.entries[1] || s == w.sides[0] }
	w.patience = 6 * time.Second
	w.start()
	w.run(warmUp)
	side := w.sides[0]
	side.worker.delayedCallShare, side.worker.delaySpread = 1, time.Millisecond
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	job := w.submitOneTask(1600, 1500*time.Millisecond)
	w.run(20 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	job.disconnect()
	side.worker.crash()
	side.worker.delayedCallShare = 0
	w.killSide(side, 2050*time.Millisecond)
	w.after(1950*time.Millisecond, func() { side.worker.restartWithClock(0, 150*time.Millisecond) })
	return w, job
}
