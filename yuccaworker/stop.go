package yuccaworker

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// stopRun sends a stop to the worker. The run counts as active until the worker's
// lists show that it is not.
func (w *Worker) stopRun(now time.Time, r *run) {
	r.stopSentAt = now
	if r.stopTries == 0 {
		r.stopRequestedAt = now
	}
	r.stopTries++
	if r.stopTries == loggedStopTry {
		w.metrics.Add("stops_unanswered", 1)
		w.options.Logger.Warn("stop unanswered, the run may continue", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name,
			"for_ms", now.Sub(r.stopRequestedAt).Milliseconds(), "tries", r.stopTries-1, "since_answer_ms", now.Sub(w.lastAnswerAt).Milliseconds())
	}
	w.sendStop(r.key)
}

func (w *Worker) sendStop(key Key) {
	w.emit(CallStop{Incarnation: w.incarnation(), Key: key, Token: w.token, Timeout: callTimeout})
}

// HandleStopReply processes the answer to a stop, or its timeout.
func (w *Worker) HandleStopReply(now time.Time, incarnation Incarnation, key Key, answered bool, clockMS int64) {
	if incarnation != w.incarnation() {
		return
	}
	if answered && !isClock(clockMS) {
		w.logSenseless("stop", fmt.Sprintf("the clock is %d, expected 0 to %d", clockMS, maxClockMS))
		answered = false
	}
	if answered {
		w.recordAnswer(now, clockMS)
	}
	r := w.runs[key]
	if r == nil || !answered || r.stopSentAt.IsZero() || !r.stopAckedAt.IsZero() {
		return
	}
	r.stopAckedAt = w.afterHold(now)
	if r.stopTries >= loggedStopTry {
		w.options.Logger.Info("stop answered", "task", r.key.Task, "run", r.key.Run, "after_ms", now.Sub(r.stopRequestedAt).Milliseconds(), "tries", r.stopTries)
	}
	w.renewHold(now)
}

// retryStops sends unanswered stops again, but for those at a worker that answers nothing.
func (w *Worker) retryStops(now time.Time) {
	if w.isSilent {
		return
	}
	for _, r := range w.sortedRuns() {
		if !r.stopSentAt.IsZero() && r.stopAckedAt.IsZero() && now.Sub(r.stopSentAt) > stopRetry {
			w.stopRun(now, r)
		}
	}
}

// HandleWithdraw stops runs, and removes queued tasks, at the request of their
// owner.
func (w *Worker) HandleWithdraw(now time.Time, from Owner, m *yuccawire.Withdraw) {
	keys := m.GetRuns()
	if len(keys) > 0 {
		w.options.Logger.Info("runs withdrawn by owner", "owner", from.Name, "runs", len(keys), "first", keys[0].GetTask(),
			"run", keys[0].GetRun(), "straggling", m.GetStraggling())
	}
	for _, k := range keys {
		key := Key{Task: k.GetTask(), Run: k.GetRun()}
		if r := w.runs[key]; r != nil && r.owner.id == from && r.stopSentAt.IsZero() && m.GetStraggling() {
			w.recordStraggler(now, r)
		}
		w.withdraw(now, key, from)
	}
	w.startQueued(now)
	w.sendStates(now)
}

func (w *Worker) withdraw(now time.Time, key Key, from Owner) {
	if r := w.runs[key]; r != nil && r.owner.id == from {
		if r.withdrawnAt.IsZero() {
			r.withdrawnAt = now
		}
		if r.stopSentAt.IsZero() {
			w.stopRun(now, r)
		}
		return
	}
	i := slices.IndexFunc(w.queue, func(q *run) bool { return q.key == key && q.owner.id == from })
	if i >= 0 {
		r := w.queue[i]
		w.dequeue(i)
		w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	}
}
