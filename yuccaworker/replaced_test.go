package yuccaworker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The worker has restarted under its ID and executed the start; the report is of a third one.
func TestReportOfAnotherWorkerEndsARunOfTheNewIncarnation(t *testing.T) {
	for name, reportsFirst := range map[string]bool{"report first": true, "renewal first": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(time.Second)
			h.restart(-4000)
			h.holdsUnanswered = reportsFirst
			h.order(entry, lease, task("a", 1, 1600))
			h.holdsUnanswered = false
			if !h.running[runA] {
				t.Fatal("the new incarnation has not started the run")
			}
			h.reportAs("w-2", 100)
			h.advanceWithLease(entry, 100*time.Millisecond)
			if e := h.outcomeOf(entry, "a"); e != nil {
				t.Errorf("reported as %v, may start %v, cause %q while it runs", e.GetEnd(), e.GetMayStart(), e.GetCause())
			}
		})
	}
}

// No connection to the machine of the worker could be opened for a while; the worker has not ended.
func TestReportOfAnotherWorkerProvesTheCrashOfASilentOne(t *testing.T) {
	for _, id := range []string{"w-1", "w-2"} {
		t.Run(id, func(t *testing.T) {
			h := newHarness(t)
			h.loseSilentRun()
			h.reportAs(id, 100)
			h.advance(200 * time.Millisecond)
			h.expectNoProvenCrash()
		})
	}
}

func TestCrashOfAWorkerThatHasDeregisteredIsProven(t *testing.T) {
	h := newHarness(t)
	h.loseSilentRun()
	h.core.HandleDeregistration(h.now, "w-1")
	h.silent, h.unresponsive = false, false
	h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: h.incarnation.StartedAtMS + 100}
	h.token = 0
	h.report(1, false)
	h.runActions()
	h.advance(200 * time.Millisecond)
	h.expectNoProvenCrash()
}

// loseSilentRun starts a run at a worker to which no connection can be opened then, until it counts as lost.
func (h *harness) loseSilentRun() {
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.silent, h.unresponsive = true, true
	h.advanceWithLease(entry, time.Second)
	if h.outcomeOf(entry, "a") == nil {
		h.t.Fatal("no outcome of the run was reported")
	}
}

func (h *harness) expectNoProvenCrash() {
	h.t.Helper()
	for _, c := range h.crashes[entry] {
		if !c.GetUnproven() {
			h.t.Errorf("the crash of %s is reported as proven, runs %v", c.GetWorker(), c.GetRuns())
		}
	}
}

func TestWorkerThatReportsBeforeItsPredecessorDeregistersIsNotTakenOver(t *testing.T) {
	h := newHarness(t)
	h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: h.incarnation.StartedAtMS + 100}
	h.token = 0
	h.report(1, false)
	h.core.HandleDeregistration(h.now, "w-1")
	h.runActions()
	h.advance(300 * time.Millisecond)
	if state := h.states[entry]; !state.GetReady() {
		t.Error("the worker that has reported is not in use")
	}
}

// Two other workers report in turn at intervals shorter than the known one takes to answer.
func TestReportsOfTwoOtherWorkersLetTheHoldOfRunsExpire(t *testing.T) {
	const latency, interval = 60 * time.Millisecond, 50 * time.Millisecond
	for _, others := range []int{1, 2} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, task("a", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			var calls []yuccaworker.CallHold
			for i := range 200 {
				h.now = h.now.Add(10 * time.Millisecond)
				if h.clock() > h.holdUntilMS {
					t.Fatalf("the hold has expired after %d ms", 10*i)
				}
				for len(calls) > 0 && h.now.Sub(calls[0].SentAt) >= latency {
					calls[0].Wait = 0
					h.hold(calls[0])
					calls = calls[1:]
				}
				if i%int(interval/(10*time.Millisecond)) == 0 {
					r := h.newReport(int64(i) + 1)
					r.ID, r.StartedAtMS = fmt.Sprint("w-", 2+i/5%others), r.StartedAtMS+100
					h.core.HandleReport(h.now, r)
				}
				h.heartbeat(entry)
				h.core.Tick(h.now)
				for _, a := range h.core.Actions() {
					if call, isHold := a.(yuccaworker.CallHold); isHold {
						calls = append(calls, call)
					} else {
						h.runAction(a)
					}
				}
			}
		})
	}
}

