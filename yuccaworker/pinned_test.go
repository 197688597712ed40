package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func pinnedTask(name string, run uint64) *yuccawire.TaskOrder {
	t := task(name, run, 1600)
	t.Pinned = true
	return t
}

// The side has no run, and has not noticed that the worker has restarted.
func TestPinnedRunStartsAtAWorkerThatHasRestartedUnnoticed(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(-4000)
	h.order(entry, lease, pinnedTask("a", 2))
	h.advanceWithLease(entry, 200*time.Millisecond)
	if len(h.running) != 0 {
		t.Errorf("%v runs at the restarted worker, which has not been taken over", h.running)
	}
}

// The renewal is answered after 40 ms, an earlier one that waits for an end before.
func TestPinnedRunStartsOnceTheWorkerHasAnswered(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.holdsUnanswered = true
	h.order(entry, lease, pinnedTask("a", 2))
	h.advance(40 * time.Millisecond)
	if len(h.running) != 1 {
		t.Errorf("%v runs before the worker has answered, want the other task only", h.running)
	}
	h.holdsUnanswered = false
	h.advance(100 * time.Millisecond)
	if len(h.running) != 2 {
		t.Errorf("%v runs after the worker has answered, want both tasks", h.running)
	}
}
