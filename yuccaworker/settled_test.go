package yuccaworker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// isUnsettled reports whether the last state message to the entry lists the run as unsettled.
func (h *harness) isUnsettled(key yuccaworker.Key) bool {
	return slices.ContainsFunc(h.states[entry].GetUnsettled(), func(k *yuccawire.RunKey) bool {
		return k.GetTask() == key.Task && k.GetRun() == key.Run
	})
}

func TestRunIsUnsettledUntilItsOnlyStartWasExecuted(t *testing.T) {
	for name, c := range map[string]struct {
		prepare, follow func(h *harness)
		want            bool
	}{
		"answered":   {want: false},
		"unanswered": {prepare: func(h *harness) { h.unresponsive = true }, want: true},
		"answered at the second try": {
			prepare: func(h *harness) { h.unresponsive = true },
			follow: func(h *harness) {
				h.unresponsive = false
				h.core.HandleStartReply(h.now, h.incarnation, runA, yuccaworker.ResultUnknown, 0)
				h.runActions()
			},
			want: true,
		},
		"answered by a restarted worker": {prepare: func(h *harness) { h.restart(-4000) }, want: true},
		"answered before a restart": {
			follow: func(h *harness) {
				h.restart(200)
				h.report(1, false)
				h.runActions()
			},
			want: true,
		},
		"queued": {prepare: func(h *harness) { h.order(otherEntry, lease, task("b", 1, 15000)) }, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(time.Second)
			h.holdsUnanswered = true
			if c.prepare != nil {
				c.prepare(h)
			}
			h.order(entry, lease, task("a", 1, 1600))
			if c.follow != nil {
				c.follow(h)
			}
			h.now = h.now.Add(20 * time.Millisecond)
			h.heartbeat(entry)
			h.runActions()
			if got := h.isUnsettled(runA); got != c.want {
				t.Errorf("the run is reported as unsettled: %v, want %v", got, c.want)
			}
		})
	}
}

func TestRunIsSettledOnceListed(t *testing.T) {
	h := newHarness(t)
	h.handleOrder(entry, lease, task("a", 1, 1600))
	h.core.Actions()
	h.running[runA] = true
	h.now = h.now.Add(20 * time.Millisecond)
	h.heartbeat(entry)
	h.runActions()
	before := h.isUnsettled(runA)
	h.list(h.now)
	h.now = h.now.Add(20 * time.Millisecond)
	h.list(h.now)
	if !before || h.isUnsettled(runA) {
		t.Errorf("the run is reported as unsettled: %v, then %v, want true, then false", before, h.isUnsettled(runA))
	}
}

// The worker answers nothing more.
func TestLossOfARunSaysWhetherItsStartMayBeLeft(t *testing.T) {
	for _, answered := range []bool{true, false} {
		h := newHarness(t)
		h.advance(time.Second)
		h.unresponsive = !answered
		h.order(entry, lease, task("a", 1, 1600))
		h.unresponsive = true
		h.advanceWithLease(entry, 3*time.Second)
		if ended := h.outcomeOf(entry, "a"); ended == nil || ended.GetMayStart() == answered {
			t.Errorf("the start was answered: %v, reported %v, want may_start %v", answered, ended, !answered)
		}
	}
}

// The new incarnation may have executed the start, and may run it by a delayed renewal.
func TestLossOfARunAtAnUnknownIncarnationIsNoProofOfItsEnd(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.holdsUnanswered = true
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = true
	h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{Incarnation: h.incarnation, Result: yuccaworker.ResultOtherIncarnation})
	h.advanceWithLease(entry, 2*time.Second)
	if ended := h.outcomeOf(entry, "a"); !ended.GetMayStart() {
		t.Errorf("reported %v, want may_start", ended)
	}
}

// The new incarnation has acknowledged the stop of the run, but the next one knows nothing of it.
func TestStopAtARestartedWorkerIsNoProofThatAStartIsNotLeft(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = false
	h.restart(-4000)
	h.report(1, false)
	h.runActions()
	h.advanceWithLease(entry, 400*time.Millisecond)
	if ended := h.outcomeOf(entry, "a"); ended == nil || !ended.GetMayStart() {
		t.Errorf("reported %v, want may_start", ended)
	}
}
