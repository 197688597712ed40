package yuccaworker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// startRun sends the start of a run taken from the queue.
func (w *Worker) startRun(now time.Time, r *run) {
	r.state = starting
	r.startSentAt = now
	if len(w.runs) == 0 {
		w.lastAnswerAt = now
	}
	w.releaseReservation(now, r, startedReason)
	w.runs[r.key] = r
	w.used = w.used.plus(r.demand)
	w.metrics.Add("starts", 1)
	w.options.Logger.Info("starting run", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name,
		"waited_ms", now.Sub(r.orderedAt).Milliseconds(), "used_cpu_milli", w.used.cpuMilli, "lease_ms", r.owner.leaseUntil.Sub(now).Milliseconds())
	w.sendStart(now, r)
	if !w.holdInFlight {
		w.renewHold(now)
	}
}

func (w *Worker) sendStart(now time.Time, r *run) {
	r.tries++
	r.triedAt, r.triedAtMS = now, w.clock.lowerBound(now)
	r.absent = false
	deadline := w.deadlineMS
	if w.mayExtendHold(now) {
		deadline = w.extendHold(now)
	}
	w.emit(CallStart{
		Incarnation: w.incarnation(), Key: r.key, Payload: r.payload, DeadlineMS: deadline, Token: w.token,
		Timeout: min(startTimeout<<(r.tries-1), callTimeout), Traceparent: r.traceparent,
	})
}

// HandleStartReply processes the answer to a start, or its timeout.
func (w *Worker) HandleStartReply(now time.Time, incarnation Incarnation, key Key, result Result, clockMS int64) {
	if !isClock(clockMS) {
		w.logSenseless("start", fmt.Sprintf("the clock is %d, expected 0 to %d", clockMS, maxClockMS))
		result, clockMS = ResultUnknown, 0
	}
	switch {
	case incarnation != w.incarnation() || result == ResultUnknown:
	case result == ResultUnreachable:
		w.recordUnreachable(now)
	default:
		w.recordAnswer(now, clockMS)
	}
	r := w.runs[key]
	if r == nil || incarnation != w.incarnation() || r.state != starting {
		return
	}
	switch result {
	case ResultUnhealthy:
		w.recordFailure(now, r)
	case ResultFenced:
		w.raiseToken(now, clockMS)
	}
	r.clockConfirmed = result == ResultOK && r.tries == 1 && clockMS >= r.triedAtMS
	r.announceSettled()
	if r.tries == 1 {
		w.handleFirstReply(now, r, result)
	} else {
		w.handleRetryReply(now, r, result)
	}
	w.startQueued(now)
	w.sendStates(now)
}

// handleFirstReply handles the reply to the first try of a start. A refusal means that
// the run was not started.
func (w *Worker) handleFirstReply(now time.Time, r *run, result Result) {
	switch result {
	case ResultOK:
		w.confirmStart(now, r)
	case ResultUnknown:
		w.retryStart(now, r)
	case ResultUnreachable:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	case ResultNoCapacity:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	case ResultOldRun:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_OLD_RUN)
	case ResultUnhealthy:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	case ResultExpired:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED)
	default:
		w.refuseStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_WORKER)
	}
}

// handleRetryReply handles the reply to a later try of a start. The tries before it had
// no answer, and the worker may have executed one of them, so a refusal is no proof that
// the run was not started: the run is stopped.
func (w *Worker) handleRetryReply(now time.Time, r *run, result Result) {
	switch result {
	case ResultOK:
		w.confirmStart(now, r)
	case ResultOldRun:
		// An earlier try succeeded and the run has ended: the worker lists its
		// completion.
		w.confirmStart(now, r)
	case ResultUnknown, ResultUnreachable:
		w.retryStart(now, r)
	default:
		w.metrics.Add("retries_refused", 1)
		w.options.Logger.Warn("start refused after an unanswered try, stopping the run", "task", r.key.Task, "run", r.key.Run, "result", result,
			"tries", r.tries, "since_start_ms", now.Sub(r.startSentAt).Milliseconds())
		r.state = uncertain
		w.stopRun(now, r)
	}
}

func (w *Worker) confirmStart(now time.Time, r *run) {
	if r.state == starting || r.state == uncertain {
		r.state = started
		r.confirmedAt = w.afterHold(now)
		if !r.stopSentAt.IsZero() {
			w.stopRun(now, r)
		}
	}
}

// retryStart sends an unanswered start again; starts are idempotent. After
// maxStartTries, or if the run is stale, it stops the run so that no delayed
// start takes effect.
func (w *Worker) retryStart(now time.Time, r *run) {
	w.metrics.Add("starts_unanswered", 1)
	if r.tries < maxStartTries && w.isReachable() && r.staleReason(now) == yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED && r.stopSentAt.IsZero() {
		w.sendStart(now, r)
		return
	}
	w.options.Logger.Warn("start unanswered, stopping the run", "task", r.key.Task, "run", r.key.Run, "tries", r.tries)
	r.state = uncertain
	w.stopRun(now, r)
}

// mayStartLater reports whether the worker may still execute a start of the run: one that has
// neither been answered nor led to the run that the worker listed.
func (r *run) mayStartLater() bool {
	return r.tries > 1 || r.state != started && !r.listed
}

// isSettled reports whether the known incarnation of the worker has executed the only start
// of the run. Nothing starts it again.
func (r *run) isSettled() bool { return r.tries == 1 && r.listed || r.clockConfirmed }

// announceSettled schedules a state message if the last one listed a run as unsettled that may
// be settled now.
func (r *run) announceSettled() {
	if r.owner.unsettledSent && r.isSettled() {
		r.owner.dirty = true
	}
}

// unsettledRuns returns the runs of an owner that are not settled, its queued ones, and those that
// another incarnation of the worker than the known one may have started.
func (w *Worker) unsettledRuns(o *owner) []*yuccawire.RunKey {
	if o.runCount == 0 {
		return nil
	}
	var keys []*yuccawire.RunKey
	for _, r := range w.runs {
		mayBeOfAnother := r.lostAs != yuccawire.RunEnd_RUN_END_UNSPECIFIED || w.unconfirmed != nil && !r.listed
		if r.owner == o && (!r.isSettled() || mayBeOfAnother) {
			keys = append(keys, r.wireKey())
		}
	}
	slices.SortFunc(keys, func(a, b *yuccawire.RunKey) int {
		return cmp.Or(cmp.Compare(a.GetTask(), b.GetTask()), cmp.Compare(a.GetRun(), b.GetRun()))
	})
	for _, r := range w.queue {
		if r.owner == o {
			keys = append(keys, r.wireKey())
		}
	}
	return keys
}

func (r *run) wireKey() *yuccawire.RunKey {
	return &yuccawire.RunKey{Task: r.key.Task, Run: r.key.Run}
}
