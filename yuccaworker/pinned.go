package yuccaworker

import (
	"slices"
	"time"
)

// confirmBeforeStart lets a pinned run start once the worker has answered the next renewal: one that has
// restarted unnoticed would execute the start of an earlier run beside it. The higher token fences
// that start once the later one is executed.
func (w *Worker) confirmBeforeStart(now time.Time, r *run) {
	w.token = min(w.token+1, maxToken)
	r.confirmedBy = w.nextHoldAt(now)
}

// isConfirmed reports whether the known incarnation of the worker has answered since the run was
// ordered, if it is pinned.
func (w *Worker) isConfirmed(r *run) bool { return !w.listSentAt.Before(r.confirmedBy) }

// awaitsConfirmation reports whether a queued run may not start before the worker has answered.
func (w *Worker) awaitsConfirmation() bool {
	return slices.ContainsFunc(w.queue, func(r *run) bool { return !w.isConfirmed(r) })
}
