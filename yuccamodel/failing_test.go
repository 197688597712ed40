package yuccamodel_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

const (
	// failingDataCentres and failingSides are the size of the deployment of these tests.
	failingDataCentres = 4
	failingEntries     = 8
	failingSides       = 24
	// failingFullLoad is the rate of jobs, as a multiple of the normal one, that needs all
	// of its capacity: 470 of 126 processors of speed 1.
	failingFullLoad = 470.4 / 126.4
	// maxFailedShare is the target: the share of jobs that fail after all their attempts.
	maxFailedShare = 0.002
	failingRuns    = 2
)

// failures sums up what failing runs cost.
type failures struct {
	jobs, failed, served, hit, failedRuns int
	score                                 float64
}

func (f failures) failedShare() float64 { return float64(f.failed) / float64(f.jobs) }

// playFailures plays five seconds of a fault in a fleet under load, for several seeds.
func playFailures(t *testing.T, name string, enabled bool, load float64, attempts int, inject, repair func(w *world)) failures {
	var sum failures
	for seed := range uint64(failingRuns) {
		w := newFleet(t, 500+seed, failingDataCentres, failingEntries, failingSides)
		w.scheduling.FailureRates = enabled
		w.kinds = slices.Clone(jobKinds)
		for i := range w.kinds {
			if attempts > 0 {
				w.kinds[i].maxAttempts = attempts
			}
		}
		w.start()
		w.run(warmUp)
		w.offerLoad(load*failingFullLoad, 7*time.Second)
		w.run(time.Second)
		inject(w)
		w.run(5 * time.Second)
		repair(w)
		w.run(5 * time.Second)
		r := w.result()
		sum.score += r.score / failingRuns
		sum.jobs += r.jobs
		sum.served += r.inTime + r.late
		sum.failedRuns += w.failedRuns
		for _, j := range w.jobs {
			if j.failedRuns > 0 {
				sum.hit++
			}
			if j.isAnswered && j.state == yuccabroker.Failed {
				sum.failed++
			}
		}
	}
	t.Logf("%s, failure rates %v: %d of %d jobs fail after all attempts (%.5f), served %.4f, score %.4f, %d failed runs of %d jobs", name, enabled,
		sum.failed, sum.jobs, sum.failedShare(), float64(sum.served)/float64(sum.jobs), sum.score, sum.failedRuns, sum.hit)
	return sum
}

// failDataCentre makes the first workers of a data centre fail a share of their runs.
func failDataCentre(share float64, count int) func(w *world) {
	return func(w *world) {
		for _, s := range w.sides {
			if s.dataCentre == "dc1" && count > 0 {
				count--
				s.worker.failShare = share
			}
		}
	}
}

func repairAll(w *world) {
	for _, s := range w.sides {
		s.worker.failShare = 0
	}
}

// Guards against jobs failing after all their attempts since a sixth of the workers, all
// in one data centre, fail 0.44 of their runs at high load.
func TestSixthOfTheWorkersFails(t *testing.T) {
	t.Parallel()
	on := playFailures(t, "attempts of the kinds", true, 0.85, 0, func(w *world) { failDataCentre(0.44, 4)(w) }, repairAll)
	off := playFailures(t, "attempts of the kinds", false, 0.85, 0, func(w *world) { failDataCentre(0.44, 4)(w) }, repairAll)
	if on.failedShare() > maxFailedShare {
		t.Errorf("a share of %.5f of the jobs fails after all attempts, want %g at most; %.5f with the part off", on.failedShare(), maxFailedShare, off.failedShare())
	}
}

// Guards against the same at moderate load with three attempts, for workers that fail 0.44
// or all of what they start, and for all workers of a data centre.
func TestWorkersFailRuns(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		share float64
		count int
	}{{"four workers fail 0.44", 0.44, 4}, {"four workers fail all", 1, 4}, {"a data centre fails 0.44", 0.44, failingSides}, {"a data centre fails all", 1, failingSides}} {
		inject := func(w *world) { failDataCentre(tc.share, tc.count)(w) }
		on := playFailures(t, tc.name, true, 0.65, 3, inject, repairAll)
		playFailures(t, tc.name, false, 0.65, 3, inject, repairAll)
		if on.failedShare() > maxFailedShare {
			t.Errorf("%s: a share of %.5f of the jobs fails after all attempts, want %g at most", tc.name, on.failedShare(), maxFailedShare)
		}
	}
}

// Guards against a bad batch of jobs, which fail one run in twenty on any worker, taking
// healthy workers from the other jobs.
func TestBadBatchTakesWorkers(t *testing.T) {
	t.Parallel()
	batch := func(share float64) func(w *world) {
		return func(w *world) { w.kinds[2].failShare = share }
	}
	bad := func(w *world) {
		batch(0.05)(w)
		k := w.kinds[2]
		k.ratePerSecond *= 0.3
		w.offerLoadOfKind(k, failingFullLoad, 4*time.Second)
	}
	on := playFailures(t, "bad batch", true, 0.5, 3, bad, batch(0))
	off := playFailures(t, "bad batch", false, 0.5, 3, bad, batch(0))
	if on.score < off.score-0.005 {
		t.Errorf("score is %.4f, want at most 0.005 below the %.4f with the part off", on.score, off.score)
	}
}

