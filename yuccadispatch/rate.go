package yuccadispatch

import "time"

const (
	rateInterval  = 500 * time.Millisecond
	rateSmoothing = 0.3
	// runMargin is how many mean run times a job is thought to need once its last
	// task starts.
	runTimeMargin = 4
)

// rate is how fast tasks of a service finish here while others wait. Other
// entries share the slots, so it can't be worked out from them.
type rate struct {
	perSecond     float64
	finished      int
	intervalStart time.Time
	// idle is set when the queue was empty at any time of the interval, so that
	// what finished does not tell what could have.
	idle bool
}

// tick ends an interval that is over.
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

// expectedWait is the time until that many more tasks of the team could start.
func (sv *service) expectedWait(team string, weight, extra int) time.Duration {
	if sv.queue.Len() == 0 || sv.slots == 0 {
		return 0
	}
	ahead := sv.queue.Ahead(team, weight, extra)
	if sv.rate.perSecond > 0 {
		return time.Duration(float64(ahead) / sv.rate.perSecond * float64(time.Second))
	}
	return sv.meanRunTime * time.Duration(ahead) / time.Duration(sv.slots)
}
