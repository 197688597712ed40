package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var firstRun = &yuccawire.RunKey{Task: "a.0.0.0", Run: 1}

// reportUnsettled delivers a report that lists the first run of job a as unsettled.
func (f *fixture) reportUnsettled(side string) {
	f.reportState(side, fullCPU, func(m *yuccawire.WorkerState) {
		m.OrdersSeen = f.lastOrder[side]
		m.Unsettled = []*yuccawire.RunKey{firstRun}
	})
}

// restartSide replaces the process of a side. The new one has taken over the worker.
func (f *fixture) restartSide(side string) { f.replaceSide(side, f.workerState(fullCPU)) }

// restartSideWithoutWorker replaces the process of a side by one whose worker has not answered yet.
func (f *fixture) restartSideWithoutWorker(side string) {
	state := f.workerState(noCapacity)
	state.Taken, state.Ready = false, false
	f.replaceSide(side, state)
}

func (f *fixture) replaceSide(side string, state *yuccawire.WorkerState) {
	f.broker.HandleLinkDown(f.now, side)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: side, Incarnation: 2, DataCentre: "puno"})
	f.lastOrder[side] = 0
	f.broker.HandleEnds(f.now, side, &yuccawire.Ends{Full: true, State: state})
	f.flush()
}

// endFirstRun reports the end of the first run of job a, a start of which had no answer.
func (f *fixture) endFirstRun(side string, end yuccawire.RunEnd) {
	isLost := end == yuccawire.RunEnd_RUN_END_LOST
	f.broker.HandleEnds(f.now, side, &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: firstRun, End: end, MayStart: isLost, Unanswered: !isLost}}})
}

// The run ends, or its side is lost before it has reported that the start was answered.
func TestTaskOfAnUnansweredStartRunsAtTheSameSideOnly(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(f *fixture)
		runs int
	}{
		"silent":             {func(*fixture) {}, 1},
		"restarted":          {func(f *fixture) { f.restartSide("s1") }, 2},
		"reported unsettled": {func(f *fixture) { f.reportUnsettled("s1") }, 1},
		"lost by the side":   {func(f *fixture) { f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_LOST) }, 2},
		"failed":             {func(f *fixture) { f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_FAILED) }, 2},
		"stopped":            {func(f *fixture) { f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_STOPPED) }, 2},
		"settled before the worker restarted": {func(f *fixture) {
			f.report("s1", fullCPU)
			f.reportUnsettled("s1")
			f.restartSide("s1")
		}, 2},
		"reported unsettled, then restarted": {func(f *fixture) {
			f.reportUnsettled("s1")
			f.restartSide("s1")
		}, 2},
		"stopped at a side without room": {func(f *fixture) {
			f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_STOPPED)
			f.report("s1", noCapacity)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			f.submit(job("a", 1), 1)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
			f.report("s2", fullCPU)
			c.end(f)
			f.advance(4*time.Second, "s2")
			if len(f.sentRuns()) != c.runs || f.sentRuns()["a.0.0.0/1"] != "s1" || c.runs == 2 && f.sentRuns()["a.0.0.0/2"] != "s1" {
				t.Errorf("sent %v, want %d runs at the first side", f.sentRuns(), c.runs)
			}
			f.wantState(1, yuccabroker.Abandoned)
		})
	}
}

// Other tasks wait behind the one that may only run at a full worker.
func TestPinnedTaskDoesNotDelayOthers(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	f.report("s1", noCapacity)
	f.report("s2", fullCPU)
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_FAILED)
	f.submit(job("b", 1), 2)
	if f.sentRuns()["b.0.0.0/1"] != "s2" {
		t.Errorf("sent %v, want the task of the other job at the second side", f.sentRuns())
	}
	f.report("s1", fullCPU)
	f.flush()
	if f.sentRuns()["a.0.0.0/2"] != "s1" {
		t.Errorf("sent %v, want a second run at the first side", f.sentRuns())
	}
}

// The caller has gone before the run ends, and comes again at this entry, once it has ended or before.
func TestResendRunsAtTheSideOfAnUnansweredStart(t *testing.T) {
	for name, endsFirst := range map[string]bool{"ended": true, "ends later": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			f.submit(job("a", 1), 1)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
			f.broker.HandleDisconnect(f.now, "a", 1)
			if endsFirst {
				f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_STOPPED)
			}
			f.advance(300*time.Millisecond, "s1", "s2")
			f.submit(job("a", 1), 2)
			if !endsFirst {
				f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_STOPPED)
			}
			f.advance(100*time.Millisecond, "s1", "s2")
			if f.sentRuns()["a.0.0.0/2"] != "s1" {
				t.Errorf("sent %v, want the second run at the first side", f.sentRuns())
			}
		})
	}
}

// A report settles the run that an earlier one listed as unsettled.
func TestTaskOfASettledRunIsPlacedAgain(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.reportUnsettled("s1")
	f.report("s1", fullCPU)
	f.restartSide("s1")
	if f.sentRuns()["a.0.0.0/2"] == "" {
		t.Errorf("sent %v, want a second run", f.sentRuns())
	}
}

