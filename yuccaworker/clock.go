package yuccaworker

import "time"

// workerClock computes a lower bound of the worker's clock from a reading of it
// and the local time at which that arrived.
type workerClock struct {
	lastMS     int64
	observedAt time.Time
	// hasJumped is set once a reading was ahead of the clock: it may be that of another
	// incarnation.
	hasJumped bool
}

func (c *workerClock) observe(ms int64, at time.Time) {
	c.hasJumped = c.hasJumped || !c.mayShow(ms, at)
	if c.observedAt.IsZero() || ms > c.lowerBound(at) {
		c.lastMS, c.observedAt = ms, at
	}
}

// advance adds the time for which the machine was suspended.
func (c *workerClock) advance(d time.Duration) {
	if !c.observedAt.IsZero() {
		c.observedAt = c.observedAt.Add(-d)
	}
}

// lowerBound returns a time that the worker's clock has certainly reached.
func (c *workerClock) lowerBound(now time.Time) int64 {
	return c.lastMS + int64(float64(now.Sub(c.observedAt).Milliseconds())*(1-ClockDrift))
}

// upperBound returns a time that the worker's clock has not passed, but for the age of the reading.
func (c *workerClock) upperBound(now time.Time) int64 {
	return c.lastMS + now.Sub(c.observedAt).Milliseconds()
}

// provenClock returns a time that the worker's clock has certainly reached. A report alone, which may be that of
// another writer, moves it no further than the last answer allows.
func (w *Worker) provenClock(now time.Time) int64 {
	if w.answered.observedAt.IsZero() {
		return w.clock.lowerBound(now)
	}
	return min(w.clock.lowerBound(now), w.answered.upperBound(now))
}

// isPlausible reports whether the clock may show ms in an answer that arrives now.
func (c *workerClock) isPlausible(ms int64, now time.Time) bool {
	return ms >= c.lowerBound(now)-maxClockAge.Milliseconds() && c.mayShow(ms, now)
}

// mayShow reports whether the clock may have reached ms by now.
func (c *workerClock) mayShow(ms int64, now time.Time) bool {
	return c.observedAt.IsZero() || ms <= c.lastMS+now.Sub(c.observedAt).Milliseconds()+maxClockAge.Milliseconds()
}

// correctClock sets the clock to what the first answer of an incarnation says, if its report
// put it ahead. The worker shortens the deadlines that were sent since to the longest lease.
func (w *Worker) correctClock(now time.Time, answeredMS int64) {
	if answeredMS < w.clock.lowerBound(now) {
		w.clock = workerClock{lastMS: answeredMS, observedAt: now}
		w.deadlineMS, w.holdUntilMS = 0, answeredMS+maxLease.Milliseconds()
	}
}
