package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// failuresToSuspect is how many first runs in a row must fail: with one task
	// in 500 failing by itself, and one in 20 of a bad batch, this is an accident
	// less than once in 100,000 tasks.
	failuresToSuspect = 4
	// overdueFactor and overdueSlack say when a run has taken too long: estimates
	// are off by 40%, workers slower by a fifth, and sizes spread.
	overdueFactor = 3.0
	overdueSlack  = 200 * time.Millisecond
	// overdueToSuspect is how many runs must be overdue with no end since.
	overdueToSuspect = 2
	// probationPause is how long a suspect worker gets nothing; after that it
	// gets one task at a time until one ends well.
	probationPause = time.Second
	// paceWeight is the share of the newest run in the mean.
	slowdownWeight = 0.1
	minSlowdown    = 0.2
	maxSlowdown    = 20
)

// health judges the worker by what became of its runs. The side sees all of
// them, each entry only its own.
type health struct {
	// pace is the mean of run time over estimate.
	slowdown            float64
	consecutiveFailures int
	// stragglers counts the runs that were withdrawn for taking too long since the
	// last one ended well.
	stragglers  int
	lastDoneAt  time.Time
	suspectedAt time.Time
}

func (h *health) reset() { *h = health{slowdown: 1} }

func (h *health) isSuspect() bool { return !h.suspectedAt.IsZero() }

func (h *health) slowdownPercent() uint32 { return uint32(h.slowdown * 100) }

// admits tells whether an order is taken while so many are here.
func (h *health) canAdmit(now time.Time, active int) bool {
	return !h.isSuspect() || active == 0 && now.Sub(h.suspectedAt) > probationPause
}

func (h *health) recordOutcome(now time.Time, r *run, outcome yuccawire.RunEnd, ran time.Duration) {
	switch outcome {
	case yuccawire.RunEnd_RUN_END_DONE:
		h.consecutiveFailures, h.stragglers = 0, 0
		h.lastDoneAt = now
		h.suspectedAt = time.Time{}
		h.recordSlowdown(ran, r.estimate)
	case yuccawire.RunEnd_RUN_END_FAILED:
		h.recordFailure(now, r.priorFailures)
	}
}

func (h *health) recordSlowdown(ran, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	sample := min(max(float64(ran)/float64(estimate), minSlowdown), maxSlowdown)
	h.slowdown += slowdownWeight * (sample - h.slowdown)
}

// failed counts a failure. Tasks that have failed elsewhere don't count against
// the worker.
func (h *health) recordFailure(now time.Time, priorFailures uint32) {
	if priorFailures > 0 && !h.isSuspect() {
		return
	}
	h.consecutiveFailures++
	if h.consecutiveFailures >= failuresToSuspect || h.isSuspect() {
		h.suspectedAt = now
	}
}

// overdue tells whether a run has taken far longer than was to be expected.
func (h *health) isOverdue(now time.Time, r *run) bool {
	if r.state != started && r.state != starting {
		return false
	}
	limit := time.Duration(float64(r.estimate)*max(h.slowdown, 1)*overdueFactor) + overdueSlack
	return now.Sub(r.startSentAt) > limit
}

// straggled takes in that a run is withdrawn for taking too long. It has taken
// less than it would have.
func (w *Worker) recordStraggler(now time.Time, r *run) {
	w.health.recordSlowdown(now.Sub(r.startSentAt), r.estimate)
	w.health.stragglers++
	if w.health.stragglers >= overdueToSuspect && !w.health.isSuspect() {
		w.markSuspect(now, w.health.stragglers)
	}
}

// suspect keeps new tasks from a worker on which runs stand still.
func (w *Worker) markSuspect(now time.Time, overdue int) {
	w.options.Logger.Warn("suspects the worker: runs stand still", "worker", w.report.ID, "overdue", overdue, "runs", len(w.runs))
	w.metrics.Add("suspected", 1)
	w.health.suspectedAt = now
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	w.markOwnersDirty()
}

// checkHealth suspects a worker on which several runs stand still, and stops
// those that are overdue, so that they can run elsewhere.
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
