package yuccabroker_test

import (
	"testing"
	"time"
)

// The caller that joined the job stops waiting before the first one, who comes again.
func TestShorterDeadlineOfAResendReleasesAnUnansweredStart(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(8 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	f.advance(100*time.Millisecond, other)
	f.submit(job("a", 1), 2)
	f.advance(3500*time.Millisecond, other)
	f.submit(j, 3)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}
