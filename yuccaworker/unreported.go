package yuccaworker

import "time"

const (
	// unreportedInterval is the interval at which a worker is fenced that has not reported.
	unreportedInterval = 40 * time.Millisecond
	// unreportedPeriod is for how long that is done. Calls are executed up to 12 s late.
	unreportedPeriod = 15 * time.Second
)

// fenceUnreported fences the starts of an earlier process of the side, or to an earlier incarnation of the
// worker, until an incarnation reports that can be taken over. The call names no incarnation, extends no
// hold and acknowledges nothing.
func (w *Worker) fenceUnreported(now time.Time) {
	if w.report != nil && !w.gone {
		w.unreportedSince = time.Time{}
		return
	}
	if w.unreportedSince.IsZero() {
		w.unreportedSince = now
		w.token = min(w.token+1, maxToken)
		if w.report == nil {
			w.token = max(w.token, now.UnixMilli())
		}
	}
	if now.Sub(w.unreportedSince) >= unreportedPeriod || now.Sub(w.unreportedFencedAt) < unreportedInterval {
		return
	}
	w.unreportedFencedAt = now
	w.metrics.Add("unreported_fences", 1)
	w.emit(CallHold{Token: w.token, Timeout: holdTimeout, SentAt: now})
}

// handleUnreportedReply raises the token if the worker knows a higher one. An earlier process has called it.
func (w *Worker) handleUnreportedReply(result Result) {
	if result == ResultFenced && (w.report == nil || w.gone) {
		w.tokenStep = min(max(2*w.tokenStep, 1), maxToken)
		w.token += min(w.tokenStep, maxToken-w.token)
	}
}
