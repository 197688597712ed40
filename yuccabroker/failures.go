package yuccabroker

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// maxAvoidedShare limits the workers of a service that are avoided for failures. If
	// more fail, the tasks are at fault, or there is too little capacity to choose.
	maxAvoidedShare = 1.0 / 3
	// A rack or data centre counts as failing if minCommonFailures of the failures within
	// commonFailureWindow, on minCommonWorkers, happened there, and minCommonShare of
	// all of them.
	commonFailureWindow = 5 * time.Second
	minCommonFailures   = 3
	minCommonWorkers    = 2
	minCommonShare      = 0.75
	// maxFailures limits the failures that are kept, the latest ones.
	maxFailures = 100
)

// failure is a failed run of this entry.
type failure struct {
	at   time.Time
	side *side
}

// failureLog holds the recent failures of runs, and which sides are avoided for them.
type failureLog struct {
	recent []failure
	// labels and dataCentres are those that the recent failures have in common.
	labels      []string
	dataCentres []string
	// isOutdated is set if the sides to be avoided may have changed, hasFailing if a
	// side reports failures.
	isOutdated bool
	hasFailing bool
}

// recordFailedRun notes that a run of a task has failed at a side.
func (b *Broker) recordFailedRun(now time.Time, t *task, s *side) {
	if !b.options.Scheduling.FailureRates {
		return
	}
	if !slices.Contains(t.failedAt, s) {
		t.failedAt = append(t.failedAt, s)
	}
	b.failureLog.recent = append(b.failureLog.recent, failure{at: now, side: s})
	b.updateCommon(now)
}

// expireFailures drops old failures, and lets the avoided workers be determined again,
// since their share depends on how many workers are linked.
func (b *Broker) expireFailures(now time.Time) {
	l := &b.failureLog
	l.isOutdated = l.isOutdated || l.hasFailing
	if len(l.recent) > 0 && now.Sub(l.recent[0].at) > commonFailureWindow {
		b.updateCommon(now)
	}
}

// updateCommon drops old failures and determines what the others have in common.
func (b *Broker) updateCommon(now time.Time) {
	l := &b.failureLog
	excess := max(len(l.recent)-maxFailures, 0)
	for excess < len(l.recent) && now.Sub(l.recent[excess].at) > commonFailureWindow {
		excess++
	}
	l.recent = slices.Delete(l.recent, 0, excess)
	labels := common(l.recent, func(s *side) []string { return s.labels })
	dataCentres := common(l.recent, func(s *side) []string { return []string{s.DataCentre} })
	if !slices.Equal(labels, l.labels) || !slices.Equal(dataCentres, l.dataCentres) {
		b.options.Logger.Info("places that failed runs have in common changed", "labels", labels, "data_centres", dataCentres, "failures", len(l.recent))
	}
	l.labels, l.dataCentres = labels, dataCentres
}

// common returns the sorted names that most of the failures have in common, on several
// workers.
func common(failures []failure, namesOf func(s *side) []string) []string {
	count := make(map[string]int)
	workers := make(map[string]map[*side]bool)
	for _, f := range failures {
		for _, name := range namesOf(f.side) {
			count[name]++
			if workers[name] == nil {
				workers[name] = make(map[*side]bool)
			}
			workers[name][f.side] = true
		}
	}
	var names []string
	for name, n := range count {
		if n >= minCommonFailures && len(workers[name]) >= minCommonWorkers && float64(n) >= minCommonShare*float64(len(failures)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// setFailurePercent updates the share of failures that a side reports.
func (b *Broker) setFailurePercent(s *side, m *yuccawire.WorkerState) {
	if percent := int(m.GetFailurePercent()); percent != s.failurePercent {
		s.failurePercent = percent
		b.failureLog.isOutdated = true
	}
}

// updateAvoided determines the workers that are avoided for failures: at most
// maxAvoidedShare of the workers of their service, those that fail most.
func (b *Broker) updateAvoided() {
	if !b.failureLog.isOutdated || !b.options.Scheduling.FailureRates {
		return
	}
	b.failureLog.isOutdated = false
	workers := make(map[string]int)
	var failing []*side
	for _, s := range b.sideList {
		s.isAvoided = false
		if !s.linked {
			continue
		}
		workers[s.service]++
		if s.failurePercent > 0 {
			failing = append(failing, s)
		}
	}
	slices.SortFunc(failing, func(x, y *side) int {
		return cmp.Or(cmp.Compare(y.failurePercent, x.failurePercent), cmp.Compare(x.name, y.name))
	})
	b.failureLog.hasFailing = len(failing) > 0
	avoided, total := make(map[string]int), 0
	for _, s := range failing {
		if avoided[s.service]+1 <= int(maxAvoidedShare*float64(workers[s.service])) {
			avoided[s.service]++
			total++
			s.isAvoided = true
		}
	}
	b.metrics.Gauge("workers_avoided_now", int64(total))
}

// hasTrial reports whether this entry has a run on a suspect worker, which gets one at a
// time.
func (s *side) hasTrial() bool { return s.suspect && len(s.runs) > 0 }

// isTrialOf reports whether a run of the task at a side would be a trial of a suspect
// worker that its job can stand to fail.
func (t *task) isTrialOf(s *side) bool {
	return s.suspect && t.failures == 0 && t.job.Queue.MaxAttempts > 1
}

// expectedAttempts returns how many runs a task needs at a worker that fails some of them.
// A suspect worker that is ready for a trial gets it like any other worker, but no task
// whose job would end with the failure.
func (t *task) expectedAttempts(s *side) float64 {
	if !s.isAvoided || t.isTrialOf(s) {
		return 1
	}
	return 100 / float64(max(100-s.failurePercent, 1))
}

// avoidance returns how many reasons there are to prefer other workers: a run of the task
// has ended badly at a side, the worker is slow, a queue of others is confined to it, or
// its rack or data centre is one where runs fail. Each outweighs any difference in free
// capacity and in the expected end.
func (b *Broker) avoidance(t *task, s *side) float64 {
	points := 0.0
	if s == t.avoid || s.slowdown > slowFactor*b.medianSlowdown || b.bulkheads[t.job.Queue.Name] == nil && b.isMember(s) {
		points++
	}
	if s != t.avoid && slices.Contains(t.failedAt, s) {
		points++
	}
	if len(t.failedAt) == 0 {
		return points
	}
	if slices.ContainsFunc(b.failureLog.labels, func(label string) bool { return slices.Contains(s.labels, label) }) {
		points++
	}
	if slices.Contains(b.failureLog.dataCentres, s.DataCentre) {
		points++
	}
	return points
}
