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
	paceWeight = 0.1
	minPace    = 0.2
	maxPace    = 20
)

// health judges the worker by what became of its runs. The side sees all of
// them, each entry only its own.
type health struct {
	// pace is the mean of run time over estimate.
	pace     float64
	failures int
	// stragglers counts the runs that were withdrawn for taking too long since the
	// last one ended well.
	stragglers  int
	doneAt      time.Time
	suspectedAt time.Time
}

func (h *health) reset() { *h = health{pace: 1} }

func (h *health) suspect() bool { return !h.suspectedAt.IsZero() }

func (h *health) pacePercent() uint32 { return uint32(h.pace * 100) }

// admits tells whether an order is taken while so many are here.
func (h *health) admits(now time.Time, present int) bool {
	return !h.suspect() || present == 0 && now.Sub(h.suspectedAt) > probationPause
}

func (h *health) ended(now time.Time, r *run, end yuccawire.RunEnd, ran time.Duration) {
	switch end {
	case yuccawire.RunEnd_RUN_END_DONE:
		h.failures, h.stragglers = 0, 0
		h.doneAt = now
		h.suspectedAt = time.Time{}
		h.notePace(ran, r.estimate)
	case yuccawire.RunEnd_RUN_END_FAILED:
		h.failed(now, r.failures)
	}
}

func (h *health) notePace(ran, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	sample := min(max(float64(ran)/float64(estimate), minPace), maxPace)
	h.pace += paceWeight * (sample - h.pace)
}

// failed counts a failure. Tasks that have failed elsewhere don't count against
// the worker.
func (h *health) failed(now time.Time, failures uint32) {
	if failures > 0 && !h.suspect() {
		return
	}
	h.failures++
	if h.failures >= failuresToSuspect || h.suspect() {
		h.suspectedAt = now
	}
}

// overdue tells whether a run has taken far longer than was to be expected.
func (h *health) overdue(now time.Time, r *run) bool {
	if r.state != started && r.state != starting {
		return false
	}
	limit := time.Duration(float64(r.estimate)*max(h.pace, 1)*overdueFactor) + overdueSlack
	return now.Sub(r.startAt) > limit
}

// straggled takes in that a run is withdrawn for taking too long. It has taken
// less than it would have.
func (w *Worker) straggled(now time.Time, r *run) {
	w.health.notePace(now.Sub(r.startAt), r.estimate)
	w.health.stragglers++
	if w.health.stragglers >= overdueToSuspect && !w.health.suspect() {
		w.suspect(now, w.health.stragglers)
	}
}

// suspect keeps new tasks from a worker on which runs stand still.
func (w *Worker) suspect(now time.Time, runs int) {
	w.options.Logger.Warn("suspects the worker: runs stand still", "worker", w.report.ID, "overdue", runs, "runs", len(w.runs))
	w.metrics.Add("suspected", 1)
	w.health.suspectedAt = now
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	w.touchAll()
}

// checkHealth suspects a worker on which several runs stand still, and stops
// those that are overdue, so that they can run elsewhere.
func (w *Worker) checkHealth(now time.Time) {
	if now.Sub(w.listedAt) > listMaxAge {
		return
	}
	var overdue []*run
	for _, r := range w.sorted() {
		if r.stopAt.IsZero() && w.health.overdue(now, r) && r.startAt.After(w.health.doneAt.Add(-overdueSlack)) {
			overdue = append(overdue, r)
		}
	}
	if len(overdue) < overdueToSuspect && (!w.health.suspect() || len(overdue) == 0) {
		return
	}
	if !w.health.suspect() {
		w.suspect(now, len(overdue))
	}
	w.health.suspectedAt = now
	w.touchAll()
	for _, r := range overdue {
		w.stop(now, r)
	}
}
