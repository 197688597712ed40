package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// ejectionThreshold is the number of consecutive jobs that must fail at an
	// endpoint before it is ejected.
	ejectionThreshold = 5
	// ejectionDuration is how long an ejected endpoint receives no tasks.
	ejectionDuration = 5 * time.Second
	// ejectionDivisor limits the number of simultaneously ejected endpoints of
	// a service to 1/ejectionDivisor of all, but at least one.
	ejectionDivisor = 3
	// successWindow is the maximum age of the success at another endpoint that
	// an ejection requires.
	successWindow = 10 * time.Second
)

// health tracks the failures of one endpoint.
type health struct {
	failures      int
	lastFailedJob Key
	ejectedUntil  time.Time
	// probation limits the endpoint to one task at a time until one succeeds.
	probation bool
}

// successRecord is the most recent success of a service.
type successRecord struct {
	finishedAt time.Time
	endpoint   *endpoint
}

// recordHealth updates the health of the task's endpoint after an attempt. An
// endpoint that fails while others succeed is ejected temporarily. Consecutive
// failures of the same job count once, so that a job that fails everywhere does
// not eject endpoints.
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

// eject stops sending tasks to the endpoint for ejectionDuration, unless too many
// endpoints of the service are already ejected.
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

// allowsTask reports whether the endpoint's health permits another task.
func (ep *endpoint) allowsTask(now time.Time) bool {
	if now.Before(ep.health.ejectedUntil) {
		return false
	}
	return !ep.health.probation || len(ep.side.outstanding) == 0
}
