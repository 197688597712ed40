package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestRunOfSilentSideUsesTheShareOfItsQueue(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	f.advance(2 * time.Second)
	if flows := f.flowsByQueue(); len(flows) != 0 {
		t.Errorf("after the leases have expired, the flows are %+v, want none", flows)
	}
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_DONE, 0)
	f.submit(job("b", 1), 2)
	f.advance(200*time.Millisecond, "s1")
	if own := f.flowsByQueue()["q"].Own; own.RunningMilli != 1600 {
		t.Errorf("after the end of the run, the demand is %+v, want that of the next one", own)
	}
}
