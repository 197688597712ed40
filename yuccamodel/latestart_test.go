package yuccamodel_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// The worker restarts while its side has no run, which doesn't notice that before the worker reports.
func TestStartAtAWorkerThatHasRestartedUnnoticedRunsBesideALateOne(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(730 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.after(650*time.Millisecond, side.worker.crash)
	w.after(1150*time.Millisecond, func() { side.worker.restartWithClock(0, maxReportDelay) })
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}

// The entry dies at the moment at which the machine of its run loses power, as in a data centre without power.
func TestUnsettledRunStartsBesideThatOfAResendAfterEntryAndMachineWereLost(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(300 * time.Millisecond)
	w.losePower(side, 0, 1500*time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}

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

// The connection of the caller breaks while the answer is on its way, so that it comes again at another entry.
func TestSucceededRunStartsAgainBesideThatOfAResendAfterALostAnswer(t *testing.T) {
	w := newWorld(t, 1, 2, 3)
	w.run(warmUp)
	job, side := w.submitLateStart(300 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	for !side.core.Idle() {
		w.run(time.Millisecond)
	}
	for w.entries[0].broker.OpenJobs() > 0 {
		w.run(100 * time.Microsecond)
	}
	job.disconnect()
	for _, s := range w.sides {
		s.worker.slowdown = 4
	}
	w.losePower(side, 500*time.Millisecond, 700*time.Millisecond)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}

// The side of the run is linked with the killed entry, and not with that at which the caller comes again.
func TestStoppedRunStartsBesideThatOfAResendAtAnUnlinkedEntry(t *testing.T) {
	w := newFleet(t, 1, 1, 2, 3)
	w.isLinked = func(e *modelEntry, s *modelSide) bool { return e == w.entries[0] || s != w.sides[2] }
	w.start()
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.run(100 * time.Millisecond)
	w.killEntry(w.entries[0], false, time.Minute)
	w.losePower(side, 900*time.Millisecond, 800*time.Millisecond)
	w.run(12 * time.Second)
	if side != w.sides[2] || !job.isCompleted() {
		t.Errorf("run at %s, answered: %v, as %v, want the job completed", side.name, job.isAnswered, job.state)
	}
}

// The wall clock of the machine is set back when it has lost power, so that the new token is below that of the late start.
func TestLateStartIsNotFencedAfterTheWallClockWasSetBack(t *testing.T) {
	w := newFleet(t, 1, 1, 1, 3)
	for _, s := range w.sides {
		s.worker.incarnation.StartedAtMS = s.worker.startedAt.UnixMilli()
	}
	w.start()
	w.run(warmUp)
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.run(80 * time.Millisecond)
	m := side.worker
	m.crash()
	w.killSide(side, 700*time.Millisecond)
	w.after(500*time.Millisecond, func() {
		m.restartWithClock(0, 100*time.Millisecond)
		m.incarnation.StartedAtMS -= 10_000
	})
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}

// submitTwoLateStarts is submitLateStart for two runs of the task: the first fails, and the first try of the
// second is executed late, too.
func (w *world) submitTwoLateStarts() (*callerJob, *modelSide) {
	job, side := w.submitLateStart(2500 * time.Millisecond)
	w.run(40 * time.Millisecond)
	side.worker.fails = true
	for _, r := range side.worker.runs {
		r.remainingMS = 60
	}
	for !side.core.Idle() {
		w.run(time.Millisecond)
	}
	side.worker.fails = false
	for side.core.Idle() {
		w.run(callDelay / 3)
	}
	w.run(callDelay / 3) // The call before the start is on its way.
	side.worker.delayedCallShare = 1
	w.run(20 * time.Millisecond)
	side.worker.delayedCallShare = 0
	return job, side
}

func TestLateStartsOfTwoRunsOfATaskRunAtTheSameTime(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(warmUp)
	job, side := w.submitTwoLateStarts()
	w.losePower(side, 600*time.Millisecond, 900*time.Millisecond)
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}

// The side is back with its worker, which reports 1.5 s later.
func TestLateStartsOfTwoRunsRunBesideEachOtherBeforeTheirWorkerReports(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(warmUp)
	job, side := w.submitTwoLateStarts()
	w.after(600*time.Millisecond, func() {
		side.worker.crash()
		w.killSide(side, 950*time.Millisecond)
	})
	w.after(1500*time.Millisecond, func() { side.worker.restartWithClock(0, maxReportDelay) })
	w.run(12 * time.Second)
	if !job.isCompleted() {
		t.Errorf("answered: %v, as %v, want the job completed", job.isAnswered, job.state)
	}
}
