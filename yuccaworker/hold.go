package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// renewHold asks the worker to keep its runs, and for its lists. It waits for
// an end only while runs are known here.
func (w *Worker) renewHold(now time.Time) {
	if w.report == nil || w.gone {
		return
	}
	if w.takenOver && len(w.runs) == 0 && w.ackedCursor == w.cursor {
		w.holdInFlight = false
		return
	}
	if !w.takenOver && (now.Before(w.takeOverAt) || now.Sub(w.lastContactAt) > reportTimeout) {
		return
	}
	if !w.takenOver {
		w.takeOverAt = now.Add(takeOverRetry)
	}
	wait := holdWait
	if !w.takenOver || len(w.runs) == 0 || w.awaitsStopOutcome() {
		wait = 0
	}
	deadline := w.clock.lowerBound(now) + Hold.Milliseconds()
	if w.isUnresponsive(now) {
		// A worker that does not answer may still hear: what keeps its runs alive
		// must not go on for ever, or nobody ever knows that they are over.
		deadline = 0
	}
	w.holdUntilMS = max(w.holdUntilMS, deadline)
	w.holdInFlight = true
	w.holdSentAt = now
	w.emit(CallHold{
		Incarnation: w.incarnation(), DeadlineMS: deadline, Token: w.token, Cursor: w.cursor, Wait: wait, Timeout: holdTimeout, SentAt: now,
	})
}

// silent tells whether the worker has left its calls unanswered for so long that
// its runs are given up.
func (w *Worker) isUnresponsive(now time.Time) bool {
	return len(w.runs) > 0 && now.Sub(w.lastAnswerAt) > unresponsiveAfter
}

// unsettled tells whether a stop was answered whose end is not listed yet.
func (w *Worker) awaitsStopOutcome() bool {
	for _, r := range w.sortedRuns() {
		if !r.stopAckedAt.IsZero() {
			return true
		}
	}
	return false
}

// HoldReply takes in the answer to a renewal.
func (w *Worker) HoldReply(now time.Time, h HoldResult) {
	if h.Incarnation != w.incarnation() || w.gone {
		return
	}
	latest := h.SentAt.Equal(w.holdSentAt)
	if latest {
		w.holdInFlight = false
	}
	switch h.Result {
	case ResultOK:
		w.recordAnswer(now, h.ClockMS)
		w.lastListAt = now
		w.applyCompletions(now, h)
		w.reconcileRuns(now, h)
	case ResultFenced:
		w.raiseToken(now, h.ClockMS)
	case ResultOtherIncarnation:
		w.metrics.Add("other_life", 1)
		w.options.Logger.Warn("another life answers at the worker's address, waiting for its report", "worker", w.report.ID)
		w.gone = true
		w.loseAllRuns(now, "another life answers at its address")
		w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
		w.markOwnersDirty()
	default:
		w.metrics.Add("holds_unanswered", 1)
	}
	if latest && (h.Result == ResultOK || now.Sub(h.SentAt) > holdWait) {
		w.renewHold(now)
	}
	w.startQueued(now)
	w.sendStates(now)
}

// fenced takes up a higher token: whoever used one before was an earlier
// process of this side.
func (w *Worker) raiseToken(now time.Time, clockMS int64) {
	w.token = max(w.token+1, clockMS, w.clock.lowerBound(now))
	w.metrics.Add("fenced", 1)
	w.options.Logger.Warn("the worker knows a higher token, taking it over again", "worker", w.report.ID, "token", w.token)
	w.takenOver = false
	w.takeOverAt = now
}

// takeEnds takes note of the ends that are new.
func (w *Worker) applyCompletions(now time.Time, h HoldResult) {
	w.ackedCursor = max(w.ackedCursor, w.ackedUpTo(h))
	for _, e := range h.Completions {
		if e.Number <= w.cursor {
			continue
		}
		w.cursor = e.Number
		if r := w.runs[e.Key]; r != nil {
			w.completeRun(now, r, e.Outcome)
		}
	}
}

// ackedBy is the cursor up to which this answer shows no ends any more.
func (w *Worker) ackedUpTo(h HoldResult) int64 {
	if len(h.Completions) > 0 {
		return h.Completions[0].Number - 1
	}
	return w.cursor
}

// takeRunning compares what runs with what is known here. Runs of an earlier
// process of this side are stopped. A run that was asked to stop and is neither
// there nor among the ends will never be there.
func (w *Worker) reconcileRuns(now time.Time, h HoldResult) {
	running := make(map[Key]bool, len(h.Running))
	foreign := 0
	for _, key := range h.Running {
		running[key] = true
		if r := w.runs[key]; r == nil {
			foreign++
			w.metrics.Add("foreign_runs_stopped", 1)
			w.sendStop(key)
		} else if r.state == starting || r.state == uncertain && r.stopSentAt.IsZero() {
			w.confirmStart(now, r)
		}
	}
	for _, r := range w.sortedRuns() {
		if running[r.key] {
			continue
		}
		switch {
		case !r.stopAckedAt.IsZero() && h.SentAt.After(r.stopAckedAt):
			w.completeRun(now, r, yuccawire.RunEnd_RUN_END_STOPPED)
		case r.state == started && h.SentAt.After(r.confirmedAt) && len(h.Completions) == 0:
			// Neither runs nor has ended: its end was forgotten by a worker that
			// lost its memory of it.
			w.completeRun(now, r, yuccawire.RunEnd_RUN_END_LOST)
		}
	}
	if !w.takenOver && foreign == 0 {
		w.takenOver = true
		w.options.Logger.Info("drives the worker", "worker", w.report.ID, "token", w.token)
		w.markOwnersDirty()
	}
}

// checkLapse gives up the runs of a worker that does not answer, once its hold
// has surely run out.
func (w *Worker) checkHoldExpiry(now time.Time) {
	if w.report == nil || w.gone || now.Sub(w.lastAnswerAt) < Hold {
		return
	}
	if len(w.runs) > 0 && w.clock.lowerBound(now) > w.holdUntilMS+stopRetry.Milliseconds() {
		w.options.Logger.Warn("the worker does not answer and its hold has run out", "worker", w.report.ID, "runs", len(w.runs))
		w.loseAllRuns(now, "the hold ran out")
		w.takenOver = false
		w.takeOverAt = now
		w.markOwnersDirty()
	}
	if now.Sub(w.lastContactAt) > reportTimeout && w.takenOver {
		w.options.Logger.Warn("the worker is silent", "worker", w.report.ID)
		w.takenOver = false
		w.markOwnersDirty()
	}
}