// playRecovery lets three workers fail a share of their runs for 2 s, and returns the starts
// of each of them, and of all workers, from 8 to 12 s after that.
func playRecovery(t *testing.T, seed uint64, share float64, sameSpeed bool) (starts [3]int, total int) {
	w := newFleet(t, seed, failingDataCentres, failingEntries, failingSides)
	if sameSpeed {
		for _, s := range w.sides {
			s.worker.speed = 1
		}
	}
	w.start()
	w.run(warmUp)
	w.offerLoad(0.65*failingFullLoad, 16*time.Second)
	w.run(time.Second)
	failDataCentre(share, len(starts))(w)
	w.run(2 * time.Second)
	repairAll(w)
	// A trial fails after 1 s, perhaps one more after 2 s; the next one succeeds after 4 s.
	w.run(8 * time.Second)
	before := make(map[string]int)
	for _, s := range w.sides {
		before[s.name] = s.worker.startCount
	}
	w.run(4 * time.Second)
	next := 0
	for _, s := range w.sides {
		n := s.worker.startCount - before[s.name]
		total += n
		if s.dataCentre == "dc1" && next < len(starts) {
			starts[next] = n
			next++
		}
	}
	return starts, total
}

// Guards against workers that have recovered staying out of use. All workers have the same
// speed, as slow ones get few runs at this load also if they never fail.
func TestRecoveredWorkersStayOutOfUse(t *testing.T) {
	t.Parallel()
	for seed := uint64(520); seed < 524; seed++ {
		starts, total := playRecovery(t, seed, 1, true)
		t.Logf("seed %d: %v of %d starts at the recovered workers", seed, starts, total)
		if fewest := slices.Min(starts[:]); fewest*failingSides*4 < total {
			t.Errorf("seed %d: %d of %d starts on %d workers are at a recovered one, want a quarter of the mean at least", seed, fewest, total, failingSides)
		}
	}
}

// Guards against the same for workers of different speeds, the slow ones included: each
// gets a quarter of the starts that it gets if it never fails.
func TestRecoveredWorkersOfDifferentSpeeds(t *testing.T) {
	t.Parallel()
	var recovered, healthy [3]int
	for seed := uint64(520); seed < 524; seed++ {
		with, _ := playRecovery(t, seed, 1, false)
		without, _ := playRecovery(t, seed, 0, false)
		for i := range with {
			recovered[i] += with[i]
			healthy[i] += without[i]
		}
	}
	t.Logf("%v starts at the recovered workers, %v if they never fail", recovered, healthy)
	for i := range recovered {
		if 4*recovered[i] < healthy[i] {
			t.Errorf("%d starts at a recovered worker, want a quarter at least of the %d if it never fails", recovered[i], healthy[i])
		}
	}
}

// Guards against runs lost with workers that leave at short notice. Only runs that were
// expected to end before may be lost: estimates are off by 40%.
func TestWorkersLeaveAtShortNotice(t *testing.T) {
	t.Parallel()
	allTold, allHidden := 0, 0
	for _, notice := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second} {
		lost := func(hide bool) (runs, expected int, score float64) {
			for seed := range uint64(failingRuns) {
				w := newFleet(t, 540+seed, failingDataCentres, failingEntries, failingSides)
				w.start()
				w.run(warmUp)
				w.offerLoad(0.65*failingFullLoad, 6*time.Second)
				w.run(time.Second)
				for i := range 8 {
					s := w.sides[3*i]
					w.after(time.Duration(400*i)*time.Millisecond, func() { s.leave(notice, hide, &expected) })
				}
				w.run(10 * time.Second)
				for _, n := range w.lostRuns {
					runs += n
				}
				score += w.result().score / failingRuns
			}
			return runs, expected, score
		}
		told, expected, score := lost(false)
		hidden, _, scoreHidden := lost(true)
		allTold, allHidden = allTold+told, allHidden+hidden
		t.Logf("notice of %v: %d runs lost, score %.4f; %d and %.4f if the time is not stated", notice, told, score, hidden, scoreHidden)
		if expected > 0 {
			t.Errorf("notice of %v: %d runs are lost that were expected to outlast their worker", notice, expected)
		}
	}
	if allTold > allHidden {
		t.Errorf("%d runs lost, more than the %d without the time", allTold, allHidden)
	}
}

// learnedSlack is by how much the slowdown that a side has learned may be below the one of
// its worker.
const learnedSlack = 0.75

// leave makes the worker leave after the notice, for good. It counts the runs lost that
// were expected to end later than that.
func (s *modelSide) leave(notice time.Duration, hidesRemaining bool, expectedLost *int) {
	m, w := s.worker, s.world
	m.leavesAt, m.hidesRemaining = w.now.Add(notice), hidesRemaining
	s.handleReport()
	w.after(notice, func() {
		for _, r := range m.runs {
			expected := time.Duration(learnedSlack * float64(r.job.job.Steps[0].Estimate) / m.speed)
			if r.startedAt.Add(expected).After(m.leavesAt) {
				*expectedLost++
			}
		}
		m.crash()
		s.handle(func() { s.core.HandleDeregistration(s.now(), m.incarnation.ID) })
	})
}
