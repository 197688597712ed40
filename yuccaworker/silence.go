package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// connectAfter is how long a worker with runs answers nothing before the side tries to connect to it:
	// two renewals are unanswered then.
	connectAfter = 2 * holdTimeout
	// connectTimeout is far longer than a connection within a host takes.
	connectTimeout = 100 * time.Millisecond
	// minFailedConnects is how many connections in a row must time out, and none succeed, for the
	// worker's machine to count as unreachable. One may time out as the side itself stood still.
	minFailedConnects = 3
)

// checkStandstill records that this process did nothing for a while: the worker's silence is its
// own then.
func (w *Worker) checkStandstill(now time.Time) {
	if stood := w.ticks.Advance(now); stood > 0 {
		w.metrics.Add("standstills", 1)
		w.options.Logger.Warn("side stood still", "stood_ms", stood.Milliseconds(), "runs", len(w.runs), "queued", len(w.queue))
	}
}

// recordSilence records that the worker answers again after it had left calls unanswered. Its
// clock tells a worker that was suspended from one that stood still or was cut off.
func (w *Worker) recordSilence(now time.Time, clockMS int64) {
	silent := now.Sub(w.lastAnswerAt)
	if w.unansweredHolds == 0 || silent <= unresponsiveAfter {
		return
	}
	w.metrics.Add("silences", 1)
	w.options.Logger.Warn("worker answers again", "worker", w.report.ID, "born", w.report.StartedAtMS, "silent_ms", silent.Milliseconds(),
		"unanswered", w.unansweredHolds, "clock_advanced_ms", clockMS-w.answeredMS, "runs", len(w.runs))
}

// checkConnection tries to connect to a worker with runs that answers nothing, until it succeeds.
func (w *Worker) checkConnection(now time.Time) {
	isDue := now.Sub(w.lastAnswerAt) >= connectAfter && !now.Before(w.nextConnectAt)
	if !isDue || len(w.runs) == 0 || w.gone || w.connectInFlight || w.acceptsConnections || w.isMachineUnreachable() {
		return
	}
	w.connectInFlight, w.nextConnectAt = true, now.Add(connectTimeout)
	w.emit(CallConnect{Incarnation: w.incarnation(), Since: w.lastAnswerAt, Timeout: connectTimeout, SentAt: now})
}

// HandleConnectReply processes the result of a [CallConnect]: ResultOK if the connection was
// accepted, ResultUnreachable if it was refused, and ResultUnknown after the timeout. Any other
// means that the side could not try.
func (w *Worker) HandleConnectReply(now time.Time, c CallConnect, result Result) {
	w.connectInFlight = false
	if c.Incarnation != w.incarnation() || w.gone || c.SentAt.Before(w.lastAnswerAt) {
		return
	}
	switch result {
	case ResultOK:
		w.acceptsConnections = true
	case ResultUnreachable:
		w.recordUnreachable(now)
	case ResultUnknown:
		w.failedConnects++
	default:
		w.metrics.Add("connects_failed", 1)
		w.options.Logger.Warn("could not try to connect to the worker", "worker", w.report.ID)
	}
}

// isMachineUnreachable reports whether no connection to the worker could be opened since its last
// answer. The machine of a process that stands still accepts some.
func (w *Worker) isMachineUnreachable() bool {
	return !w.acceptsConnections && w.failedConnects >= minFailedConnects
}

// recordHeard ends the silence of the worker.
func (w *Worker) recordHeard() {
	w.isSilent, w.acceptsConnections, w.failedConnects = false, false, 0
}

// awaitAnswer stops using a worker that accepts connections and answers nothing. It may stand
// still, which is no crash, and end runs whose hold has expired only when it goes on. Its runs count as
// active until its lists or its next incarnation tell what became of them.
func (w *Worker) awaitAnswer(now time.Time) {
	w.isSilent = true
	w.options.Logger.Warn("worker unresponsive, hold expired, awaiting its answer", "worker", w.report.ID, "runs", len(w.runs),
		"queued", len(w.queue), "silent_ms", now.Sub(w.lastAnswerAt).Milliseconds(), "unanswered", w.unansweredHolds, "accepts", w.acceptsConnections)
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.fence(now)
}
