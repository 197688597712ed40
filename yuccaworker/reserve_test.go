package yuccaworker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func reservedTask(name string, cpu uint32) *yuccawire.TaskOrder {
	t := task(name, 1, cpu)
	t.Reserved = true
	return t
}

func timedTask(name string, cpu, estimateMS uint32) *yuccawire.TaskOrder {
	t := task(name, 1, cpu)
	t.EstimateMs = estimateMS
	return t
}

// orderTier orders a task of a tier.
func (h *harness) orderTier(from yuccaworker.Owner, tier uint32, t *yuccawire.TaskOrder) {
	h.core.HandleOrders(h.now, from, &yuccawire.Orders{
		UntilMs: h.core.Clock(h.now) + uint64(lease.Milliseconds()),
		Jobs: []*yuccawire.JobOrder{{
			Job: "j", Service: "belfry", Tier: tier, RankMs: h.now.Sub(startTime).Milliseconds(), ExpiresMs: h.core.Clock(h.now) + 60_000, Tasks: []*yuccawire.TaskOrder{t},
		}},
	})
	h.runActions()
}

func (h *harness) runs(name string) bool { return h.running[yuccaworker.Key{Task: name, Run: 1}] }

func (h *harness) wantRunning(names ...string) {
	h.t.Helper()
	for _, name := range names {
		if !h.runs(name) {
			h.t.Errorf("%s does not run after %v", name, h.now.Sub(startTime))
		}
	}
}

func (h *harness) wantNotRunning(names ...string) {
	h.t.Helper()
	for _, name := range names {
		if h.runs(name) {
			h.t.Errorf("%s runs after %v", name, h.now.Sub(startTime))
		}
	}
}

// newReservingHarness has a worker of 16 cores with 14 in use, 8 of them for 100 ms, and
// a reservation of 8 cores that is forecast to start then.
func newReservingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.order(entry, lease, timedTask("short", 8000, 100), timedTask("long", 6000, 400))
	h.order(otherEntry, lease, reservedTask("large", 8000))
	h.advance(20 * time.Millisecond)
	return h
}

