package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxLease is the longest time that a worker keeps its runs after a call, whatever
// deadline the call states. A restarted worker may take deadlines on the clock of its
// earlier incarnation for its own.
const maxLease = time.Second

// endIncarnation completes the runs that ended with an incarnation of the worker. Calls name
// the ID of the worker only, so that an incarnation with the same ID executes calls to an
// earlier one: it may have started the runs that the earlier one has not listed, or may do
// so later. Those count as active until the lists of the new incarnation, or the end of
// all leases, prove otherwise. Another worker executes no calls to this one, so that runs whose only
// start was answered start no more.
func (w *Worker) endIncarnation(now time.Time, reason string, isOtherWorker bool) {
	if len(w.runs) == 0 {
		w.proveCrash(now)
		return
	}
	crashed := !w.report.Leaving && !w.deregistered
	endedAt := w.crashTime(now)
	var pending *pendingCrash
	if crashed && !w.crashReported {
		pending = w.newCrash(endedAt, w.isConfirmedByClock)
		w.crashReported, w.unproven = true, nil
	}
	lost, unconfirmed := 0, 0
	for _, r := range w.sortedRuns() {
		if r.lostAs == yuccawire.RunEnd_RUN_END_UNSPECIFIED {
			r.markLost(crashed, endedAt)
		}
		if r.listed && r.tries == 1 {
			lost++
			w.loseRun(now, r, reason)
			continue
		}
		unconfirmed++
		// A stop that the earlier incarnation answered doesn't bind the new one.
		r.listed, r.stopAckedAt, r.absentSince = false, time.Time{}, time.Time{}
		if !isOtherWorker || r.state != started {
			r.state = uncertain
		}
		if r.pendingCrash == nil && pending != nil {
			r.pendingCrash = pending
			pending.unconfirmed++
		}
	}
	if pending != nil {
		w.publishCrash(now, pending)
	}
	w.metrics.Add("runs_carried_over", int64(unconfirmed))
	w.options.Logger.Warn("worker restarted under its runs", "worker", w.report.ID, "born", w.report.StartedAtMS, "lost", lost,
		"unconfirmed", unconfirmed, "why", reason, "crashed", crashed)
}

// handleReplacement ends the incarnation, as another one has answered. An open report that contradicts the
// answer is dropped.
func (w *Worker) handleReplacement(now time.Time, answer Result) {
	w.metrics.Add("other_life", 1)
	w.options.Logger.Warn("worker address answered by another incarnation, waiting for its report", "worker", w.report.ID,
		"restarted", answer == ResultRestarted, "other_worker", answer == ResultOtherWorker)
	w.gone, w.goneAt, w.hasRestarted = true, now, answer == ResultRestarted
	w.fenceUnreported(now)
	w.endIncarnation(now, replacementReasons[answer], answer == ResultOtherWorker)
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.markOwnersDirty()
	if w.unconfirmed == nil {
		return
	}
	isOfKnown := w.unconfirmed.report.ID == w.report.ID
	if isOfKnown && answer == ResultOtherWorker || !isOfKnown && answer == ResultRestarted {
		w.unconfirmed = nil
	}
}

var replacementReasons = map[Result]string{
	ResultOtherIncarnation: "another incarnation answers at the worker's address",
	ResultRestarted:        "the worker answers that it has restarted",
	ResultOtherWorker:      "another worker answers at the worker's address",
}

// markLost sets how the run ends if it is not active any more.
func (r *run) markLost(crashed bool, endedAt time.Time) {
	r.lostAs = yuccawire.RunEnd_RUN_END_LOST
	if crashed && !r.startSentAt.After(endedAt) {
		r.lostAs = yuccawire.RunEnd_RUN_END_CRASHED
	}
	r.ranBeforeLoss = max(endedAt.Sub(r.startSentAt), 0)
}

// loseRun completes a run that markLost was called for. A stop at the present incarnation of the
// worker doesn't keep the next one from executing a delayed start.
func (w *Worker) loseRun(now time.Time, r *run, reason string) {
	w.options.Logger.Info("run lost with the worker", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name,
		"end", r.lostAs.String(), "ran_ms", r.ranBeforeLoss.Milliseconds(), "unreachable", !w.isReachable(), "why", reason)
	w.metrics.Add("runs_lost", 1)
	w.settleCrash(now, r, r.clockConfirmed)
	w.completeRunAfter(now, r, r.lostAs, r.ranBeforeLoss, reason)
}

// carryOver prepares the takeover of a new incarnation for the runs that it may have
// started. Those that were being stopped are stopped there. A delayed call to the earlier
// one may have extended the hold up to the longest lease.
func (w *Worker) carryOver(now time.Time, reportedMS int64) {
	for _, r := range w.sortedRuns() {
		if !r.stopSentAt.IsZero() {
			r.stopAckedAt = time.Time{}
			w.stopRun(now, r)
		}
	}
	w.holdUntilMS = reportedMS + maxLease.Milliseconds()
}

// boundHold counts on the longest lease from the first answer of a restarted worker. Its
// report, which carryOver goes by, may be old, while the token fences delayed calls only
// from the answer on.
func (w *Worker) boundHold(answeredMS int64) {
	if w.unfenced {
		w.unfenced = false
		w.holdUntilMS = max(w.holdUntilMS, answeredMS+maxLease.Milliseconds())
	}
}

// checkReplacedWorker ends the runs that were left when another incarnation answered at
// the worker's address, if that one doesn't report in time. It stops them there first, so
// that no delayed start takes effect.
func (w *Worker) checkReplacedWorker(now time.Time) {
	if !w.gone || len(w.runs) == 0 {
		return
	}
	switch since := now.Sub(w.goneAt); {
	case since > maxLease+stopRetry:
		w.loseAllRuns(now, "the new incarnation has not reported", true)
	case since > Hold:
		for _, r := range w.sortedRuns() {
			if r.stopSentAt.IsZero() {
				w.stopRun(now, r)
			}
		}
	}
}
