package yuccamodel_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// The machine with the run of the first step has been silent for 0.8 s when the entry is killed.
func TestSucceededRunOfAnOpenJobStartsAgainAfterItsSideAndItsEntryWereLost(t *testing.T) {
	w := newWorld(t, 7, 2, 3)
	w.run(warmUp)
	w.patience = 9 * time.Second
	w.shape = func(j *callerJob) {
		j.tasks = map[string]taskSize{j.job.ID + ".0.0.0": {cpuMilli: 1600, workMS: 300}, j.job.ID + ".0.1.0": {cpuMilli: 1600, workMS: 3000}}
		j.job.Steps = []yuccabroker.Step{
			{Count: 1, CPUMilli: 1600, MemoryMB: 64, Estimate: 300 * time.Millisecond},
			{Count: 1, CPUMilli: 1600, MemoryMB: 64, Estimate: 3 * time.Second, After: []int{0}},
		}
	}
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	for _, s := range w.sides {
		s.worker.delaySpread, s.worker.delayedCallShare = 3*time.Second, 1
	}
	job := w.submitNew(jobKinds[0])
	w.run(20 * time.Millisecond)
	var side *modelSide
	for _, s := range w.sides {
		s.worker.delayedCallShare = 0
		if !s.core.Idle() {
			side = s
		}
	}
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	for !side.core.Idle() {
		w.run(time.Millisecond)
	}
	w.run(10 * time.Millisecond)
	for _, s := range w.sides {
		s.worker.slowdown = 6
	}
	w.losePower(side, 0, 2200*time.Millisecond)
	w.after(800*time.Millisecond, func() { w.killEntry(w.entries[0], false, time.Minute) })
	w.run(15 * time.Second)
	if !job.isAnswered {
		t.Error("the caller is not answered")
	}
}
