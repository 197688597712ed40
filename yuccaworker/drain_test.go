package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func TestOlderListOpensADrainedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 16000), task("b", 1, 1600))
	say := func(from yuccaworker.Owner, version uint64, isDrained bool) {
		h.core.HandleHeartbeat(h.now, from, &yuccawire.Beat{DrainedVersion: version, Drained: isDrained})
		h.runActions()
	}
	say(otherEntry, 2, true)
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_DRAINED)
	say(entry, 1, false)
	h.order(entry, lease, task("c", 1, 1600))
	h.expectOutcome(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_DRAINED)
	say(entry, 3, false)
	h.order(entry, lease, task("d", 1, 1600))
	h.core.HandleLinkDown(h.now, otherEntry)
	say(otherEntry, 4, true)
	h.expectOutcome(entry, "d", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_DRAINED)
	h.advanceWithLease(entry, yuccaworker.OutcomeRetention)
	h.report(2, false)
	h.advanceWithLease(entry, time.Second)
	h.order(entry, lease, task("e", 1, 1600))
	for _, e := range h.delivered[entry] {
		if task := e.GetRun().GetTask(); task == "a" || task == "e" {
			t.Errorf("%s got %v, want no end of the run in progress, nor a refusal by a list that is forgotten", task, e)
		}
	}
}