// The side was cut off for longer than its leases last, and reports then how the run ended.
func TestEndOfALostRunIsApplied(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.advance(1500 * time.Millisecond)
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
	f.wantState(1, yuccabroker.Completed)
}

// The caller has disconnected and submits again at this entry.
func TestResendWaitsForAnUnansweredStart(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1})
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(1300*time.Millisecond, "s2")
	f.submit(job("a", 1), 2)
	f.advance(4*time.Second, "s2")
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want the run of the first submission only", f.sentRuns())
	}
}

// The run of one task is lost and may start, another one is running elsewhere.
func TestJobWithALostRunThatMayStartKeepsItsOtherRuns(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"lost by the side": func(f *fixture) { f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_LOST) },
		"restarted":        func(f *fixture) { f.restartSide("s1") },
		"silent, then restarted": func(f *fixture) {
			f.advance(1300*time.Millisecond, "s2")
			f.restartSide("s1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			submitted := job("a", 2)
			submitted.Steps[0].Spread = 1
			f.submit(submitted, 1)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
			f.report("s2", fullCPU)
			f.flush()
			if got := f.sentRuns(); got["a.0.0.0/1"] != "s1" || got["a.0.0.1/1"] != "s2" {
				t.Fatalf("sent %v, want a task at each side", got)
			}
			lose(f)
			f.flush()
			f.advance(100*time.Millisecond, "s2")
			if len(f.withdrawn["s2"]) != 0 || f.sentRuns()["a.0.0.0/2"] != "s1" {
				t.Errorf("withdrawn %v, sent %v, want a second run at the first side beside the other one", f.withdrawn["s2"], f.sentRuns())
			}
			f.endRun("s1", "a.0.0.0", 2, yuccawire.RunEnd_RUN_END_DONE, 0)
			f.endRun("s2", "a.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
			f.wantState(1, yuccabroker.Completed)
		})
	}
}

func TestRunOfSilentSideUsesTheShareOfItsQueue(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	f.advance(2 * time.Second)
	if flows := f.flowsByQueue(); len(flows) != 0 {
		t.Errorf("after the leases have expired, the flows are %+v, want none", flows)
	}
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
	f.submit(job("b", 1), 2)
	f.advance(200*time.Millisecond, "s1")
	if own := f.flowsByQueue()["q"].Own; own.RunningMilli != 1600 {
		t.Errorf("after the end of the run, the demand is %+v, want that of the next one", own)
	}
}

// The side was silent for longer than its leases last, and reports then that it can't tell the end.
func TestJobWithARunLostAfterSilenceKeepsItsOtherRuns(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"lost by the side": func(f *fixture) { f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_LOST) },
		"end forgotten": func(f *fixture) {
			f.advance(3*time.Second, "s2")
			f.relink("s1", f.sideClock())
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			submitted := job("a", 2)
			submitted.Deadline = startTime.Add(30 * time.Second)
			submitted.Steps[0].Spread = 1
			f.submit(submitted, 1)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
			f.report("s2", fullCPU)
			f.flush()
			f.advance(2000*time.Millisecond, "s2")
			if len(f.withdrawn["s2"]) != 0 {
				t.Fatalf("withdrawn %v while the side may report the end, want none", f.withdrawn["s2"])
			}
			lose(f)
			f.report("s1", fullCPU)
			f.flush()
			if len(f.withdrawn["s2"]) != 0 || f.sentRuns()["a.0.0.0/2"] != "s1" {
				t.Errorf("withdrawn %v, sent %v, want a second run at the first side beside the other one", f.withdrawn["s2"], f.sentRuns())
			}
		})
	}
}

// The side was silent for longer than its leases last, and has not told the end of its run yet.
func TestHeldBackRunCountsForTheSpread(t *testing.T) {
	f := newFixture(t, "s1")
	submitted := job("a", 2)
	submitted.Deadline = startTime.Add(8 * time.Second)
	submitted.Steps[0].Spread = 1
	f.submit(submitted, 1)
	f.report("s1", fullCPU)
	f.advance(2 * time.Second)
	f.advance(100*time.Millisecond, "s1")
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one task at the side at a time", f.sentRuns())
	}
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
	if f.sentRuns()["a.0.0.1/1"] == "" {
		t.Errorf("sent %v, want the other task after the end of the first", f.sentRuns())
	}
}

// The start is answered while the run is held back, and the side restarts afterwards.
func TestRunSettledAfterItsSideWasSilentIsPlacedAgain(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1})
	f.advance(2*time.Second, "s2")
	f.relink("s1", f.sideClock(), firstRun)
	f.advance(100*time.Millisecond, "s1", "s2")
	f.restartSide("s1")
	f.advance(100*time.Millisecond, "s2")
	if f.sentRuns()["a.0.0.0/2"] == "" {
		t.Errorf("sent %v, want a second run once the worker is taken over", f.sentRuns())
	}
}
