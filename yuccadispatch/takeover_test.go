package yuccadispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// replyToClaims answers all claims sent since the last call. The claim that is
// replied to names the job, the nonce and whether it records the end of the job.
func replyToClaims(now time.Time, d *yuccadispatch.Dispatcher, reply *yuccawire.ClaimReply) []yuccadispatch.Action {
	return replyToClaimsOf(now, d, d.Actions(), reply)
}

func replyToClaimsOf(now time.Time, d *yuccadispatch.Dispatcher, actions []yuccadispatch.Action, reply *yuccawire.ClaimReply) []yuccadispatch.Action {
	u := yuccalease.Update{Lease: d.Lease(), View: d.View()}
	for _, action := range actions {
		send, ok := action.(yuccadispatch.SendControl)
		if !ok {
			continue
		}
		for _, c := range send.Message.GetClaimBatch().GetClaims() {
			u.Claims = append(u.Claims, &yuccawire.ClaimReply{
				Job: c.GetJob(), Nonce: c.GetNonce(), Finished: c.GetFinished(), AgeMs: reply.GetAgeMs(),
				Result: reply.GetResult(), Owner: reply.GetOwner(), Incarnation: reply.GetIncarnation(),
			})
		}
	}
	d.HandleControlUpdate(now, u)
	return d.Actions()
}

// takeOver submits the job of an entry that is gone and takes it over. It returns the
// time after it.
func takeOver(now time.Time, d *yuccadispatch.Dispatcher, s yuccadispatch.Submission) time.Time {
	d.Submit(now, s)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_TAKEN, AgeMs: 5000, Owner: "entry-2", Incarnation: 1})
	return now
}

func gatheredResult(s yuccadispatch.Submission, attempt, status uint32) *yuccawire.Gathered {
	key := &yuccawire.TaskKey{Job: s.Key.Wire(), Task: s.Tasks[0].ID, Attempt: attempt}
	finished := &yuccawire.Finished{Key: key, State: yuccawire.TaskState_TASK_FINISHED, Status: status}
	return &yuccawire.Gathered{Job: s.Key.Wire(), Finished: []*yuccawire.Finished{finished}}
}

// The former owner may have repeated a failed task, and answered the job as complete.
func TestFailedResultOfRepeatableTaskIsNotTheOutcome(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now.Add(20*time.Second), 1, 1)
	s.Unnamed, s.Repeatable = false, true
	now = takeOver(now.Add(20*time.Second), d, s)
	d.HandleGathered(now, "side-0", gatheredResult(s, 1, 500))
	d.HandleGathered(now, "side-1", gatheredResult(s, 2, 200))
	for side := 2; side < workers; side++ {
		d.HandleGathered(now, fmt.Sprintf("side-%d", side), &yuccawire.Gathered{Job: s.Key.Wire()})
	}
	var answers []yuccadispatch.Answer
	for _, action := range replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_GRANTED}) {
		if a, ok := action.(yuccadispatch.Answer); ok {
			answers = append(answers, a)
		}
	}
	if len(answers) != 1 || !answers[0].Outcome.GetUndetermined() {
		t.Errorf("answered %+v, want one undetermined outcome", answers)
	}
}

// Between the two replies to this entry, entry-3 has taken the job over from entry-2, and
// may have sent starts that are still on their way.
func TestGatherFencesTheLastOwner(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now, 1, 1)
	s.Unnamed = false
	d.Submit(now, s)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	actions := replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_TAKEN, Owner: "entry-3", Incarnation: 7})
	gathers := 0
	for _, action := range actions {
		send, ok := action.(yuccadispatch.SendSide)
		if !ok || send.Message.GetGather() == nil {
			continue
		}
		gathers++
		if fence := send.Message.GetGather().GetFence(); fence.GetOwner() != "entry-3" || fence.GetIncarnation() != 7 {
			t.Fatalf("the gather fences %v, want incarnation 7 of entry-3", fence)
		}
	}
	if gathers != workers {
		t.Errorf("%d of %d sides were asked", gathers, workers)
	}
}

// The caller cancels before this entry knows that the job has another owner, which is gone.
func TestCancelledJobIsStartedAfterTakeOver(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now.Add(20*time.Second), 1, 1)
	s.Unnamed = false
	now = now.Add(20 * time.Second)
	d.Submit(now, s)
	d.Cancel(now, s.Key)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_TAKEN, AgeMs: 5000, Owner: "entry-2", Incarnation: 1})
	for side := range workers {
		d.HandleGathered(now, fmt.Sprintf("side-%d", side), &yuccawire.Gathered{Job: s.Key.Wire()})
	}
	for _, action := range replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_GRANTED}) {
		if a, ok := action.(yuccadispatch.Answer); ok && a.Outcome.GetCancelled() {
			return
		}
	}
	t.Error("the job was not answered as cancelled")
}

