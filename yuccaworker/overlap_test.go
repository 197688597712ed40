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
