package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// refuseAtSome makes a random worker refuse starts for a while, and leave calls
// unanswered, so that a start is refused whose earlier try is running or still to come.
func (w *world) refuseAtSome() {
	m, d := w.sides[w.random.IntN(len(w.sides))].worker, 500*time.Millisecond+w.randomDuration(3500*time.Millisecond)
	isUnhealthy, late := w.random.IntN(2) == 0, w.random.IntN(2) == 0
	w.logf("fault %s refuses starts for %v, as unhealthy %v, late %v", m.name, d, isUnhealthy, late)
	if isUnhealthy {
		m.unhealthyShare = 0.3
	} else {
		m.noCapacityShare = 0.3
	}
	if late {
		m.delayedCallShare = 0.2
	} else {
		m.lostReplyShare = 0.2
	}
	w.after(d, func() { m.unhealthyShare, m.noCapacityShare, m.delayedCallShare, m.lostReplyShare = 0, 0, 0, 0 })
}

// Starts are refused after an earlier try was left unanswered. A task runs at most once at
// a time, a refused job never, and nothing hangs afterwards.
func TestFaultsWithRefusedRetries(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9400 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 8, w.refuseAtSome)
		})
	}
}
