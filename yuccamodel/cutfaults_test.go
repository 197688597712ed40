package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// TestFaultsOfUnlinkedEntries with links between entries and sides, and between entries, that are cut.
func TestFaultsOfUnlinkedEntriesBehindCuts(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 14000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 1, 5, 6)
			w.isLinked = func(e *modelEntry, s *modelSide) bool { return (e.index+s.index)%5 < 3 }
			w.lateFirstStarts, w.patience = 0.5, 6*time.Second
			for _, s := range w.sides {
				s.worker.delaySpread = 3 * time.Second
			}
			w.start()
			w.run(warmUp)
			w.offerLoad(0.3, 10*time.Second)
			for range 8 {
				w.after(w.randomDuration(lastFault), w.cutPowerOfSome)
			}
			for i := range 4 {
				w.after(time.Duration(i)*2500*time.Millisecond, func() { w.killEntry(w.entries[w.random.IntN(len(w.entries))], false, w.randomDuration(time.Second)) })
			}
			for range 12 {
				w.after(w.randomDuration(lastFault), func() {
					a, b, s := w.random.IntN(5), w.random.IntN(4), w.sides[w.random.IntN(6)]
					if b >= a {
						b++
					}
					w.partitionEntries(w.entries[a], w.entries[b], w.randomDuration(3*time.Second))
					w.partitionLink(w.entries[a], s, w.randomDuration(3*time.Second))
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