// The claim of the owner that this entry knows of was dropped, so that it gets a new one.
func TestJobOfDroppedClaimIsNotStarted(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now, 1, 1)
	s.Unnamed = false
	d.Submit(now, s)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	for _, action := range replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_GRANTED}) {
		switch a := action.(type) {
		case yuccadispatch.SendStart:
			t.Errorf("task %s was started again", a.Start.GetKey().GetTask())
		case yuccadispatch.Answer:
			if a.Rejection != yuccadispatch.Expired {
				t.Errorf("answered %+v, want rejection %d", a, yuccadispatch.Expired)
			}
			return
		}
	}
	t.Error("the job was not answered")
}

// No age is known, so that the claim may be dropped at any time.
func TestRepeatableTaskOfUnknownAgeIsNotRepeated(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now.Add(20*time.Second), 1, 1)
	s.Unnamed, s.Repeatable = false, true
	now = now.Add(20 * time.Second)
	d.Submit(now, s)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_TAKEN, AgeMs: -1, Owner: "entry-2", Incarnation: 1})
	key := &yuccawire.TaskKey{Job: s.Key.Wire(), Task: s.Tasks[0].ID, Attempt: 1}
	d.HandleGathered(now, "side-0", &yuccawire.Gathered{Job: s.Key.Wire(), Running: []*yuccawire.TaskKey{key}})
	for side := 1; side < workers; side++ {
		d.HandleGathered(now, fmt.Sprintf("side-%d", side), &yuccawire.Gathered{Job: s.Key.Wire()})
	}
	d.HandleFinished(now, "side-0", &yuccawire.Finished{Key: key, Service: s.Service, State: yuccawire.TaskState_TASK_FINISHED, Status: 500})
	for _, action := range d.Actions() {
		if start, ok := action.(yuccadispatch.SendStart); ok {
			t.Errorf("task %s was started again", start.Start.GetKey().GetTask())
		}
	}
}

// The first reply, which named the former owner, was lost. Between the two claims of this
// entry that were answered, entry-3 may have taken the job over from entry-2.
func TestRepeatedTakeOverStartsNothing(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now.Add(20*time.Second), 1, 1)
	s.Unnamed = false
	now = now.Add(20 * time.Second)
	d.Submit(now, s)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1})
	now = now.Add(time.Second)
	d.Tick(now)
	replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_TAKEN, AgeMs: 5000, Owner: "entry-1", Incarnation: 1})
	gatherNothing(now, d, s)
	checkNothingStarted(t, now, d)
}

// The former owner had a link to the first incarnation of the side, which this entry never
// heard of.
func TestTasksOfUnseenIncarnationAreNotStartedAgain(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	now = now.Add(20 * time.Second)
	member := &yuccawire.Member{
		Node:    &yuccawire.Node{Name: "side-0-again", Role: yuccawire.Role_ROLE_SIDE, DataCentre: "cusco", Incarnation: 2},
		Targets: []*yuccawire.Target{{Service: "regulation", Slots: slotsPerWorker, Connections: 64}},
	}
	d.HandleControlUpdate(now, yuccalease.Update{
		Lease: d.Lease(), View: d.View(), Members: &yuccawire.MembersDelta{Epoch: 1, Version: 2, Changed: []*yuccawire.Member{member}},
	})
	s := submission(now, 1, 1)
	s.Unnamed = false
	now = takeOver(now.Add(time.Second), d, s)
	d.HandleGathered(now, "side-0-again", &yuccawire.Gathered{Job: s.Key.Wire()})
	gatherNothing(now, d, s)
	checkNothingStarted(t, now, d)
}

func gatherNothing(now time.Time, d *yuccadispatch.Dispatcher, s yuccadispatch.Submission) {
	for side := range workers {
		d.HandleGathered(now, fmt.Sprintf("side-%d", side), &yuccawire.Gathered{Job: s.Key.Wire()})
	}
}

// checkNothingStarted checks that the job starts nothing and is answered as one that may
// have been run.
func checkNothingStarted(t *testing.T, now time.Time, d *yuccadispatch.Dispatcher) {
	t.Helper()
	actions := d.Actions()
	for _, action := range actions {
		if start, ok := action.(yuccadispatch.SendStart); ok {
			t.Fatalf("task %s was started again", start.Start.GetKey().GetTask())
		}
	}
	for _, action := range replyToClaimsOf(now, d, actions, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_GRANTED}) {
		if a, ok := action.(yuccadispatch.Answer); ok {
			if a.Outcome == nil || a.Outcome.GetNotRun() || a.Outcome.GetComplete() {
				t.Errorf("answered %+v, want neither complete nor not run", a)
			}
			return
		}
	}
	t.Error("the job was not answered")
}
