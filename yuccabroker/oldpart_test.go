package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestOlderPartOfAListMovesATaskBackToItsFormerSide(t *testing.T) {
	f := newFixture(t, "s1", otherSide)
	held := func(sequence uint64, side string, run uint64) {
		list := heldTasks(sequence, 10*time.Second, "a.0.0.0")
		list.Partial, list.Tasks[0].Side, list.Tasks[0].Run = true, side, run
		f.broker.HandleHeldTasks(f.now, list)
	}
	held(5, otherSide, 2)
	held(3, "s1", 1)
	f.submit(job("a", 1), 1)
	f.report(otherSide, fullCPU)
	f.flush()
	if runs := f.sentRuns(); len(runs) != 1 || runs["a.0.0.0/3"] != otherSide {
		t.Errorf("sent %v, want run 3 at the side that the newer part has named", runs)
	}
}

// The entry has pinned the task to two sides since, so that it may run at none.
func TestOlderPartOfAListReleasesATaskThatMayRunNowhere(t *testing.T) {
	f := newFixture(t, "s1", otherSide)
	for _, part := range []struct {
		sequence uint64
		side     string
	}{{5, ""}, {3, "s1"}} {
		list := &yuccawire.HeldTasks{Sender: "third", Incarnation: 1, Sequence: part.sequence, Partial: true, Tasks: []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000, Side: part.side, Run: 2}}}
		f.broker.HandleHeldTasks(f.now, list)
	}
	f.submit(job("a", 1), 1)
	if runs := f.sentRuns(); len(runs) > 0 {
		t.Errorf("sent %v, want nothing", runs)
	}
}

func TestTaskIsPlacedByWhatRemainsOfSeveralLists(t *testing.T) {
	f := newFixture(t, "s1", otherSide)
	held := func(sender string, sequence uint64, remaining time.Duration, side string, tasks ...string) {
		list := heldTasks(sequence, remaining, tasks...)
		list.Sender = sender
		for _, h := range list.GetTasks() {
			h.Side = side
		}
		f.broker.HandleHeldTasks(f.now, list)
	}
	held("x", 1, 10*time.Second, "s1", "a.0.0.0", "b.0.0.0", "c.0.0.0")
	held("y", 1, 10*time.Second, otherSide, "a.0.0.0")
	held("z", 1, time.Second, otherSide, "b.0.0.0")
	for i, id := range []string{"a", "b", "c"} {
		j := job(id, 1)
		j.Deadline = f.now.Add(800 * time.Millisecond)
		f.submit(j, uint64(i+1))
	}
	runs := f.sentRuns()
	if len(runs) != 1 || runs["c.0.0.0/1"] != "s1" {
		t.Fatalf("sent %v, want the task that one side holds", runs)
	}
	held("x", 2, 10*time.Second, "s1", "b.0.0.0", "c.0.0.0")
	f.advance(20*time.Millisecond, "s1", otherSide)
	if runs := f.sentRuns(); len(runs) != 2 || runs["a.0.0.0/1"] != otherSide {
		t.Errorf("sent %v, want the task that one list still holds at its side", runs)
	}
	f.advance(time.Second, "s1", otherSide)
	j := job("b", 1)
	j.Deadline = f.now.Add(time.Second)
	f.submit(j, 4)
	if runs := f.sentRuns(); len(runs) != 3 || runs["b.0.0.0/1"] != "s1" {
		t.Errorf("sent %v, want the task whose other list is over at its side", runs)
	}
}

func TestOlderPartDoesNotMakeAnOlderListWhole(t *testing.T) {
	f := newFixture(t, "s1")
	held := func(sequence uint64, isPartial bool, tasks ...string) {
		list := heldTasks(sequence, 10*time.Second, tasks...)
		list.Partial = isPartial
		f.broker.HandleHeldTasks(f.now, list)
	}
	held(5, true, "a.0.0.0")
	held(3, true, "b.0.0.0")
	held(4, false, "b.0.0.0")
	f.submit(job("a", 1), 1)
	if runs := f.sentRuns(); len(runs) > 0 {
		t.Errorf("sent %v, want nothing: only the newest part names the task", runs)
	}
}

func TestTaskIsOverThoughALaterPartStatesLessTime(t *testing.T) {
	f := newFixture(t, "s1")
	for sequence, remaining := range []time.Duration{10 * time.Second, 100 * time.Millisecond} {
		list := heldTasks(uint64(sequence+1), remaining, "a.0.0.0")
		list.Partial = true
		f.broker.HandleHeldTasks(f.now, list)
	}
	f.broker.HandleHeldTasks(f.now, heldTasks(3, 0))
	f.submit(job("a", 1), 1)
	if runs := f.sentRuns(); len(runs) != 1 {
		t.Errorf("sent %v, want the task, which the whole list does not name", runs)
	}
}
