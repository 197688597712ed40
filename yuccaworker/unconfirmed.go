package yuccaworker

import "time"

// unconfirmedRestart is a report of a later start of the worker, or of another worker. It is followed once
// an answer confirms that, or a renewal has no answer while there is no run that it could end.
type unconfirmedRestart struct {
	report Report
	// arrivedAt is when the report arrived, askedAt when the first renewal after it was sent.
	arrivedAt time.Time
	askedAt   time.Time
	// unanswered is set once a renewal after the report had no answer.
	unanswered bool
}

// isUnconfirmedRestart reports whether the report would end the known incarnation, by its start or its ID alone.
// One without runs that refuses connections has nothing to lose, and no answer tells one that has not stated its
// start from a later one.
func (w *Worker) isUnconfirmedRestart(r Report) bool {
	switch {
	case w.report == nil || w.gone:
		return false
	case len(w.runs) == 0 && (!w.isReachable() || r.ID == w.report.ID && w.report.StartedAtMS == 0):
		return false
	}
	return r.ID != w.report.ID || r.StartedAtMS > w.report.StartedAtMS
}

// contradictsAnswer reports whether the report is that of another worker than the known one, which has answered
// with a later start and may execute runs.
func (w *Worker) contradictsAnswer(r Report) bool {
	return w.gone && w.hasRestarted && r.ID != w.report.ID && len(w.runs) > 0
}

// noteUnconfirmedRestart asks the worker which incarnation it is. Starts wait for the answer, which decides on
// all reports that arrive until then: a restart in the meantime shows in the next answer or report.
func (w *Worker) noteUnconfirmedRestart(now time.Time, r Report) {
	if w.unconfirmed != nil {
		if !w.unconfirmed.report.precedes(r) {
			return
		}
		w.unconfirmed.report, w.unconfirmed.arrivedAt = r, now
		return
	}
	w.options.Logger.Warn("report of a later start, asking the worker", "worker", r.ID, "born", r.StartedAtMS, "known", w.report.ID, "known_born", w.report.StartedAtMS,
		"sequence", r.Sequence, "runs", len(w.runs))
	w.metrics.Add("restarts_unconfirmed", 1)
	w.unconfirmed = &unconfirmedRestart{report: r, arrivedAt: now}
	// Fences the starts that were sent to the known incarnation, as a takeover does.
	w.token = min(w.token+1, maxToken)
	w.markOwnersDirty()
	w.queryIncarnation(now)
	w.unconfirmed.askedAt = w.holdSentAt
}

// queryIncarnation requests the lists without an extension of the hold. It acknowledges nothing, as
// a new incarnation has completions of its own.
func (w *Worker) queryIncarnation(now time.Time) {
	w.holdInFlight = true
	w.holdSentAt = w.nextHoldAt(now)
	w.emit(CallHold{Incarnation: w.incarnation(), Token: w.token, Timeout: holdTimeout, SentAt: w.holdSentAt})
}

// refuteRestart drops the report if the known incarnation has answered a renewal that was sent
// after it.
func (w *Worker) refuteRestart(sentAt time.Time) {
	if w.unconfirmed == nil || sentAt.Before(w.unconfirmed.askedAt) {
		return
	}
	w.options.Logger.Warn("the worker has not restarted, report of a later start ignored", "worker", w.report.ID, "born", w.unconfirmed.report.StartedAtMS,
		"known_born", w.report.StartedAtMS)
	w.metrics.Add("restarts_refuted", 1)
	w.unconfirmed = nil
	w.markOwnersDirty()
}

// followReport takes the incarnation over that the report names.
func (w *Worker) followReport(now time.Time) {
	if w.unconfirmed == nil {
		return
	}
	r := w.unconfirmed.report
	clock := workerClock{lastMS: r.ClockMS, observedAt: w.unconfirmed.arrivedAt}
	r.ClockMS = clock.lowerBound(now)
	w.unconfirmed = nil
	w.acceptReport(now, r)
}

// noteUnansweredQuery records that a renewal had no answer, if it was sent after the report.
func (w *Worker) noteUnansweredQuery(sentAt time.Time) {
	if w.unconfirmed != nil && !sentAt.Before(w.unconfirmed.askedAt) {
		w.unconfirmed.unanswered = true
	}
}

// checkUnconfirmedRestart follows the report if the known incarnation doesn't answer and has no runs.
func (w *Worker) checkUnconfirmedRestart(now time.Time) {
	if w.unconfirmed != nil && w.unconfirmed.unanswered && len(w.runs) == 0 {
		w.unproven = nil // No answer is no proof that it has crashed.
		w.followReport(now)
	}
}

// precedes reports whether the other report is not an earlier one of the same incarnation.
func (r Report) precedes(other Report) bool {
	return other.ID != r.ID || other.StartedAtMS != r.StartedAtMS || other.Sequence >= r.Sequence
}
