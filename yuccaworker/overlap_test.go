package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// A refusal of a retry tells nothing of the try before it, which had no answer.
func TestRefusedRetryIsReportedAsNotRun(t *testing.T) {
	for name, result := range map[string]yuccaworker.Result{
		"unhealthy": yuccaworker.ResultUnhealthy, "no room": yuccaworker.ResultNoCapacity, "late": yuccaworker.ResultExpired,
		"fenced": yuccaworker.ResultFenced, "invalid": yuccaworker.ResultInvalid, "other incarnation": yuccaworker.ResultOtherIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.dropStartReplies, h.retryResult = true, result
			h.order(entry, lease, task("a", 1, 1600))
			h.advanceWithLease(entry, 300*time.Millisecond)
			h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
		})
	}
}

// entrySlack is what entries add to both leases before they place a task again.
const entrySlack = 120 * time.Millisecond

// callerRetry is when a caller may submit its job elsewhere, after its connection broke.
const callerRetry = 1300 * time.Millisecond

// The lease of an owner ends at a worker that answers renewals, but no stops.
func TestUnansweredStopOutlivesTheOwnerLease(t *testing.T) {
	h := newHarness(t)
	h.dropStops = true
	h.order(entry, lease, task("a", 1, 1600))
	h.order(otherEntry, lease, task("b", 1, 1600))
	hold := time.Duration(float64(yuccaworker.Hold) * (1 + 2*yuccaworker.ClockDrift))
	h.advanceWithLease(otherEntry, (lease + hold + entrySlack).Round(100*time.Millisecond))
	if h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the run continues although both leases have expired")
	}
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
}

// The caller of a withdrawn run may submit its job elsewhere.
func TestUnansweredStopOutlivesTheCallersRetry(t *testing.T) {
	h := newHarness(t)
	h.dropStops = true
	h.order(entry, lease, task("a", 1, 1600))
	h.order(otherEntry, lease, task("b", 1, 1600))
	h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a", Run: 1}}})
	h.runActions()
	for withdrawnAt := h.now; h.now.Sub(withdrawnAt) < callerRetry-lease; {
		h.heartbeat(entry)
		h.advanceWithLease(otherEntry, 100*time.Millisecond)
	}
	if h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the withdrawn run continues")
	}
}

// A stop that is answered at its third try ends no other run.
func TestUnansweredStopsEndOtherRuns(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.order(otherEntry, lease, task("b", 1, 1600))
	h.advanceWithLease(otherEntry, lease.Round(100*time.Millisecond)-100*time.Millisecond)
	h.dropStops = true
	h.advanceWithLease(otherEntry, 300*time.Millisecond)
	h.dropStops = false
	h.advanceWithLease(otherEntry, 500*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
	if !h.running[yuccaworker.Key{Task: "b", Run: 1}] {
		t.Error("the run of the other owner has ended")
	}
}
