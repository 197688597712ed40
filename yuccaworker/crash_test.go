package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// crash makes the worker refuse connections and end all its runs.
func (h *harness) crash() {
	h.refusing = true
	clear(h.running)
}

// The run time that is reported of a crashed run ends with the crash, not with the
// lease.
func TestCrashedRunIsReportedAsSuch(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(200 * time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, time.Second)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
	if ran := h.outcomeOf(entry, "a").GetRanMs(); ran < 200 || ran > 230 {
		t.Errorf("the run was reported to have run %d ms, want 200 to 230", ran)
	}
}

// expectCrash checks the last crash that was reported to an owner, of count.
func (h *harness) expectCrash(o yuccaworker.Owner, count int, unproven bool) {
	h.t.Helper()
	crashes := h.crashes[o]
	if len(crashes) != count {
		h.t.Fatalf("%s was told of the crashes %v, want %d", o.Name, crashes, count)
	}
	c := crashes[count-1]
	if len(c.GetRuns()) != 1 || c.GetStartedUnixMs() != 100 || c.GetUnproven() != unproven {
		h.t.Fatalf("%s was told of %v, want the crash of the first incarnation with one run, unproven: %v", o.Name, c, unproven)
	}
	if ran := c.GetRuns()[0].GetRanMs(); ran < 130 || ran > 200 {
		h.t.Errorf("the run was reported to have run %d ms, want the time until the last answer, 130 to 200", ran)
	}
}

// A worker that answers nothing until its hold has expired may have lost power, or be cut off. It counts as
// crashed once its process is known to have ended.
func TestSilentWorkerCountsAsCrashedOnceItsProcessHasEnded(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"it refuses connections": func(h *harness) { h.silent, h.refusing = false, true },
		"it reports as another incarnation": func(h *harness) {
			h.silent = false
			h.restart(200)
			h.report(1, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, task("a", 1, 1600))
			h.advance(200 * time.Millisecond)
			h.silent = true
			h.advanceWithLease(entry, 1200*time.Millisecond)
			h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
			if ran := h.outcomeOf(entry, "a").GetRanMs(); ran < 130 || ran > 200 {
				t.Errorf("the run was reported to have run %d ms, want the time until the last answer, 130 to 200", ran)
			}
			h.expectCrash(otherEntry, 1, true)
			clear(h.running)
			end(h)
			h.advanceWithLease(entry, 500*time.Millisecond)
			h.expectCrash(otherEntry, 2, false)
			late := yuccaworker.Owner{Name: "entry-3", Incarnation: 1}
			h.core.HandleLinkUp(h.now, late)
			h.runActions()
			h.expectCrash(late, 1, false)
		})
	}
}

// A worker that answers again has not crashed, whatever becomes of it later.
func TestSilentWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(200 * time.Millisecond)
	h.silent = true
	h.advanceWithLease(entry, 1200*time.Millisecond)
	clear(h.running)
	h.silent = false
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, time.Second)
	h.expectCrash(otherEntry, 1, true)
	late := yuccaworker.Owner{Name: "entry-3", Incarnation: 1}
	h.core.HandleLinkUp(h.now, late)
	h.runActions()
	if crashes := h.crashes[late]; len(crashes) > 0 {
		t.Errorf("a new owner was told of %v, want nothing", crashes)
	}
}

// The second crash of a worker that was silent before is that of its runs since then.
func TestCrashAfterASilenceIsThatOfItsOwnRuns(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(200 * time.Millisecond)
	h.silent = true
	h.advanceWithLease(entry, 1200*time.Millisecond)
	clear(h.running)
	h.silent = false
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 190*time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, time.Second)
	crashes := h.crashes[otherEntry]
	if len(crashes) != 2 || crashes[1].GetUnproven() || len(crashes[1].GetRuns()) != 1 || crashes[1].GetRuns()[0].GetTask() != "b" {
		t.Errorf("crashes %v were reported, want a suspicion, and a crash under b only", crashes)
	}
}

// A side that has stood still can't tell what its worker did.
func TestSideThatStoodStillReportsNoCrash(t *testing.T) {
	h := newHarness(t)
	h.order(entry, 5*time.Second, task("a", 1, 1600))
	h.advance(200 * time.Millisecond)
	h.now = h.now.Add(3 * time.Second)
	clear(h.running)
	h.core.Tick(h.now)
	h.runActions()
	h.advance(200 * time.Millisecond)
	if end := h.outcomeOf(entry, "a").GetEnd(); end != yuccawire.RunEnd_RUN_END_LOST && end != yuccawire.RunEnd_RUN_END_STOPPED {
		t.Errorf("the run was reported as %v, want it lost or stopped", end)
	}
	if len(h.crashes[entry]) > 0 {
		t.Errorf("crashes %v were reported", h.crashes[entry])
	}
}

