package yuccabroker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const otherSide = "s2"

// newOtherEntry returns another entry, with a side of its own.
func newOtherEntry(t *testing.T) *fixture {
	f := newFixtureWith(t, func(o *yuccabroker.Options) { o.Name = "other" })
	f.sides = []string{otherSide}
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: otherSide, Incarnation: 1, DataCentre: "puno"})
	f.report(otherSide, fullCPU)
	return f
}

// lastHeld returns the tasks of the last list that was published.
func (f *fixture) lastHeld() []string {
	var names []string
	if len(f.published) > 0 {
		for _, h := range f.published[len(f.published)-1].GetTasks() {
			names = append(names, h.GetTask())
		}
	}
	return names
}

// deliverHeld delivers the lists that f has published to another entry.
func (f *fixture) deliverHeld(to *fixture) {
	to.now = f.now
	to.report(otherSide, fullCPU)
	for _, list := range f.published {
		to.broker.HandleHeldTasks(to.now, list)
	}
	to.flush()
}

func heldTasks(sequence uint64, remaining time.Duration, tasks ...string) *yuccawire.HeldTasks {
	list := &yuccawire.HeldTasks{Sender: "third", Incarnation: 1, Sequence: sequence}
	for _, name := range tasks {
		list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: name, RemainingMs: uint32(remaining.Milliseconds())})
	}
	return list
}

// The caller has gone, and its run ends 800 ms later.
func TestResendAtAnotherEntryWaitsForTheRun(t *testing.T) {
	f, other := newFixture(t, "s1"), newOtherEntry(t)
	f.submit(job("a", 1), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(240*time.Millisecond, "s1")
	if len(f.published) != 0 {
		t.Errorf("published %v while the run may end as usual", f.published)
	}
	f.advance(60*time.Millisecond, "s1")
	f.deliverHeld(other)
	other.submit(job("a", 2), 2)
	if runs := other.sentRuns(); len(runs) != 1 || runs["a.0.0.1/1"] == "" {
		t.Errorf("sent %v, want the other task only", runs)
	}
	f.advance(500*time.Millisecond, "s1")
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	f.advance(20*time.Millisecond, "s1")
	if len(f.published) != 2 || len(f.lastHeld()) != 0 {
		t.Errorf("published %v, want the task and then that it is over", f.published)
	}
	f.deliverHeld(other)
	if other.sentRuns()["a.0.0.0/1"] == "" {
		t.Errorf("sent %v once the run is over, want both tasks", other.sentRuns())
	}
}

// On a quiet day, callers leave and their runs are stopped in time.
func TestNoListsWhileRunsEndInTime(t *testing.T) {
	f := newFixture(t, "s1")
	for i, id := range []string{"a", "b", "c"} {
		f.submit(job(id, 1), uint64(i+1))
		f.broker.HandleDisconnect(f.now, id, uint64(i+1))
		f.advance(200*time.Millisecond, "s1")
		f.endRun("s1", id+".0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	}
	f.advance(2*time.Second, "s1")
	if len(f.published) != 0 {
		t.Errorf("published %v, want nothing", f.published)
	}
}

// The caller is still connected, but its run was lost and may start. The entry may be killed next.
func TestTaskThatIsNotPlacedAgainIsHeldAtTheOtherEntries(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_LOST)
	f.advance(100*time.Millisecond, "s1")
	if !slices.Equal(f.lastHeld(), []string{"a.0.0.0"}) {
		t.Errorf("published %v, want the task", f.published)
	}
}

// The entry that knows of the run says which side has it. Another process may know of another one.
func TestHeldTaskRunsAtTheSideOfItsRunsOnly(t *testing.T) {
	const thirdSide = "s3"
	for name, c := range map[string]struct {
		sides []string
		want  string
	}{
		"known":                    {[]string{thirdSide}, thirdSide},
		"two sides":                {[]string{thirdSide, otherSide}, ""},
		"one is not known":         {[]string{thirdSide, ""}, ""},
		"a side that isn't linked": {[]string{"s4"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOtherEntry(t)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: thirdSide, Incarnation: 1, DataCentre: "puno"})
			f.report(thirdSide, fullCPU)
			for i, sideName := range c.sides {
				list := heldTasks(1, 4*time.Second, "a.0.0.0")
				list.Incarnation = uint64(i + 1)
				list.Tasks[0].Side, list.Tasks[0].Run = sideName, 7
				f.broker.HandleHeldTasks(f.now, list)
			}
			f.submit(job("a", 1), 1)
			f.advance(time.Second, otherSide, thirdSide)
			if got := f.sentRuns()["a.0.0.0/8"]; got != c.want || c.want == "" && len(f.sentRuns()) != 0 {
				t.Errorf("sent %v, want a run with the next number at %q", f.sentRuns(), c.want)
			}
		})
	}
}

// The run of a task has succeeded, but its start may be executed again, and the caller gets no answer.
func TestSucceededTaskIsHeldOnlyIfItsJobMayComeAgain(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 2), 1)
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_DONE)
	f.advance(time.Second, "s1")
	if len(f.published) != 0 {
		t.Errorf("published %v while the job is open, want nothing", f.published)
	}
	f.endRun("s1", "a.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
	f.advance(time.Second, "s1")
	f.wantState(1, yuccabroker.Completed)
	if len(f.published) != 0 {
		t.Errorf("published %v after the answer, want nothing", f.published)
	}
	firstOfB := &yuccawire.RunKey{Task: "b.0.0.0", Run: 1}
	f.submit(job("b", 2), 2)
	f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: firstOfB, End: yuccawire.RunEnd_RUN_END_DONE, Unanswered: true}}})
	f.broker.HandleDisconnect(f.now, "b", 2)
	f.endRun("s1", "b.0.0.1", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	f.advance(time.Second, "s1")
	if !slices.Equal(f.lastHeld(), []string{"b.0.0.0"}) {
		t.Errorf("published %v, want the task that has succeeded", f.published)
	}
}

