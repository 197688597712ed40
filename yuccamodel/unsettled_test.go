package yuccamodel_test

import (
	"testing"
	"time"
)

// The worker executes the start after it has lost power together with its side, and before that
// has called it again.
func TestStartThatOutlivesALossOfPowerDoesNotRunTwice(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.run(warmUp)
	w.patience = 6 * time.Second
	for _, s := range w.sides {
		s.worker.delaySpread = time.Millisecond
		s.worker.delayedCallShare = 1
	}
	job := w.submitOneTask(1600, 2*time.Second)
	w.run(30 * time.Millisecond)
	for _, s := range w.sides {
		s.worker.delayedCallShare = 0
		if job.entry.broker.OpenJobs() == 0 || s.core.Idle() {
			continue
		}
		s.worker.crash()
		w.killSide(s, minLateness)
		w.after(minLateness/2, func() { s.worker.restartWithClock(0, maxReportDelay) })
	}
	w.run(8 * time.Second)
	if !job.hasRun || !job.isAnswered {
		t.Errorf("the job has run: %v, is answered: %v, want the late start executed and the caller answered", job.hasRun, job.isAnswered)
	}
}

// All tries of the start are late. The worker acknowledges the stop, and loses power with its side.
func TestStoppedRunStartsBesideTheNextOneAfterALossOfPower(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.run(warmUp)
	w.patience = 6 * time.Second
	for _, s := range w.sides {
		s.worker.delaySpread, s.worker.delayedCallShare = time.Millisecond, 1
	}
	job := w.submitOneTask(1600, 3*time.Second)
	w.run(200 * time.Millisecond)
	for _, s := range w.sides {
		s.worker.delayedCallShare = 0
		if s.core.Idle() {
			continue
		}
		w.after(800*time.Millisecond, func() {
			s.worker.crash()
			w.killSide(s, 1300*time.Millisecond)
		})
		w.after(1700*time.Millisecond, func() { s.worker.restartWithClock(0, maxReportDelay) })
	}
	w.run(8 * time.Second)
	if !job.isAnswered {
		t.Error("the caller is not answered")
	}
}
