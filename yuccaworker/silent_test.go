package yuccaworker_test

import (
	"testing"
	"time"
)

// The worker restarted with its side, and a renewal of the earlier process, with a deadline on
// the clock of the earlier incarnation, was executed before the takeover.
func TestDelayedRenewalOfEarlierProcessOutlivesTheHold(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.restartSide()
	h.holdUntilMS = h.clock() + time.Second.Milliseconds()
	h.report(1, false)
	h.runActions()
	h.advance(100 * time.Millisecond)
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
