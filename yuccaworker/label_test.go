package yuccaworker_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func labelled(name, label string) *yuccawire.TaskOrder {
	t := task(name, 1, 1600)
	t.Label = label
	return t
}

// reportLabel reports a label of the worker, and lets the side take it over if it is a new one.
func (h *harness) reportLabel(label string) {
	r := h.newReport(h.clock())
	r.Labels = []string{label}
	h.core.HandleReport(h.now, r)
	h.runActions()
	h.heartbeat(entry)
	h.advance(takeOverTime)
}

func TestOrderForTheLastWorkerStartsAtTheNextOneWithoutItsLabel(t *testing.T) {
	h := newHarness(t)
	h.reportLabel("a")
	h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: 200}
	h.reportLabel("b")
	h.order(entry, lease, labelled("late", "a"), labelled("fitting", "b"))
	h.expectOutcome(entry, "late", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	h.wantRunning("fitting")
}

func TestTaskThatWaitsStartsAfterItsWorkerHasLostTheLabel(t *testing.T) {
	h := newHarness(t)
	h.reportLabel("a")
	h.order(entry, lease, task("large", 1, 16000), labelled("waiting", "a"))
	h.reportLabel("b")
	h.expectOutcome(entry, "waiting", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	h.wantRunning("large")
}
