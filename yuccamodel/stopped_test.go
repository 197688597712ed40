package yuccamodel_test

import (
	"testing"
	"time"
)

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
