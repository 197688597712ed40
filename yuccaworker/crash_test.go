package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// crash makes the worker refuse connections and end all its runs.
func (h *harness) crash() {
	h.refusing = true
	clear(h.running)
}

// The run time that is reported of a crashed run ends with the crash, not with the
// lease.
func TestCrashedRunIsReportedAsSuch(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(200 * time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, time.Second)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
	if ran := h.outcomeOf(entry, "a").GetRanMs(); ran < 200 || ran > 230 {
		t.Errorf("the run was reported to have run %d ms, want 200 to 230", ran)
	}
}

func TestRunOfSilentWorkerIsNotReportedAsCrashed(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = true
	h.advanceWithLease(entry, 1200*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
}

func TestCrashIsNoticedOnlyWhenTheWorkerIsUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 14000))
	h.order(entry, lease, task("b", 1, 3000))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.crash()
	h.advance(30 * time.Millisecond)
	if h.states[entry].GetReady() {
		t.Error("the worker is reported as ready 30 ms after its crash")
	}
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	h.order(entry, lease, task("c", 1, 1600))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	if h.outcomeOf(entry, "a") != nil {
		t.Error("the run is reported as ended before its hold has expired")
	}
	h.advanceWithLease(entry, 600*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
}

// The call that finds the worker gone has not been executed, so its task can be placed
// elsewhere at once.
func TestStartAtCrashedWorkerIsRefused(t *testing.T) {
	h := newHarness(t)
	h.crash()
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	if h.states[entry].GetReady() {
		t.Error("the worker is reported as ready")
	}
	h.refusing = false
	h.report(2, false)
	h.advance(200 * time.Millisecond)
	if !h.states[entry].GetReady() {
		t.Error("the worker is not reported as ready after its next report")
	}
}

// A worker that refuses connections for a moment keeps its runs.
func TestUnreachableForAMoment(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.refusing = true
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.refusing = false
	h.advanceWithLease(entry, time.Second)
	if h.outcomeOf(entry, "a") != nil || len(h.running) != 1 {
		t.Errorf("outcome %v, %d runs, want the run to continue", h.outcomeOf(entry, "a"), len(h.running))
	}
	if !h.states[entry].GetReady() {
		t.Error("the worker is not reported as ready again")
	}
}
