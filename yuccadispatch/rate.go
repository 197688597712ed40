package yuccadispatch

import "time"

const (
	rateInterval  = 500 * time.Millisecond
	rateSmoothing = 0.3
	// runMargin is how many mean run times a job is thought to need once its last
	// task starts.
	runMargin = 4
)

// rate is how fast tasks of a service finish here while others wait. Other
// entries share the slots, so it can't be worked out from them.
type rate struct {
	perSecond float64
	finished  int
	since     time.Time
	// idle is set when the queue was empty at any time of the interval, so that
	// what finished does not tell what could have.
	idle bool
}

// tick ends an interval that is over.
func (r *rate) tick(now time.Time) {
	elapsed := now.Sub(r.since)
	if elapsed < rateInterval {
		return
	}
	seen := float64(r.finished) / elapsed.Seconds()
	switch {
	case r.idle || r.since.IsZero():
	case r.perSecond == 0:
		r.perSecond = seen
	default:
		r.perSecond += rateSmoothing * (seen - r.perSecond)
	}
	*r = rate{perSecond: r.perSecond, since: now}
}

// expectedWait is the time until that many more tasks of the team could start.
func (sv *service) expectedWait(team string, weight, more int) time.Duration {
	if sv.queue.Len() == 0 || sv.slots == 0 {
		return 0
	}
	waiting := sv.queue.Ahead(team, weight, more)
	if sv.rate.perSecond > 0 {
		return time.Duration(float64(waiting) / sv.rate.perSecond * float64(time.Second))
	}
	return sv.runs * time.Duration(waiting) / time.Duration(sv.slots)
}
