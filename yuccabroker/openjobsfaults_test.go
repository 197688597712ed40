package yuccabroker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The end of the job is told again with the next tick, and its run has ended before.
func TestListedJobWhoseRunsEndBeforeTheNextTickIsClosed(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 0), 1)
	f.step(700 * time.Millisecond)
	if !f.isOpen("a") {
		t.Fatal("not told as open")
	}
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.collect()
	for _, side := range f.sentRuns() {
		f.endRun(side, "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	}
	f.step(500 * time.Millisecond)
	if f.isOpen("a") {
		t.Error("never closed: other entries don't place it before its deadline")
	}
}

// An entry that follows the job would start it again.
func TestJobIsToldAsEndedBeforeItIsClosed(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 0), 1)
	f.step(700 * time.Millisecond)
	f.submit(f.received("c", 0), 2)
	complete := func(id string) {
		for run, side := range f.sentRuns() {
			if run == id+".0.0.0/1" {
				f.endRun(side, id+".0.0.0", 1, yuccawire.RunEnd_RUN_END_DONE, 100)
			}
		}
		f.collect()
	}
	var sent []string
	step := func() {
		f.now = f.now.Add(20 * time.Millisecond)
		f.broker.Tick(f.now)
		for _, a := range f.broker.Actions() {
			p, isPublish := a.(yuccabroker.Publish)
			if !isPublish {
				continue
			}
			for _, c := range p.Message.GetOpenJobs().GetClosed() {
				sent = append(sent, "closed "+c.GetJob())
			}
			for _, c := range p.Message.GetEndedJobs().GetCompleted() {
				for _, id := range c.GetJobs() {
					sent = append(sent, "completed "+id)
				}
			}
		}
	}
	complete("c")
	step()
	complete("a")
	for range 20 {
		step()
	}
	completed, closed := slices.Index(sent, "completed a"), slices.Index(sent, "closed a")
	if completed < 0 || closed < completed {
		t.Errorf("sent %q, want a told as completed first", sent)
	}
}

// The job waited for a confirmation first.
func TestContestedJobThatTurnsOutToBeOpenElsewhereIsNotRejected(t *testing.T) {
	f := newOpenPeers(t, "b")
	j := f.received("a", 2*time.Second)
	j.Deadline = f.now.Add(time.Second)
	f.submit(j, 1)
	f.tell("b", open(1, 4*time.Second, "a"))
	f.step(1200 * time.Millisecond)
	f.wantState(1, yuccabroker.Abandoned)
}

// The link of an earlier process comes up late, as after a standstill of this one.
func TestLateLinkOfAnEarlierProcessDoesNotReplaceThatOfTheLastOne(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.linkUp("b", 2)
	f.broker.HandleEntryUp(f.now, "b", 1)
	f.collect()
	before := len(f.seen["b"])
	f.broker.HandleOpenJobs(f.now, "b", 2, open(1, 2*time.Second, "a"))
	f.collect()
	if len(f.seen["b"]) == before {
		t.Error("open jobs of the last process are neither confirmed nor requested")
	}
	f.submit(f.received("a", 0), 1)
	f.step(time.Second)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v although the job is open at b", f.sentRuns())
	}
}

func TestEntryThatComesBackWithAnEarlierVersionDoesNotStopOldJobs(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.HandleEntryUp(f.now, "b", 2)
	f.step(5 * time.Second)
	f.submit(f.received("a", 1100*time.Millisecond), 1)
	f.step(20 * time.Millisecond)
	f.confirm("c")
	f.step(100 * time.Millisecond)
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run: b sends no open jobs and confirms none", f.sentRuns())
	}
}

// Three entries have the job. The one between the others knows of the first one already.
func TestEntryGivesAJobUpThoughItIsOpenAtAnEarlierOne(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.submit(f.received("a", 0), 1)
	f.step(700 * time.Millisecond)
	f.confirm("b", "c")
	f.tell("b", open(1, 4*time.Second, "a"))
	f.step(40 * time.Millisecond)
	f.tell("c", open(1, 0, "a"))
	f.wantState(1, yuccabroker.Abandoned)
}

// A list that says nothing of an entry that has no link is no proof: its lease at its sides goes on.
func TestEntryThatStoodStillDoesNotPlaceWhileAKnownEntryIsUnlinked(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.now = f.now.Add(2 * time.Second)
	f.broker.SetPeers([]string{"c"})
	f.submit(f.received("a", 0), 1)
	f.step(0)
	f.tell("c", &yuccawire.OpenJobs{Whole: true})
	f.step(700 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v 0.7 s after a standstill, while b, which is not linked, may have it open", f.sentRuns())
	}
}

