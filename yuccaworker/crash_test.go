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
