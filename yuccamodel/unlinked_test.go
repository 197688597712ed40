package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// The side of the run can't be reached from the entry at which the caller comes again.
func TestLateStartRunsBesideThatOfAResendAtAnEntryThatIsCutFromTheSide(t *testing.T) {
	for name, c := range map[string]struct {
		entries   int
		cutBefore time.Duration
	}{
		"the side has noticed the cut": {entries: 2, cutBefore: 2 * time.Second},
		"the side notices it later":    {entries: 3},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, c.entries, 3)
			w.run(warmUp)
			w.partitionLink(w.entries[1], w.sides[2], c.cutBefore+3500*time.Millisecond)
			w.run(c.cutBefore)
			job, side := w.submitLateStart(2500 * time.Millisecond)
			w.pickEntry = func() *modelEntry { return w.entries[1] }
			w.run(100 * time.Millisecond)
			w.killEntry(w.entries[0], false, time.Minute)
			w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
			w.run(12 * time.Second)
			if side != w.sides[2] || !job.isCompleted() {
				t.Errorf("run at %s, answered: %v, as %v, want the job completed", side.name, job.isAnswered, job.state)
			}
		})
	}
}

// The caller leaves and comes again at an entry that isn't linked with the only side that may run its task.
func TestTaskIsGivenUpForWantOfALinkWithTheOnlySideThatMayRunIt(t *testing.T) {
	w := newFleet(t, 1, 1, 3, 3)
	w.isLinked = func(e *modelEntry, s *modelSide) bool { return e != w.entries[1] || s != w.sides[2] }
	w.start()
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(300 * time.Millisecond)
	job.disconnect()
	w.run(12 * time.Second)
	if side != w.sides[2] || !job.isCompleted() {
		t.Errorf("run at %s, answered: %v, as %v, want the job completed", side.name, job.isAnswered, job.state)
	}
}

// The owner of a run at a machine that stands still is linked with some entries only, and the caller comes again
// at another one.
func TestResendAtAnEntryUnlinkedWithTheOwnerRunsBesideAStandingMachine(t *testing.T) {
	w := newFleet(t, 1, 2, 24, 2)
	w.start()
	w.run(warmUp)
	w.patience = 6 * time.Second
	owner := w.entries[0]
	var other *modelEntry
	for _, e := range w.entries {
		if e != owner && w.entryLinks[pairOf(owner, e)] == nil {
			other = e
		}
	}
	w.pickEntry = func() *modelEntry { return owner }
	job := w.submitOneTask(1600, 600*time.Millisecond)
	w.run(200 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return other }
	for _, s := range w.sides {
		if !s.core.Idle() {
			s.worker.standStill(4 * time.Second)
			w.freezeSide(s, 4*time.Second)
			job.disconnect()
		}
	}
	w.run(12 * time.Second)
	if !job.isAnswered {
		t.Error("the caller is not answered")
	}
}

// Each side is linked with two of four entries, one of which is down at a time, and any of them may get a job
// that comes again. The first try of the first run of a task may be late, no other call.
func TestFaultsOfUnlinkedEntries(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 13000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 1, 4, 6)
			w.isLinked = func(e *modelEntry, s *modelSide) bool { return (e.index+s.index)%4 < 2 }
			w.lateFirstStarts, w.patience = 0.5, 6*time.Second
			for _, s := range w.sides {
				s.worker.delaySpread = 3 * time.Second
			}
			w.start()
			w.run(warmUp)
			w.offerLoad(0.3, 10*time.Second)
			for range 10 {
				w.after(w.randomDuration(lastFault), w.cutPowerOfSome)
			}
			for i := range 5 {
				w.after(time.Duration(i)*2*time.Second, func() { w.killEntry(w.entries[w.random.IntN(len(w.entries))], false, w.randomDuration(time.Second)) })
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
