package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The answer to a renewal with the token from before the fence arrives after it.
func TestAnswerFromBeforeAFenceIsNoTakeover(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, time.Minute, task("a", 1, 1600))
	h.unresponsive = false
	h.core.HandleStartReply(h.now, h.incarnation, runA, yuccaworker.ResultUnknown, 0)
	h.runActions()
	h.silent = true
	for len(h.delivered[entry]) == 0 {
		h.advance(10 * time.Millisecond)
	}
	if len(h.timedOut) == 0 || !h.delivered[entry][0].GetMayStart() {
		t.Fatalf("renewals in flight: %d, ends %v, want one, and a lost run", len(h.timedOut), h.delivered[entry])
	}
	answer := h.timedOut[0]
	answer.Result, answer.ClockMS = yuccaworker.ResultOK, h.clock()
	h.core.HandleHoldReply(h.now, answer)
	h.lostStarts = nil
	h.unresponsive = true
	h.order(entry, time.Minute, task("a", 2, 1600))
	if len(h.lostStarts) > 0 {
		t.Errorf("run 2 is sent with token %d, before the worker has seen any above %d", h.lostStarts[0].Token, h.token)
	}
}
