package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// slowStopTime is how long a worker takes to stop a run at most.
const slowStopTime = 50 * time.Millisecond

// Runs are stopped slowly, and half of the workers list them in neither list meanwhile. What
// is being stopped counts, and no task runs beside a run of it that is being stopped.
func TestFaultsWithSlowStops(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9700 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			for i, s := range w.sides {
				s.worker.stopTime, s.worker.hidesStopping = slowStopTime, i%2 == 0
			}
			w.playFaults(0.3, 8, w.refuseAtSome, w.disturbEntry)
			w.checkInUse()
		})
	}
}
