package yuccaworker

import (
	"math"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// failuresToSuspect is how many first runs in a row must fail before the worker
	// becomes suspect. A worker that fails all of them is out of use after eight. Fewer
	// would take workers out of use that still complete a part of their runs: a row of
	// four is frequent on a worker that fails 0.44.
	failuresToSuspect = 8
	// failureWeight is the weight of the latest first run in the share of failures.
	failureWeight = 1.0 / 8
	// shareToSuspect is the share of failed first runs from which a worker becomes
	// suspect. It detects a worker that fails 0.9 of its runs after 11 first runs on
	// average, 13 without it. The share starts at zero and needs 11 runs to get there.
	// A worker that fails less stays in use, as it is worth more than nothing under load:
	// one that fails 0.44 becomes suspect about once in 320 first runs. Healthy workers
	// don't: with one task in 20 failing, as in a bad batch, the chance is computed to be
	// below 1e-10 for each first run by both rules together, and with one in 500 below
	// 1e-20.
	shareToSuspect = 0.75
	// failureMemory is how long a failure of a worker that is not suspect is reported
	// if no further run ends there.
	failureMemory = 5 * time.Second
	// overdueFactor and overdueSlack determine when a run is overdue. Estimates
	// are off by 40%, workers are slower by a fifth, and the sizes of tasks vary.
	overdueFactor = 3.0
	overdueSlack  = 200 * time.Millisecond
	// overdueToSuspect is how many runs must be overdue, with no run succeeding
	// since they started, before the worker becomes suspect.
	overdueToSuspect = 2
	// trialPause is how long a suspect worker gets no tasks. It then gets one task at
	// a time until successesToTrust in a row succeed. A worker that fails 0.44 of its
	// runs passes that once in six times. The pause doubles with each failed trial, up
	// to maxTrialPause, and also if the worker was trusted for less than relapseTime.
	trialPause       = time.Second
	maxTrialPause    = 8 * time.Second
	relapseTime      = 10 * time.Second
	successesToTrust = 3
	// slowdownWeight is the weight of the latest run in the moving average.
	slowdownWeight = 0.1
	minSlowdown    = 0.2
	maxSlowdown    = 20
)

// health detects a faulty worker from the outcomes of its runs. The side sees
// the runs of all entries, an entry only its own.
type health struct {
	// slowdown is the moving average of run time divided by estimate.
	slowdown            float64
	consecutiveFailures int
	// failureShare is the moving average of the share of first runs that failed,
	// firstRuns their number.
	failureShare  float64
	firstRuns     int
	lastFailureAt time.Time
	// stragglers counts the runs withdrawn for taking too long since a run last
	// succeeded.
	stragglers int
	lastDoneAt time.Time
	// suspectedAt is when the worker became suspect, zero while it is trusted.
	// trustedAt is when it last was trusted again.
	suspectedAt time.Time
	trustedAt   time.Time
	// trialAt is when the next trial may start, pause the pause before it, and
	// successes the number of successful trials in a row.
	trialAt   time.Time
	pause     time.Duration
	successes int
}

func (h *health) reset() { *h = health{slowdown: 1} }

func (h *health) isSuspect() bool { return !h.suspectedAt.IsZero() }

func (h *health) slowdownPercent() uint32 { return uint32(h.slowdown * 100) }

// failurePercent returns the share of failures that is reported to the owners.
func (h *health) failurePercent(now time.Time) uint32 {
	if !h.isSuspect() && now.Sub(h.lastFailureAt) > failureMemory {
		return 0
	}
	return uint32(math.Round(100 * h.failureShare))
}

// canAdmit reports whether the worker may get another task while active tasks
// are running or queued. A suspect worker gets one at a time, after a pause.
func (h *health) canAdmit(now time.Time, active int) bool {
	return !h.isSuspect() || active == 0 && !now.Before(h.trialAt)
}

// suspect begins the suspicion of the worker.
func (h *health) suspect(now time.Time) {
	relapsed := !h.trustedAt.IsZero() && now.Sub(h.trustedAt) < relapseTime
	if relapsed {
		h.pause = min(2*h.pause, maxTrialPause)
	} else {
		h.pause = trialPause
	}
	h.suspectedAt = now
	h.trialAt = now.Add(h.pause)
	h.successes = 0
}

// failTrial prolongs the suspicion after the failure of a run. Runs that started
// before the suspicion are no trials.
func (h *health) failTrial(now, startedAt time.Time) {
	if h.isTrial(startedAt) {
		h.pause = min(2*h.pause, maxTrialPause)
		h.successes = 0
	}
	h.trialAt = now.Add(h.pause)
}

func (h *health) isTrial(startedAt time.Time) bool {
	return h.isSuspect() && startedAt.After(h.suspectedAt)
}

// recordSuccess counts a successful run. The suspicion of the worker ends with the
// last of successesToTrust successful trials.
func (h *health) recordSuccess(now, startedAt time.Time, priorFailures uint32) {
	h.consecutiveFailures, h.stragglers = 0, 0
	h.lastDoneAt = now
	if priorFailures == 0 {
		h.recordFirstRun(0)
	}
	if !h.isTrial(startedAt) {
		return
	}
	h.successes++
	if h.successes >= successesToTrust {
		h.suspectedAt = time.Time{}
		h.trustedAt = now
		h.failureShare = min(h.failureShare, shareToSuspect/2)
		h.lastFailureAt = now
	}
}

