package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// renewHold extends the lease of the worker's runs and requests the lists of
// running and completed runs. The worker may delay its answer until a run
// completes, unless it is being taken over, has no runs, or the side awaits the
// outcome of a stop.
func (w *Worker) renewHold(now time.Time) {
	if w.report == nil || w.gone {
		return
	}
	if w.unconfirmed != nil {
		w.queryIncarnation(now)
		return
	}
	awaitsConfirmation := w.awaitsConfirmation()
	if w.takenOver && len(w.runs) == 0 && w.ackedCursor == w.cursor && !awaitsConfirmation {
		w.holdInFlight = false
		return
	}
	if !w.takenOver && (now.Before(w.nextTakeOverAt) || len(w.runs) == 0 && now.Sub(w.lastContactAt) > reportTimeout) {
		return
	}
	if !w.takenOver {
		w.nextTakeOverAt = now.Add(takeOverRetry)
	}
	wait := min(holdWait, w.stopWait(now))
	if !w.takenOver || len(w.runs) == 0 || awaitsConfirmation {
		wait = 0
	}
	deadline := int64(0)
	// While there are no runs to keep, the hold ends those whose stops have no effect.
	if w.mayExtendHold(now) && (w.takenOver || len(w.runs) > 0) {
		deadline = w.extendHold(now)
	}
	w.holdInFlight = true
	w.holdSentAt = w.nextHoldAt(now)
	w.emit(CallHold{
		Incarnation: w.incarnation(), DeadlineMS: deadline, Token: w.token, Cursor: w.cursorToAck(now), Wait: wait, Timeout: holdTimeout, SentAt: w.holdSentAt,
	})
}

// afterHold returns when an event of now happened, for a comparison with the times at which
// renewals were sent: the last of them was sent before it.
func (w *Worker) afterHold(now time.Time) time.Time { return latest(now, w.holdSentAt) }

