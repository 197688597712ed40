package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (w *Worker) owner(id Owner) *owner {
	o := w.owners[id]
	if o == nil {
		o = &owner{id: id, interval: idleStateInterval}
		w.owners[id] = o
		w.ownerList = append(w.ownerList, o)
	}
	return o
}

// extend renews the lease of an owner. The time is on this side's clock and
// counts from a stamp that the owner was sent, so that a message which was held
// up extends nothing.
func (w *Worker) extend(now time.Time, o *owner, untilMS uint64) {
	until := w.at(untilMS)
	if limit := now.Add(OwnerLease); until.After(limit) {
		until = limit
	}
	if until.After(o.until) {
		o.until = until
	}
}

// Heartbeat renews the lease of an owner.
func (w *Worker) Heartbeat(now time.Time, from Owner, m *yuccawire.Beat) {
	o := w.owner(from)
	w.extend(now, o, m.GetUntilMs())
	if ms := m.GetStateIntervalMs(); ms > 0 {
		o.interval = max(time.Duration(ms)*time.Millisecond, minStateInterval)
	}
	w.sendStates(now)
}

// LinkUp tells that an owner is linked. It is told all that is known of its
// runs. What earlier incarnations of it began is stopped.
func (w *Worker) LinkUp(now time.Time, id Owner) {
	for _, other := range w.ownerList {
		if other.id.Name == id.Name && other.id != id {
			other.until = now
			other.linked = false
		}
	}
	w.expireOwners(now)
	o := w.owner(id)
	o.linked = true
	o.seen = 0
	o.told = 0
	o.ends = nil
	full := &yuccawire.Ends{Full: true, State: w.state(now, o)}
	for _, k := range o.kept {
		full.Ends = append(full.Ends, k.ended)
	}
	for _, r := range w.sorted() {
		if r.owner == o {
			full.Present = append(full.Present, &yuccawire.RunKey{Task: r.key.Task, Run: r.key.Run})
		}
	}
	for _, r := range w.queue {
		if r.owner == o {
			full.Present = append(full.Present, &yuccawire.RunKey{Task: r.key.Task, Run: r.key.Run})
		}
	}
	o.stateAt = now
	w.do(Send{Owner: id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: full}}})
}

// LinkDown tells that the link to an owner has ended. Its runs go on until its
// lease runs out: it may be back at once.
func (w *Worker) LinkDown(id Owner) {
	if o := w.owners[id]; o != nil {
		o.linked = false
	}
}

// expireOwners stops what belongs to owners whose lease has run out.
func (w *Worker) expireOwners(now time.Time) {
	for _, o := range slices.Clone(w.ownerList) {
		if now.Before(o.until) {
			continue
		}
		if o.runs > 0 {
			w.stopOwner(now, o)
			continue
		}
		if !o.linked && now.Sub(o.until) > endsKept {
			delete(w.owners, o.id)
			w.ownerList = slices.DeleteFunc(w.ownerList, func(other *owner) bool { return other == o })
		}
	}
}

func (w *Worker) stopOwner(now time.Time, o *owner) {
	stopped := 0
	for _, r := range w.sorted() {
		if r.owner == o && r.stopAt.IsZero() {
			stopped++
			w.stop(now, r)
		}
	}
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		if r.owner != o {
			i++
			continue
		}
		stopped++
		w.dequeue(i)
		w.dropQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_LEASE)
	}
	if stopped > 0 {
		w.metrics.Add("owner_leases_lost", 1)
		w.options.Logger.Warn("the lease of an owner has run out, stopping its runs", "owner", o.id.Name,
			"incarnation", o.id.Incarnation, "runs", stopped, "late_ms", now.Sub(o.until).Milliseconds(), "linked", o.linked)
	}
}

// touchAll lets every owner hear soon that the worker has changed.
func (w *Worker) touchAll() {
	for _, o := range w.ownerList {
		o.dirty = true
	}
}

// sendStates sends what ended at once, and the state of the worker as often as
// each owner wants it.
func (w *Worker) sendStates(now time.Time) {
	for _, o := range w.ownerList {
		if !o.linked {
			continue
		}
		if len(o.ends) > 0 {
			ends := &yuccawire.Ends{Ends: slices.Clone(o.ends), State: w.state(now, o)}
			o.ends = nil
			o.stateAt = now
			w.do(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: ends}}})
			continue
		}
		if now.Sub(o.stateAt) < w.stateInterval(o) {
			continue
		}
		o.stateAt = now
		o.dirty = false
		state := w.state(now, o)
		w.do(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_WorkerState{WorkerState: state}}})
	}
}

func (w *Worker) stateInterval(o *owner) time.Duration {
	switch {
	case o.dirty:
		return minStateInterval
	case w.roomy() && (o.runs > 0 || o.free != w.total().minus(w.used)):
		return busyStateInterval
	case o.runs > 0:
		return min(o.interval, busyStateInterval)
	case o.free != w.total().minus(w.used):
		return o.interval
	}
	return max(o.interval, idleStateInterval)
}

// roomy tells whether so much is free that an owner may well know it late.
func (w *Worker) roomy() bool {
	return float64(w.total().minus(w.used).cpu) > roomyShare*float64(w.total().cpu)
}

func (w *Worker) state(now time.Time, o *owner) *yuccawire.WorkerState {
	free := w.total().minus(w.used)
	o.free = free
	state := &yuccawire.WorkerState{
		ClockMs:          w.Clock(now),
		Ready:            w.ready() && w.health.admits(now, len(w.runs)+len(w.queue)),
		FreeCpuMilli:     int32(free.cpu),
		FreeMemoryMb:     int32(free.memory),
		FreeAccelerators: int32(free.accelerators),
		OrdersSeen:       o.seen,
		PacePercent:      w.health.pacePercent(),
		Suspect:          w.health.suspect(),
		Taken:            w.taken,
	}
	for _, queued := range w.queued {
		state.QueuedCpuMilli = append(state.QueuedCpuMilli, int32(queued.cpu))
	}
	if w.report != nil && o.told != w.reports {
		o.told = w.reports
		total := w.total()
		state.CpuMilli, state.MemoryMb, state.Accelerators = uint32(total.cpu), uint32(total.memory), uint32(total.accelerators)
		state.Worker = w.report.ID
		state.Service = w.report.Service
		state.Labels = w.report.Labels
	}
	return state
}