// A renewal whose connection breaks is repeated at once, so that the time of a crash is
// known to the millisecond: it tells which tasks crash their workers.
func TestCrashIsTimedByTheNextTick(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(100 * time.Millisecond)
	p := h.pendingHold
	if p == nil {
		t.Fatal("no renewal is pending")
	}
	h.crash()
	h.pendingHold = nil
	h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{Incarnation: p.Incarnation, SentAt: p.SentAt})
	h.runActions()
	h.advanceWithLease(entry, 700*time.Millisecond)
	if ran := h.outcomeOf(entry, "a").GetRanMs(); ran != 100 {
		t.Errorf("the run was reported to have run %d ms, want 100", ran)
	}
}

func TestCrashIsNoticedOnlyWhenTheWorkerIsUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 14000))
	h.order(entry, lease, task("b", 1, 3000))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.crash()
	h.advance(30 * time.Millisecond)
	if h.states[entry].GetReady() {
		t.Error("the worker is reported as ready 30 ms after its crash")
	}
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	h.order(entry, lease, task("c", 1, 1600))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	if h.outcomeOf(entry, "a") != nil {
		t.Error("the run is reported as ended before its hold has expired")
	}
	h.advanceWithLease(entry, 600*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
}

// The call that finds the worker gone has not been executed, so its task can be placed
// elsewhere at once.
func TestStartAtCrashedWorkerIsRefused(t *testing.T) {
	h := newHarness(t)
	h.crash()
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	if h.states[entry].GetReady() {
		t.Error("the worker is reported as ready")
	}
	h.refusing = false
	h.report(2, false)
	h.advance(200 * time.Millisecond)
	if !h.states[entry].GetReady() {
		t.Error("the worker is not reported as ready after its next report")
	}
}

// A worker that refuses connections for a moment keeps its runs.
func TestUnreachableForAMoment(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.refusing = true
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.refusing = false
	h.advanceWithLease(entry, time.Second)
	if h.outcomeOf(entry, "a") != nil || len(h.running) != 1 {
		t.Errorf("outcome %v, %d runs, want the run to continue", h.outcomeOf(entry, "a"), len(h.running))
	}
	if !h.states[entry].GetReady() {
		t.Error("the worker is not reported as ready again")
	}
}

// Every owner learns of a crash at once, and later ones with their link, so that the
// next owner of a job knows of it.
func TestCrashIsReportedToAllOwners(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.crash()
	h.advance(50 * time.Millisecond)
	for _, o := range []yuccaworker.Owner{entry, otherEntry} {
		if crashes := h.crashes[o]; len(crashes) != 1 || len(crashes[0].GetRuns()) != 2 || crashes[0].GetWorker() != "w-1" {
			t.Errorf("%s was told of the crashes %v, want one with two runs", o.Name, crashes)
		}
	}
	late := yuccaworker.Owner{Name: "entry-3", Incarnation: 1}
	h.advanceWithLease(entry, time.Second)
	h.core.HandleLinkUp(h.now, late)
	h.runActions()
	if crashes := h.crashes[late]; len(crashes) != 1 || crashes[0].GetAgeMs() < 1000 || crashes[0].GetAgeMs() > 1100 {
		t.Errorf("a new owner was told of the crashes %v, want one that is a second old", crashes)
	}
	if n := len(h.crashes[entry]); n != 1 {
		t.Errorf("the crash was reported %d times, want once", n)
	}
}

// A restart that is noticed only by the next report counts as a crash, too.
func TestRestartIsReportedAsCrash(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.incarnation.StartedAtMS = 200
	clear(h.running)
	h.token = 0
	h.report(1, false)
	h.runActions()
	if crashes := h.crashes[entry]; len(crashes) != 1 || crashes[0].GetStartedUnixMs() != 100 {
		t.Errorf("crashes %v, want that of the earlier incarnation", crashes)
	}
}

