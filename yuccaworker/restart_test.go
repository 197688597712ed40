package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// restart replaces the worker by a new incarnation with the same ID, which remembers
// nothing and executes calls to the earlier one. Its clock is offset ms ahead of that of
// the earlier one.
func (h *harness) restart(offset int64) {
	h.incarnation.StartedAtMS += 100
	h.clockOffset += offset
	clear(h.running)
	clear(h.latestRun)
	h.completions, h.lastNumber = nil, 0
	h.token, h.holdUntilMS = 0, 0
	h.pendingHold = nil
}

var runA = yuccaworker.Key{Task: "a", Run: 1}

// Until the side learns of a restart, the new incarnation executes its starts. The report
// of the new incarnation, or its answer to a renewal, does not end these runs.
func TestRunOfNewIncarnationIsReportedAsLost(t *testing.T) {
	for name, offset := range map[string]int64{"clock behind": -4000, "clock ahead": 200} {
		for news, reports := range map[string]bool{"report first": true, "renewal first": false} {
			t.Run(name+", "+news, func(t *testing.T) {
				h := newHarness(t)
				h.advance(time.Second)
				h.restart(offset)
				h.holdsUnanswered = reports
				h.order(entry, lease, task("a", 1, 1600))
				if !h.running[runA] {
					t.Fatal("the new incarnation has not started the run")
				}
				h.holdsUnanswered = false
				h.advanceWithLease(entry, 100*time.Millisecond)
				h.report(1, false)
				h.runActions()
				h.advanceWithLease(entry, 300*time.Millisecond)
				if !h.running[runA] {
					t.Error("the run was stopped, want it to continue")
				}
				h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
				h.advanceWithLease(entry, 200*time.Millisecond)
				h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
			})
		}
	}
}

// A start that had no answer may be executed by the new incarnation long after its restart.
func TestDelayedStartAtNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	delayed := h.lostStarts[0]
	h.restart(-4000)
	h.unresponsive = false
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 200*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	h.start(delayed)
	if h.running[runA] {
		t.Error("the delayed start was executed after the run was reported as ended")
	}
}

// A machine that loses power restarts the worker and its side, which knows no earlier token.
func TestDelayedStartRunsAfterWorkerAndSideRestartedTogether(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	delayed := h.lostStarts[0]
	h.restart(-4000)
	h.incarnation.StartedAtMS += 4000
	h.unresponsive = false
	h.restartSide()
	h.report(1, false)
	h.advance(200 * time.Millisecond)
	if !h.states[entry].GetTaken() {
		t.Fatal("the worker was not taken over")
	}
	h.start(delayed)
	if h.running[runA] {
		t.Error("a start of the earlier process of the side was executed after the takeover")
	}
}

// The runs that the earlier incarnation has listed are lost with it at once.
func TestListedRunsAreKeptAfterARestart(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.restart(-4000)
	h.report(1, false)
	h.expectOutcomeNow(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED)
}

// The new incarnation may be silent as soon as it has answered once.
func TestRunsOfSilentNewIncarnationAreKeptForGood(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = true
	h.advanceWithLease(entry, 100*time.Millisecond)
	if h.running[runA] && h.outcomeOf(entry, "a") != nil {
		t.Error("the run was reported as ended while it runs")
	}
	h.advanceWithLease(entry, 2*time.Second)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
}

// An announcement that the earlier incarnation exits may arrive after the restart.
func TestLateDeregistrationEndsRunsOfNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.restart(-4000)
	h.report(1, false)
	h.advance(100 * time.Millisecond)
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleDeregistration(h.now, "w-1")
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	h.report(2, false)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
	if !h.states[entry].GetReady() {
		t.Error("the worker is not reported as ready after its next report")
	}
}

