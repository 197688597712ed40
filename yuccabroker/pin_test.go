package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Small tasks of others keep the worker full.
func TestPinnedLargeTaskIsReserved(t *testing.T) {
	f := newFixture(t, "s1")
	j := largeJob("a")
	j.Deadline = f.now.Add(10 * time.Second)
	f.submit(j, 1)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	f.sides = []string{"s1", "s2"}
	f.endFirstRun("s1", yuccawire.RunEnd_RUN_END_FAILED)
	f.tickFull(20)
	if got := f.reservedOrders(); len(got) != 1 || got[0] != "s1" {
		t.Errorf("reserved at %v, want the side that the task is pinned to", got)
	}
}
