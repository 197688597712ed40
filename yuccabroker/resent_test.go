package yuccabroker_test

import (
	"testing"
	"time"
)

// The caller has come again and left again after the deadline of its first submission.
func TestSecondResendDoesNotWaitForAnUnansweredStart(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	for n, leavesAt := range []time.Duration{100 * time.Millisecond, 3500 * time.Millisecond} {
		f.advance(startTime.Add(leavesAt).Sub(f.now), other)
		f.broker.HandleDisconnect(f.now, "a", uint64(n+1))
		f.advance(200*time.Millisecond, other)
		resend := job("a", 1)
		resend.Deadline = f.now.Add(4 * time.Second)
		f.submit(resend, uint64(n+2))
	}
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// The caller of a long job comes again once the outcome of its first submission is forgotten.
func TestRunNumberOfAnUnansweredStartIsUsedAgain(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(11*time.Second, other)
	f.submit(j, 2)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// onlySide returns the side that has got the only order.
func (f *fixture) onlySide() string {
	f.t.Helper()
	if len(f.orders) != 1 {
		f.t.Fatalf("orders are %v, want those of one side", f.orders)
	}
	for side := range f.orders {
		return side
	}
	return ""
}