// A worker that has said so and refuses connections has ended once its hold has expired, and did not crash.
func TestRunsOfDeregisteredWorkerAreKept(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.core.HandleDeregistration(h.now, "w-1")
	h.crash()
	h.advanceWithLease(entry, 700*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
	if cause := h.outcomeOf(entry, "a").GetCause(); cause != "hold expired" {
		t.Errorf("the cause is %q, want the expiry of the hold", cause)
	}
	if crashes := h.crashes[entry]; len(crashes) > 0 {
		t.Errorf("crashes %v were reported, want none", crashes)
	}
}

// Connections are refused as by a process that closes its listener before it ends.
func TestAnnouncedEndAndARefusedConnectionEndARunThatGoesOn(t *testing.T) {
	for _, after := range beforeAndAfterTheFirstList {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advance(after)
		h.core.HandleDeregistration(h.now, "w-1")
		h.runActions()
		h.refusing = true
		h.advance(100 * time.Millisecond)
		h.expectNoOutcome("a")
	}
}

// A renewal meant for the earlier incarnation acknowledges completions of the new one,
// whose numbers start anew.
func TestRenewalAcknowledgesCompletionOfNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("z", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.complete(yuccaworker.Key{Task: "z", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, time.Second)
	h.restart(-4000)
	h.holdsUnanswered = true
	h.order(entry, lease, task("a", 1, 1600))
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	h.holdsUnanswered = false
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
}

// The stop of a withdrawn run may have reached no incarnation.
func TestRunWithdrawnBeforeRestartIsNotStopped(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.holdsUnanswered, h.dropStops = true, true
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a", Run: 1}}})
	h.runActions()
	h.holdsUnanswered, h.dropStops = false, false
	withdrawnAt := h.now
	h.report(1, false)
	h.runActions()
	for h.now.Sub(withdrawnAt) < callerRetry-lease {
		h.advanceWithLease(entry, 100*time.Millisecond)
	}
	if h.running[runA] {
		t.Error("the withdrawn run continues")
	}
}

// The takeover of a new incarnation asks the worker to keep its runs for longer than Hold.
func TestTakeoverOfNewIncarnationOutlivesTheHold(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = false
	h.restart(-4000)
	h.report(1, false)
	h.runActions()
	if kept := time.Duration(h.holdUntilMS-h.clock()) * time.Millisecond; kept > yuccaworker.Hold {
		t.Errorf("the worker keeps its runs for %v after the side's last call, want at most %v", kept, yuccaworker.Hold)
	}
}

// A run that the new incarnation has started is not at fault for the end of the earlier one.
func TestRunOfNewIncarnationIsBlamedForTheCrash(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.holdsUnanswered = true
	h.order(entry, lease, task("a", 1, 1600))
	h.holdsUnanswered = false
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 300*time.Millisecond)
	if !h.running[runA] {
		t.Fatal("the new incarnation does not run the task")
	}
	for _, c := range h.crashes[entry] {
		for _, r := range c.GetRuns() {
			t.Errorf("crash of the incarnation born at %d blamed on %s after %d ms, which its successor runs", c.GetStartedUnixMs(), r.GetTask(), r.GetRanMs())
		}
	}
}

// The new incarnation answers, but reports late: nothing stops or fences earlier starts.
func TestDelayedStartAtNewIncarnationWithoutReport(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	var delayed yuccaworker.CallStart
	for _, a := range h.core.Actions() {
		if start, ok := a.(yuccaworker.CallStart); ok {
			delayed = start
			continue
		}
		h.runAction(a)
	}
	h.core.HandleStartReply(h.now, delayed.Incarnation, delayed.Key, yuccaworker.ResultUnknown, 0)
	h.advanceWithLease(entry, 1300*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	h.start(delayed)
	if h.running[runA] {
		t.Error("the delayed start was executed after the run was reported as ended")
	}
}

// A new incarnation that never answers keeps its runs for the longest lease, as the
// deadline is on the clock of the earlier one.
func TestHoldExpiryEndsRunsOfNewIncarnationThatNeverAnswers(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	h.dropStartReplies = true
	for _, a := range h.core.Actions() {
		h.runAction(a)
		h.unresponsive = true
	}
	if !h.running[runA] {
		t.Fatal("the new incarnation has not started the run")
	}
	h.advanceWithLease(entry, 1500*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("no outcome of the run was reported")
	}
}

// A start without an answer, at a worker that restarts unnoticed, may never have arrived.
func TestTaskThatNeverRanIsBlamedForTheCrash(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	h.restart(-4000)
	h.unresponsive = false
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 200*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	if crashes := h.crashes[entry]; len(crashes) > 0 {
		t.Errorf("crashes %v were reported, want none", crashes)
	}
}

// A delayed renewal with a deadline on the clock of the earlier incarnation, executed before
// the takeover, extends the hold of later runs, too.
func TestDelayedRenewalOutlivesTheHold(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.holdUntilMS = h.clock() + time.Second.Milliseconds()
	h.report(1, false)
	h.runActions()
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = true
	h.advanceWithLease(entry, 1500*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("no outcome of the run was reported")
	}
}

// The earlier incarnation answers the stop and restarts. The new one answers, but reports late.
func TestStopAnsweredBeforeTheRestartIsNotRepeated(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	delayed := h.lostStarts[0]
	h.unresponsive, h.holdsUnanswered = false, true
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.restart(-4000)
	h.holdsUnanswered = false
	h.advanceWithLease(entry, 1300*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	h.start(delayed)
	if h.running[runA] {
		t.Error("the delayed start was executed after the run was reported as ended")
	}
}

// The report that the takeover follows may be almost a second old, and a delayed renewal be
// executed after it.
func TestDelayedRenewalAfterAnOldReportOutlivesTheHold(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	report := h.newReport(1)
	h.advance(900 * time.Millisecond)
	h.holdUntilMS = h.clock() + time.Second.Milliseconds()
	h.core.HandleReport(h.now, report)
	h.runActions()
	h.order(entry, lease, task("a", 1, 1600))
	if !h.running[runA] {
		t.Fatal("the run was not started")
	}
	h.unresponsive = true
	h.advanceWithLease(entry, 1500*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("no outcome of the run was reported")
	}
}

// The wall clock of the machine was set back before the worker restarted.
func TestWorkerWithAnEarlierStartTimeIsLeftUnused(t *testing.T) {
	for name, tasks := range map[string][]*yuccawire.TaskOrder{"idle": nil, "busy": {task("a", 1, 1600)}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, tasks...)
			h.advanceWithLease(entry, time.Second)
			h.restart(-4000)
			h.incarnation.StartedAtMS -= 150
			for sequence := range int64(5) {
				h.report(sequence+1, false)
				h.advanceWithLease(entry, 1500*time.Millisecond)
			}
			if !h.states[entry].GetReady() {
				t.Error("the worker is not in use")
			}
		})
	}
}