// The side is silent, or has restarted and its worker doesn't answer. Its entry may be killed next.
func TestRunOfALostSideIsHeldAtTheOtherEntries(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"silent": func(*fixture) {},
		"restarted": func(f *fixture) {
			f.restartSideWithoutWorker("s1")
			for range 15 {
				f.reportState("s1", noCapacity, func(m *yuccawire.WorkerState) { m.Taken, m.Ready = false, false })
				f.advance(20 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			f.submit(job("a", 1), 1)
			f.advance(300*time.Millisecond, "s1")
			lose(f)
			if name == "silent" {
				f.advance(580 * time.Millisecond)
				if len(f.published) != 0 {
					t.Errorf("published %v soon after a report", f.published)
				}
				f.advance(40 * time.Millisecond)
			}
			if !slices.Equal(f.lastHeld(), []string{"a.0.0.0"}) {
				t.Errorf("published %v, want the task", f.published)
			}
		})
	}
}

// Neither a refusal as not run nor an early answer is true for a job with a run elsewhere.
func TestHeldJobIsGivenUpAtItsDeadline(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"waits": func(*fixture) {},
		"no worker": func(f *fixture) {
			f.reportState(otherSide, fullCPU, func(m *yuccawire.WorkerState) { m.Service = "other" })
		},
		"stopping": func(f *fixture) { f.broker.StopAt(f.now, f.now) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newOtherEntry(t)
			f.broker.HandleHeldTasks(f.now, heldTasks(1, 4*time.Second, "a.0.0.0"))
			prepare(f)
			f.submit(job("a", 1), 1)
			if name == "waits" {
				f.advance(2800*time.Millisecond, otherSide)
				if _, isAnswered := f.answers[1]; isAnswered {
					t.Error("the job is answered early")
				}
				f.advance(300*time.Millisecond, otherSide)
			}
			f.wantState(1, yuccabroker.Abandoned)
			if len(f.sentRuns()) != 0 {
				t.Errorf("sent %v, want nothing", f.sentRuns())
			}
		})
	}
}

// The list arrives after the caller, whose job waits for capacity.
func TestWaitingTaskIsHeldByALaterList(t *testing.T) {
	f := newOtherEntry(t)
	f.report(otherSide, noCapacity)
	f.submit(job("a", 1), 1)
	f.broker.HandleHeldTasks(f.now, heldTasks(1, 4*time.Second, "a.0.0.0"))
	f.advance(100*time.Millisecond, otherSide)
	if len(f.sentRuns()) != 0 {
		t.Fatalf("sent %v while the task is held", f.sentRuns())
	}
	f.broker.HandleHeldTasks(f.now, heldTasks(2, 0))
	f.flush()
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v once it is over, want its run", f.sentRuns())
	}
}

// Only a later list of the same process shows that a task is over.
func TestHeldTaskIsReleasedByItsSenderOnly(t *testing.T) {
	for name, list := range map[string]*yuccawire.HeldTasks{
		"an older list by another way": {Sender: "third", Incarnation: 1, Sequence: 1},
		"the next process":             {Sender: "third", Incarnation: 2, Sequence: 9},
		"another entry":                {Sender: "fourth", Incarnation: 1, Sequence: 9},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOtherEntry(t)
			f.broker.HandleHeldTasks(f.now, heldTasks(2, 4*time.Second, "a.0.0.0"))
			f.broker.HandleHeldTasks(f.now, list)
			f.submit(job("a", 1), 1)
			f.advance(time.Second, otherSide)
			if len(f.sentRuns()) != 0 {
				t.Errorf("sent %v, want nothing", f.sentRuns())
			}
		})
	}
}

// The first caller has stopped waiting, and its entry says no more of the run; the second one waits longer.
func TestHeldTaskOutlastsTheFirstCaller(t *testing.T) {
	f := newOtherEntry(t)
	f.broker.HandleHeldTasks(f.now, heldTasks(1, time.Second, "a.0.0.0"))
	f.submit(job("a", 1), 1)
	f.advance(time.Second, otherSide)
	f.broker.HandleHeldTasks(f.now, heldTasks(2, 0))
	f.advance(time.Second, otherSide)
	if len(f.sentRuns()) != 0 {
		t.Errorf("sent %v, want nothing", f.sentRuns())
	}
}

// The job was answered at its deadline, after which a caller may submit it again.
func TestTaskIsHeldAfterTheAnswerOfItsJob(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.report("s1", fullCPU)
	f.advance(5 * time.Second)
	f.wantState(1, yuccabroker.Abandoned)
	if held := f.lastHeld(); !slices.Equal(held, []string{"a.0.0.0"}) {
		t.Errorf("the other entries were told of %v, want the task", held)
	}
}

func TestAllTasksOfASilentSideAreHeldAtTheOtherEntries(t *testing.T) {
	const tasks = 1100
	f := newFixture(t, "s1")
	j := job("a", tasks)
	j.Steps[0].CPUMilli, j.Steps[0].MemoryMB = 1, 0
	f.submit(j, 1)
	if len(f.sentRuns()) != tasks {
		t.Fatalf("sent %d runs, want %d", len(f.sentRuns()), tasks)
	}
	f.advance(time.Second)
	if len(f.lastHeld()) != tasks {
		t.Errorf("told the other entries of %d tasks, want %d", len(f.lastHeld()), tasks)
	}
}
