package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The worker is silent until its hold has expired, and executes the start once it has a new
// one: what is late is decided by the lease of all runs.
func TestDelayedStartAfterTheHoldExpired(t *testing.T) {
	h := newHarness(t)
	h.leaseDecides = true
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 16000))
	late := h.lostStarts[0]
	h.advanceWithLease(entry, 1500*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	h.unresponsive = false
	h.report(2, false)
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.order(entry, lease, task("b", 1, 16000))
	if !h.running[runB] {
		t.Fatal("the second task was not started")
	}
	h.start(late)
	if h.running[runA] {
		t.Error("the delayed start was executed: 32000 of 16000 milli-CPU are in use, and the run was reported as ended")
	}
}

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
