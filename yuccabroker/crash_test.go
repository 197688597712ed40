package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const crashed = yuccawire.RunEnd_RUN_END_CRASHED

// crashReport returns the report of a crash of a worker under a run of a task.
func crashReport(worker, task string, ran time.Duration) *yuccawire.CrashReport {
	return &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{{
		Side: worker, Worker: worker, StartedUnixMs: 1, Runs: []*yuccawire.CrashedRun{{Task: task, RanMs: uint32(ran.Milliseconds())}},
	}}}
}

// crashRun reports a crash of the worker under a run of a task, and the end of the run.
func (f *fixture) crashRun(task string, run uint64, ran time.Duration) {
	side := f.sentRuns()[fmt.Sprintf("%s/%d", task, run)]
	f.broker.HandleCrashReport(f.now, crashReport(fmt.Sprint(side, "-", run), task, ran))
	f.endRunAfter(side, task, run, crashed, ran)
}

func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		after []time.Duration
	}{
		"at its start":          {after: []time.Duration{12 * ms, 24 * ms}},
		"later, in proportion":  {after: []time.Duration{400 * ms, 350 * ms}},
		"at different points":   {after: []time.Duration{12 * ms, 150 * ms, 60 * ms}},
		"twice at the same one": {after: []time.Duration{150 * ms, 12 * ms, 20 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1", "s2", "s3", "s4")
			f.submit(job("a", 1), 1)
			for i, ran := range c.after {
				if _, answered := f.answers[1]; answered {
					t.Fatalf("the job is given up after %d crashes", i)
				}
				f.crashRun("a.0.0.0", uint64(i+1), ran)
			}
			f.wantState(1, yuccabroker.Failed)
			if len(f.sentRuns()) != len(c.after) {
				t.Errorf("sent %v, want %d runs", f.sentRuns(), len(c.after))
			}
		})
	}
}

// Runs that are lost for another cause than a crash don't count.
func TestLostRunsAreRepeated(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	for run := uint64(1); run <= 4; run++ {
		f.endRunAfter(f.sentRuns()[fmt.Sprintf("a.0.0.0/%d", run)], "a.0.0.0", run, yuccawire.RunEnd_RUN_END_LOST, 10*time.Millisecond)
	}
	if f.sentRuns()["a.0.0.0/5"] == "" {
		t.Errorf("sent %v, want the fifth run", f.sentRuns())
	}
}

func TestCrashesUnderAnEarlierOwnerAreForgotten(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.broker.HandleCrashReport(f.now, crashReport("w1", "a.0.0.0", 10*time.Millisecond))
	f.broker.HandleCrashReport(f.now, crashReport("w2", "a.0.0.0", 14*time.Millisecond))
	f.submit(job("a", 3), 1)
	f.wantState(1, yuccabroker.Failed)
	f.broker.HandleCrashReport(f.now, crashReport("w3", "b.0.0.1", 14*time.Millisecond))
	f.submit(job("b", 3), 2)
	f.crashRun("b.0.0.1", 1, 10*time.Millisecond)
	f.wantState(2, yuccabroker.Failed)
}

// A crash that is reported by several entries counts once, and is published once.
func TestCrashCountsOnce(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	published := 0
	for range 3 {
		f.broker.HandleCrashReport(f.now, crashReport("w1", "a.0.0.0", 10*time.Millisecond))
		for _, a := range f.broker.Actions() {
			if p, isPublish := a.(yuccabroker.Publish); isPublish {
				published += len(p.Message.GetCrashReport().GetCrashes())
			}
		}
	}
	if _, answered := f.answers[1]; answered || published != 1 {
		t.Errorf("answered: %v, published %d times, want the job to continue, and once", answered, published)
	}
	if report := f.broker.RecentCrashes(f.now.Add(2 * time.Second)); len(report.GetCrashes()) != 1 || report.GetCrashes()[0].GetAgeMs() != 2000 {
		t.Errorf("recent crashes %v, want the one, 2 s old", report)
	}
}

// A crash is forgotten after a minute, or when a thousand others have followed.
func TestCrashEviction(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	report := crashReport("w1", "a.0.0.0", 10*time.Millisecond)
	f.broker.HandleCrashReport(f.now, report)
	f.now = f.now.Add(61 * time.Second)
	f.broker.Tick(f.now)
	if n := len(f.broker.RecentCrashes(f.now).GetCrashes()); n != 0 {
		t.Errorf("%d crashes are known after a minute, want none", n)
	}
	for i := range 1500 {
		f.broker.HandleCrashReport(f.now, crashReport(fmt.Sprint("w", i), "b.0.0.0", time.Duration(i)*time.Second))
	}
	if n := len(f.broker.RecentCrashes(f.now).GetCrashes()); n != 1000 {
		t.Errorf("%d crashes are known, want 1000", n)
	}
}

