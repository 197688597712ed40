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
	if w.taken && len(w.runs) == 0 && w.acked == w.cursor {
		w.holding = false
		return
	}
	if !w.taken && (now.Before(w.takeAt) || now.Sub(w.heardAt) > reportTimeout) {
		return
	}
	if !w.taken {
		w.takeAt = now.Add(takeOverRetry)
	}
	wait := holdWait
	if !w.taken || len(w.runs) == 0 || w.unsettled() {
		wait = 0
	}
	deadline := w.clock.least(now) + Hold.Milliseconds()
	if w.silent(now) {
		// A worker that does not answer may still hear: what keeps its runs alive
		// must not go on for ever, or nobody ever knows that they are over.
		deadline = 0
	}
	w.holdUntil = max(w.holdUntil, deadline)
	w.holding = true
	w.holdSent = now
	w.do(CallHold{
		Incarnation: w.life(), DeadlineMS: deadline, Token: w.token, Cursor: w.cursor, Wait: wait, Timeout: holdTimeout, SentAt: now,
	})
}

// silent tells whether the worker has left its calls unanswered for so long that
// its runs are given up.
func (w *Worker) silent(now time.Time) bool {
	return len(w.runs) > 0 && now.Sub(w.answeredAt) > silentAfter
}

// unsettled tells whether a stop was answered whose end is not listed yet.
func (w *Worker) unsettled() bool {
	for _, r := range w.sorted() {
		if !r.stopAcked.IsZero() {
			return true
		}
	}
	return false
}

// HoldReply takes in the answer to a renewal.
func (w *Worker) HoldReply(now time.Time, h HoldResult) {
	if h.Incarnation != w.life() || w.gone {
		return
	}
	latest := h.SentAt.Equal(w.holdSent)
	if latest {
		w.holding = false
	}
	switch h.Result {
	case ResultOK:
		w.answered(now, h.ClockMS)
		w.listedAt = now
		w.takeEnds(now, h)
		w.takeRunning(now, h)
	case ResultFenced:
		w.fenced(now, h.ClockMS)
	case ResultOtherIncarnation:
		w.metrics.Add("other_life", 1)
		w.options.Logger.Warn("another life answers at the worker's address, waiting for its report", "worker", w.report.ID)
		w.gone = true
		w.loseAll(now, "another life answers at its address")
		w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
		w.touchAll()
	default:
		w.metrics.Add("holds_unanswered", 1)
	}
	if latest && (h.Result == ResultOK || now.Sub(h.SentAt) > holdWait) {
		w.renewHold(now)
	}
	w.pump(now)
	w.sendStates(now)
}

// fenced takes up a higher token: whoever used one before was an earlier
// process of this side.
func (w *Worker) fenced(now time.Time, clock int64) {
	w.token = max(w.token+1, clock, w.clock.least(now))
	w.metrics.Add("fenced", 1)
	w.options.Logger.Warn("the worker knows a higher token, taking it over again", "worker", w.report.ID, "token", w.token)
	w.taken = false
	w.takeAt = now
}

// takeEnds takes note of the ends that are new.
func (w *Worker) takeEnds(now time.Time, h HoldResult) {
	w.acked = max(w.acked, w.ackedBy(h))
	for _, e := range h.Completions {
		if e.Number <= w.cursor {
			continue
		}
		w.cursor = e.Number
		if r := w.runs[e.Key]; r != nil {
			w.finish(now, r, e.Outcome)
		}
	}
}

// ackedBy is the cursor up to which this answer shows no ends any more.
func (w *Worker) ackedBy(h HoldResult) int64 {
	if len(h.Completions) > 0 {
		return h.Completions[0].Number - 1
	}
	return w.cursor
}

// takeRunning compares what runs with what is known here. Runs of an earlier
// process of this side are stopped. A run that was asked to stop and is neither
// there nor among the ends will never be there.
func (w *Worker) takeRunning(now time.Time, h HoldResult) {
	running := make(map[Key]bool, len(h.Running))
	foreign := 0
	for _, key := range h.Running {
		running[key] = true
		if r := w.runs[key]; r == nil {
			foreign++
			w.metrics.Add("foreign_runs_stopped", 1)
			w.callStop(key)
		} else if r.state == starting || r.state == unsure && r.stopAt.IsZero() {
			w.confirmStart(now, r)
		}
	}
	for _, r := range w.sorted() {
		if running[r.key] {
			continue
		}
		switch {
		case !r.stopAcked.IsZero() && h.SentAt.After(r.stopAcked):
			w.finish(now, r, yuccawire.RunEnd_RUN_END_STOPPED)
		case r.state == started && h.SentAt.After(r.confirmedAt) && len(h.Completions) == 0:
			// Neither runs nor has ended: its end was forgotten by a worker that
			// lost its memory of it.
			w.finish(now, r, yuccawire.RunEnd_RUN_END_LOST)
		}
	}
	if !w.taken && foreign == 0 {
		w.taken = true
		w.options.Logger.Info("drives the worker", "worker", w.report.ID, "token", w.token)
		w.touchAll()
	}
}

// checkLapse gives up the runs of a worker that does not answer, once its hold
// has surely run out.
func (w *Worker) checkLapse(now time.Time) {
	if w.report == nil || w.gone || now.Sub(w.answeredAt) < Hold {
		return
	}
	if len(w.runs) > 0 && w.clock.least(now) > w.holdUntil+stopRetry.Milliseconds() {
		w.options.Logger.Warn("the worker does not answer and its hold has run out", "worker", w.report.ID, "runs", len(w.runs))
		w.loseAll(now, "the hold ran out")
		w.taken = false
		w.takeAt = now
		w.touchAll()
	}
	if now.Sub(w.heardAt) > reportTimeout && w.taken {
		w.options.Logger.Warn("the worker is silent", "worker", w.report.ID)
		w.taken = false
		w.touchAll()
	}
}
