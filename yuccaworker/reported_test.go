package yuccaworker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// beforeAndAfterTheFirstList are times after a start: a worker that is called every 50 ms has listed the run at the last one.
var beforeAndAfterTheFirstList = []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 45 * time.Millisecond, 200 * time.Millisecond}

// reportAs delivers a report of a worker that isn't the one at the address.
func (h *harness) reportAs(id string, startedLater int64) {
	report := h.newReport(1)
	report.ID = id
	report.StartedAtMS += startedLater
	h.core.HandleReport(h.now, report)
	h.runActions()
}

func (h *harness) expectNoOutcome(name string) {
	h.t.Helper()
	if e := h.outcomeOf(entry, name); e != nil {
		h.t.Errorf("%s was reported as %v, want no outcome", name, e)
	}
}

func TestReportOfAnotherWorkerEndsARunThatGoesOn(t *testing.T) {
	for _, id := range []string{"w-1", "w-2"} {
		for _, after := range beforeAndAfterTheFirstList {
			t.Run(fmt.Sprintf("%s after %v", id, after), func(t *testing.T) {
				h := newHarness(t)
				h.order(entry, lease, task("a", 1, 1600))
				h.advance(after)
				h.reportAs(id, 100)
				h.expectNoOutcome("a")
				h.advanceWithLease(entry, 300*time.Millisecond)
				h.expectNoOutcome("a")
				h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
				h.advanceWithLease(entry, 200*time.Millisecond)
				h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
			})
		}
	}
}

// One run is listed, the other one has just started; the listed one ends.
func TestReportOfAnotherWorkerEndsARunOnceTheListedOneHasEnded(t *testing.T) {
	for _, pause := range beforeAndAfterTheFirstList {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advance(200 * time.Millisecond)
		h.heartbeat(entry)
		h.order(entry, lease, task("b", 1, 1600))
		h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
		h.reportAs("w-2", 100)
		h.advance(pause)
		h.expectNoOutcome("b")
	}
}

func TestReportOfAnotherWorkerEndsARunThatIsNotListedYetWithoutAnAnswer(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive, h.standing = true, true
	h.reportAs("w-2", 100)
	h.advance(200 * time.Millisecond)
	h.expectNoOutcome("a")
}

// The worker has executed the start.
func TestReportOfAnotherWorkerEndsARunWhoseStartHadNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.dropStartReplies = true
	h.order(entry, lease, task("a", 1, 1600))
	h.reportAs("w-2", 100)
	h.expectNoOutcome("a")
}

// replaceUnderUnlistedRun replaces the worker while it has a run that it has not listed.
func (h *harness) replaceUnderUnlistedRun() {
	h.holdsUnanswered = true
	h.order(entry, lease, task("a", 1, 1600))
	h.holdsUnanswered = false
	delete(h.running, runA)
	h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: h.incarnation.StartedAtMS + 100}
	h.token, h.latestRun = 0, make(map[string]uint64)
	h.reportAs("w-2", 0)
	h.advanceWithLease(entry, 200*time.Millisecond)
}

// The report names the worker that answers: the run can't be executed there.
func TestRunThatIsNotListedIsKeptAfterItsWorkerWasReplaced(t *testing.T) {
	h := newHarness(t)
	h.replaceUnderUnlistedRun()
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
	if cause := h.outcomeOf(entry, "a").GetCause(); cause == "" {
		t.Error("the outcome does not say what it rests on")
	}
}

func TestReportOfAnotherWorkerTakesAnIdleWorkerOutOfUse(t *testing.T) {
	for _, id := range []string{"w-1", "w-2"} {
		t.Run(id, func(t *testing.T) {
			h := newHarness(t)
			h.reportAs(id, 100)
			h.advance(100 * time.Millisecond)
			if !h.states[entry].GetReady() {
				t.Error("the worker is not reported as ready")
			}
			h.order(entry, lease, task("a", 1, 1600))
			if !h.running[runA] {
				t.Error("the run was not started")
			}
		})
	}
}

// The known worker has gone without a word, and nothing answers for it.
func TestWorkerThatReportsAtASilentAddressIsNotTakenOver(t *testing.T) {
	for name, fail := range map[string]func(h *harness, fails bool){
		"no answer": func(h *harness, fails bool) { h.silent = fails }, "refused": func(h *harness, fails bool) { h.refusing = fails },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			fail(h, true)
			h.incarnation = yuccaworker.Incarnation{ID: "w-2", StartedAtMS: h.incarnation.StartedAtMS + 100}
			h.token = 0
			h.report(1, false)
			h.runActions()
			h.advance(100 * time.Millisecond)
			fail(h, false)
			h.advance(300 * time.Millisecond)
			if state := h.states[entry]; !state.GetReady() || !state.GetTaken() {
				t.Errorf("the worker is reported as ready %v, taken over %v", state.GetReady(), state.GetTaken())
			}
		})
	}
}
