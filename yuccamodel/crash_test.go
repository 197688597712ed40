package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// playFewCrashingTasks offers moderate load, with a few jobs whose first task crashes
// its worker and whose callers are patient. onCrash is called after each such crash.
func playFewCrashingTasks(t *testing.T, onCrash func(w *world, j *callerJob)) {
	for seed := range uint64(*seeds / 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 300+seed, 9, 11)
			w.patience = 20 * time.Second
			w.onCrash = func(j *callerJob) { onCrash(w, j) }
			w.run(warmUp)
			w.offerLoad(0.5, 8*time.Second)
			w.run(time.Second)
			w.crashingShare["trim"] = 1
			w.submitNew(w.kinds[0])
			w.crashingShare["trim"] = 0.02
			w.run(4 * time.Second)
			w.crashingShare["trim"] = 0
			w.run(24 * time.Second)
			if w.workerCrashes == 0 {
				t.Error("no worker crashed")
			}
			t.Logf("%d workers crashed, %+v", w.workerCrashes, w.result())
		})
	}
}

func TestCrashingTaskTakesDownWorkerAfterWorker(t *testing.T) {
	t.Parallel()
	playFewCrashingTasks(t, func(*world, *callerJob) {})
}

func TestCrashingTaskIsStartedAgainByAnotherEntry(t *testing.T) {
	t.Parallel()
	playFewCrashingTasks(t, func(w *world, j *callerJob) {
		if e := j.entry; e != nil {
			w.after(100*time.Millisecond, func() { w.killEntry(e, false, 600*time.Millisecond) })
		}
	})
}

// The workers fall silent with their machines, which refuse no connections.
func TestCrashingTaskTakesDownMachineAfterMachine(t *testing.T) {
	t.Parallel()
	playFewCrashingTasks(t, func(w *world, _ *callerJob) {
		for _, s := range w.sides {
			s.worker.refuses = false
		}
	})
}

// servedShare returns the share of the jobs of the kinds that were completed.
func (w *world) servedShare(kinds ...string) float64 {
	jobs, served := 0, 0
	for _, kind := range kinds {
		for _, j := range w.jobs {
			if j.kind.name != kind || len(j.crashes) > 0 {
				continue
			}
			jobs++
			if j.isCompleted() {
				served++
			}
		}
	}
	return float64(served) / float64(jobs)
}

func TestCrashingTasksOfOneQueueStopTheOthers(t *testing.T) {
	t.Parallel()
	const runs = 4
	others, confined := 0.0, 0.0
	for seed := range uint64(runs) {
		w := newWorld(t, 300+seed, 9, 11)
		w.run(warmUp)
		w.offerLoad(0.7, 16*time.Second)
		w.run(2 * time.Second)
		w.crashingShare["trim"] = 0.1
		w.run(8 * time.Second)
		w.crashingShare["trim"] = 0
		w.run(14 * time.Second)
		t.Logf("%d workers crashed, %+v, served: trim %.3f, others %.3f", w.workerCrashes, w.result(), w.servedShare("trim"), w.servedShare("resync", "check"))
		others += w.servedShare("resync", "check") / runs
		confined += w.servedShare("trim") / runs
	}
	if confined < 0.6 {
		t.Errorf("a share of %.3f of the jobs of the confined kind that crash nothing is served, want at least 0.6", confined)
	}
	if others < 0.9 {
		t.Errorf("a share of %.3f of the jobs of the other kinds is served, want at least 0.9", others)
	}
}

func TestTaskBesideTheCulpritIsBlamed(t *testing.T) {
	t.Parallel()
	blamed, jobs := 0, 0
	for seed := range uint64(4) {
		w := newWorld(t, 300+seed, 9, 11)
		w.run(warmUp)
		w.offerLoad(0.7, 16*time.Second)
		w.run(2 * time.Second)
		w.crashingShare["trim"] = 0.1
		w.run(22 * time.Second)
		for _, j := range w.jobs {
			jobs++
			if len(j.crashes) == 0 && j.isAnswered && j.state == yuccabroker.Failed {
				blamed++
			}
		}
	}
	t.Logf("%d of %d jobs are failed though no task of them crashes its worker", blamed, jobs)
	if blamed > jobs/1000 {
		t.Errorf("%d of %d jobs are failed though no task of them crashes its worker, want one in a thousand at most", blamed, jobs)
	}
}

// Tasks crash their workers while random faults are injected, which may make the system
// forget crashes. The users' bound: two starts at most after three workers have crashed.
func TestFaultsWithCrashingTasks(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 7000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.maxCrashes = 5
			w.patience = 6 * time.Second
			w.crashingShare["trim"] = 0.03
			w.run(warmUp)
			w.offerLoad(0.3, 10*time.Second)
			for range 12 {
				w.after(time.Duration(w.random.IntN(9000))*time.Millisecond, w.injectFault)
			}
			w.run(24 * time.Second)
			if w.starts == 0 {
				t.Error("no task was started")
			}
		})
	}
}
