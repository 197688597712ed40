package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Small tasks of others keep the worker full.
func TestPinnedLargeTaskIsReserved(t *testing.T) {
	f := newFixture(t, "s1")
	j := largeJob("a")
	j.Deadline = f.now.Add(10 * time.Second)
	f.submit(j, 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	f.sides = []string{"s1", "s2"}
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_FAILED)
	f.tickFull(20)
	if got := f.reservedOrders(); len(got) != 1 || got[0] != "s1" {
		t.Errorf("reserved at %v, want the side that the task is pinned to", got)
	}
}

// The run takes long and may start again: its task could not run elsewhere.
func TestUnsettledRunIsNotMoved(t *testing.T) {
	for name, c := range map[string]struct {
		isSettled bool
		disturb   func(f *fixture, slow string)
		withdrawn int
	}{
		"straggling, settled":   {true, func(*fixture, string) {}, 1},
		"straggling, unsettled": {false, func(*fixture, string) {}, 0},
		"leaving, settled":      {true, func(f *fixture, slow string) { f.leave(slow, 50*time.Millisecond) }, 1},
		"leaving, unsettled":    {false, func(f *fixture, slow string) { f.leaveUnsettled(slow, 50*time.Millisecond) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1", "s2")
			f.submit(job("a", 2), 1)
			first := f.sentRuns()
			slow, other := first["a.0.0.0/1"], first["a.0.0.1/1"]
			if slow == other {
				t.Fatalf("sent %v, want a task at each side", first)
			}
			report := func() {
				if c.isSettled {
					f.report(slow, fullCPU)
				} else {
					f.reportUnsettled(slow)
				}
			}
			report()
			f.report(other, fullCPU)
			c.disturb(f, slow)
			if len(f.withdrawn[slow]) == 0 {
				f.endRunAfter(other, "a.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 100*time.Millisecond)
				for range 30 {
					f.now = f.now.Add(20 * time.Millisecond)
					report()
					f.report(other, fullCPU)
					f.broker.Tick(f.now)
					f.flush()
				}
			}
			if len(f.withdrawn[slow]) != c.withdrawn {
				t.Errorf("withdrew %v, want %d runs", f.withdrawn, c.withdrawn)
			}
		})
	}
}

// leaveUnsettled is leave for a side that lists the first run of job a as unsettled.
func (f *fixture) leaveUnsettled(side string, remaining time.Duration) {
	f.reportState(side, fullCPU, func(m *yuccawire.WorkerState) {
		m.OrdersSeen, m.Unsettled = f.lastOrder[side], []*yuccawire.RunKey{firstRun}
		m.Ready, m.Leaving, m.RemainingMs = false, true, uint32(remaining.Milliseconds())
	})
	f.flush()
}

// The worker may start the pinned task at any time, also while that waits for room.
func TestPinnedTaskCountsForTheSpread(t *testing.T) {
	f := newFixture(t, "s1")
	submitted := job("a", 2)
	submitted.Steps[0].Spread = 1
	f.submit(submitted, 1)
	f.report("s1", noCapacity)
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_DONE)
	f.report("s1", fullCPU)
	f.flush()
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want no other task of the step at the side", f.sentRuns())
	}
}
