package yuccadispatch_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The clock of the entry stood still for 55 s, in which its lease may have expired.
func TestSuspendedEntryStartsNothing(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	s := submission(now, 1, 1)
	s.Unnamed = false
	d.Submit(now, s)
	d.HandleSuspension(55 * time.Second)
	var batch *yuccawire.ClaimBatch
	for _, action := range d.Actions() {
		if send, ok := action.(yuccadispatch.SendControl); ok {
			batch = send.Message.GetClaimBatch()
		}
	}
	granted := &yuccawire.ClaimReply{Job: s.Key.Wire(), Nonce: batch.GetClaims()[0].GetNonce(), Result: yuccawire.ClaimResult_CLAIM_GRANTED}
	d.HandleControlUpdate(now, yuccalease.Update{Lease: d.Lease(), View: d.View(), Claims: []*yuccawire.ClaimReply{granted}})
	if starts := startsOf(d); len(starts) != 0 {
		t.Errorf("started %v under a lease that may have expired", starts)
	}
	if a := d.Submit(now, submission(now, 2, 1)); a.Rejection != yuccadispatch.NoLease {
		t.Errorf("a job was admitted without a lease: %+v", a)
	}
	d.HandleControlUpdate(now, yuccalease.Update{Lease: yuccalease.Lease{}.Extend(now, yuccalease.Duration), View: d.View()})
	starts := startsOf(d)
	if len(starts) != 1 || starts[0].Deadline.After(now.Add(5*time.Second)) {
		t.Errorf("started %+v after the next renewal, want one within what is left of the deadline", starts)
	}
}

func startsOf(d *yuccadispatch.Dispatcher) []yuccadispatch.SendStart {
	var starts []yuccadispatch.SendStart
	for _, action := range d.Actions() {
		if start, ok := action.(yuccadispatch.SendStart); ok {
			starts = append(starts, start)
		}
	}
	return starts
}
