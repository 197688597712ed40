package yuccabroker_test

import (
	"testing"
	"time"
)

func TestAllTasksOfASilentSideAreHeldAtTheOtherEntries(t *testing.T) {
	const tasks = 1100
	f := newFixture(t, "s1")
	j := job("a", tasks)
	j.Steps[0].CPUMilli, j.Steps[0].MemoryMB = 1, 0
	f.submit(j, 1)
	if len(f.sentRuns()) != tasks {
		t.Fatalf("sent %d runs, want %d", len(f.sentRuns()), tasks)
	}
	f.advance(time.Second)
	if len(f.lastHeld()) != tasks {
		t.Errorf("told the other entries of %d tasks, want %d", len(f.lastHeld()), tasks)
	}
}