// Tasks that were on the same crashed worker are repeated on different ones, and don't
// delay others while they wait for that.
func TestSuspectTasksAreSeparated(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 4), 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s3", Incarnation: 1, DataCentre: "puno"})
	crash := &yuccawire.Crash{Side: "s1", Worker: "w1", StartedUnixMs: 1}
	for i := range 4 {
		crash.Runs = append(crash.Runs, &yuccawire.CrashedRun{Task: fmt.Sprint("a.0.0.", i), RanMs: 50})
	}
	f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{crash}})
	for i := range 4 {
		f.endRun("s1", fmt.Sprint("a.0.0.", i), 1, crashed, 0)
	}
	f.reportDown("s1")
	f.report("s2", fullCPU)
	f.report("s3", fullCPU)
	f.flush()
	bySide := make(map[string]int)
	for _, side := range f.sidesOfRun("a", 2) {
		bySide[side]++
	}
	if bySide["s2"] != 1 || bySide["s3"] != 1 {
		t.Fatalf("runs by side %v, want one suspect each at s2 and s3", bySide)
	}
	f.submit(job("b", 1), 2)
	if f.sentRuns()["b.0.0.0/1"] == "" {
		t.Error("waiting suspect tasks delay a task of another job")
	}
}

func TestTasksWaitForEachOtherAfterALossOfPower(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 4), 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	report := &yuccawire.CrashReport{}
	for i := range 4 {
		c := crashReport(fmt.Sprint("s", i), fmt.Sprint("a.0.0.", i), 50*time.Millisecond).GetCrashes()[0]
		c.AgeMs = uint64(100 + 5*i)
		report.Crashes = append(report.Crashes, c)
	}
	f.broker.HandleCrashReport(f.now, report)
	for i := range 4 {
		f.endRun("s1", fmt.Sprint("a.0.0.", i), 1, crashed, 0)
	}
	f.reportDown("s1")
	f.report("s2", fullCPU)
	f.flush()
	if n := len(f.sidesOfRun("a", 2)); n != 4 {
		t.Errorf("%d tasks are repeated, want all four at once", n)
	}
}

// Starts without an answer may not have been executed: their crashes at the same point are
// no proof, beside one another or a confirmed one. They end with the fourth.
func TestJobIsFailedForStartsThatWereNotExecuted(t *testing.T) {
	for name, confirmed := range map[string]int{"none confirmed": 0, "the first confirmed": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1", "s2", "s3", "s4")
			f.submit(job("a", 1), 1)
			for run := range 4 {
				if _, answered := f.answers[1]; answered {
					t.Fatalf("the job is given up after %d crashes", run)
				}
				f.now = f.now.Add(100 * time.Millisecond)
				report := crashReport(fmt.Sprint("w", run), "a.0.0.0", 12*time.Millisecond)
				report.GetCrashes()[0].GetRuns()[0].Unconfirmed = run >= confirmed
				side := f.sentRuns()[fmt.Sprintf("a.0.0.0/%d", run+1)]
				f.broker.HandleCrashReport(f.now, report)
				f.endRunAfter(side, "a.0.0.0", uint64(run+1), crashed, 12*time.Millisecond)
				if again := f.sentRuns()[fmt.Sprintf("a.0.0.0/%d", run+2)]; again != "" && !f.orders[again][len(f.orders[again])-1].GetJobs()[0].GetTasks()[0].GetSuspect() {
					t.Error("the task is repeated without suspicion")
				}
			}
			f.wantState(1, yuccabroker.Failed)
		})
	}
}

// Silent workers are no proof: the task stays under suspicion. They count once their crashes are proven.
func TestJobIsFailedForSilentWorkers(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	published := 0
	report := func(worker int, unproven bool) {
		report := crashReport(fmt.Sprint("w", worker), "a.0.0.0", 12*time.Millisecond)
		report.GetCrashes()[0].Unproven = unproven
		f.broker.HandleCrashReport(f.now, report)
		for _, a := range f.broker.Actions() {
			switch a := a.(type) {
			case yuccabroker.Publish:
				published += len(a.Message.GetCrashReport().GetCrashes())
			case yuccabroker.Answer:
				f.answers[a.Waiter] = a.Outcome
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	for worker := range 6 {
		report(worker, true)
		report(worker, true)
	}
	f.endRunAfter(f.sentRuns()["a.0.0.0/1"], "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_LOST, 12*time.Millisecond)
	again := f.sentRuns()["a.0.0.0/2"]
	if again == "" || !f.orders[again][len(f.orders[again])-1].GetJobs()[0].GetTasks()[0].GetSuspect() {
		t.Fatalf("sent %v, want the second run, under suspicion", f.sentRuns())
	}
	report(0, false)
	report(0, true)
	report(0, false)
	if _, answered := f.answers[1]; answered || published != 7 {
		t.Errorf("answered: %v, published %d times, want the job to continue, and six suspicions and a crash", answered, published)
	}
	if n := len(f.broker.RecentCrashes(f.now).GetCrashes()); n != 6 {
		t.Errorf("%d crashes are known, want 6", n)
	}
	report(1, false)
	f.wantState(1, yuccabroker.Failed)
}
