package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// sideClock returns the clock of the sides of a fixture, in milliseconds.
func (f *fixture) sideClock() uint64 { return f.workerState(0).GetClockMs() }

// The lease that an order carries ends at most OwnerLease after it is sent, on the
// side's clock, and only a little sooner if the side's last report is a second old.
func TestLeaseCountsFromSending(t *testing.T) {
	for _, age := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		var sides []string
		for i := range 40 {
			sides = append(sides, fmt.Sprint("s", i))
		}
		f := newFixture(t, sides...)
		f.broker.Tick(f.now)
		f.now = f.now.Add(age)
		f.broker.Tick(f.now)
		f.submit(job("a", 1), 1)
		limit := f.sideClock() + uint64(yuccaworker.OwnerLease.Milliseconds())
		for side, orders := range f.orders {
			if until := orders[0].GetUntilMs(); until > limit || until+20 < limit {
				t.Errorf("after %v, the lease at %s ends at %d, want at most %d and 20 less at least", age, side, until, limit)
			}
		}
		if len(f.orders) != 1 {
			t.Errorf("after %v, orders went to %d sides, want one", age, len(f.orders))
		}
	}
}

// A lease is renewed only while there are runs, when half of it is used up, and only
// at a side that is heard: the runs of a silent side have to end.
func TestRenewals(t *testing.T) {
	f := newFixture(t, "s1")
	f.advance(time.Second, "s1")
	idle := f.heartbeats["s1"]
	if idle > 1 {
		t.Errorf("%d heartbeats in a second without runs, want one at most, for the intervals of reports", idle)
	}
	f.submit(job("a", 1), 1)
	f.advance(time.Second, "s1")
	if n := f.heartbeats["s1"] - idle; n < 3 || n > 4 {
		t.Errorf("%d heartbeats in a second with a run, want three or four", n)
	}
	f.advance(400 * time.Millisecond)
	heard := f.heartbeats["s1"]
	f.advance(600 * time.Millisecond)
	if f.heartbeats["s1"] != heard {
		t.Error("the lease is renewed at a side that was not heard for 350 ms")
	}
}

// A side gets no orders if it has runs and was not heard for 350 ms, and none if its
// reports don't mention an order that is older than 250 ms.
func TestUnresponsiveSideGetsNoOrders(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.advance(400 * time.Millisecond)
	f.submit(job("b", 1), 2)
	if n := len(f.sentRuns()); n != 1 {
		t.Errorf("%d runs sent to a side with runs that was not heard for 400 ms, want only the first", n)
	}
	f = newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	seen := f.lastOrder["s1"]
	f.lastOrder["s1"] = 0
	f.advance(300*time.Millisecond, "s1")
	f.submit(job("b", 1), 2)
	if n := len(f.sentRuns()); n != 1 {
		t.Errorf("%d runs sent to a side that does not mention the first order, want only that", n)
	}
	f.lastOrder["s1"] = seen
	f.advance(20*time.Millisecond, "s1")
	if n := len(f.sentRuns()); n != 2 {
		t.Errorf("%d runs sent once the order is mentioned, want two", n)
	}
}

// A side without runs is used on the strength of a report that is up to half a second
// old in a small deployment.
func TestIdleSideGetsOrders(t *testing.T) {
	f := newFixture(t, "s1")
	f.advance(20*time.Millisecond, "s1")
	f.advance(450 * time.Millisecond)
	f.submit(job("a", 1), 1)
	if n := len(f.sentRuns()); n != 1 {
		t.Errorf("%d runs sent on a report that is 450 ms old, want one", n)
	}
	f = newFixture(t, "s1")
	f.advance(20*time.Millisecond, "s1")
	f.advance(550 * time.Millisecond)
	f.submit(job("a", 1), 1)
	if n := len(f.sentRuns()); n != 0 {
		t.Errorf("%d runs sent on a report that is 550 ms old, want none", n)
	}
}
