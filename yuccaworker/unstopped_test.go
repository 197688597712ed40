package yuccaworker_test

import (
	"testing"
	"time"
)

// The stops of a run of an earlier process are lost on their way, renewals are answered.
func TestTakeoverKeepsAnUnstoppedRunForGood(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.pendingHold = nil
	h.dropStops = true
	h.restartSide()
	h.report(2, false)
	h.runActions()
	h.advance(2 * time.Second)
	if h.running[runA] || !h.states[entry].GetTaken() {
		t.Errorf("after 2 s, the run is running: %v, the worker is taken over: %v", h.running[runA], h.states[entry].GetTaken())
	}
}
