package yuccamodel_test

import (
	"testing"
	"time"
)

// The side of the run is linked with the killed entry, and not with that at which the caller comes again.
func TestStoppedRunStartsBesideThatOfAResendAtAnUnlinkedEntry(t *testing.T) {
	w := newFleet(t, 1, 1, 2, 3)
	w.isLinked = func(e *modelEntry, s *modelSide) bool { return e == w.entries[0] || s != w.sides[2] }
	w.start()
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(100 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
	w.run(12 * time.Second)
	if side != w.sides[2] || !job.isCompleted() {
		t.Errorf("run at %s, answered: %v, as %v, want the job completed", side.name, job.isAnswered, job.state)
	}
}
