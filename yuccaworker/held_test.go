package yuccaworker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// heldAt returns the tasks of the last list that an entry was sent, and whether there was one.
func (h *harness) heldAt(o yuccaworker.Owner) ([]*yuccawire.HeldTask, bool) {
	lists := h.held[o]
	if len(lists) == 0 {
		return nil, false
	}
	return lists[len(lists)-1].GetTasks(), true
}

// The other entry hears of runs that go on in spite of their owner's lease or their hold, and of their end.
func TestOtherEntriesHearOfRunsThatCannotBeEnded(t *testing.T) {
	for name, disturb := range map[string]func(h *harness){
		"worker stands still": func(h *harness) {
			h.silent, h.unresponsive, h.standing = true, true, true
			h.advanceWithLease(entry, time.Second)
		},
		"stop without an answer": func(h *harness) {
			h.dropStops = true
			h.advance(lease + 250*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, task("a", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			if _, isTold := h.heldAt(otherEntry); isTold {
				t.Fatalf("told %v of a run in progress", h.held[otherEntry])
			}
			disturb(h)
			tasks, _ := h.heldAt(otherEntry)
			if len(tasks) != 1 || tasks[0].GetTask() != "a" || tasks[0].GetRemainingMs() < 10_000 {
				t.Fatalf("told %v, want the task for as long as its caller waits", tasks)
			}
			third := yuccaworker.Owner{Name: "entry-3", Incarnation: 1}
			h.core.HandleLinkUp(h.now, third)
			h.runActions()
			if tasks, _ := h.heldAt(third); len(tasks) != 1 {
				t.Errorf("told %v on a new link, want the task", tasks)
			}
			h.silent, h.unresponsive, h.standing, h.dropStops, h.pendingHold = false, false, false, false, nil
			h.advance(time.Second)
			if tasks, _ := h.heldAt(otherEntry); len(tasks) != 0 || h.outcomeOf(entry, "a") == nil {
				t.Errorf("told %v after the end of the run, want none", tasks)
			}
		})
	}
}

// The worker restarts before it has answered the start, and may execute it later.
func TestOtherEntriesHearOfALostRunThatMayStart(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	h.refusing = true
	h.advance(4 * time.Second)
	if ended := h.outcomeOf(entry, "a"); ended == nil || !ended.GetMayStart() {
		t.Fatalf("the owner is told %v, want a run that may start", ended)
	}
	if tasks, _ := h.heldAt(otherEntry); len(tasks) != 1 || tasks[0].GetTask() != "a" {
		t.Errorf("told %v, want the task", tasks)
	}
	h.advance(time.Minute)
	if tasks, _ := h.heldAt(otherEntry); len(tasks) != 0 {
		t.Errorf("told %v when nobody waits any more, want none", tasks)
	}
}

// orderWithLostStart orders a task. The first try of its start is lost on its way, the second one answered.
func (h *harness) orderWithLostStart(t *yuccawire.TaskOrder) {
	h.handleOrder(entry, lease, t)
	for _, a := range h.core.Actions() {
		if start, isStart := a.(yuccaworker.CallStart); isStart {
			h.core.HandleStartReply(h.now, start.Incarnation, start.Key, yuccaworker.ResultUnknown, 0)
			continue
		}
		h.runAction(a)
	}
	h.runActions()
}

// The worker may still execute the first start of a run, in progress or ended.
func TestOtherEntriesHearOfARunThatMayStartAgain(t *testing.T) {
	for _, outcome := range []yuccawire.RunEnd{yuccawire.RunEnd_RUN_END_FAILED, yuccawire.RunEnd_RUN_END_STOPPED, yuccawire.RunEnd_RUN_END_DONE} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newHarness(t)
			h.orderWithLostStart(task("a", 1, 1600))
			h.advance(20 * time.Millisecond)
			if tasks, _ := h.heldAt(otherEntry); len(tasks) != 1 {
				t.Errorf("told %v while the run is in progress, want the task", tasks)
			}
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.complete(runA, outcome)
			h.advanceWithLease(entry, 300*time.Millisecond)
			if ended := h.outcomeOf(entry, "a"); ended.GetEnd() != outcome || !ended.GetUnanswered() {
				t.Fatalf("the owner is told %v, want that a start had no answer", ended)
			}
			if tasks, _ := h.heldAt(otherEntry); len(tasks) != 1 || tasks[0].GetTask() != "a" || tasks[0].GetRun() != 1 {
				t.Errorf("told %v after its end, want the task and its run", tasks)
			}
			h.advance(time.Minute)
			if tasks, _ := h.heldAt(otherEntry); len(tasks) != 0 {
				t.Errorf("told %v when nobody waits any more, want none", tasks)
			}
		})
	}
}