// A report of an earlier incarnation that was delayed.
func TestDelayedReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	late := h.newReport(2)
	h.restart(-4000)
	h.report(1, false)
	h.advance(100 * time.Millisecond)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 5*time.Second)
	if h.core.HandleReport(h.now, late) {
		t.Error("the report of the earlier incarnation was accepted while a run is active")
	}
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
	h.core.HandleReport(h.now, late)
	h.advance(200 * time.Millisecond)
	h.report(2, false)
	h.advance(200 * time.Millisecond)
	if !h.states[entry].GetReady() {
		t.Error("the worker is not in use after its next report")
	}
}

// A worker that has announced its exit restarts, and executes a delayed start.
func TestDelayedStartAfterDeregistration(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	delayed := h.lostStarts[0]
	h.core.HandleDeregistration(h.now, "w-1")
	h.unresponsive, h.refusing = false, true
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.refusing = false
	h.restart(-4000)
	h.start(delayed)
	if h.running[runA] && h.outcomeOf(entry, "a") != nil {
		t.Error("the delayed start was executed after the run was reported as ended")
	}
	h.report(1, false)
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
}

// If it does not restart, the run is reported as lost in the end.
func TestUnansweredStartAtDeregisteredWorkerIsKeptForGood(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleDeregistration(h.now, "w-1")
	h.refusing = true
	h.advanceWithLease(entry, 1500*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
	if crashes := h.crashes[entry]; len(crashes) > 0 {
		t.Errorf("crashes %v were reported, want none", crashes)
	}
}

// The earlier incarnation has listed the run, after the second try. The first one is executed
// by a new incarnation that never answers.
func TestHoldExpiryEndsRunOfDelayedFirstTry(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.handleOrder(entry, lease, task("a", 1, 1600))
	for _, a := range h.core.Actions() {
		h.runAction(a)
	}
	h.unresponsive = false
	h.runActions()
	h.advanceWithLease(entry, 200*time.Millisecond)
	if !h.running[runA] {
		t.Fatal("the second try was not executed")
	}
	h.restart(-4000)
	h.start(h.lostStarts[0])
	h.unresponsive = true
	h.advanceWithLease(entry, 1500*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("no outcome of the run was reported")
	}
}

// A new incarnation may be of a different kind, with the same ID or another one.
func TestQueuedTaskStartsOnWorkerOfAnotherService(t *testing.T) {
	for _, id := range []string{"w-1", "w-2"} {
		t.Run(id, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, task("a", 1, 16000), task("b", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			if h.outcomeOf(entry, "b") != nil {
				t.Fatal("the second task was refused, want it queued")
			}
			h.restart(-4000)
			h.incarnation.ID = id
			report := h.newReport(1)
			report.Service = "other"
			h.core.HandleReport(h.now, report)
			h.runActions()
			h.advanceWithLease(entry, 200*time.Millisecond)
			if h.latestRun["b"] > 0 || h.running[yuccaworker.Key{Task: "b", Run: 1}] {
				t.Error("the queued task was started on the worker of another service")
			}
			h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
		})
	}
}

// A late start to the earlier incarnation is executed, and its answer arrives.
func TestAnswerOfARestartedWorkerMakesItUsable(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.refusing = true
	h.order(entry, lease, task("a", 1, 1600))
	earlier := h.incarnation
	h.refusing = false
	h.restart(-4000)
	h.running[yuccaworker.Key{Task: "z", Run: 1}] = true
	h.core.HandleStartReply(h.now, earlier, yuccaworker.Key{Task: "z", Run: 1}, yuccaworker.ResultOK, h.clock())
	h.order(entry, lease, task("b", 1, 16000))
	if h.running[yuccaworker.Key{Task: "b", Run: 1}] {
		t.Error("a run was started beside one that the side does not track")
	}
}