// A reserved order waits at its side until capacity is free there.
func TestReservedOrderOfAJobThatOtherEntriesDoNotKnowExpiresBeforeItComesAgain(t *testing.T) {
	f := newOpenPeers(t, "b")
	report := func() {
		for _, s := range f.sides {
			f.report(s, fullCPU/2)
		}
	}
	report()
	j := f.received("a", 0)
	j.Steps = []yuccabroker.Step{{Count: 1, CPUMilli: fullCPU, MemoryMB: 64, Estimate: 200 * time.Millisecond}}
	f.submit(j, 1)
	for range 10 {
		f.now = f.now.Add(20 * time.Millisecond)
		report()
		f.broker.Tick(f.now)
		f.collect()
	}
	reserved := 0
	for _, orders := range f.orders {
		for _, m := range orders {
			for _, o := range m.GetJobs() {
				if o.GetTasks()[0].GetReserved() {
					reserved++
				}
				if expires := int64(o.GetExpiresMs()) - 1000; expires > 1300 {
					t.Errorf("the order expires %d ms after the request, want 1300 at most", expires)
				}
			}
		}
	}
	if reserved == 0 {
		t.Fatal("no reserved order was sent")
	}
}

// The caller may have been at another entry in between, of which this one hears nothing.
func TestResendAtTheSameEntryDoesNotMakeAJobNew(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 3*time.Second), 1)
	f.step(40 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v before b has confirmed that a is open", f.sentRuns())
	}
	f.submit(f.received("a", 0), 2)
	f.step(40 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v after the resend, before b has confirmed that a is open", f.sentRuns())
	}
}

// The message has waited in the link for as long as the standstill lasted.
func TestAgeOfAJobThatWasToldBeforeAStandstillIsNotTakenForNew(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.now = f.now.Add(2 * time.Second)
	f.submit(f.received("a", 700*time.Millisecond), 1)
	f.collect()
	f.tell("b", open(1, 600*time.Millisecond, "a")) // sent up to 2 s ago
	if o, isAnswered := f.answers[1]; isAnswered {
		t.Errorf("answered as %v by the age in a message that was read after a standstill", o.State)
	}
}

// Tasks are placed after each batch of messages, before the next tick.
func TestListThatWasAwaitedKeepsItsJobsFromBeingPlacedAtOnce(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.now = f.now.Add(2 * time.Second)
	f.submit(f.received("a", 0), 1)
	f.step(0)
	f.tell("b", &yuccawire.OpenJobs{Whole: true, Opened: open(1, 1500*time.Millisecond, "a").GetOpened()})
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v right after b has told that the job is open there", f.sentRuns())
	}
}

// The same for a job that waits for capacity.
func TestQueuedJobThatTurnsOutToBeOpenElsewhereIsNotPlacedBeforeTheNextTick(t *testing.T) {
	f := newOpenPeers(t, "b")
	for _, s := range f.sides {
		f.report(s, 0)
		f.broker.HandleWorkerState(f.now, s, notReady(f))
	}
	f.submit(f.received("a", 0), 1)
	f.broker.HandleOpenJobs(f.now, "b", 1, open(1, 2*time.Second, "a"))
	for _, s := range f.sides {
		f.report(s, fullCPU)
	}
	f.collect()
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v although b has told that the job is open there", f.sentRuns())
	}
}

// The list of held tasks reaches linked entries only, that of open jobs goes over others.
func TestJobIsClosedBeforeAnEntryThatIsNotLinkedHearsOfItsRun(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.submit(f.received("a", 0), 1)
	f.step(700 * time.Millisecond)
	f.confirm("b", "c")
	f.broker.SetPeers([]string{"c"})
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.step(time.Second)
	if !f.isOpen("a") {
		t.Error("closed, a run of it is in progress and b, whose link is lost, doesn't know that")
	}
	for run, side := range f.sentRuns() {
		f.endRun(side, run[:len(run)-2], 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	}
	f.step(500 * time.Millisecond)
	if f.isOpen("a") {
		t.Error("not closed, its run has ended")
	}
}

func notReady(f *openPeers) *yuccawire.WorkerState {
	state := f.workerState(0)
	state.Ready = false
	return state
}
