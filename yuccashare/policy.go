package yuccashare

import (
	"math"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccademand"
)

const (
	// A queue is held back once its runs exceed this entry's part of the share by more than
	// toleranceShare of the part and the processors of toleranceTasks tasks. Without a
	// tolerance, the end and start of single tasks would switch it.
	toleranceShare = 0.1
	toleranceTasks = 4
	// minWaiting is how long tasks of a queue must have waited before its forecast counts:
	// shorter waits are those of a burst.
	minWaiting = 300 * time.Millisecond
	// maxAge is the age from which the entitlements are not used: demand is updated
	// every tick while tasks wait, and digests of other entries every 200 ms.
	maxAge = 500 * time.Millisecond
	// unboundedWait is the forecast for a queue without a share.
	unboundedWait = time.Hour
	// Retry-After is at least minRetryAfter and at most maxRetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
	// usualWindow is the time constant of the moving average of the demand of a flow. It is
	// longer than the surges that are not to raise the weight.
	usualWindow = 10 * time.Second
	milli       = 1000
)

// Policy holds the entitlements of the queues of one entry. It is not safe for concurrent
// use.
type Policy struct {
	updatedAt time.Time
	queues    map[string]*Entitlement
	// waitingElsewhere is the set of services for which tasks wait at other entries.
	waitingElsewhere map[string]bool
	// usual is the moving average of the demand of each flow, as of observedAt.
	usual      map[flowKey]float64
	observedAt time.Time
}

type flowKey struct{ service, queue, dataCentre string }

func keyOf(f yuccademand.Flow) flowKey { return flowKey{f.Service, f.Queue, f.DataCentre} }

// Entitlement is what a queue of this entry is entitled to, in thousandths of a processor.
// Running and Waiting are the demand at this entry.
type Entitlement struct {
	Queue string
	// Demand and Share are those of the flow at all entries, Part is this entry's part of
	// the share.
	Demand, Share, Part float64
	Running, Waiting    float64
	// Work is the work of the waiting tasks at this entry, in core-seconds.
	Work float64
	// Below is the flow of the service that lacks most of its share and has tasks waiting,
	// empty if there is none.
	Below string
	// waitingSince is the update since which tasks have waited, zero if none does.
	waitingSince time.Time
}

// New returns a policy that knows no flow and limits none.
func New() *Policy {
	return &Policy{queues: make(map[string]*Entitlement), usual: make(map[flowKey]float64)}
}

// Observe updates the usual demand of the flows.
func (p *Policy) Observe(now time.Time, flows []yuccademand.Flow) {
	weight := 1.0
	if !p.observedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.observedAt).Seconds()/usualWindow.Seconds())
	}
	p.observedAt = now
	seen := make(map[flowKey]bool, len(flows))
	for _, f := range flows {
		key, demand := keyOf(f), demandOf(f.Total)
		seen[key] = true
		if before, known := p.usual[key]; known {
			p.usual[key] = before + weight*(demand-before)
		} else {
			p.usual[key] = demand
		}
	}
	for key, before := range p.usual {
		if seen[key] {
			continue
		}
		if p.usual[key] = before * (1 - weight); p.usual[key] < milli {
			delete(p.usual, key)
		}
	}
}

// weights returns the weights of competing flows. Queues have the same weight, which is
// divided among the data centres by their usual demand: callers of a large data centre are
// as well off as those of a small one, and a data centre whose demand surges is not.
func (p *Policy) weights(flows []yuccademand.Flow) []float64 {
	total := make(map[string]float64)
	for _, f := range flows {
		total[f.Queue] += max(p.usual[keyOf(f)], milli)
	}
	weights := make([]float64, len(flows))
	for i, f := range flows {
		weights[i] = max(p.usual[keyOf(f)], milli) / total[f.Queue]
	}
	return weights
}

// Update divides the processors in use among the flows of each service. The amounts of
// this entry in the flows must be current.
func (p *Policy) Update(now time.Time, flows []yuccademand.Flow) {
	byService := make(map[string][]yuccademand.Flow)
	for _, f := range flows {
		byService[f.Service] = append(byService[f.Service], f)
	}
	previous := p.queues
	p.updatedAt, p.queues, p.waitingElsewhere = now, make(map[string]*Entitlement), make(map[string]bool)
	for _, competing := range byService {
		p.divide(now, competing, previous)
	}
}

