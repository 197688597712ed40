package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The worker lists a run nowhere while it stops it for the earlier process of its side.
func TestNewProcessTakesOverWhileAHiddenRunIsStopped(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"at once": func(*harness) {},
		"delayed report of another worker first": func(h *harness) {
			report := h.newReport(1)
			report.ID = "w-0"
			h.core.HandleReport(h.now, report)
			h.runActions()
		},
		"list of an earlier incarnation first": func(h *harness) {
			clear(h.stopping)
			h.report(1, false)
			h.runActions()
			h.now = h.now.Add(takeOverTime)
			h.restart(0)
			h.stopping[runA] = h.clock() + stopTime.Milliseconds()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.stopTime = stopTime
			h.order(entry, lease, task("a", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a", Run: 1}}})
			h.runActions()
			h.restartSide()
			h.pendingHold = nil
			clear(h.states)
			prepare(h)
			if h.stopping[runA] == 0 {
				t.Fatal("the run is not being stopped")
			}
			h.report(1, false)
			h.runActions()
			for range 10 {
				if h.stopping[runA] != 0 && h.states[entry].GetTaken() {
					t.Fatal("the worker is reported as taken over while a run of the earlier process is being stopped")
				}
				h.advance(10 * time.Millisecond)
			}
			if !h.states[entry].GetTaken() {
				t.Error("the worker was not taken over once the run had ended")
			}
		})
	}
}