// The renewal reaches a new incarnation, for which its deadline is the longest lease; without the other report the side allows for that.
func TestDelayedRenewalOutlivesTheHoldAfterAReportOfAnotherWorker(t *testing.T) {
	for name, reports := range map[string]func(h *harness){
		"no other report":          func(*harness) {},
		"report of another worker": func(h *harness) { h.reportAs("w-2", 100) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(time.Second)
			h.order(entry, lease, task("z", 1, 1600))
			h.advanceWithLease(entry, 100*time.Millisecond)
			h.complete(yuccaworker.Key{Task: "z", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
			h.advanceWithLease(entry, 100*time.Millisecond)
			delayed := yuccaworker.CallHold{Incarnation: h.incarnation, DeadlineMS: h.clock() + yuccaworker.Hold.Milliseconds(), Token: h.token}
			h.restart(-4000)
			h.hold(delayed)
			reports(h)
			h.report(1, false)
			h.runActions()
			h.advance(20 * time.Millisecond)
			h.order(entry, lease, task("a", 1, 1600))
			if !h.running[runA] {
				t.Fatal("the run was not started")
			}
			h.unresponsive = true
			h.advanceWithLease(entry, 1500*time.Millisecond)
			if h.outcomeOf(entry, "a") == nil {
				t.Error("no outcome of the run was reported")
			}
		})
	}
}

// The worker executes a start without an answer, refuses connections and goes on; the report has its ID and start, and another clock.
func TestClockOfAReportEndsARunThatGoesOn(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.holdsUnanswered = true
	h.advance(240 * time.Millisecond)
	h.handleOrder(entry, lease, task("b", 1, 1600))
	for _, a := range h.core.Actions() {
		if start, ok := a.(yuccaworker.CallStart); ok {
			h.running[start.Key] = true
			h.holdUntilMS = max(h.holdUntilMS, start.DeadlineMS)
			continue
		}
		h.runAction(a)
	}
	h.refusing = true
	h.advance(80 * time.Millisecond)
	r := h.newReport(2)
	r.ClockMS += 600
	h.core.HandleReport(h.now, r)
	h.runActions()
	for range 40 {
		h.heartbeat(entry)
		h.advance(10 * time.Millisecond)
	}
}

// The other worker answers with its own ID: the run, whose start was answered, has ended.
func TestTaskOfARunWithAnAnsweredStartIsPinnedAfterItsWorkerWasReplaced(t *testing.T) {
	h := newHarness(t)
	h.replaceUnderUnlistedRun()
	if e := h.outcomeOf(entry, "a"); e.GetMayStart() {
		t.Errorf("reported as %v, may start, cause %q", e.GetEnd(), e.GetCause())
	}
}

// The first report that a new process of the side receives doesn't state the start, so that an answer can't differ from it.
func TestReportWithoutAStartKeepsTheWorkerOutOfUse(t *testing.T) {
	h := newHarness(t)
	h.restartSide()
	r := h.newReport(1)
	r.StartedAtMS = 0
	h.core.HandleReport(h.now, r)
	born := h.incarnation.StartedAtMS
	for i := range 80 {
		if i%15 == 0 {
			h.report(int64(i)+2, false)
		}
		for _, a := range h.core.Actions() {
			if hold, ok := a.(yuccaworker.CallHold); ok {
				h.incarnation.StartedAtMS = hold.Incarnation.StartedAtMS
			}
			h.runAction(a)
			h.incarnation.StartedAtMS = born
		}
		h.heartbeat(entry)
		h.now = h.now.Add(100 * time.Millisecond)
		h.core.Tick(h.now)
	}
	h.runActions()
	if !h.states[entry].GetReady() {
		t.Error("the worker reports its start and is not in use after 8 s")
	}
}
