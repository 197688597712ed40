package yuccamodel_test

import (
	"testing"
	"time"
)

// The entry dies at the moment at which the machine of its run loses power, as in a data centre without power.
func TestUnsettledRunStartsBesideThatOfAResendAfterEntryAndMachineWereLost(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(300 * time.Millisecond)
	w.losePower(side, 0, 1500*time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
