package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Cancellations of jobs that nobody has are recorded, too.
func TestManyCancellationsFillTheMemory(t *testing.T) {
	f := newFixture(t, "s1")
	for n := range 10_001 {
		f.broker.Cancel(f.now, "q", fmt.Sprint("j", n))
	}
	for waiter, tc := range []struct {
		id    string
		state yuccabroker.State
	}{{"j0", yuccabroker.Queued}, {"j1", yuccabroker.Failed}, {"j10000", yuccabroker.Failed}} {
		f.submit(job(tc.id, 1), uint64(waiter))
		if state := f.answers[uint64(waiter)].State; state != tc.state {
			t.Errorf("job %s is answered %v, want %v", tc.id, state, tc.state)
		}
	}
	f.advance(10*time.Second, "s1")
	again := job("j1", 1)
	again.Deadline = f.now.Add(3 * time.Second)
	f.submit(again, 9)
	if outcome, answered := f.answers[9]; answered {
		t.Errorf("after 10 s the job is answered %v, want it accepted", outcome)
	}
}

// The job is no longer open as it is cancelled, and its caller would submit it again.
func TestJobWhoseCallerHasLeftRunsAfterItsCancelling(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	if f.broker.Cancel(f.now, "q", "a") {
		t.Error("the job is said to be open")
	}
	f.endRun("s1", "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	f.submit(job("a", 1), 2)
	f.advance(100*time.Millisecond, "s1")
	f.wantState(2, yuccabroker.Failed)
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want the run before the cancelling only", f.sentRuns())
	}
}

// A worker that is large enough joins before the request comes again.
func TestJobThatWasRefusedForGoodRunsWhenItComesAgain(t *testing.T) {
	f := newFixture(t, "s1")
	large := job("a", 1)
	large.Steps[0].CPUMilli = 2 * fullCPU
	f.submit(large, 1)
	f.wantState(1, yuccabroker.Failed)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	state := f.workerState(2 * fullCPU)
	state.CpuMilli = 2 * fullCPU
	f.broker.HandleWorkerState(f.now, "s2", state)
	f.submit(large, 2)
	f.wantState(2, yuccabroker.Failed)
	f.advance(100*time.Millisecond, "s1")
	if len(f.sentRuns()) != 0 || len(f.ended.GetJobs()) != 1 {
		t.Errorf("sent %v and told the others of %v, want no run and the failed job", f.sentRuns(), f.ended)
	}
}
