package yuccamodel_test

import (
	"testing"
	"time"
)

// submitLateStart submits a job of one task to the first entry. The first try of its start is executed
// minLateness late, the second one at once. It returns the side that has the run.
func (w *world) submitLateStart(work time.Duration) (*callerJob, *modelSide) {
	w.patience = 6 * time.Second
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	for _, s := range w.sides {
		s.worker.delaySpread, s.worker.delayedCallShare = time.Millisecond, 1
	}
	job := w.submitOneTask(1600, work)
	w.run(20 * time.Millisecond)
	for _, s := range w.sides {
		s.worker.delayedCallShare = 0
		if !s.core.Idle() {
			return job, s
		}
	}
	w.t.Fatal("no side has got the task")
	return nil, nil
}

// losePower cuts the power of a machine until after the late start has been executed. The worker
// restarts before that under its ID.
func (w *world) losePower(s *modelSide, at, restartAfter time.Duration) {
	w.after(at, func() {
		s.worker.crash()
		w.killSide(s, restartAfter+600*time.Millisecond)
	})
	w.after(at+restartAfter, func() { s.worker.restartWithClock(0, maxReportDelay) })
}

// A run ends whose first start was not answered, and its worker executes that start after a restart.
func TestEndedRunStartsAgainBesideTheNextOne(t *testing.T) {
	for name, end := range map[string]func(w *world, s *modelSide, j *callerJob){
		"failed": func(w *world, s *modelSide, _ *callerJob) {
			s.worker.fails = true
			w.after(500*time.Millisecond, func() { s.worker.fails = false })
			w.after(10*time.Millisecond, func() {
				for _, r := range s.worker.runs {
					r.remainingMS = 300
				}
			})
		},
		"moved from a leaving worker": func(w *world, s *modelSide, _ *callerJob) {
			w.after(200*time.Millisecond, func() {
				s.worker.leavesAt = w.now.Add(600 * time.Millisecond)
				s.handleReport()
			})
		},
		"stopped after its caller has gone": func(w *world, _ *modelSide, j *callerJob) {
			w.after(300*time.Millisecond, j.disconnect)
		},
		"stopped after its owner was killed": func(w *world, _ *modelSide, _ *callerJob) {
			w.after(300*time.Millisecond, func() { w.killEntry(w.entries[0], false, time.Minute) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 2, 3)
			w.run(warmUp)
			job, side := w.submitLateStart(2500 * time.Millisecond)
			w.pickEntry = func() *modelEntry { return w.entries[1] }
			w.run(40 * time.Millisecond)
			end(w, side, job)
			w.losePower(side, 800*time.Millisecond, 900*time.Millisecond)
			w.run(12 * time.Second)
			if !job.isCompleted() {
				t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
			}
		})
	}
}

// The entry is killed shortly before the run has succeeded, so that the caller comes again at another one.
func TestSucceededRunStartsAgainBesideThatOfAResend(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(600 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(400 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 700*time.Millisecond, 500*time.Millisecond)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