func TestTwoSuspectTasksRunOnOneWorker(t *testing.T) {
	h := newHarness(t)
	suspect := func(name string) *yuccawire.TaskOrder {
		order := task(name, 2, 1600)
		order.Suspect = true
		return order
	}
	h.order(entry, lease, suspect("a"), task("b", 1, 1600))
	h.advance(20 * time.Millisecond)
	if !h.states[otherEntry].GetSuspectRun() {
		t.Error("other owners are not told of the suspect run")
	}
	h.order(otherEntry, lease, suspect("c"), task("d", 1, 1600))
	h.advance(20 * time.Millisecond)
	h.expectOutcome(otherEntry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_OTHER_SUSPECT)
	if len(h.running) != 3 {
		t.Errorf("%d runs, want the first suspect and both other tasks", len(h.running))
	}
	h.complete(yuccaworker.Key{Task: "a", Run: 2}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(100 * time.Millisecond)
	h.order(otherEntry, lease, suspect("e"))
	if !h.running[yuccaworker.Key{Task: "e", Run: 2}] {
		t.Error("the next suspect task does not run after the first has ended")
	}
}

// A worker that drains and ends before its runs are done has not crashed under them.
func TestEndOfLeavingWorkerIsReportedAsCrash(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.report(2, true)
	h.crash()
	h.advanceWithLease(entry, 700*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
	if len(h.crashes[entry]) > 0 {
		t.Errorf("crashes %v were reported, want none", h.crashes[entry])
	}
}

// The worker answers a renewal without listing the task, and crashes later.
func TestTaskOfLostStartIsBlamedForTheCrash(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	h.core.Actions() // the start is lost
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, 100*time.Millisecond)
	if len(h.crashes[entry]) != 1 {
		t.Fatalf("%d crashes were reported, want 1", len(h.crashes[entry]))
	}
	if runs := h.crashes[entry][0].GetRuns(); len(runs) != 1 || runs[0].GetTask() != "b" {
		t.Errorf("the crash is blamed on %v, want b only", runs)
	}
}

// The first try is lost, and the second one crashes the worker before it answers.
func TestTaskIsNotBlamedForTheCrashOfItsSecondTry(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	h.core.Actions() // the start is lost
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.core.HandleStartReply(h.now, h.incarnation, runA, yuccaworker.ResultUnknown, 0)
	h.core.Actions() // as is the answer to the second one
	h.crash()
	h.advanceWithLease(entry, 100*time.Millisecond)
	if len(h.crashes[entry]) != 1 || len(h.crashes[entry][0].GetRuns()) != 2 {
		t.Errorf("crashes %v were reported, want one with both runs", h.crashes[entry])
	}
}

// Only a run that the crashed incarnation has answered or listed was there for certain. Another
// one with its ID may answer a start, which its clock shows.
func TestUnansweredStartIsReportedAsConfirmed(t *testing.T) {
	old := yuccaworker.Incarnation{ID: "w-1", StartedAtMS: 100}
	answerAsAnother := func(h *harness) {
		h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{Incarnation: old, Result: yuccaworker.ResultOtherIncarnation, SentAt: h.now})
	}
	restart := func(h *harness) {
		h.restart(0)
		answerAsAnother(h)
	}
	const soon = 10 * time.Millisecond
	for name, c := range map[string]struct {
		before      func(h *harness)
		loseStart   bool
		crashAfter  time.Duration
		crash       func(h *harness)
		unconfirmed bool
	}{
		"answered":                    {crashAfter: soon, crash: (*harness).crash},
		"unanswered":                  {loseStart: true, crashAfter: soon, crash: (*harness).crash, unconfirmed: true},
		"listed, restarted at once":   {crashAfter: 300 * time.Millisecond, crash: restart},
		"answered, restarted at once": {crashAfter: soon, crash: restart},
		"answered by the next one": {before: func(h *harness) {
			h.restart(60_000)
			h.holdsUnanswered = true
			h.order(entry, lease, task("refused", 1, 1600))
		}, crashAfter: soon, crash: answerAsAnother, unconfirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if c.before != nil {
				c.before(h)
			}
			h.handleOrder(entry, lease, task("a", 1, 1600))
			for _, a := range h.core.Actions() {
				if _, isStart := a.(yuccaworker.CallStart); !isStart || !c.loseStart {
					h.runAction(a)
				}
			}
			h.advanceWithLease(entry, c.crashAfter)
			c.crash(h)
			h.advanceWithLease(entry, 2*time.Second)
			if len(h.crashes[entry]) != 1 || len(h.crashes[entry][0].GetRuns()) != 1 {
				t.Fatalf("crashes %v were reported, want one with the run", h.crashes[entry])
			}
			if got := h.crashes[entry][0].GetRuns()[0].GetUnconfirmed(); got != c.unconfirmed {
				t.Errorf("the run is reported as unconfirmed: %v, want %v", got, c.unconfirmed)
			}
		})
	}
}
