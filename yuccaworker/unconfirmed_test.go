package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// reportLaterStart delivers a report of a later start of the worker, which has not restarted.
func (h *harness) reportLaterStart() {
	report := h.newReport(1)
	report.StartedAtMS += 100
	h.core.HandleReport(h.now, report)
}

func TestReportOfALaterStartEndsRunsThatGoOn(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.reportLaterStart()
	h.runActions()
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
}

// An answer to a renewal that was sent before the report decides nothing.
func TestOlderAnswerRefutesAReportOfALaterStart(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	pending := *h.pendingHold
	h.reportLaterStart()
	h.core.Actions()
	h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{
		Incarnation: pending.Incarnation, SentAt: pending.SentAt, Result: yuccaworker.ResultOK, ClockMS: h.clock(), Running: []yuccaworker.Key{runA},
	})
	h.order(entry, lease, task("b", 1, 1600))
	if len(h.running) != 1 {
		t.Error("a start was sent while it is open whether the worker has restarted")
	}
	h.advanceWithLease(entry, 200*time.Millisecond)
	if len(h.running) != 2 {
		t.Error("the start was not sent after the worker's next answer")
	}
}

func TestReportOfALaterStartWithoutAnAnswerKeepsRunsForGood(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive = true
	h.reportLaterStart()
	h.advanceWithLease(entry, 800*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("no outcome of the run was reported")
	}
}

// The known worker stands still and accepts connections at its address.
func TestReportOfAnotherWorkerEndsRunsThatGoOn(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive, h.standing = true, true
	h.advanceWithLease(entry, 200*time.Millisecond)
	report := h.newReport(1)
	report.ID = "w-2"
	report.StartedAtMS += 100
	h.core.HandleReport(h.now, report)
	h.advance(20 * time.Millisecond)
	if e := h.outcomeOf(entry, "a"); e != nil {
		t.Errorf("reported %v, want nothing before a worker has answered", e)
	}
}

// The other worker answers at the address of the known one, whose process has ended.
func TestReportOfAnotherWorkerThatAnswersEndsTheRuns(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: h.incarnation.StartedAtMS + 100}
	h.token, h.latestRun, h.completions = 0, make(map[string]uint64), nil
	delete(h.running, runA)
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 100*time.Millisecond)
	if e := h.outcomeOf(entry, "a"); e.GetEnd() != yuccawire.RunEnd_RUN_END_CRASHED {
		t.Errorf("reported %v within 100 ms, want the run as crashed with its worker", e)
	}
	h.order(entry, lease, task("b", 1, 1600))
	if len(h.running) != 1 {
		t.Error("no start was sent to the other worker")
	}
}
