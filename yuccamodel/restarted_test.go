package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

const (
	// shortDowntime and longDowntime limit the downtime of a worker that restarts.
	shortDowntime = 150 * time.Millisecond
	longDowntime  = 3 * time.Second
	// maxReportDelay is how long after its restart a worker first reports at the latest.
	maxReportDelay = reportInterval
	// maxClock limits the reading of a worker's clock at its restart. The clocks show a
	// minute at the start of a test.
	maxClock = 2 * time.Minute
	// leaveNotice is the notice of a worker that leaves and restarts, maxLateLeave how long
	// the announcement of its end takes at most.
	leaveNotice  = 400 * time.Millisecond
	maxLateLeave = 4 * time.Second
	// lastFault is when the last random fault begins, maxFault how long one lasts.
	lastFault = 9 * time.Second
	// maxRejectedShare is the share of the jobs after the last fault that may be rejected.
	maxRejectedShare = 0.03
	maxFault         = 4100 * time.Millisecond
)

// randomDuration returns a random duration below the limit, in milliseconds.
func (w *world) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.IntN(int(limit.Milliseconds()))) * time.Millisecond
}

// restartWithClock restarts the worker under its ID. Its clock shows the time given, and
// its first report follows after the delay.
func (m *modelWorker) restartWithClock(clock, reportDelay time.Duration) {
	w := m.world
	m.restart()
	m.leavesAt = time.Time{}
	m.startedAt = w.now.Add(-clock)
	m.reportsFrom = w.now.Add(reportDelay)
	w.logf("fault %s has restarted as %d, clock %d, reports in %v", m.name, m.incarnation.StartedAtMS, m.clock(), reportDelay)
	incarnation := m.incarnation
	w.after(reportDelay, func() {
		if m.incarnation == incarnation && !m.isDown {
			w.sidesByName[m.name].handleReport()
		}
	})
}

// restartSome lets a random worker crash and restart under its ID.
func (w *world) restartSome() { w.endSome(false) }

// leaveSome lets a random worker leave and restart under its ID. Its side learns late that
// it has left.
func (w *world) leaveSome() { w.endSome(true) }

func (w *world) endSome(leaves bool) {
	s := w.sides[w.random.IntN(len(w.sides))]
	m := s.worker
	downtime := 5*time.Millisecond + w.randomDuration(shortDowntime)
	if w.random.IntN(3) == 0 {
		downtime = shortDowntime + w.randomDuration(longDowntime)
	}
	refuses, reportsAtOnce := w.random.IntN(2) == 0, w.random.IntN(2) == 0
	clock, reportDelay, late := w.randomDuration(maxClock), w.randomDuration(maxReportDelay), w.randomDuration(maxLateLeave)
	if reportsAtOnce {
		reportDelay = 0
	}
	if m.isDown || !m.leavesAt.IsZero() {
		return
	}
	end := func() {
		if m.isDown {
			return
		}
		w.logf("fault %s ends for %v, refuses %v, leaves %v", m.name, downtime, refuses, leaves)
		if refuses {
			m.crashProcess()
		} else {
			m.crash()
		}
		if leaves {
			w.after(late, func() {
				w.logf("fault %s learns that its worker has left", s.name)
				s.handle(func() { s.core.HandleDeregistration(s.now(), m.incarnation.ID) })
			})
		}
		w.after(downtime, func() { m.restartWithClock(clock, reportDelay) })
	}
	if !leaves {
		end()
		return
	}
	m.leavesAt = w.now.Add(leaveNotice)
	s.handleReport()
	w.after(leaveNotice, end)
}

// delayCallsOfSome delays calls to a random worker for a while.
func (w *world) delayCallsOfSome() {
	m, d := w.sides[w.random.IntN(len(w.sides))].worker, 500*time.Millisecond+w.randomDuration(3*time.Second)
	w.logf("fault calls to %s are delayed for %v", m.name, d)
	m.delayedCallShare = 0.2
	w.after(d, func() { m.delayedCallShare = 0 })
}

// cutPowerOfSome restarts a random worker and its side together. The worker keeps its ID, and
// neither remembers anything.
func (w *world) cutPowerOfSome() {
	s := w.sides[w.random.IntN(len(w.sides))]
	m, downtime := s.worker, shortDowntime+w.randomDuration(2*time.Second)
	sideDelay, reportDelay := w.randomDuration(shortDowntime), w.randomDuration(maxReportDelay)
	if m.isDown || s.isDown {
		return
	}
	w.logf("fault %s and its worker lose power for %v, side after %v", s.name, downtime, sideDelay)
	m.crash()
	w.killSide(s, downtime+sideDelay)
	w.after(downtime, func() { m.restartWithClock(0, reportDelay) })
}

// playFaults offers load during random faults, and load after the last of them, which has
// to be served.
func (w *world) playFaults(load float64, faults int, injectors ...func()) {
	w.run(warmUp)
	w.offerLoad(load, 10*time.Second)
	for range faults {
		for _, inject := range injectors {
			w.after(w.randomDuration(lastFault), inject)
		}
	}
	w.run(lastFault + maxFault + reportInterval)
	w.kinds = jobKinds
	before := len(w.jobs)
	w.offerLoad(load, 2*time.Second)
	w.run(8 * time.Second)
	if w.t.Failed() {
		return
	}
	rejected := 0
	for _, j := range w.jobs[before:] {
		switch {
		case j.isCompleted():
		case j.isAnswered && j.state == yuccabroker.Rejected:
			rejected++
		default:
			w.reportViolation(j.job.ID, "job %s was submitted after the last fault and is not served: answered %v, state %v", j.job.ID, j.isAnswered, j.state)
			return
		}
	}
	if jobs := len(w.jobs) - before; w.starts == 0 || float64(rejected) > maxRejectedShare*float64(jobs) {
		w.reportViolation("fault", "%d starts, and %d of %d jobs after the last fault are rejected", w.starts, rejected, jobs)
	}
}

// checkInUse checks that entries may place tasks at every worker: its side has taken it over
// and reports it as ready. A suspect worker may be in the pause before its next trial.
func (w *world) checkInUse() {
	for _, s := range w.sides {
		if !w.t.Failed() && (!s.state.GetTaken() || !s.state.GetReady() && !s.state.GetSuspect()) {
			w.reportViolation(s.name, "%s is out of use after the last fault, its state is %v", s.name, s.state)
		}
	}
}

// Workers restart under their IDs while calls to them are delayed. A task runs at most once
// at a time, a refused job never, and nothing hangs afterwards.
func TestFaultsOfRestartedWorkers(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 10, w.restartSome, w.delayCallsOfSome)
			w.checkInUse()
		})
	}
}

// The same for workers that leave, whose announcement may arrive after their restart.
func TestFaultsOfWorkersThatLeaveAndRestart(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9600 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			w.playFaults(0.3, 8, w.leaveSome)
			w.checkInUse()
		})
	}
}

// The same for workers that restart together with their sides, as after a loss of power,
// while calls of the earlier process are delayed by up to 12 s.
func TestFaultsOfWorkersAndSidesThatRestartTogether(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9800 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 5)
			w.patience = 6 * time.Second
			for _, s := range w.sides {
				s.worker.delaySpread = longDelaySpread
			}
			w.playFaults(0.3, 14, w.cutPowerOfSome, w.delayCallsOfSome)
			w.checkInUse()
		})
	}
}
