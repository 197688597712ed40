package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// reportCapacity reports a changed capacity of the same worker.
func (h *harness) reportCapacity(sequence int64, cpuMilli int) {
	h.core.HandleReport(h.now, yuccaworker.Report{
		ID: h.incarnation.ID, StartedAtMS: h.incarnation.StartedAtMS, Service: "belfry", CPUMilli: cpuMilli, MemoryMB: 32768, ClockMS: h.clock(), Sequence: sequence,
	})
	h.runActions()
}

func TestTasksWaitAtAWorkerThatHasShrunk(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 8000), task("b", 1, 7000))
	h.order(entry, lease, task("c", 1, 3000))
	h.reportCapacity(2, 8000)
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	if state := h.states[otherEntry]; state.GetFreeCpuMilli() != -7000 || state.GetCpuMilli() != 8000 {
		t.Errorf("other owners are told of %d of %d free after 20 ms, want -7000 of 8000", state.GetFreeCpuMilli(), state.GetCpuMilli())
	}
	if len(h.running) != 2 {
		t.Errorf("%d runs, want those in progress to continue", len(h.running))
	}
}

// A worker without any capacity starts nothing, and is used again when it has grown.
func TestCapacityOfZero(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.reportCapacity(2, 0)
	h.order(entry, lease, task("b", 1, 100))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.reportCapacity(3, 4000)
	h.order(entry, lease, task("c", 1, 4000))
	if !h.running[yuccaworker.Key{Task: "c", Run: 1}] {
		t.Error("a task that fits the worker again is not started")
	}
}

// A side that has not heard of its worker's capacity for a while, since it stood still or
// reports were lost, starts nothing until the next report.
func TestStartWithStaleCapacity(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 4500*time.Millisecond)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	if h.states[entry].GetReady() || len(h.running) != 1 {
		t.Errorf("ready: %v, %d runs, want the side not ready and the run to continue", h.states[entry].GetReady(), len(h.running))
	}
	h.reportCapacity(2, 8000)
	h.order(entry, lease, task("c", 1, 1600))
	if !h.running[yuccaworker.Key{Task: "c", Run: 1}] {
		t.Error("a task is not started after the next report")
	}
}
