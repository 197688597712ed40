package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A side refuses a run as it has that of another entry.
func TestTaskThatIsRefusedForAnotherRunOfItIsNotPlacedElsewhere(t *testing.T) {
	f := newFixture(t, "s1", "s2", "s3")
	f.submit(job("a", 1), 1)
	busy := f.sentRuns()["a.0.0.0/1"]
	f.endRun(busy, "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_BUSY)
	f.advance(200*time.Millisecond, "s1", "s2", "s3")
	runs := f.sentRuns()
	if len(runs) != 2 || runs["a.0.0.0/2"] != busy {
		t.Errorf("sent %v, want the second run at %s", runs, busy)
	}
}
