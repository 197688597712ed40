package yuccaworker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// A surplus link is released once the owner has no runs: until then the owner is told
// to send no more orders, and those that it sends are refused.
func TestSurplusLink(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleLinkSurplus(h.now, entry)
	h.advance(40 * time.Millisecond)
	if h.states[entry].GetReady() {
		t.Error("the owner is not told to send no more orders")
	}
	h.order(entry, lease, task("b", 1, 1600))
	h.advance(40 * time.Millisecond)
	if got := h.delivered[entry]; len(got) != 1 || got[0].GetRefusal() != yuccawire.RunRefusal_RUN_REFUSAL_LEAVING {
		t.Errorf("outcomes %v, want the later order refused", got)
	}
	if len(h.released) > 0 {
		t.Error("the link is released while there is a run")
	}
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, 100*time.Millisecond)
	if len(h.released) != 1 || h.released[0] != entry {
		t.Errorf("released %v, want the link of the entry", h.released)
	}
	if got := h.delivered[entry]; len(got) != 2 || got[1].GetEnd() != yuccawire.RunEnd_RUN_END_DONE {
		t.Errorf("outcomes %v, want the completion before the link is released", got)
	}
	h.core.HandleLinkUp(h.now, entry)
	h.runActions()
	if !h.states[entry].GetReady() {
		t.Error("the worker is not ready for the owner after a new link")
	}
}

// The side's clock includes the time of a suspension, since owners compute it from
// the last report.
func TestClockIncludesSuspension(t *testing.T) {
	h := newHarness(t)
	before := h.core.Clock(h.now)
	h.core.HandleSuspension(h.now, 2*time.Second)
	if got := h.core.Clock(h.now); got != before+2000 {
		t.Errorf("the clock is %d after a suspension of two seconds, want %d", got, before+2000)
	}
}

// An owner without runs is told of a mostly free worker at its idle interval only.
func TestReportsToIdleOwners(t *testing.T) {
	h := newHarness(t)
	h.core.HandleHeartbeat(h.now, otherEntry, &yuccawire.Beat{StateIntervalMs: 150, IdleIntervalMs: 1000})
	h.advance(100 * time.Millisecond)
	// The load of the runs alternates, so that the state differs between reports.
	count := func(d time.Duration, load int) int {
		sent := h.stateCount[otherEntry]
		for end := h.now.Add(d); h.now.Before(end); {
			name := fmt.Sprint("a", h.now.Sub(startTime))
			load ^= 512
			h.report(h.now.Sub(startTime).Milliseconds(), false)
			h.order(entry, lease, task(name, 1, uint32(load)))
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.complete(yuccaworker.Key{Task: name, Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
			h.advance(20 * time.Millisecond)
		}
		return h.stateCount[otherEntry] - sent
	}
	if n := count(3*time.Second, 1600); n > 4 {
		t.Errorf("%d reports in three seconds on a worker that is mostly free, want at most four", n)
	}
	if n := count(3*time.Second, 12000); n < 8 || n > 21 {
		t.Errorf("%d reports in three seconds on a worker that is mostly used, want 8 to 21", n)
	}
}

// An owner may order tasks as soon as it has a state of the worker on a new link. The full
// list of runs that follows would lack them, and the owner would place them once more.
func TestStateOvertakesTheFullListOnANewLink(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.now = h.now.Add(time.Second)
	h.hold(*h.pendingHold)
	h.core.Tick(h.now)
	h.core.HandleLinkUp(h.now, entry)
	for _, a := range h.core.Actions() {
		s, isSend := a.(yuccaworker.Send)
		if !isSend || s.Owner != entry {
			continue
		}
		if ends := s.Message.GetEnds(); !ends.GetFull() || len(ends.GetEnds()) != 1 {
			t.Errorf("first message is %v, want the full list with the outcome", s.Message)
		}
		break
	}
}

// Entries take a run that the list lacks for one that never arrived if they ordered it within OutcomeRetention.
func TestListHasAllEndsOfRunsOrderedWithinTheRetention(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleLinkDown(h.now, entry)
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(yuccaworker.OutcomeRetention - 10*time.Millisecond)
	h.core.HandleLinkUp(h.now, entry)
	h.runActions()
	if got := h.delivered[entry]; len(got) != 1 || got[0].GetEnd() != yuccawire.RunEnd_RUN_END_DONE {
		t.Errorf("outcomes %v on the new link, want the completion", got)
	}
}
