package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// stopTime is how long a worker takes to stop a run, which it lists in neither list then.
const stopTime = 50 * time.Millisecond

// What is being stopped counts until its end is listed.
func TestRunThatIsBeingStoppedFreesNoCapacity(t *testing.T) {
	for name, dropReply := range map[string]bool{"answered": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.stopTime, h.dropStopReplies = stopTime, dropReply
			h.order(entry, lease, task("a", 1, 16000), task("b", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a", Run: 1}}})
			h.runActions()
			for range 30 {
				h.heartbeat(entry)
				h.advance(10 * time.Millisecond)
				if h.stopping[runA] != 0 && (h.running[runB] || h.outcomeOf(entry, "a") != nil) {
					t.Fatalf("the run is being stopped: the next task runs: %v, reported: %v", h.running[runB], h.outcomeOf(entry, "a"))
				}
			}
			h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
			if !h.running[runB] {
				t.Error("the next task was not started")
			}
		})
	}
}
