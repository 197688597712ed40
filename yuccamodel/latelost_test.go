package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// A fifth of the calls is late and a fifth of the runs fails, while machines lose power and entries are killed.
func TestFaultsOfLateCallsWithLostMachinesAndEntries(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 12000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			for _, s := range w.sides {
				s.worker.delaySpread, s.worker.delayedCallShare, s.worker.failShare = longDelaySpread, 0.2, 0.2
			}
			w.run(warmUp)
			w.offerLoad(0.3, 10*time.Second)
			for range 14 {
				w.after(w.randomDuration(lastFault), w.cutPowerOfSome)
			}
			for range 6 {
				w.after(w.randomDuration(lastFault), func() {
					w.killEntry(w.entries[w.random.IntN(len(w.entries))], false, 100*time.Millisecond+w.randomDuration(2*time.Second))
				})
			}
			w.run(20 * time.Second)
			completed := 0
			for _, j := range w.jobs {
				if j.isCompleted() {
					completed++
				}
			}
			t.Logf("%d of %d jobs completed, %d messages, %d lists of held tasks received", completed, len(w.jobs), w.messages, w.heldLists)
		})
	}
}
