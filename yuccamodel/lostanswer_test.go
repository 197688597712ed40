package yuccamodel_test

import (
	"testing"
	"time"
)

// The connection of the caller breaks while the answer is on its way, so that it comes again at another entry.
func TestSucceededRunStartsAgainBesideThatOfAResendAfterALostAnswer(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(300 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	for !side.core.Idle() {
		w.run(time.Millisecond)
	}
	for w.entries[0].broker.OpenJobs() > 0 {
		w.run(100 * time.Microsecond)
	}
	job.disconnect()
	for _, s := range w.sides {
		s.worker.slowdown = 4
	}
	w.losePower(side, 500*time.Millisecond, 700*time.Millisecond)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
