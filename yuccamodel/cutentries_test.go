package yuccamodel_test

import (
	"testing"
	"time"
)

// linkFirst links the side of a late start with the first of four entries and the second, not with the others.
func linkFirst(w *world) {
	w.isLinked = func(e *modelEntry, s *modelSide) bool { return e.index < 2 || s != w.sides[2] }
}

// An entry passes news on over a link that has just been cut, and another one takes them for told.
func TestResendRunsBesideALateStartAsTheEntryThatPassesItOnIsCutOff(t *testing.T) {
	w := newFleet(t, 1, 1, 4, 3)
	linkFirst(w)
	w.start()
	w.run(warmUp)
	w.partitionEntries(w.entries[1], w.entries[3], 6*time.Second)
	w.partitionEntries(w.entries[0], w.entries[3], 6*time.Second)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[3] }
	w.run(100 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
	w.run(12 * time.Second)
	if side != w.sides[2] || !job.isCompleted() {
		t.Errorf("run at %s, answered: %v, as %v, want the job completed", side.name, job.isAnswered, job.state)
	}
}

// The owner of a run at a machine that stands still is cut from the entry to which the caller comes.
func TestResendRunsBesideAStandingMachineAsItsOwnerIsCutFromTheEntry(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	w.run(warmUp)
	w.patience = 6 * time.Second
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	job := w.submitOneTask(1600, 600*time.Millisecond)
	w.run(200 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.partitionEntries(w.entries[0], w.entries[1], 6*time.Second)
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

// The caller comes again at an entry that is just up, and is linked with the idle sides first.
func TestResendAtAnEntryThatIsLinkedWithOtherSidesFirstRunsBesideALateStart(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	restarted := w.entries[1]
	w.pickEntry = func() *modelEntry { return restarted }
	w.run(100 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
	w.after(500*time.Millisecond, func() { w.killEntry(restarted, false, 700*time.Millisecond) })
	w.after(1150*time.Millisecond, func() {
		w.partitionEntries(restarted, w.entries[2], 300*time.Millisecond)
		w.partitionLink(restarted, side, 300*time.Millisecond)
	})
	w.run(12 * time.Second)
	if !job.isAnswered {
		t.Error("the caller is not answered")
	}
}

// The entry to which the caller comes reaches neither the side of the run nor any other entry.
func TestResendAtAnEntryThatIsCutFromTheOthersRunsBesideALateStart(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	w.run(warmUp)
	cut := w.entries[1]
	w.partitionLink(cut, w.sides[2], 6*time.Second)
	w.partitionEntries(cut, w.entries[0], 6*time.Second)
	w.partitionEntries(cut, w.entries[2], 6*time.Second)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return cut }
	w.run(100 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
	w.run(12 * time.Second)
	if side != w.sides[2] || !job.isAnswered {
		t.Errorf("run at %s, answered: %v", side.name, job.isAnswered)
	}
}
