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
