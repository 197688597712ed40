package yuccaworker

import "time"

// isOutdated reports whether the report comes from an earlier incarnation, or
// precedes the last one of this incarnation. If the known incarnation is gone or silent
// and there are no runs to lose, an earlier start counts as that of a new one: the machine's
// wall clock may have been set back.
func (w *Worker) isOutdated(now time.Time, r Report) bool {
	if r.StartedAtMS != w.report.StartedAtMS {
		mayBeReplaced := len(w.runs) == 0 && (w.gone || w.isReportStale(now))
		return r.StartedAtMS < w.report.StartedAtMS && !mayBeReplaced
	}
	return r.ID == w.report.ID && r.Sequence < w.report.Sequence && !w.provesSequenceWrong(now, r)
}

// provesSequenceWrong records a report with a low sequence, and reports whether that of the last
// report can't be the worker's: no higher one has followed it since it is stale, but lower ones
// that rise.
func (w *Worker) provesSequenceWrong(now time.Time, r Report) bool {
	if r.Sequence <= w.lowSequence || w.lowSince.Before(w.reportedAt) {
		w.lowSince = now
	}
	w.lowSequence = r.Sequence
	if !w.isReportStale(now) || now.Sub(w.lowSince) <= maxClockAge {
		return false
	}
	w.options.Logger.Warn("report with a high sequence was wrong, following the lower ones", "worker", r.ID, "born", r.StartedAtMS,
		"sequence", r.Sequence, "was_sequence", w.report.Sequence)
	return true
}
