package yuccaworker

import "time"

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
		"unanswered", w.unansweredHolds, "clock_advanced_ms", clockMS-w.clock.lastMS, "since_reading_ms", now.Sub(w.clock.observedAt).Milliseconds(), "runs", len(w.runs))
}
