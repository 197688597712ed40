package yuccabroker_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// The same ID in another queue is another job.
func TestJobOfAnotherQueueIsAnsweredByTheOpenOne(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	other := job("a", 1)
	other.Queue.Name, other.Payload = "other", []byte("other")
	f.submit(other, 2)
	f.wantState(2, yuccabroker.Rejected)
	renamed := job("a", 1)
	renamed.Queue.Name = "renamed"
	f.submit(renamed, 3)
	f.wantState(3, yuccabroker.Abandoned)
	f.endRun(f.sentRuns()["a.0.0.0/1"], "a.0.0.0", 1, done, 0)
	f.wantState(1, yuccabroker.Completed)
	f.submit(other, 4)
	f.endRun(f.sentRuns()["a.0.0.0/2"], "a.0.0.0", 2, done, 0)
	f.wantState(4, yuccabroker.Completed)
}
