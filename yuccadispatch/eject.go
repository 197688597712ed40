package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// ejectFailures is the number of jobs in a row that have to fail at a place.
	ejectFailures = 5
	// ejectPause is how long an ejected place gets nothing.
	ejectPause = 5 * time.Second
	// ejectShare is the divisor of the places that may be ejected at once.
	ejectShare = 3
	// successWindow is how lately the service must have had a success elsewhere.
	successWindow = 10 * time.Second
)

// health is what the dispatcher knows of the answers of one place.
type health struct {
	failures     int
	lastJob      Key
	ejectedUntil time.Time
	// probation allows one task at a time, until one succeeds.
	probation bool
}

// success is the last one of a service, and where it was.
type success struct {
	at    time.Time
	place *place
}

// recordHealth takes in how an attempt at the place ended. A place that fails what
// others run is ejected for a while; one job that fails everywhere counts once.
func (d *Dispatcher) recordHealth(now time.Time, t *task, f *yuccawire.Finished) {
	p := t.place
	if p == nil {
		return
	}
	if f.GetState() == yuccawire.TaskState_TASK_FINISHED && f.GetStatus() < firstServerError {
		p.health = health{}
		p.service.success = success{at: now, place: p}
		return
	}
	if p.health.lastJob == t.job.Key {
		return
	}
	p.health.lastJob = t.job.Key
	p.health.failures++
	if p.health.probation || p.health.failures >= ejectFailures && d.othersSucceed(now, p) {
		d.eject(now, p)
	}
}

func (d *Dispatcher) othersSucceed(now time.Time, p *place) bool {
	last := p.service.success
	return last.place != nil && last.place != p && now.Sub(last.at) < successWindow
}

// eject keeps tasks away from the place, unless too many are ejected already.
func (d *Dispatcher) eject(now time.Time, p *place) {
	places, ejected := 0, 0
	for _, tier := range p.service.tiers {
		for _, other := range tier {
			places++
			if other != p && now.Before(other.health.ejectedUntil) {
				ejected++
			}
		}
	}
	if ejected >= max(places/ejectShare, 1) {
		return
	}
	d.metrics.Add("places_ejected", 1)
	p.health.ejectedUntil = now.Add(ejectPause)
	p.health.probation = true
}

// allows tells whether the health of the place lets it have another task.
func (p *place) allows(now time.Time) bool {
	if now.Before(p.health.ejectedUntil) {
		return false
	}
	return !p.health.probation || len(p.side.outstanding) == 0
}
