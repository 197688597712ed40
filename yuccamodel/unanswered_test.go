package yuccamodel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// longDelaySpread makes delayed calls take effect up to 12 s late.
	longDelaySpread = 10 * time.Second
	// Calls go unanswered for silentPhase after each calmPhase.
	calmPhase   = 1500 * time.Millisecond
	silentPhase = 2200 * time.Millisecond
)

// longKind is a kind of job whose tasks outlast the leases. They are small, so that many run.
var longKind = jobKind{name: "long", ratePerSecond: 12, meanTasks: 20, meanTaskMS: 3500, priority: 1, maxAttempts: 4}

// longCPUMilli is the processor demand of a task of longKind.
const longCPUMilli = 100

func shapeLong(j *callerJob) {
	if j.kind.name != longKind.name {
		return
	}
	j.job.Steps[0].CPUMilli = longCPUMilli
	for task, size := range j.tasks {
		size.cpuMilli = longCPUMilli
		j.tasks[task] = size
	}
}

// silence makes a share of the calls to the worker go unanswered for a while: they take
// effect seconds late, or at once.
func (m *modelWorker) silence(share float64, late bool, d time.Duration) {
	w := m.world
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

// playSilence makes entries fail, and callers submit elsewhere, while a share of the calls
// to most workers goes unanswered. Between the phases the workers get runs.
func (w *world) playSilence() {
	for at := calmPhase; at+silentPhase <= lastFault; at += calmPhase + silentPhase {
		w.after(at, func() {
			share, late := 0.5+0.2*float64(w.random.IntN(2)), w.random.IntN(4) > 0
			for _, s := range w.sides {
				if w.random.IntN(4) > 0 {
					s.worker.silence(share, late, silentPhase)
				}
			}
			for range 4 {
				w.after(w.randomDuration(silentPhase/3), w.disturbEntry)
			}
		})
	}
}

// disturbEntry kills, freezes or partitions a random entry, or disconnects callers.
func (w *world) disturbEntry() {
	e, d := w.entries[w.random.IntN(len(w.entries))], 100*time.Millisecond+w.randomDuration(4*time.Second)
	kind := []string{"is killed", "is killed, unreachable", "is frozen", "is partitioned", "is partitioned from some", "loses callers"}[w.random.IntN(6)]
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
	case "is partitioned from some":
		for _, s := range w.sides {
			if w.random.IntN(2) == 0 {
				w.partitionLink(e, s, d)
			}
		}
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
			w.kinds = append(slices.Clone(jobKinds), longKind)
			w.shape = shapeLong
			w.after(warmUp, w.playSilence)
			w.playFaults(0.3, 1, w.disturbEntry)
		})
	}
}
