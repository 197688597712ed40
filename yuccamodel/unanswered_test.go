package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// longDelaySpread makes delayed calls take effect up to 12 s late.
const longDelaySpread = 10 * time.Second

// silenceSome makes most calls to a random worker go unanswered for a while: they take
// effect seconds late, or at once.
func (w *world) silenceSome() {
	m := w.sides[w.random.IntN(len(w.sides))].worker
	share, late, d := 0.5, w.random.IntN(2) == 0, 500*time.Millisecond+w.randomDuration(3500*time.Millisecond)
	if w.random.IntN(2) == 0 {
		share = 0.7
	}
	w.logf("fault %.1f of the calls to %s are unanswered for %v, late %v", share, m.name, d, late)
	if late {
		m.delaySpread = longDelaySpread
		m.delayedCallShare = share
		w.after(d, func() { m.delayedCallShare = 0 })
		return
	}
	m.lostReplyShare = share
	w.after(d, func() { m.lostReplyShare = 0 })
}

// disturbEntry kills, freezes or partitions a random entry, or disconnects callers.
func (w *world) disturbEntry() {
	e, d := w.entries[w.random.IntN(len(w.entries))], 100*time.Millisecond+w.randomDuration(4*time.Second)
	kind := []string{"is killed", "is killed, unreachable", "is frozen", "is partitioned", "loses callers"}[w.random.IntN(5)]
	w.logf("fault %s %s for %v", e.name, kind, d)
	switch kind {
	case "is killed":
		w.killEntry(e, false, d)
	case "is killed, unreachable":
		w.killEntry(e, true, d)
	case "is frozen":
		w.freezeEntry(e, d)
	case "is partitioned":
		w.partitionEntry(e, d)
	default:
		for _, j := range w.jobs {
			if !j.isAnswered && w.random.IntN(2) == 0 {
				j.disconnect()
			}
		}
	}
}

// partitionEntry cuts an entry off from all sides and entries.
func (w *world) partitionEntry(e *modelEntry, d time.Duration) {
	for _, s := range w.sides {
		w.partitionLink(e, s, d)
	}
	for _, peer := range e.peers {
		w.partitionEntries(e, peer, d)
	}
}

// Stops and other calls go unanswered while entries fail and callers submit again
// elsewhere. A task runs at most once at a time, a refused job never, and nothing hangs
// afterwards.
func TestFaultsWithUnansweredStops(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9200 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 6, w.silenceSome, w.disturbEntry)
		})
	}
}
