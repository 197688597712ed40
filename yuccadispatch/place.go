package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (d *Dispatcher) enqueue(sv *service, t *task) {
	sv.queue.Push(t.job.Key.Team, d.teamWeight(t.job.Key.Team), t)
}

// requeue puts a task back at the front of its team's queue.
func (d *Dispatcher) requeue(t *task) {
	t.state = waiting
	sv := d.service(t.job.Service)
	sv.queue.PushFront(t.job.Key.Team, d.teamWeight(t.job.Key.Team), t)
}

func (d *Dispatcher) teamWeight(team string) int {
	quota, _ := d.view.Team(team)
	return quota.EffectiveWeight()
}

// dequeue removes the waiting tasks of the job from the queue of its service.
func (d *Dispatcher) dequeue(j *job) {
	if j.dequeued {
		return
	}
	j.dequeued = true
	d.service(j.Service).queue.RemoveAll(j.Key.Team, func(t *task) bool { return t.job == j })
}

func (d *Dispatcher) placeAll(now time.Time) {
	for _, sv := range d.services {
		d.placeService(now, sv)
	}
}

// placeService starts queued tasks while an endpoint has capacity according to
// its last report and the starts sent since.
func (d *Dispatcher) placeService(now time.Time, sv *service) {
	if sv.queue.Len() == 0 {
		sv.rate.idle = true
		return
	}
	if !d.lease.Valid(now) {
		return
	}
	for sv.queue.Len() > 0 {
		ep, ok := d.chooseEndpoint(now, sv)
		if !ok {
			return
		}
		t, ok := sv.queue.Pop(d.underQuota)
		if !ok {
			return
		}
		d.startTask(now, t, d.avoidFailedEndpoint(now, sv, t, ep))
	}
}

// avoidFailedEndpoint returns a different endpoint for a task that has failed at
// the given one. It returns the given endpoint if no other has capacity.
func (d *Dispatcher) avoidFailedEndpoint(now time.Time, sv *service, t *task, ep *endpoint) *endpoint {
	if t.failedEndpoint != ep {
		return ep
	}
	other, ok := d.policy.Choose(sv.tiers, func(candidate *endpoint) bool { return candidate != ep && candidate.hasCapacity(now) })
	if !ok {
		return ep
	}
	return other
}

// chooseEndpoint returns an endpoint with capacity. While the service is full,
// only the endpoints freed since are considered.
func (d *Dispatcher) chooseEndpoint(now time.Time, sv *service) (*endpoint, bool) {
	if !sv.full {
		ep, ok := d.policy.Choose(sv.tiers, func(ep *endpoint) bool { return ep.hasCapacity(now) })
		sv.full = !ok
		sv.freedEndpoints = sv.freedEndpoints[:0]
		return ep, ok
	}
	for n := len(sv.freedEndpoints); n > 0; n-- {
		if ep := sv.freedEndpoints[n-1]; ep.hasCapacity(now) && d.isEligible(sv, ep) {
			return ep, true
		}
		sv.freedEndpoints = sv.freedEndpoints[:n-1]
	}
	return nil, false
}

func (d *Dispatcher) underQuota(name string) bool {
	quota, known := d.view.Team(name)
	return !known || quota.MaxRunning == 0 || d.team(name).running < quota.MaxRunning
}

// startTask sends a start for the next attempt at the task. The slot counts as
// taken until the side reports its free slots.
func (d *Dispatcher) startTask(now time.Time, t *task, ep *endpoint) {
	j := t.job
	if t.tries == 0 {
		d.retries.deposit()
	}
	t.state = sent
	t.startedHere = true
	t.attempt++
	t.endpoint = ep
	t.side = ep.side.node.GetName()
	ep.freeSlots--
	ep.side.startsSent++
	ep.side.outstanding[t] = struct{}{}
	d.team(j.Key.Team).running++
	j.targetWaitUntil = time.Time{}
	d.metrics.Add("starts_sent", 1)
	message := &yuccawire.Start{
		Key:                t.key(),
		Owner:              d.options.Self.GetName(),
		OwnerIncarnation:   d.options.Self.GetIncarnation(),
		SideIncarnation:    ep.side.node.GetIncarnation(),
		Service:            j.Service,
		DataCentresVersion: d.view.Version(yuccadocument.SectionDrainedDataCentres),
		Request:            t.request,
		Traceparent:        j.Traceparent,
		Repeatable:         j.Repeatable,
	}
	d.emit(SendStart{Name: t.side, Start: message, Deadline: d.runDeadline(now, j)})
}

// runDeadline returns the time at which the target must stop a task started now:
// after the maximum run time of the service, but no later than the job expires.
func (d *Dispatcher) runDeadline(now time.Time, j *job) time.Time {
	settings, _ := d.view.Service(j.Service)
	until := now.Add(settings.MaxRun)
	if settings.MaxRun == 0 || until.After(j.expireAt) {
		return j.expireAt
	}
	return until
}

// release removes the task from the outstanding tasks of its side and from the
// running tasks of its team.
func (d *Dispatcher) release(t *task) {
	if t.endpoint == nil {
		return
	}
	delete(t.endpoint.side.outstanding, t)
	t.endpoint = nil
	d.team(t.job.Key.Team).running--
}

// FreeSlots returns the number of tasks of the named service that could be
// started now.
func (d *Dispatcher) FreeSlots(now time.Time, name string) int {
	free := 0
	for _, tier := range d.service(name).tiers {
		for _, ep := range tier {
			if ep.hasCapacity(now) {
				free += ep.freeSlots
			}
		}
	}
	return free
}
