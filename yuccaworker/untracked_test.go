package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The worker lists a run that the side doesn't track, and its stop has no answer.
func TestTaskStartsBesideAnUntrackedRun(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	untracked := yuccaworker.Key{Task: "x", Run: 1}
	h.running[untracked], h.dropStops = true, true
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.order(entry, lease, task("b", 1, 14400))
	h.advanceWithLease(entry, 200*time.Millisecond)
	if h.running[runB] && h.running[untracked] {
		t.Error("the task was started while the worker lists a run that uses an unknown part of its capacity")
	}
	if h.states[entry].GetReady() {
		t.Error("the worker is reported as ready")
	}
	h.dropStops = false
	h.advanceWithLease(entry, 400*time.Millisecond)
	if !h.running[runA] || h.running[untracked] || !h.states[entry].GetReady() {
		t.Errorf("running %v, ready %v, want the tracked run alone and a worker that is ready", h.running, h.states[entry].GetReady())
	}
	h.order(entry, lease, task("c", 1, 14400))
	if !h.running[yuccaworker.Key{Task: "c", Run: 1}] {
		t.Error("the next task was not started")
	}
}
