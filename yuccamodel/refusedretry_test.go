package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// submitOneTask submits a job of one task.
func (w *world) submitOneTask(cpuMilli int, work time.Duration) *callerJob {
	w.shape = func(j *callerJob) {
		j.tasks = map[string]taskSize{fmt.Sprintf("%s.0.0.0", j.job.ID): {cpuMilli: cpuMilli, workMS: float64(work.Milliseconds())}}
		j.job.Steps = []yuccabroker.Step{{Count: 1, CPUMilli: cpuMilli, MemoryMB: 64, Estimate: work}}
	}
	return w.submitNew(jobKinds[0])
}

// refuseRetries leaves the answers of the next moment out, and has the worker that then runs
// something refuse starts as unhealthy.
func (w *world) refuseRetries(starts int) {
	for _, s := range w.sides {
		m := s.worker
		m.lostReplyShare = 1
		w.after(20*time.Millisecond, func() {
			m.lostReplyShare = 0
			if len(m.runs) > 0 {
				m.refusalsDue = starts
			}
		})
	}
}

// A task waits at the side until the first one has ended, which fills the worker.
func TestRefusedRetryExceedsCapacity(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.run(warmUp)
	w.refuseRetries(1)
	first, second := w.submitOneTask(16000, 300*time.Millisecond), w.submitOneTask(1600, 100*time.Millisecond)
	w.run(4 * time.Second)
	if !first.isCompleted() || !second.isCompleted() {
		t.Errorf("the jobs end as %v and %v, want both completed", first.state, second.state)
	}
}

// The task may start on the other worker once the run on the first one has ended.
func TestRefusedRetryRunsTwice(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.run(warmUp)
	w.refuseRetries(1)
	job := w.submitOneTask(1600, 300*time.Millisecond)
	w.run(4 * time.Second)
	if !job.isCompleted() {
		t.Errorf("the job ends as %v, want it completed", job.state)
	}
}

// No other worker is there, and this one refuses all further starts.
func TestRefusedRetryRunsForARefusedCaller(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.run(warmUp)
	w.refuseRetries(1000)
	job := w.submitOneTask(1600, 300*time.Millisecond)
	w.run(4 * time.Second)
	if !job.hasRun || !job.isAnswered || job.state == yuccabroker.Rejected {
		t.Errorf("the job has run: %v, and ends as %v", job.hasRun, job.state)
	}
}
