package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// ejectFailures is the number of jobs in a row that have to fail at a place.
	ejectionThreshold = 5
	// ejectPause is how long an ejected place gets nothing.
	ejectionDuration = 5 * time.Second
	// ejectShare is the divisor of the places that may be ejected at once.
	ejectionDivisor = 3
	// successWindow is how lately the service must have had a success elsewhere.
	successWindow = 10 * time.Second
)

// health is what the dispatcher knows of the answers of one place.
type health struct {
	failures      int
	lastFailedJob Key
	ejectedUntil  time.Time
	// probation allows one task at a time, until one succeeds.
	probation bool
}

// success is the last one of a service, and where it was.
type successRecord struct {
	finishedAt time.Time
	endpoint   *endpoint
}

// recordHealth takes in how an attempt at the place ended. A place that fails what
// others run is ejected for a while; one job that fails everywhere counts once.
func (d *Dispatcher) recordHealth(now time.Time, t *task, f *yuccawire.Finished) {
	ep := t.endpoint
	if ep == nil {
		return
	}
	if f.GetState() == yuccawire.TaskState_TASK_FINISHED && f.GetStatus() < firstServerError {
		ep.health = health{}
		ep.service.lastSuccess = successRecord{finishedAt: now, endpoint: ep}
		return
	}
	if ep.health.lastFailedJob == t.job.Key {
		return
	}
	ep.health.lastFailedJob = t.job.Key
	ep.health.failures++
	if ep.health.probation || ep.health.failures >= ejectionThreshold && d.succeededElsewhere(now, ep) {
		d.eject(now, ep)
	}
}

func (d *Dispatcher) succeededElsewhere(now time.Time, ep *endpoint) bool {
	last := ep.service.lastSuccess
	return last.endpoint != nil && last.endpoint != ep && now.Sub(last.finishedAt) < successWindow
}

// eject keeps tasks away from the place, unless too many are ejected already.
func (d *Dispatcher) eject(now time.Time, ep *endpoint) {
	total, ejected := 0, 0
	for _, tier := range ep.service.tiers {
		for _, other := range tier {
			total++
			if other != ep && now.Before(other.health.ejectedUntil) {
				ejected++
			}
		}
	}
	if ejected >= max(total/ejectionDivisor, 1) {
		return
	}
	d.metrics.Add("places_ejected", 1)
	ep.health.ejectedUntil = now.Add(ejectionDuration)
	ep.health.probation = true
}

// allows tells whether the health of the place lets it have another task.
func (ep *endpoint) allowsTask(now time.Time) bool {
	if now.Before(ep.health.ejectedUntil) {
		return false
	}
	return !ep.health.probation || len(ep.side.outstanding) == 0
}
