package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// failuresToSuspect is how many first runs in a row must fail before the
	// worker becomes suspect. With one task in 500 failing on any worker, and one
	// in 20 of a bad batch, this makes a healthy worker suspect less than once in
	// 100,000 tasks.
	failuresToSuspect = 4
	// overdueFactor and overdueSlack determine when a run is overdue. Estimates
	// are off by 40%, workers are slower by a fifth, and the sizes of tasks vary.
	overdueFactor = 3.0
	overdueSlack  = 200 * time.Millisecond
	// overdueToSuspect is how many runs must be overdue, with no run succeeding
	// since they started, before the worker becomes suspect.
	overdueToSuspect = 2
	// probationPause is how long a suspect worker gets no tasks. It then gets one
	// task at a time until one succeeds.
	probationPause = time.Second
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
	// stragglers counts the runs withdrawn for taking too long since a run last
	// succeeded.
	stragglers  int
	lastDoneAt  time.Time
	suspectedAt time.Time
}

func (h *health) reset() { *h = health{slowdown: 1} }

func (h *health) isSuspect() bool { return !h.suspectedAt.IsZero() }

func (h *health) slowdownPercent() uint32 { return uint32(h.slowdown * 100) }

// canAdmit reports whether the worker may get another task while active tasks
// are running or queued. A suspect worker gets one at a time, after
// probationPause.
func (h *health) canAdmit(now time.Time, active int) bool {
	return !h.isSuspect() || active == 0 && now.Sub(h.suspectedAt) > probationPause
}

// recordSuccess ends the suspicion of the worker.
func (h *health) recordSuccess(now time.Time, ran, estimate time.Duration) {
	h.consecutiveFailures, h.stragglers = 0, 0
	h.lastDoneAt = now
	h.suspectedAt = time.Time{}
	h.recordSlowdown(ran, estimate)
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
func (h *health) recordFailure(now time.Time, priorFailures uint32) {
	if priorFailures > 0 && !h.isSuspect() {
		return
	}
	h.consecutiveFailures++
	if h.consecutiveFailures >= failuresToSuspect || h.isSuspect() {
		h.suspectedAt = now
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
		if w.health.isSuspect() {
			w.options.Logger.Info("worker no longer suspect, a run succeeded", "worker", w.report.ID, "task", r.key.Task)
		}
		w.health.recordSuccess(now, ran, r.estimate)
	case yuccawire.RunEnd_RUN_END_FAILED:
		w.recordFailure(now, r)
	}
}

// recordFailure counts a failed run, or a start that the worker refused as
// unhealthy.
func (w *Worker) recordFailure(now time.Time, r *run) {
	wasSuspect := w.health.isSuspect()
	w.health.recordFailure(now, r.priorFailures)
	if !wasSuspect && w.health.isSuspect() {
		w.options.Logger.Warn("worker suspect, first runs failed in a row", "worker", w.report.ID, "failures", w.health.consecutiveFailures, "task", r.key.Task)
		w.metrics.Add("suspected", 1)
		w.markOwnersDirty()
	}
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
	w.health.suspectedAt = now
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
	w.health.suspectedAt = now
	w.markOwnersDirty()
	for _, r := range overdue {
		w.stopRun(now, r)
	}
}
