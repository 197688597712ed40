package yuccaworker

import "time"

// claim is a report of a later start of the worker, which is followed once an answer confirms
// the restart, or no listed run of the known incarnation is left.
type claim struct {
	report Report
	// arrivedAt is when the report arrived, askedAt when the first renewal after it was sent.
	arrivedAt time.Time
	askedAt   time.Time
}

// isClaim reports whether the report would end listed runs, by its start alone.
func (w *Worker) isClaim(r Report) bool {
	return w.report != nil && !w.gone && r.ID == w.report.ID && r.StartedAtMS > w.report.StartedAtMS && w.hasListedRuns()
}

// hasListedRuns reports whether there are runs that a restart of the worker has certainly ended.
func (w *Worker) hasListedRuns() bool {
	for _, r := range w.runs {
		if r.endsWithIncarnation() {
			return true
		}
	}
	return false
}

// endsWithIncarnation reports whether only the known incarnation can execute the run.
func (r *run) endsWithIncarnation() bool { return r.listed && r.tries == 1 }

// noteClaim asks the worker which incarnation it is. Starts wait for the answer.
func (w *Worker) noteClaim(now time.Time, r Report) {
	if w.claim != nil && w.claim.report.StartedAtMS == r.StartedAtMS {
		if r.Sequence >= w.claim.report.Sequence {
			w.claim.report, w.claim.arrivedAt = r, now
		}
		return
	}
	w.options.Logger.Warn("report of a later start, asking the worker", "worker", r.ID, "born", r.StartedAtMS, "known_born", w.report.StartedAtMS,
		"sequence", r.Sequence, "runs", len(w.runs))
	w.metrics.Add("restarts_claimed", 1)
	w.claim = &claim{report: r, arrivedAt: now}
	// Fences the starts that were sent to the known incarnation, as a takeover does.
	w.token = min(w.token+1, maxToken)
	w.markOwnersDirty()
	w.queryClaim(now)
	w.claim.askedAt = w.holdSentAt
}

// queryClaim requests the lists without an extension of the hold. It acknowledges nothing, as
// a new incarnation has completions of its own.
func (w *Worker) queryClaim(now time.Time) {
	w.holdInFlight = true
	w.holdSentAt = latest(now, w.holdSentAt.Add(1))
	w.emit(CallHold{Incarnation: w.incarnation(), Token: w.token, Timeout: holdTimeout, SentAt: w.holdSentAt})
}

// refuteClaim drops the claim if the known incarnation has answered a renewal that was sent
// after it.
func (w *Worker) refuteClaim(sentAt time.Time) {
	if w.claim == nil || sentAt.Before(w.claim.askedAt) {
		return
	}
	w.options.Logger.Warn("the worker has not restarted, report of a later start ignored", "worker", w.report.ID, "born", w.claim.report.StartedAtMS,
		"known_born", w.report.StartedAtMS)
	w.metrics.Add("restarts_refuted", 1)
	w.claim = nil
	w.markOwnersDirty()
}

// followClaim takes the incarnation over that the claim names.
func (w *Worker) followClaim(now time.Time) {
	if w.claim == nil {
		return
	}
	r := w.claim.report
	clock := workerClock{lastMS: r.ClockMS, observedAt: w.claim.arrivedAt}
	r.ClockMS = clock.lowerBound(now)
	w.claim = nil
	w.HandleReport(now, r)
}

// checkClaim follows a claim once the runs that it would have ended are over.
func (w *Worker) checkClaim(now time.Time) {
	if w.claim != nil && !w.hasListedRuns() {
		w.followClaim(now)
	}
}
