package yuccamodel_test

import (
	"testing"
	"time"
)

// The wall clock of the machine is set back when it has lost power, so that the new token is below that of the late start.
func TestLateStartIsNotFencedAfterTheWallClockWasSetBack(t *testing.T) {
	w := newFleet(t, 1, 1, 1, 3)
	for _, s := range w.sides {
		s.worker.incarnation.StartedAtMS = s.worker.startedAt.UnixMilli()
	}
	w.start()
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.run(80 * time.Millisecond)
	m := side.worker
	m.crash()
	w.killSide(side, 700*time.Millisecond)
	w.after(500*time.Millisecond, func() {
		m.restartWithClock(0, 100*time.Millisecond)
		m.incarnation.StartedAtMS -= 10_000
	})
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
