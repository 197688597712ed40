package yuccadispatch

import "time"

const (
	rateInterval  = 500 * time.Millisecond
	rateSmoothing = 0.3
	// runTimeMargin is the number of mean run times allowed between the start of
	// the last task of a job and its deadline.
	runTimeMargin = 4
	// maxExpectedWait limits the estimate, which is beyond any duration after a minute
	// without completions. No deadline is that long.
	maxExpectedWait = time.Hour
)

// rate estimates the completion rate of a service at this entry while tasks are
// queued. It is measured because the slots are shared with other entries, so it
// cannot be derived from their number.
type rate struct {
	perSecond     float64
	finished      int
	intervalStart time.Time
	// idle is set if the queue was empty at any time in the interval. The
	// completions then do not show how many tasks could have finished.
	idle bool
}

// tick updates the estimate and starts a new interval once rateInterval has
// elapsed.
func (r *rate) tick(now time.Time) {
	elapsed := now.Sub(r.intervalStart)
	if elapsed < rateInterval {
		return
	}
	observed := float64(r.finished) / elapsed.Seconds()
	switch {
	case r.idle || r.intervalStart.IsZero():
	case r.perSecond == 0:
		r.perSecond = observed
	default:
		r.perSecond += rateSmoothing * (observed - r.perSecond)
	}
	*r = rate{perSecond: r.perSecond, intervalStart: now}
}

// expectedWait returns the estimated time until all queued tasks of the team and
// the given number of extra tasks are started. It is zero if the queue is empty, and
// maxExpectedWait at most.
func (sv *service) expectedWait(team string, weight, extra int) time.Duration {
	if sv.queue.Len() == 0 || sv.slots == 0 {
		return 0
	}
	ahead := sv.queue.Ahead(team, weight, extra)
	if sv.rate.perSecond > 0 {
		return time.Duration(min(float64(ahead)/sv.rate.perSecond*float64(time.Second), float64(maxExpectedWait)))
	}
	return min(sv.meanRunTime*time.Duration(ahead)/time.Duration(sv.slots), maxExpectedWait)
}
