package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestOlderPartOfAListMovesATaskBackToItsFormerSide(t *testing.T) {
	f := newFixture(t, "s1", otherSide)
	held := func(sequence uint64, side string, run uint64) {
		list := heldTasks(sequence, 10*time.Second, "a.0.0.0")
		list.Partial, list.Tasks[0].Side, list.Tasks[0].Run = true, side, run
		f.broker.HandleHeldTasks(f.now, list)
	}
	held(5, otherSide, 2)
	held(3, "s1", 1)
	f.submit(job("a", 1), 1)
	f.report(otherSide, fullCPU)
	f.flush()
	if runs := f.sentRuns(); len(runs) != 1 || runs["a.0.0.0/3"] != otherSide {
		t.Errorf("sent %v, want run 3 at the side that the newer part has named", runs)
	}
}

// The entry has pinned the task to two sides since, so that it may run at none.
func TestOlderPartOfAListReleasesATaskThatMayRunNowhere(t *testing.T) {
	f := newFixture(t, "s1", otherSide)
	for _, part := range []struct {
		sequence uint64
		side     string
	}{{5, ""}, {3, "s1"}} {
		list := &yuccawire.HeldTasks{Sender: "third", Incarnation: 1, Sequence: part.sequence, Partial: true, Tasks: []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000, Side: part.side, Run: 2}}}
		f.broker.HandleHeldTasks(f.now, list)
	}
	f.submit(job("a", 1), 1)
	if runs := f.sentRuns(); len(runs) > 0 {
		t.Errorf("sent %v, want nothing", runs)
	}
}
