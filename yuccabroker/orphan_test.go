package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The new process of a side doesn't take its worker over, and the caller of a long job comes again.
func TestRunNumberOfAnOrphanIsUsedAgain(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	notTaken := func(m *yuccawire.WorkerState) { m.Taken, m.Ready = false, false }
	f.broker.HandleLinkDown(f.now, lost)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: lost, Incarnation: 2, DataCentre: "puno"})
	f.broker.HandleDisconnect(f.now, "a", 1)
	for range 600 {
		f.reportState(lost, 0, notTaken)
		f.advance(20*time.Millisecond, other)
	}
	f.submit(j, 2)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}
