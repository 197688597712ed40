package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

var refusals = map[string]yuccaworker.Result{"unhealthy": yuccaworker.ResultUnhealthy, "no room": yuccaworker.ResultNoCapacity}

var runB = yuccaworker.Key{Task: "b", Run: 1}

// The first try fills the worker and goes on, also while its stop has no answer.
func TestRefusedRetryDoesNotFreeCapacity(t *testing.T) {
	for name, result := range refusals {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.dropStartReplies, h.retryResult, h.dropStops = true, result, true
			h.order(entry, lease, task("a", 1, 16000), task("b", 1, 1600))
			if h.running[runA] && h.running[runB] {
				t.Error("17600 of 16000 milli-CPU are in use after the refused retry")
			}
			h.dropStartReplies, h.retryResult = false, yuccaworker.ResultUnknown
			h.advanceWithLease(entry, 200*time.Millisecond)
			if h.running[runA] && h.running[runB] {
				t.Error("17600 of 16000 milli-CPU are in use while the first run is being stopped")
			}
			h.dropStops = false
			h.advanceWithLease(entry, 300*time.Millisecond)
			if h.running[runA] || !h.running[runB] {
				t.Errorf("running: %v, want the second task alone", h.running)
			}
		})
	}
}

// The first try is executed late, after its retry was refused and the owner has been told.
func TestRefusedRetryIsNoProofForARefusal(t *testing.T) {
	for name, result := range refusals {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.handleOrder(entry, lease, task("a", 1, 1600))
			var late yuccaworker.CallStart
			for _, a := range h.core.Actions() {
				if start, ok := a.(yuccaworker.CallStart); ok {
					late = start
					continue
				}
				h.runAction(a)
			}
			h.core.HandleStartReply(h.now, late.Incarnation, late.Key, yuccaworker.ResultUnknown, 0)
			h.core.HandleStartReply(h.now, late.Incarnation, late.Key, result, h.clock())
			for _, a := range h.core.Actions() {
				if _, isRetry := a.(yuccaworker.CallStart); !isRetry {
					h.runAction(a)
				}
			}
			h.advanceWithLease(entry, 200*time.Millisecond)
			if e := h.outcomeOf(entry, "a"); e == nil || e.GetEnd() == yuccawire.RunEnd_RUN_END_REFUSED {
				t.Errorf("the owner is told %v, want an end that proves no refusal", e)
			}
			h.start(late)
			if h.running[runA] {
				t.Error("the first try is executed after the run was reported as ended")
			}
		})
	}
}
