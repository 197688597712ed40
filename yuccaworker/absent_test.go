package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// list answers a renewal that was sent at a time.
func (h *harness) list(sentAt time.Time) {
	result := yuccaworker.HoldResult{Incarnation: h.incarnation, Result: yuccaworker.ResultOK, SentAt: sentAt, ClockMS: h.clock(), Completions: h.completions}
	for key := range h.running {
		result.Running = append(result.Running, key)
	}
	h.core.HandleHoldReply(h.now, result)
	h.runActions()
}

func (h *harness) withdraw(key yuccaworker.Key) {
	h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: key.Task, Run: key.Run}}})
	h.runActions()
}

func (h *harness) expectKept(t *testing.T) {
	t.Helper()
	if h.stopping[runA] == 0 || h.running[runB] || h.outcomeOf(entry, "a") != nil {
		t.Errorf("the run is being stopped: the next task runs: %v, reported: %v", h.running[runB], h.outcomeOf(entry, "a"))
	}
}

// A stop is executed while a list is on its way, which was requested before.
func TestListRequestedBeforeAStopDoesNotDateIt(t *testing.T) {
	h := newHarness(t)
	h.stopTime, h.dropStopReplies, h.holdsUnanswered = stopTime, true, true
	h.order(entry, lease, task("a", 1, 16000), task("b", 1, 1600))
	sentAt := h.now
	h.now = h.now.Add(20 * time.Millisecond)
	h.list(sentAt)
	sentAt = h.now
	h.heartbeat(entry)
	h.now = h.now.Add(70 * time.Millisecond)
	h.withdraw(runA)
	h.list(sentAt)
	h.now = h.now.Add(10 * time.Millisecond)
	h.list(h.now.Add(-5 * time.Millisecond))
	h.expectKept(t)
}

// The same after a restart, where a run that was absent before the first stop has nothing to end.
func TestListRequestedBeforeAStopDoesNotShowAnAbsentRun(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.restart(200)
	h.stopTime, h.dropStartReplies, h.holdsUnanswered = stopTime, true, true
	h.order(entry, lease, task("a", 1, 16000))
	h.report(1, false)
	h.runActions()
	sentAt := h.now
	h.now = h.now.Add(5 * time.Millisecond)
	h.withdraw(runA)
	h.now = h.now.Add(5 * time.Millisecond)
	h.list(sentAt)
	h.now = h.now.Add(5 * time.Millisecond)
	h.list(h.now.Add(-time.Millisecond))
	h.expectKept(t)
}

// The worker reports all the while, but leaves calls unanswered until its hold has expired.
func TestDelayedStartAtAReportingWorkerAfterTheHoldExpired(t *testing.T) {
	h := newHarness(t)
	h.leaseDecides, h.unresponsive = true, true
	h.order(entry, lease, task("a", 1, 16000))
	for range 30 {
		h.report(h.now.UnixMilli(), false)
		h.advanceWithLease(entry, 100*time.Millisecond)
	}
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("the run is not reported as ended")
	}
	h.unresponsive = false
	h.report(h.now.UnixMilli(), false)
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	if !h.running[runB] {
		t.Fatal("the worker is not used again")
	}
	h.start(h.lostStarts[0])
	if h.running[runA] {
		t.Error("the start is executed after its run was reported as ended")
	}
}

// The side stood still while it had a list, and the worker may have restarted meanwhile.
func TestOldListIsNotAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	holds := h.holds()
	if len(holds) != 1 {
		t.Fatalf("%d renewals, want 1", len(holds))
	}
	h.running[runA] = true
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	result := yuccaworker.HoldResult{
		Incarnation: h.incarnation, Result: yuccaworker.ResultOK, SentAt: holds[0].SentAt, ClockMS: h.clock(), Completions: h.completions,
	}
	h.now = h.now.Add(2 * time.Second)
	h.core.HandleHoldReply(h.now, result)
	holds = h.holds()
	if len(holds) != 1 || holds[0].Cursor != 0 {
		t.Errorf("the renewals %+v acknowledge the end in a list that is 2 s old", holds)
	}
}

// holds returns the renewals among the next actions, and executes none.
func (h *harness) holds() []yuccaworker.CallHold {
	var holds []yuccaworker.CallHold
	for _, a := range h.core.Actions() {
		if hold, ok := a.(yuccaworker.CallHold); ok {
			holds = append(holds, hold)
		}
	}
	return holds
}

// A job that is submitted again after its outcome was dropped has the run numbers of before.
func TestOldEndIsNotReportedForALaterRun(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 17000))
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	for sequence := range int64(12) {
		h.advance(time.Second)
		h.report(2+sequence, false)
		h.runActions()
	}
	h.order(entry, lease, task("a", 1, 1600))
	clear(h.delivered)
	h.core.HandleLinkUp(h.now, entry)
	h.runActions()
	if e := h.outcomeOf(entry, "a"); !h.running[runA] || e != nil {
		t.Errorf("the run was started: %v, the owner is told %v", h.running[runA], e)
	}
}

// The stop of a run that the earlier process of the side left is executed late, and not listed.
func TestUntrackedRunThatIsBeingStoppedFreesNoCapacity(t *testing.T) {
	h := newHarness(t)
	h.stopTime, h.dropStops = stopTime, true
	h.order(entry, lease, task("a", 1, 16000))
	h.restartSide()
	h.report(2, false)
	h.runActions()
	h.advance(140 * time.Millisecond)
	h.stop(runA)
	for run := uint64(1); run <= 30 && len(h.running) == 0; run++ {
		h.advance(10 * time.Millisecond)
		h.order(entry, lease, task("b", run, 1600))
		if h.stopping[runA] != 0 && len(h.running) > 0 {
			t.Fatal("the next task runs while the run of the earlier process is being stopped")
		}
	}
	if len(h.running) == 0 {
		t.Error("the next task was not started")
	}
}
