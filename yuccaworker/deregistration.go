package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// HandleDeregistration processes a worker's announcement that it is exiting.
// Announcements of other workers are ignored.
func (w *Worker) HandleDeregistration(now time.Time, id string) {
	if w.report == nil || w.report.ID != id || w.gone {
		return
	}
	w.options.Logger.Info("worker deregistered", "worker", id, "runs", len(w.runs), "unreachable", !w.isReachable())
	w.deregistered = true
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.checkDeregistration(now)
	w.markOwnersDirty()
}

// checkDeregistration completes the deregistration of a worker without runs. Its runs end like
// those of any other: a process may refuse connections for a while before it ends.
func (w *Worker) checkDeregistration(now time.Time) {
	if !w.deregistered || len(w.runs) > 0 {
		return
	}
	w.deregistered, w.unproven = false, nil
	w.gone, w.goneAt = true, now
	w.followReport(now)
}