// The start of the run was answered, or lost with its answer and then listed, so that nothing starts it again.
func TestNoListOfEndedRunsThatCannotStart(t *testing.T) {
	for _, outcome := range []yuccawire.RunEnd{yuccawire.RunEnd_RUN_END_FAILED, yuccawire.RunEnd_RUN_END_STOPPED, yuccawire.RunEnd_RUN_END_DONE} {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advanceWithLease(entry, 200*time.Millisecond)
		h.complete(runA, outcome)
		h.advance(time.Second)
		if ended := h.outcomeOf(entry, "a"); ended.GetEnd() != outcome || ended.GetUnanswered() {
			t.Errorf("the owner is told %v, want no unanswered start", ended)
		}
		if _, isTold := h.heldAt(otherEntry); isTold {
			t.Errorf("told %v of a run that has ended as %v", h.held[otherEntry], outcome)
		}
	}
}

func TestEntriesHearThatAnotherOneHasNotReceivedTheList(t *testing.T) {
	h := newHarness(t)
	for _, o := range []yuccaworker.Owner{entry, otherEntry} {
		h.core.HandleHeldSeen(h.now, o, &yuccawire.HeldSeen{})
	}
	h.orderWithLostStart(task("a", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	first := h.held[entry][0]
	if !slices.Equal(slices.Sorted(slices.Values(first.GetReached())), []string{entry.Name, otherEntry.Name}) {
		t.Fatalf("the first list reaches %v, want both entries", first.GetReached())
	}
	h.core.HandleHeldSeen(h.now, entry, &yuccawire.HeldSeen{Sequence: first.GetSequence()})
	h.advanceWithLease(entry, 500*time.Millisecond)
	lists := h.held[entry]
	if last := lists[len(lists)-1]; !slices.Equal(last.GetReached(), []string{entry.Name}) || len(last.GetTasks()) != 1 {
		t.Errorf("told %v, want the task, and that only %s has received the first list", last, entry.Name)
	}
}

func TestEntryThatDoesNotConfirmListsCountsAsReached(t *testing.T) {
	h := newHarness(t)
	h.core.HandleHeldSeen(h.now, entry, &yuccawire.HeldSeen{})
	h.orderWithLostStart(task("a", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.core.HandleHeldSeen(h.now, entry, &yuccawire.HeldSeen{Sequence: h.held[entry][0].GetSequence()})
	h.advanceWithLease(entry, 4*time.Second)
	for _, list := range h.held[entry] {
		if !slices.Contains(list.GetReached(), otherEntry.Name) {
			t.Errorf("told %v, want %s among those reached", list, otherEntry.Name)
		}
		h.core.HandleHeldSeen(h.now, entry, &yuccawire.HeldSeen{Sequence: list.GetSequence()})
	}
}

// Callers come again 1.3 s after their entry is lost, which may be just after the start.
func TestEntriesHearAtOnceOfAnotherRunThatMayStart(t *testing.T) {
	h := newHarness(t)
	h.core.HandleHeldSeen(h.now, entry, &yuccawire.HeldSeen{})
	h.orderWithLostStart(task("a", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.orderWithLostStart(task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	lists := h.held[entry]
	if last := lists[len(lists)-1]; !last.GetPartial() || len(last.GetTasks()) != 1 || last.GetTasks()[0].GetTask() != "b" {
		t.Errorf("told %v, want the new task only", last)
	}
	lists = h.held[otherEntry]
	if last := lists[len(lists)-1]; last.GetPartial() || len(last.GetTasks()) != 2 {
		t.Errorf("an entry of an earlier version is told %v, want both tasks", last)
	}
	h.advanceWithLease(entry, time.Second)
	h.core.HandleLinkUp(h.now, entry)
	h.runActions()
	lists = h.held[entry]
	if last := lists[len(lists)-1]; last.GetPartial() || len(last.GetTasks()) != 2 {
		t.Errorf("told %v on a new link, want both tasks", last)
	}
}

func TestOwnerWhoseLinkIsLostCountsAsNotReached(t *testing.T) {
	h := newHarness(t)
	h.orderWithLostStart(task("a", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	h.core.HandleLinkDown(h.now, entry)
	h.advance(300 * time.Millisecond)
	lists := h.held[otherEntry]
	if last := lists[len(lists)-1]; !slices.Equal(last.GetReached(), []string{otherEntry.Name}) || len(last.GetTasks()) != 1 {
		t.Errorf("told %v, want the task, and that only %s is told of it", last, otherEntry.Name)
	}
}

// tellOften has a list sent each 40 ms, of which each entry confirms those that are older than its delay.
func (h *harness) tellOften(delays map[yuccaworker.Owner]time.Duration) {
	sentAt := make(map[uint64]time.Time)
	for name := 'a'; name <= 'p'; name++ {
		h.orderWithLostStart(task(string(name), 1, 1000))
		h.advance(40 * time.Millisecond)
		for o, delay := range delays {
			for _, list := range h.held[o] {
				if _, isKnown := sentAt[list.GetSequence()]; !isKnown {
					sentAt[list.GetSequence()] = h.now
				}
				if h.now.Sub(sentAt[list.GetSequence()]) >= delay {
					h.core.HandleHeldSeen(h.now, o, &yuccawire.HeldSeen{Sequence: list.GetSequence()})
				}
			}
		}
	}
}

func TestEntryThatConfirmsNoneOfManyListsIsNotReached(t *testing.T) {
	h := newHarness(t)
	h.core.HandleHeldSeen(h.now, otherEntry, &yuccawire.HeldSeen{})
	h.tellOften(map[yuccaworker.Owner]time.Duration{entry: 0})
	lists := h.held[entry]
	if last := lists[len(lists)-1]; slices.Contains(last.GetReached(), otherEntry.Name) {
		t.Errorf("told %v, want that %s is not reached", last, otherEntry.Name)
	}
}

func TestEntryThatConfirmsManyListsLaterIsReached(t *testing.T) {
	h := newHarness(t)
	h.core.HandleHeldSeen(h.now, otherEntry, &yuccawire.HeldSeen{})
	h.tellOften(map[yuccaworker.Owner]time.Duration{entry: 0, otherEntry: 320 * time.Millisecond})
	for _, list := range h.held[entry] {
		if !slices.Contains(list.GetReached(), otherEntry.Name) {
			t.Errorf("told %v, want %s among those reached", list, otherEntry.Name)
		}
	}
}

func TestEntryWithANewLinkHasItsTimeToConfirm(t *testing.T) {
	h := newHarness(t)
	for _, o := range []yuccaworker.Owner{entry, otherEntry} {
		h.core.HandleHeldSeen(h.now, o, &yuccawire.HeldSeen{})
	}
	h.orderWithLostStart(task("a", 1, 1600))
	h.advanceWithLease(entry, 600*time.Millisecond)
	h.core.HandleLinkUp(h.now, otherEntry)
	h.core.HandleHeldSeen(h.now, otherEntry, &yuccawire.HeldSeen{})
	h.orderWithLostStart(task("b", 1, 1600))
	h.advance(60 * time.Millisecond)
	lists := h.held[otherEntry]
	if last := lists[len(lists)-1]; !slices.Contains(last.GetReached(), otherEntry.Name) {
		t.Errorf("told %v, want %s among those reached", last, otherEntry.Name)
	}
}

func TestNewRunIsToldAtOnceButOnce(t *testing.T) {
	h := newHarness(t)
	for _, o := range []yuccaworker.Owner{entry, otherEntry} {
		h.core.HandleHeldSeen(h.now, o, &yuccawire.HeldSeen{})
	}
	for _, name := range []string{"d", "c", "b", "a"} {
		h.orderWithLostStart(task(name, 1, 1600))
		h.advance(20 * time.Millisecond)
	}
	told := make(map[string]int)
	for _, list := range h.held[entry] {
		for _, held := range list.GetTasks() {
			told[held.GetTask()]++
		}
	}
	for name, count := range told {
		if count != 1 {
			t.Errorf("%s is told %d times in 80 ms, want once", name, count)
		}
	}
	if len(told) != 4 {
		t.Errorf("told %v, want four tasks", told)
	}
}
