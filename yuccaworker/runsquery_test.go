package yuccaworker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// absentJobs returns which of the jobs the side says it has no run of, and whether it replies at all.
func absentJobs(h *harness, from yuccaworker.Owner, jobs ...string) ([]string, bool) {
	h.core.HandleRunsQuery(h.now, from, &yuccawire.RunsQuery{Number: 5, Jobs: jobs})
	var reply *yuccawire.RunsReply
	for _, a := range h.core.Actions() {
		if s, isSend := a.(yuccaworker.Send); isSend && s.Owner == from && s.Message.GetRunsReply().GetNumber() == 5 {
			reply = s.Message.GetRunsReply()
		}
	}
	return reply.GetAbsent(), reply != nil
}

func TestSideDeniesRunOfALostEntry(t *testing.T) {
	h := newHarness(t)
	h.order(entry, yuccaworker.OwnerLease, task("a.0.0.0", 1, 1600))
	h.runActions()
	if absent, _ := absentJobs(h, otherEntry, "a", "b"); !slices.Equal(absent, []string{"b"}) {
		t.Errorf("%v are absent beside a run of a, want b", absent)
	}
	if absent, _ := absentJobs(h, entry, "a", "b"); !slices.Equal(absent, []string{"a", "b"}) {
		t.Errorf("%v are absent for the owner of the run, want both", absent)
	}
	h.unresponsive = true
	h.advance(2 * time.Second)
	if absent, _ := absentJobs(h, otherEntry, "a"); len(absent) > 0 {
		t.Errorf("%v are absent while the worker doesn't answer", absent)
	}
}

// The worker may have runs of the process before.
func TestRestartedSideRepliesBeforeItHasTakenOverItsWorker(t *testing.T) {
	h := newHarness(t)
	h.restartSide()
	if absent, replies := absentJobs(h, entry, "a"); replies {
		t.Errorf("%v are absent", absent)
	}
}