// nextHoldAt returns the time of a renewal that is sent now. It differs between renewals.
func (w *Worker) nextHoldAt(now time.Time) time.Time { return latest(now, w.holdSentAt.Add(1)) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cursorToAck returns the number of the last completion to acknowledge, zero if the worker
// may have restarted since its last answer: the completions of a new incarnation have the
// numbers of those of the earlier one.
func (w *Worker) cursorToAck(now time.Time) int64 {
	if now.Sub(w.listSentAt) > maxAckAge {
		return 0
	}
	return w.cursor
}

// mayExtendHold reports whether the worker may keep its runs for longer. An unresponsive
// worker may run on, and receive renewals although its answers are lost: extending the
// hold would keep runs alive whose outcome is never received.
func (w *Worker) mayExtendHold(now time.Time) bool {
	return w.unconfirmed == nil && !w.isUnresponsive(now) && !w.hasOverdueStop(now)
}

// extendHold returns the deadline up to which the worker may keep its runs, on its clock.
func (w *Worker) extendHold(now time.Time) int64 {
	w.extendedAt = now
	w.deadlineMS = max(w.deadlineMS, w.clock.lowerBound(now)+Hold.Milliseconds())
	w.holdUntilMS = max(w.holdUntilMS, w.deadlineMS)
	return w.deadlineMS
}

// hasOverdueStop reports whether a run must end, because the lease of its owner has expired
// or its owner withdrew it some time ago, and its stop has no answer. The expiry of the
// hold then ends it, together with the other runs.
func (w *Worker) hasOverdueStop(now time.Time) bool {
	for _, r := range w.runs {
		if r.stopAckedAt.IsZero() && (!now.Before(r.owner.leaseUntil) || !r.withdrawnAt.IsZero() && now.Sub(r.withdrawnAt) >= maxStopTime) {
			return true
		}
	}
	return false
}

// isUnresponsive reports whether the worker refuses connections, or has left its calls
// unanswered for so long, that its hold is no longer extended.
func (w *Worker) isUnresponsive(now time.Time) bool {
	return len(w.runs) > 0 && (!w.isReachable() || now.Sub(w.lastAnswerAt) > unresponsiveAfter)
}

// stopWait returns the time until the next list may show that a stopped run is gone, in whole
// milliseconds. The worker answers at once if the end of a run is listed before.
func (w *Worker) stopWait(now time.Time) time.Duration {
	wait := holdWait
	for _, r := range w.runs {
		if !r.stopAckedAt.IsZero() {
			wait = min(wait, max(r.stopEndsAt().Sub(now), 0))
		}
	}
	return (wait + time.Millisecond - 1).Truncate(time.Millisecond)
}

// stopEndsAt returns when the stop of a run has ended that the worker acknowledged. There is
// nothing to end if a new incarnation did not list the run before the first stop, as its
// takeover fences delayed starts.
func (r *run) stopEndsAt() time.Time {
	if r.lostAs != yuccawire.RunEnd_RUN_END_UNSPECIFIED && !r.absentSince.IsZero() && !r.absentSince.After(r.stopRequestedAt) {
		return r.stopAckedAt
	}
	return r.stopAckedAt.Add(stopTime)
}

// HandleHoldReply processes the answer to a renewal. If another incarnation of the
// worker answers, the side waits for its report.
func (w *Worker) HandleHoldReply(now time.Time, h HoldResult) {
	if h.Incarnation == (Incarnation{}) {
		w.handleUnreportedReply(h.Result)
		return
	}
	if h.Incarnation != w.incarnation() || w.gone {
		return
	}
	if fault := h.fault(); fault != "" {
		w.logSenseless("hold", fault)
		h = HoldResult{Incarnation: h.Incarnation, SentAt: h.SentAt}
	}
	isLatest := h.SentAt.Equal(w.holdSentAt)
	if isLatest {
		w.holdInFlight = false
	}
	switch h.Result {
	case ResultOK:
		w.recordAnswer(now, h.ClockMS)
		w.lastListAt, w.listSentAt = now, latest(w.listSentAt, h.SentAt)
		w.boundHold(h.ClockMS)
		w.refuteRestart(h.SentAt)
		w.refuteCrash()
		w.applyCompletions(now, h)
		w.reconcileRuns(now, h)
	case ResultFenced:
		w.raiseToken(now, h.ClockMS)
	case ResultOtherIncarnation, ResultRestarted, ResultOtherWorker:
		w.handleReplacement(now, h.Result)
		if w.unconfirmed != nil {
			// The answer to the takeover, or the next tick, sends the ends.
			w.followReport(now)
			return
		}
	case ResultUnreachable:
		w.recordUnreachable(now)
		w.metrics.Add("holds_unanswered", 1)
		w.noteUnansweredQuery(h.SentAt)
	default:
		w.unansweredHolds++
		w.metrics.Add("holds_unanswered", 1)
		w.noteUnansweredQuery(h.SentAt)
	}
	w.checkUnconfirmedRestart(now)
	// The first renewal that fails early is repeated at once: its connection broke,
	// perhaps in a crash.
	failedEarly := h.Result == ResultUnknown && w.unansweredHolds == 1
	if isLatest && (h.Result == ResultOK || now.Sub(h.SentAt) > holdWait || failedEarly) {
		w.renewHold(now)
	}
	w.startQueued(now)
	w.sendStates(now)
}

// raiseToken selects a token above the one that fenced this side and takes the
// worker over again. The other token was used by an earlier process of this
// side.
func (w *Worker) raiseToken(now time.Time, clockMS int64) {
	w.tokenStep = min(max(2*w.tokenStep, 1), maxToken)
	w.token = max(w.token+min(w.tokenStep, maxToken-w.token), w.report.StartedAtMS+max(clockMS, w.clock.lowerBound(now)))
	w.metrics.Add("fenced", 1)
	w.options.Logger.Warn("fenced by the worker, taking it over again with a higher token", "worker", w.report.ID, "token", w.token)
	w.fencedFrom = w.nextHoldAt(now)
	w.takenOver = false
	w.nextTakeOverAt = now
}

// raiseTokenAbove takes the worker over again with a higher token than one that an owner
// knows of an earlier process of this side, whose starts may still arrive. That process may
// have raised the token since.
func (w *Worker) raiseTokenAbove(now time.Time, known int64) {
	if w.report == nil || known == 0 || known < w.token {
		return
	}
	w.token = min(known, maxToken-tokenMargin) + tokenMargin
	w.metrics.Add("tokens_raised", 1)
	w.options.Logger.Warn("an owner knows of a higher token, taking the worker over again", "worker", w.report.ID, "known", known, "token", w.token)
	w.fence(now)
}

// applyCompletions records the outcomes that are listed for the first time.
func (w *Worker) applyCompletions(now time.Time, h HoldResult) {
	w.ackedCursor = max(w.ackedCursor, w.ackedUpTo(h))
	for _, e := range h.Completions {
		if e.Number <= w.cursor {
			continue
		}
		w.cursor = e.Number
		if r := w.runs[e.Key]; r != nil {
			// A stop may be listed of a run that was not there yet.
			r.listed = r.listed || e.Outcome != yuccawire.RunEnd_RUN_END_STOPPED
			w.completeRun(now, r, e.Outcome, "")
		}
	}
}

// ackedUpTo returns the number up to which the worker has discarded completions,
// according to this answer.
func (w *Worker) ackedUpTo(h HoldResult) int64 {
	if len(h.Completions) > 0 {
		return h.Completions[0].Number - 1
	}
	return w.cursor
}

// reconcileRuns compares the worker's list of running runs with the runs that
// the side tracks. It stops the others, and doesn't use the worker while there are any. A
// run that is neither running nor completed is gone after the time that a stop takes: once
// its stop is acknowledged, or if it had been started. It can't start any more.
func (w *Worker) reconcileRuns(now time.Time, h HoldResult) {
	if h.SentAt.Before(w.listSentAt) {
		return // A later answer has overtaken this one.
	}
	running := make(map[Key]bool, len(h.Running))
	var untracked []Key
	for _, key := range h.Running {
		running[key] = true
		if r := w.runs[key]; r == nil {
			untracked = append(untracked, key)
		} else if r.state == starting || r.state == uncertain && r.stopSentAt.IsZero() {
			w.confirmStart(now, r)
		}
	}
	w.stopUntracked(untracked)
	forgotten := false
	for _, r := range w.sortedRuns() {
		if running[r.key] {
			wasListed := r.listed
			r.listed, r.absent, r.lostAs = true, false, yuccawire.RunEnd_RUN_END_UNSPECIFIED
			if !wasListed {
				r.announceSettled()
			}
			r.absentSince = time.Time{}
			w.settleCrash(now, r, false)
			continue
		}
		r.absent = r.state != started && h.SentAt.After(r.triedAt) && now.Sub(r.triedAt) > startTimeout
		if r.absentSince.IsZero() {
			r.absentSince = now
		}
		isStopped := !r.stopAckedAt.IsZero() && h.SentAt.After(r.stopEndsAt())
		isMissing := r.state == started && h.SentAt.Sub(latest(r.absentSince, r.confirmedAt)) > stopTime
		isLost := r.lostAs != yuccawire.RunEnd_RUN_END_UNSPECIFIED
		switch {
		case isLost && r.stopSentAt.IsZero():
			// Keeps a delayed start from taking effect.
			w.stopRun(now, r)
		case isLost && isStopped:
			w.loseRun(now, r, "the new incarnation does not list it")
		case isStopped:
			w.completeRun(now, r, yuccawire.RunEnd_RUN_END_STOPPED, "stop answered, the worker does not list it")
		case isMissing && len(h.Completions) == 0:
			// Neither running nor completed: the worker lost its record of the run.
			w.settleCrash(now, r, false)
			w.completeRunAfter(now, r, yuccawire.RunEnd_RUN_END_LOST, now.Sub(r.startSentAt), "started, but the worker does not list it")
			forgotten = forgotten || r.mayStartLater()
		}
	}
	isClear := w.noteUntracked(now, h.SentAt, len(untracked))
	if forgotten {
		// The worker doesn't know any more that the run has ended.
		w.fence(now)
		return
	}
	switch {
	case !w.takenOver && isClear && !h.SentAt.Before(w.fencedFrom):
		w.takenOver, w.tokenStep = true, 0
		w.options.Logger.Info("worker taken over", "worker", w.report.ID, "token", w.token)
		w.markOwnersDirty()
	case w.takenOver && len(untracked) > 0:
		w.takenOver, w.nextTakeOverAt = false, now.Add(takeOverRetry)
		w.metrics.Add("foreign_runs_found", 1)
		w.markOwnersDirty()
	}
}

// noteUntracked reports whether no run is left that the side doesn't track, after a list that was
// requested at sentAt. What was listed before may be being stopped for a while.
func (w *Worker) noteUntracked(now, sentAt time.Time, count int) bool {
	switch {
	case count > 0:
		w.hadUntracked, w.clearSince = true, time.Time{}
	case w.hadUntracked && w.clearSince.IsZero():
		w.clearSince = now
		w.nextTakeOverAt = now.Add(stopTime)
	case w.hadUntracked && sentAt.Sub(w.clearSince) >= stopTime:
		w.hadUntracked = false
	}
	return count == 0 && !w.hadUntracked
}

// stopUntracked stops the runs that the worker lists and the side doesn't track.
func (w *Worker) stopUntracked(keys []Key) {
	if len(keys) > 0 && keys[0] != w.lastUntracked {
		w.lastUntracked = keys[0]
		w.options.Logger.Warn("worker runs tasks that the side does not track, stopping them", "worker", w.report.ID, "runs", len(keys),
			"first", keys[0].Task, "run", keys[0].Run, "taken", w.takenOver, "used_cpu_milli", w.used.cpuMilli)
	}
	for _, key := range keys[:min(len(keys), maxForeignStops)] {
		w.metrics.Add("foreign_runs_stopped", 1)
		w.sendStop(key)
	}
}

// hasExpiredRuns reports whether the hold of any run has certainly expired.
func (w *Worker) hasExpiredRuns(now time.Time) bool {
	for _, r := range w.runs {
		if w.hasExpired(now, r) {
			return true
		}
	}
	return false
}

// hasExpired reports whether the hold of the run has certainly expired. A restarted worker
// may have taken the deadline of a start for one on its own clock, which is behind, unless
// the known incarnation has confirmed the run and no other try is left.
func (w *Worker) hasExpired(now time.Time, r *run) bool {
	if w.provenClock(now) <= w.holdUntilMS+stopRetry.Milliseconds() {
		return false
	}
	longest := time.Duration(float64(maxLease)*(1+2*ClockDrift)) + stopRetry
	return r.isSettled() || now.Sub(w.extendedAt) > longest
}

// checkHoldExpiry handles an unresponsive worker once the hold of runs has certainly expired. They have
// ended if its process has, which refuses connections then, or if its machine is without power
// or cut off: its clock goes on there. Without any contact for reportTimeout, the worker has to be
// taken over again.
func (w *Worker) checkHoldExpiry(now time.Time) {
	if w.report == nil || w.gone || now.Sub(w.lastAnswerAt) < Hold {
		return
	}
	switch {
	case !w.hasExpiredRuns(now):
	case !w.isReachable() || w.isMachineUnreachable():
		w.options.Logger.Warn("worker unresponsive, hold expired", "worker", w.report.ID, "runs", len(w.runs))
		if w.isReachable() && w.seemsCrashed() {
			w.reportSilence(now)
		}
		w.loseRuns(now, "hold expired", !w.isReachable(), func(r *run) bool { return w.hasExpired(now, r) })
		w.fence(now)
	case !w.isSilent:
		w.awaitAnswer(now)
	case now.Sub(w.lastContactAt) > reportTimeout:
		// A task that hangs its worker has to become suspect before it hangs others.
		w.reportSilence(now)
	}
	if now.Sub(w.lastContactAt) > reportTimeout && w.takenOver {
		w.options.Logger.Warn("no contact with the worker", "worker", w.report.ID)
		w.takenOver = false
		w.markOwnersDirty()
	}
}

// fence keeps starts that are still on their way from being executed, as the hold of later runs may
// let them start. The worker has to be taken over again.
func (w *Worker) fence(now time.Time) {
	w.token = min(w.token+1, maxToken)
	w.fencedFrom = w.nextHoldAt(now)
	w.takenOver = false
	w.nextTakeOverAt = now
	w.markOwnersDirty()
}
