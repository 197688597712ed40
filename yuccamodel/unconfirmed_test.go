package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// reportLaterStartOfSome delivers a report of a later start of a worker that goes on.
func (w *world) reportLaterStartOfSome() {
	s := w.sides[w.random.IntN(len(w.sides))]
	r := s.worker.report()
	r.StartedAtMS += 1 + int64(w.random.IntN(100_000))
	w.logf("fault %s gets a report of a later start, %d", s.name, r.StartedAtMS)
	s.handle(func() { s.core.HandleReport(s.now(), r) })
}

func TestFaultsOfReportsOfALaterStart(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 10100 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 10, w.reportLaterStartOfSome)
		})
	}
}

// reportAnotherWorkerToSome delivers a report of a worker that isn't there, or announces the end of one that goes on.
func (w *world) reportAnotherWorkerToSome() {
	s := w.sides[w.random.IntN(len(w.sides))]
	if w.random.IntN(3) == 0 {
		w.logf("fault %s gets an announcement of the end of its worker", s.name)
		s.announceEnd()
		return
	}
	w.logf("fault %s gets a report of another worker", s.name)
	s.reportAs("w-other", time.Duration(1+w.random.IntN(100_000))*time.Millisecond)
}

func TestFaultsOfReportsOfAnotherWorker(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 10300 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 10, w.reportAnotherWorkerToSome)
		})
	}
}
