package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (d *Dispatcher) enqueue(sv *service, t *task) {
	sv.queue.Push(t.job.Key.Team, d.weight(t.job.Key.Team), t)
}

// requeue puts back a task that was not run, ahead of its team's others.
func (d *Dispatcher) requeue(t *task) {
	t.state = waiting
	sv := d.service(t.job.Service)
	sv.queue.PushFront(t.job.Key.Team, d.weight(t.job.Key.Team), t)
}

func (d *Dispatcher) weight(team string) int {
	quota, _ := d.view.Team(team)
	return quota.Share()
}

// unqueue drops the waiting tasks of the job from its queue.
func (d *Dispatcher) unqueue(j *job) {
	if j.unqueued {
		return
	}
	j.unqueued = true
	d.service(j.Service).queue.RemoveAll(j.Key.Team, func(t *task) bool { return t.job == j })
}

func (d *Dispatcher) placeAll(now time.Time) {
	for _, sv := range d.services {
		d.placeService(now, sv)
	}
}

// placeService sends waiting tasks while there is a free slot that is likely to
// be there still.
func (d *Dispatcher) placeService(now time.Time, sv *service) {
	if sv.queue.Len() == 0 {
		sv.rate.idle = true
		return
	}
	if !d.lease.Valid(now) {
		return
	}
	for sv.queue.Len() > 0 {
		p, ok := d.choose(now, sv)
		if !ok {
			return
		}
		t, ok := sv.queue.Pop(d.underQuota)
		if !ok {
			return
		}
		d.start(now, t, d.elsewhere(now, sv, t, p))
	}
}

// elsewhere returns another place for a task that has failed at this one, if
// there is one with room.
func (d *Dispatcher) elsewhere(now time.Time, sv *service, t *task, p *place) *place {
	if t.failedAt != p {
		return p
	}
	other, ok := d.policy.Choose(sv.tiers, func(c *place) bool { return c != p && c.room(now) })
	if !ok {
		return p
	}
	return other
}

// choose returns a place with room. While the service is full it looks only at
// the places that were freed since.
func (d *Dispatcher) choose(now time.Time, sv *service) (*place, bool) {
	if !sv.full {
		p, ok := d.policy.Choose(sv.tiers, func(p *place) bool { return p.room(now) })
		sv.full = !ok
		sv.freed = sv.freed[:0]
		return p, ok
	}
	for n := len(sv.freed); n > 0; n-- {
		if p := sv.freed[n-1]; p.room(now) && d.placeable(sv, p) {
			return p, true
		}
		sv.freed = sv.freed[:n-1]
	}
	return nil, false
}

func (d *Dispatcher) underQuota(name string) bool {
	quota, known := d.view.Team(name)
	return !known || quota.MaxRunning == 0 || d.team(name).running < quota.MaxRunning
}

// start sends one attempt. The place counts the slot as taken until the side
// says otherwise.
func (d *Dispatcher) start(now time.Time, t *task, p *place) {
	j := t.job
	if t.tries == 0 {
		d.retries.earn()
	}
	t.state = sent
	t.ownStart = true
	t.attempt++
	t.place = p
	t.side = p.side.node.GetName()
	p.free--
	p.side.startsSent++
	p.side.outstanding[t] = struct{}{}
	d.team(j.Key.Team).running++
	j.holdUntil = time.Time{}
	d.metrics.Add("starts_sent", 1)
	message := &yuccawire.Start{
		Key:                t.key(),
		Owner:              d.options.Self.GetName(),
		OwnerIncarnation:   d.options.Self.GetIncarnation(),
		SideIncarnation:    p.side.node.GetIncarnation(),
		Service:            j.Service,
		DataCentresVersion: d.view.Version(yuccadocument.SectionDataCentresOut),
		Request:            t.request,
		Traceparent:        j.Traceparent,
		Repeatable:         j.Repeatable,
	}
	d.do(SendStart{Name: t.side, Start: message, Deadline: d.runUntil(now, j)})
}

// runUntil is when the target is asked to stop: at the longest run time of the
// service, or when the job is given up.
func (d *Dispatcher) runUntil(now time.Time, j *job) time.Time {
	settings, _ := d.view.Service(j.Service)
	until := now.Add(settings.MaxRun)
	if settings.MaxRun == 0 || until.After(j.expireAt) {
		return j.expireAt
	}
	return until
}

// release takes the task off the side that it was sent to.
func (d *Dispatcher) release(t *task) {
	if t.place == nil {
		return
	}
	delete(t.place.side.outstanding, t)
	t.place = nil
	d.team(t.job.Key.Team).running--
}

// FreeSlots is the number of tasks of the service that could be started now.
func (d *Dispatcher) FreeSlots(now time.Time, name string) int {
	free := 0
	for _, tier := range d.service(name).tiers {
		for _, p := range tier {
			if p.room(now) {
				free += p.free
			}
		}
	}
	return free
}
