package yuccabroker_test

import (
	"testing"
	"time"
)

// An estimate of 2^32 + 5 ms reached the side as one of 5 ms, by which the run was overdue.
func TestLongEstimateIsNotCut(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Steps[0].Estimate = (1<<32 + 5) * time.Millisecond
	j.Deadline = f.now.Add(1 << 62)
	f.submit(j, 1)
	if got := f.orders["s1"][0].GetJobs()[0].GetTasks()[0].GetEstimateMs(); got < uint32(time.Hour.Milliseconds()) {
		t.Errorf("the side gets an estimate of %d ms", got)
	}
}
