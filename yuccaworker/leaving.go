package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxRemaining limits the remaining time of a leaving worker that counts as known, which
// has to fit into the messages to owners.
const maxRemaining = 24 * time.Hour

// RemainingTime returns [Report.Remaining] for the milliseconds that a leaving worker has
// reported, nil if it has not. No time left counts as a millisecond.
func RemainingTime(ms *int64) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(min(max(*ms, 1), maxRemaining.Milliseconds())) * time.Millisecond
}

// addLeaving adds to a state that the worker is leaving, and how long it has at least.
// Zero means that the worker has not said so. A time that has passed since the report is
// reported as one millisecond.
func (w *Worker) addLeaving(now time.Time, state *yuccawire.WorkerState) {
	if w.report == nil || w.gone || !w.report.Leaving {
		return
	}
	state.Leaving = true
	if w.report.Remaining > 0 {
		state.RemainingMs = uint32(max((w.report.Remaining - now.Sub(w.reportedAt)).Milliseconds(), 1))
	}
}
