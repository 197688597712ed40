package yuccadispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// heldAttempt is an attempt that a side reports. A result without a body is that of a run
// in progress.
type heldAttempt struct {
	number, status uint32
	body           string
}

func (a heldAttempt) finished(s yuccadispatch.Submission) *yuccawire.Finished {
	key := &yuccawire.TaskKey{Job: s.Key.Wire(), Task: s.Tasks[0].ID, Attempt: a.number}
	return &yuccawire.Finished{
		Key: key, Service: s.Service, State: yuccawire.TaskState_TASK_FINISHED, Status: a.status, Body: []byte(a.body),
	}
}

func (a heldAttempt) gathered(s yuccadispatch.Submission) *yuccawire.Gathered {
	finished := a.finished(s)
	if a.body == "" {
		return &yuccawire.Gathered{Job: s.Key.Wire(), Running: []*yuccawire.TaskKey{finished.GetKey()}}
	}
	return &yuccawire.Gathered{Job: s.Key.Wire(), Finished: []*yuccawire.Finished{finished}}
}

// The former owner repeated the task as its side stood still, and answered what the last attempt gave.
func TestResultOfAnAttemptThatWasGivenUpIsTheOutcome(t *testing.T) {
	for _, c := range []struct {
		name        string
		passthrough bool
		held        []heldAttempt
	}{
		{"given up first", false, []heldAttempt{{1, 200, "given up"}, {2, 200, "last"}}},
		{"last first", false, []heldAttempt{{2, 200, "last"}, {1, 200, "given up"}}},
		{"given up first, last runs", false, []heldAttempt{{1, 200, "given up"}, {2, 0, ""}}},
		{"last first, which runs", false, []heldAttempt{{2, 0, ""}, {1, 200, "given up"}}},
		{"given up first, which runs", false, []heldAttempt{{1, 0, ""}, {2, 200, "last"}}},
		{"last first, given up runs", false, []heldAttempt{{2, 200, "last"}, {1, 0, ""}}},
		{"both run", false, []heldAttempt{{1, 0, ""}, {2, 0, ""}}},
		{"error first", true, []heldAttempt{{1, 500, "given up"}, {2, 200, "last"}}},
		{"error first, last runs", true, []heldAttempt{{1, 500, "given up"}, {2, 0, ""}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			d := newDispatcher(t, now)
			s := submission(now.Add(20*time.Second), 1, 1)
			s.Unnamed, s.Repeatable, s.Passthrough = false, true, c.passthrough
			now = takeOver(now.Add(20*time.Second), d, s)
			for i, a := range c.held {
				d.HandleGathered(now, fmt.Sprintf("side-%d", i), a.gathered(s))
			}
			for side := len(c.held); side < workers; side++ {
				d.HandleGathered(now, fmt.Sprintf("side-%d", side), &yuccawire.Gathered{Job: s.Key.Wire()})
			}
			for i, a := range c.held {
				if a.body == "" {
					ended := heldAttempt{a.number, 200, map[uint32]string{1: "given up", 2: "last"}[a.number]}
					d.HandleFinished(now, fmt.Sprintf("side-%d", i), ended.finished(s))
				}
			}
			for _, action := range d.Actions() {
				if a, ok := action.(yuccadispatch.Answer); ok {
					if body := string(a.Outcome.GetTasks()[0].GetBody()); body != "last" {
						t.Errorf("answered the result %q, want that of the last attempt", body)
					}
					return
				}
			}
			t.Error("the job was not answered")
		})
	}
}

// The side of the given up attempt stood still and is back; that of the last one is lost.
func TestGivenUpAttemptIsTheOutcomeBesideALostSide(t *testing.T) {
	answerBesideALostSide(t, heldAttempt{1, 200, "given up"})
}

func TestGivenUpAttemptThatRunsIsTheOutcomeBesideALostSide(t *testing.T) {
	answerBesideALostSide(t, heldAttempt{1, 0, ""})
}

func answerBesideALostSide(t *testing.T, held heldAttempt) {
	now := time.Now()
	d := newDispatcher(t, now)
	now = now.Add(20 * time.Second)
	s := submission(now, 1, 1)
	s.Unnamed, s.Repeatable = false, true
	update := func(version uint64, delta *yuccawire.MembersDelta) {
		delta.Epoch, delta.Version = 1, version
		d.HandleControlUpdate(now, yuccalease.Update{Lease: d.Lease(), View: d.View(), Members: delta})
	}
	update(2, &yuccawire.MembersDelta{Removed: []string{"side-0"}})
	update(3, &yuccawire.MembersDelta{Changed: []*yuccawire.Member{{
		Node:    &yuccawire.Node{Name: "side-0", Role: yuccawire.Role_ROLE_SIDE, DataCentre: "cusco", Incarnation: 1},
		Targets: []*yuccawire.Target{{Service: s.Service, Slots: slotsPerWorker, Connections: 64}},
	}}})
	now = takeOver(now.Add(time.Second), d, s)
	d.HandleGathered(now, "side-0", held.gathered(s))
	update(4, &yuccawire.MembersDelta{Removed: []string{"side-1"}})
	gatherNothing(now, d, s)
	if held.body == "" {
		d.HandleFinished(now, "side-0", heldAttempt{held.number, 200, "given up"}.finished(s))
	}
	actions := d.Actions()
	granted := &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_GRANTED}
	for _, action := range append(actions, replyToClaimsOf(now, d, actions, granted)...) {
		if a, ok := action.(yuccadispatch.Answer); ok {
			if !a.Outcome.GetUndetermined() {
				t.Errorf("answered %+v, want an undetermined outcome", a.Outcome)
			}
			return
		}
	}
	t.Error("the job was not answered")
}