// recordFirstRun updates the share of failures with a first run: 1 if it failed, else 0.
func (h *health) recordFirstRun(failed float64) {
	h.firstRuns++
	h.failureShare += failureWeight * (failed - h.failureShare)
}

func (h *health) recordSlowdown(ran, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	sample := min(max(float64(ran)/float64(estimate), minSlowdown), maxSlowdown)
	h.slowdown += slowdownWeight * (sample - h.slowdown)
}

// recordFailure counts a failed run. A task that already failed on other workers
// doesn't count, unless the worker is suspect.
func (h *health) recordFailure(now, startedAt time.Time, priorFailures uint32) {
	if priorFailures > 0 && !h.isSuspect() {
		return
	}
	h.consecutiveFailures++
	if priorFailures == 0 {
		h.recordFirstRun(1)
		h.lastFailureAt = now
	}
	switch {
	case h.isSuspect():
		h.failTrial(now, startedAt)
	case h.consecutiveFailures >= failuresToSuspect, h.failureShare >= shareToSuspect:
		h.suspect(now)
	}
}

// isOverdue reports whether a run has taken far longer than its estimate,
// adjusted by the slowdown of the worker.
func (h *health) isOverdue(now time.Time, r *run) bool {
	if r.state != started && r.state != starting {
		return false
	}
	limit := time.Duration(float64(r.estimate)*max(h.slowdown, 1)*overdueFactor) + overdueSlack
	return now.Sub(r.startSentAt) > limit
}

// recordOutcome updates the health of the worker with the outcome of a run.
func (w *Worker) recordOutcome(now time.Time, r *run, outcome yuccawire.RunEnd, ran time.Duration) {
	switch outcome {
	case yuccawire.RunEnd_RUN_END_DONE:
		wasSuspect := w.health.isSuspect()
		w.health.recordSuccess(now, r.startSentAt, r.priorFailures)
		w.health.recordSlowdown(ran, r.estimate)
		if wasSuspect && !w.health.isSuspect() {
			w.options.Logger.Info("worker no longer suspect, runs succeeded", "worker", w.report.ID, "task", r.key.Task, "runs", successesToTrust)
			w.markOwnersDirty()
		}
	case yuccawire.RunEnd_RUN_END_FAILED:
		w.recordFailure(now, r)
	}
}

// recordFailure counts a failed run, or a start that the worker refused as
// unhealthy.
func (w *Worker) recordFailure(now time.Time, r *run) {
	wasSuspect, reported := w.health.isSuspect(), w.health.failurePercent(now)
	w.health.recordFailure(now, r.startSentAt, r.priorFailures)
	if w.health.failurePercent(now) != reported {
		w.markOwnersDirty()
	}
	if wasSuspect || !w.health.isSuspect() {
		return
	}
	if w.health.consecutiveFailures >= failuresToSuspect {
		w.options.Logger.Warn("worker suspect, first runs failed in a row", "worker", w.report.ID, "failures", w.health.consecutiveFailures, "task", r.key.Task)
	} else {
		w.options.Logger.Warn("worker suspect, too many of its runs fail", "worker", w.report.ID, "share_percent", w.health.failurePercent(now),
			"runs", w.health.firstRuns, "task", r.key.Task)
		w.metrics.Add("suspected_by_rate", 1)
	}
	w.metrics.Add("suspected", 1)
	w.markOwnersDirty()
}

// recordStraggler counts a run that is withdrawn for taking too long. Its run
// time so far is a lower bound of the time that it would have taken.
func (w *Worker) recordStraggler(now time.Time, r *run) {
	w.health.recordSlowdown(now.Sub(r.startSentAt), r.estimate)
	w.health.stragglers++
	if w.health.stragglers >= overdueToSuspect && !w.health.isSuspect() {
		w.markSuspect(now, w.health.stragglers)
	}
}

// markSuspect stops placing tasks on a worker whose runs make no progress, and
// refuses those in the queue.
func (w *Worker) markSuspect(now time.Time, overdue int) {
	w.options.Logger.Warn("worker suspect, runs are overdue", "worker", w.report.ID, "overdue", overdue, "runs", len(w.runs))
	w.metrics.Add("suspected", 1)
	w.health.suspect(now)
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	w.markOwnersDirty()
}

// checkHealth marks the worker suspect if several runs are overdue, and stops
// these runs so that their owners can start them elsewhere.
func (w *Worker) checkHealth(now time.Time) {
	if now.Sub(w.lastListAt) > maxListAge {
		return
	}
	var overdue []*run
	for _, r := range w.sortedRuns() {
		if r.stopSentAt.IsZero() && w.health.isOverdue(now, r) && r.startSentAt.After(w.health.lastDoneAt.Add(-overdueSlack)) {
			overdue = append(overdue, r)
		}
	}
	if len(overdue) < overdueToSuspect && (!w.health.isSuspect() || len(overdue) == 0) {
		return
	}
	if !w.health.isSuspect() {
		w.markSuspect(now, len(overdue))
	}
	w.markOwnersDirty()
	for _, r := range overdue {
		w.health.failTrial(now, r.startSentAt)
		w.stopRun(now, r)
	}
}