// Without a place beyond the limit of the queue, a large task would find the worker full
// whenever its order arrives. Two entries may reserve at the same side at once.
func TestReservedOrderIsQueuedBeyondTheLimit(t *testing.T) {
	h := newReservingHarness(t)
	h.order(entry, lease, reservedTask("second", 8000))
	h.advance(10 * time.Millisecond)
	h.expectOutcome(entry, "second", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_RESERVED)
	state := h.states[otherEntry]
	if !state.GetReserved() || len(state.GetReleases()) != 2 || state.GetReleases()[0].GetCpuMilli() != 8000 || state.GetQueuedCpuMilli()[0] != 2000 {
		t.Errorf("state is %v, want a reservation that keeps the 2 free cores, and two releases", state)
	}
	h.complete(yuccaworker.Key{Task: "short", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(70 * time.Millisecond)
	h.wantRunning("large")
	h.advanceWithLease(otherEntry, 100*time.Millisecond)
	if h.states[otherEntry].GetReserved() {
		t.Error("the reservation is still reported after the task has started")
	}
}

// Other tasks must not take what the reservation waits for, and capacity must not stay
// idle beside tasks that fit beside it or end in time, also behind ones that have to wait.
func TestBackfillBesideAReservation(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, timedTask("short", 8000, 100), timedTask("long", 6000, 400))
	h.order(otherEntry, lease, reservedTask("large", 9000))
	for i := range 12 {
		h.order(entry, lease, timedTask(fmt.Sprint("late", i), 200, 300))
	}
	h.order(entry, lease, timedTask("quick", 1000, 40))
	h.wantRunning("late0", "late4", "quick")
	h.wantNotRunning("late5", "late11", "large")
	h.complete(yuccaworker.Key{Task: "quick", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(60 * time.Millisecond)
	h.wantNotRunning("late5", "late11", "large")
	h.complete(yuccaworker.Key{Task: "short", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(60 * time.Millisecond)
	h.wantRunning("large")
}

// Urgent tasks go before a reservation of a less urgent tier.
func TestUrgentTasksGoBeforeAReservation(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, timedTask("short", 8000, 100), timedTask("long", 6000, 400))
	h.orderTier(otherEntry, 1, reservedTask("large", 10000))
	h.orderTier(entry, 1, timedTask("same", 1500, 900))
	h.orderTier(entry, 0, timedTask("urgent", 1500, 900))
	h.wantRunning("urgent")
	h.wantNotRunning("same", "large")
}

// The reservation starts although more tasks that don't fit are queued before it than are
// considered for a start.
func TestReservationBehindManyQueuedTasks(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, timedTask("a", 15950, 100))
	for i := range 8 {
		h.orderTier(entry, 0, timedTask(fmt.Sprint("b", i), 390, 2000))
	}
	h.orderTier(otherEntry, 1, reservedTask("large", 8000))
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(60 * time.Millisecond)
	h.wantRunning("large", "b0", "b7")
}

// A run that takes longer than expected must not hold the reserved task, nor keep the
// capacity from the others, for longer than 1.5 times the forecast and 100 ms.
func TestFailedForecastIsRefused(t *testing.T) {
	h := newReservingHarness(t)
	h.order(entry, lease, timedTask("late", 1900, 800))
	for range 10 {
		h.heartbeat(entry)
		h.heartbeat(otherEntry)
		h.advance(20 * time.Millisecond)
	}
	if h.outcomeOf(otherEntry, "large") != nil {
		t.Error("the reservation ended before its forecast has failed")
	}
	h.advance(50 * time.Millisecond)
	h.expectOutcome(otherEntry, "large", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	h.wantRunning("late")
	h.order(otherEntry, lease, reservedTask("next", 8000))
	if h.outcomeOf(otherEntry, "next") != nil {
		t.Error("no further reservation is possible")
	}
}

// The capacity is free for others once the owner's lease has run out, the task is
// withdrawn, or its order has expired.
func TestReservationEndsWithItsOrder(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"owner dies": func(h *harness) { h.core.HandleLinkDown(h.now, otherEntry) },
		"withdrawn": func(h *harness) {
			h.core.HandleWithdraw(h.now, otherEntry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "large", Run: 1}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, timedTask("short", 14000, 2000))
			h.order(otherEntry, lease, reservedTask("large", 15000))
			h.order(entry, lease, timedTask("late", 1900, 3000))
			h.wantNotRunning("late")
			end(h)
			h.advanceWithLease(entry, 700*time.Millisecond)
			h.wantRunning("late")
			if h.states[entry].GetReserved() {
				t.Error("the reservation is still reported")
			}
		})
	}
}

// A worker that shrinks below the reserved task refuses it at once, and one that can
// still hold it starts nothing beyond its capacity.
func TestCapacityShrinksUnderAReservation(t *testing.T) {
	h := newReservingHarness(t)
	h.reportCapacity(2, 7000)
	h.advance(20 * time.Millisecond)
	h.expectOutcome(otherEntry, "large", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)

	h = newReservingHarness(t)
	h.reportCapacity(2, 10000)
	h.complete(yuccaworker.Key{Task: "short", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(60 * time.Millisecond)
	h.wantNotRunning("large")
	h.complete(yuccaworker.Key{Task: "long", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(60 * time.Millisecond)
	h.wantRunning("large")
}

// A reserved order that fits when it arrives is no reservation.
func TestReservedOrderThatFits(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, reservedTask("large", 16000))
	h.wantRunning("large")
	h.advance(20 * time.Millisecond)
	if h.states[entry].GetReserved() {
		t.Error("a reservation is reported")
	}
}

// A succession of reservations must not starve a task that is queued beside them.
func TestReservationsDoNotStarveQueuedTasks(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, timedTask("long", 15000, 100))
	h.order(otherEntry, lease, reservedTask("large0", 16000))
	h.order(entry, lease, timedTask("small", 1000, 900))
	for i := range 4 {
		h.advance(10 * time.Millisecond)
		for key := range h.running {
			h.complete(key, yuccawire.RunEnd_RUN_END_DONE)
		}
		h.heartbeat(entry)
		h.heartbeat(otherEntry)
		h.advance(60 * time.Millisecond)
		if h.runs("small") {
			return
		}
		h.order(otherEntry, lease, reservedTask(fmt.Sprint("large", i+1), 16000))
	}
	t.Error("a queued task still waits after four reservations")
}
