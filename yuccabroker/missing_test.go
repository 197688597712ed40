package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// relink replaces the link of a side and delivers its full list of runs. Its worker is full.
func (f *fixture) relink(side string, clockMS uint64, present ...*yuccawire.RunKey) {
	f.broker.HandleLinkDown(f.now, side)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: side, Incarnation: 1, DataCentre: "puno"})
	state := f.workerState(noCapacity)
	state.ClockMs = clockMS
	f.broker.HandleEnds(f.now, side, &yuccawire.Ends{Full: true, State: state, Present: present})
	f.flush()
}

// The process is frozen for longer than the side retains outcomes. The links are handled before the tick.
func TestEndForgottenDuringAFreezeIsNoProofOfNotRun(t *testing.T) {
	for _, freeze := range []time.Duration{yuccaworker.OutcomeRetention + 50*time.Millisecond, 6 * time.Second} {
		f := newFixture(t, "s1")
		f.submit(job("a", 1), 1)
		f.now = f.now.Add(freeze)
		f.relink("s1", f.sideClock())
		f.broker.Tick(f.now)
		f.flush()
		f.wantState(1, yuccabroker.Abandoned)
	}
}

// An order that was lost with its link leaves the promise of a refusal intact.
func TestJobOfLostOrderIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.now = f.now.Add(yuccaworker.OutcomeRetention - 20*time.Millisecond)
	f.relink("s1", f.sideClock())
	f.broker.Tick(f.now)
	f.flush()
	f.wantState(1, yuccabroker.Rejected)
}

// Link X replaced Y at the side. At the entry, Y came up after X, with the list that the side had sent before X.
func TestListOfAnOlderLinkDoesNotDenyLaterOrders(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	old := f.sideClock()
	f.now = f.now.Add(100 * time.Millisecond)
	f.relink("s1", f.sideClock())
	f.report("s1", fullCPU)
	f.report("s2", noCapacity)
	f.submit(job("a", 1), 1)
	if got := f.sentRuns()["a.0.0.0/1"]; got != "s1" {
		t.Fatalf("sent %v, want the task at s1", f.sentRuns())
	}
	f.relink("s1", old)
	f.report("s2", fullCPU)
	f.flush()
	if got := f.sentRuns()["a.0.0.0/2"]; got != "" {
		t.Errorf("second run sent to %s while the first may run", got)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.relink("s1", f.sideClock())
	f.report("s2", fullCPU)
	f.flush()
	if f.sentRuns()["a.0.0.0/2"] == "" {
		t.Error("no second run after a newer list without the first")
	}
}

// A run that counts as never started turns up after all: in a list of ends, or of runs.
func TestRunThatTurnsUpLateIsNotForgotten(t *testing.T) {
	key := &yuccawire.RunKey{Task: "a.0.0.0", Run: 1}
	for name, turnUp := range map[string]func(f *fixture){
		"ended": func(f *fixture) {
			f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: key, End: yuccawire.RunEnd_RUN_END_STOPPED}}})
		},
		"present": func(f *fixture) { f.relink("s1", f.sideClock(), key) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			f.submit(job("a", 1), 1)
			f.relink("s1", f.sideClock())
			turnUp(f)
			f.report("s1", noCapacity)
			f.now = startTime.Add(3 * time.Second)
			f.broker.Tick(f.now)
			f.flush()
			f.wantState(1, yuccabroker.Abandoned)
		})
	}
}

// An end of an earlier submission says nothing of the present one.
func TestRefusedResendOfAJobThatRanBefore(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.report("s1", noCapacity)
	f.submit(job("a", 1), 2)
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	f.relink("s1", f.sideClock(), &yuccawire.RunKey{Task: "a.0.0.0", Run: 1})
	f.now = startTime.Add(3 * time.Second)
	f.broker.Tick(f.now)
	f.flush()
	f.wantState(2, yuccabroker.Rejected)
}

// The list that shows such a run also ends the last one that the entry waits for.
func TestRunThatTurnsUpWithTheLastRefusalIsNotForgotten(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.relink("s1", f.sideClock())
	f.report("s1", fullCPU)
	f.flush()
	if got := f.sentRuns()["a.0.0.0/2"]; got != "s1" {
		t.Fatalf("sent %v, want a second run at s1", f.sentRuns())
	}
	for range 200 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.report("s1", noCapacity)
		f.broker.Tick(f.now)
		f.flush()
		if len(f.withdrawn["s1"]) > 0 {
			break
		}
	}
	refused := &yuccawire.Ended{Run: &yuccawire.RunKey{Task: "a.0.0.0", Run: 2}, End: yuccawire.RunEnd_RUN_END_REFUSED}
	f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{
		Full: true, State: f.workerState(noCapacity), Ends: []*yuccawire.Ended{refused}, Present: []*yuccawire.RunKey{{Task: "a.0.0.0", Run: 1}},
	})
	f.flush()
	f.wantState(1, yuccabroker.Abandoned)
}