// divide sets the entitlements of the queues of one service.
func (p *Policy) divide(now time.Time, flows []yuccademand.Flow, previous map[string]*Entitlement) {
	capacity := 0.0
	claims := make([]Claim, len(flows))
	weights := p.weights(flows)
	for i, f := range flows {
		capacity += f.Total.RunningMilli
		claims[i] = Claim{Weight: weights[i], Demand: demandOf(f.Total)}
	}
	below, lacking := "", 0.0
	var own []*Entitlement
	for i, share := range Divide(capacity, claims) {
		f := flows[i]
		part := 0.0
		if claims[i].Demand > 0 {
			part = share.Amount * min(demandOf(f.Own)/claims[i].Demand, 1)
		}
		others := share.Amount - part - (f.Total.RunningMilli - f.Own.RunningMilli)
		if f.Total.WaitingMilli > f.Own.WaitingMilli {
			p.waitingElsewhere[f.Service] = true
		}
		if f.Total.WaitingMilli > f.Own.WaitingMilli && others > lacking {
			below, lacking = name(f)+" at other entries", others
		}
		if lacks := part - f.Own.RunningMilli; f.Own.WaitingMilli > 0 && lacks > lacking {
			below, lacking = name(f), lacks
		}
		if demandOf(f.Own) > 0 {
			e := &Entitlement{
				Queue: f.Queue, Demand: claims[i].Demand, Share: share.Amount, Part: part,
				Running: f.Own.RunningMilli, Waiting: f.Own.WaitingMilli, Work: f.Own.WaitingWork,
			}
			if f.Own.WaitingMilli > 0 {
				e.waitingSince = now
				if before := previous[f.Queue]; before != nil && !before.waitingSince.IsZero() {
					e.waitingSince = before.waitingSince
				}
			}
			own = append(own, e)
		}
	}
	for _, e := range own {
		e.Below = below
		p.queues[e.Queue] = e
	}
}

func demandOf(a yuccademand.Amount) float64 { return a.WaitingMilli + a.RunningMilli }

func name(f yuccademand.Flow) string { return f.Queue + " of " + f.DataCentre }

// current returns the entitlement of a queue, or nil if it has none or it is too old.
func (p *Policy) current(now time.Time, queue string) *Entitlement {
	if now.Sub(p.updatedAt) > maxAge {
		return nil
	}
	return p.queues[queue]
}

// Entitlement returns the entitlement of a queue. It returns false if there is none.
func (p *Policy) Entitlement(now time.Time, queue string) (Entitlement, bool) {
	if e := p.current(now, queue); e != nil {
		return *e, true
	}
	return Entitlement{}, false
}

// MayQueue reports whether a task that needs size thousandths of a processor may go to any
// worker. It is false while the queue is over its share and another is below its own.
func (p *Policy) MayQueue(now time.Time, queue string, size int) bool {
	e := p.current(now, queue)
	return e == nil || e.Below == "" || e.Running-e.Part <= max(toleranceShare*e.Part, toleranceTasks*float64(size))
}

// WaitsElsewhere reports whether tasks of a service wait at other entries.
func (p *Policy) WaitsElsewhere(now time.Time, service string) bool {
	return now.Sub(p.updatedAt) <= maxAge && p.waitingElsewhere[service]
}

// RecordSent counts a run that was sent since the last update.
func (p *Policy) RecordSent(queue string, size int) {
	if e := p.queues[queue]; e != nil {
		e.Running += float64(size)
	}
}

// Wait returns the time in which all that waits here of the queue is done with this entry's
// part of the share.
func (p *Policy) Wait(now time.Time, queue string) time.Duration {
	if e := p.current(now, queue); e != nil {
		return e.WaitFor(e.Work)
	}
	return 0
}

// WaitFor returns the forecast of the wait of a new job before which work, in core-seconds,
// is placed. It is zero if the queue has no entitlement.
func (p *Policy) WaitFor(now time.Time, queue string, work float64) time.Duration {
	if e := p.current(now, queue); e != nil {
		return e.WaitFor(work)
	}
	return 0
}

// WaitFor returns the time in which the work, in core-seconds, is done with this entry's
// part of the share.
func (e *Entitlement) WaitFor(work float64) time.Duration {
	switch {
	case work <= 0:
		return 0
	case e.Part <= 0:
		return unboundedWait
	}
	return time.Duration(min(work*milli/e.Part*float64(time.Second), float64(unboundedWait)))
}

// HasBacklog reports whether tasks of the queue have waited long enough for its forecast to
// count.
func (p *Policy) HasBacklog(now time.Time, queue string) bool {
	e := p.current(now, queue)
	return e != nil && !e.waitingSince.IsZero() && now.Sub(e.waitingSince) >= minWaiting
}

// RetryAfter returns the delay, in whole seconds, before a rejected job is submitted again.
// Random is from 0 to 1; it spreads the callers over the time in which capacity is expected.
// Callers that have waited return earlier by that time.
func (p *Policy) RetryAfter(now time.Time, queue string, waited time.Duration, random float64) time.Duration {
	wait := p.Wait(now, queue)
	delay := wait + time.Duration(random*float64(wait)) - waited
	seconds := time.Duration(math.Ceil(delay.Seconds())) * time.Second
	return min(max(seconds, minRetryAfter), maxRetryAfter)
}
