package yuccasuspend

import "time"

// minStandstill is how long a process must have done nothing to be reported. A slow processor
// delays ticks by less.
const minStandstill = 250 * time.Millisecond

// TickWatch notices that a process did nothing for a while, although its clock went on, by the
// time between its ticks. It is not safe for concurrent use.
type TickWatch struct{ lastTick time.Time }

// IsOverdue reports whether the next tick is due for so long that the process has stood still.
func (w *TickWatch) IsOverdue(now time.Time) bool {
	return !w.lastTick.IsZero() && now.Sub(w.lastTick) >= minStandstill
}

// Advance records a tick. It returns the time since the last one if the process stood still
// meanwhile, and zero otherwise.
func (w *TickWatch) Advance(now time.Time) time.Duration {
	since := now.Sub(w.lastTick)
	isFirst := w.lastTick.IsZero()
	w.lastTick = now
	if isFirst || since < minStandstill {
		return 0
	}
	return since
}
