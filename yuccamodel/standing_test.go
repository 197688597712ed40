package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// standStill stops the worker for a while, as when its process gets no processor.
func (m *modelWorker) standStill(d time.Duration) {
	if m.isDown || m.standsStill {
		return
	}
	m.world.logf("fault %s stands still for %v", m.name, d)
	m.standsStill = true
	since, incarnation := m.clock(), m.incarnation
	m.world.after(d, func() {
		if m.standsStill && m.incarnation == incarnation {
			m.goOn(since)
		}
	})
}

// goOn ends the runs that were due since the clock showed that time, in the order of the timers, and
// executes the calls that have arrived, before or after that.
func (m *modelWorker) goOn(since int64) {
	m.world.logf("fault %s goes on", m.name)
	m.standsStill = false
	callsFirst := m.world.random.IntN(2) == 0
	if callsFirst {
		m.executeWaiting()
	}
	for _, key := range m.runKeys() {
		end := since + int64(m.runs[key].remainingMS/m.speed)
		if end <= m.leaseUntilMS && end <= m.clock() && !m.hangs {
			m.complete(key, yuccawire.RunEnd_RUN_END_DONE)
		}
	}
	m.advance()
	m.executeWaiting()
}

func (m *modelWorker) executeWaiting() {
	waiting := m.waiting
	m.waiting, m.isLate = nil, true
	for _, execute := range waiting {
		execute()
	}
	m.isLate = false
}

// The run of the standing worker ends only after it goes on, whatever its hold and all leases say.
func TestRunOfAStandingWorkerOverlapsTheNextOne(t *testing.T) {
	for name, disturbSide := range map[string]func(w *world, s *modelSide){
		"worker":             func(*world, *modelSide) {},
		"machine":            func(w *world, s *modelSide) { w.freezeSide(s, 2500*time.Millisecond) },
		"side restarts":      func(w *world, s *modelSide) { w.killSide(s, 300*time.Millisecond) },
		"side is lost":       func(w *world, s *modelSide) { w.killSide(s, time.Minute) },
		"side is cut off":    func(w *world, s *modelSide) { w.partitionLink(w.entries[0], s, 2*time.Second) },
		"connections closed": func(w *world, s *modelSide) { w.closeLink(w.entries[0], s) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 1, 2)
			w.run(warmUp)
			w.patience = 6 * time.Second
			job := w.submitOneTask(1600, 600*time.Millisecond)
			w.run(200 * time.Millisecond)
			for _, s := range w.sides {
				if !s.core.Idle() {
					s.worker.standStill(2500 * time.Millisecond)
					disturbSide(w, s)
				}
			}
			w.run(12 * time.Second)
			if !job.isAnswered {
				t.Error("the caller is not answered")
			}
		})
	}
}

// standSome stops a random worker for a while, alone, with its side, or with one that is killed.
func (w *world) standSome() {
	s, d, kind := w.sides[w.random.IntN(len(w.sides))], 100*time.Millisecond+w.randomDuration(4*time.Second), w.random.IntN(4)
	downtime := w.randomDuration(time.Second)
	s.worker.standStill(d)
	switch kind {
	case 0:
		w.freezeSide(s, d)
	case 1:
		w.killSide(s, downtime)
	}
}

// Workers stand still, alone or together with their sides. A task runs at most once at a time, a
// refused job never, and nothing hangs afterwards.
func TestFaultsOfStandingWorkers(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 10400 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 12, w.standSome)
			w.checkInUse()
		})
	}
}

// The first entry is gone, or its caller's connection is. The caller comes again at the other one, which
// knows nothing of the run.
func TestResendAtAnotherEntryRunsBesideAStandingWorker(t *testing.T) {
	for name, leave := range map[string]func(w *world, j *callerJob){
		"entry is killed":      func(w *world, _ *callerJob) { w.killEntry(w.entries[0], false, time.Minute) },
		"connection is closed": func(_ *world, j *callerJob) { j.disconnect() },
		"entry is killed, late": func(w *world, _ *callerJob) {
			w.after(time.Second, func() { w.killEntry(w.entries[0], false, time.Minute) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			resendBesideAStandingWorker(t, func(w *world, _ *modelSide, j *callerJob) { leave(w, j) })
		})
	}
}

// The side stands still with its worker, or is gone, and only the entry can tell of the run.
func TestResendAtAnotherEntryRunsBesideAStandingMachine(t *testing.T) {
	for name, disturbSide := range map[string]func(w *world, s *modelSide){
		"machine":      func(w *world, s *modelSide) { w.freezeSide(s, 4*time.Second) },
		"side is lost": func(w *world, s *modelSide) { w.killSide(s, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			resendBesideAStandingWorker(t, func(w *world, s *modelSide, j *callerJob) {
				disturbSide(w, s)
				j.disconnect()
			})
		})
	}
}

// The entry is gone and the side stands still with its worker: nobody is left who can tell of the run.
func TestResendAfterALostEntryRunsBesideAStandingMachine(t *testing.T) {
	resendBesideAStandingWorker(t, func(w *world, s *modelSide, _ *callerJob) {
		w.freezeSide(s, 4*time.Second)
		w.killEntry(w.entries[0], false, time.Minute)
	})
}

// resendBesideAStandingWorker brings about a disturbance while the worker of a run stands still.
func resendBesideAStandingWorker(t *testing.T, disturb func(w *world, s *modelSide, j *callerJob)) {
	w := newWorld(t, 1, 2, 2)
	w.run(warmUp)
	w.patience = 6 * time.Second
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	job := w.submitOneTask(1600, 600*time.Millisecond)
	w.run(200 * time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	for _, s := range w.sides {
		if !s.core.Idle() {
			s.worker.standStill(4 * time.Second)
			disturb(w, s, job)
		}
	}
	w.run(12 * time.Second)
	if !job.isAnswered {
		t.Error("the caller is not answered")
	}
}
