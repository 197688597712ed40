package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (w *Worker) ensureOwner(id Owner) *owner {
	o := w.owners[id]
	if o == nil {
		o = &owner{id: id, stateInterval: idleStateInterval, idleInterval: idleStateInterval}
		w.owners[id] = o
		w.ownerList = append(w.ownerList, o)
	}
	return o
}

// extendLease renews the lease of an owner. The owner computes untilMS from a
// time stamp of the side's clock that it was sent, so that a delayed message does
// not extend the lease.
func (w *Worker) extendLease(now time.Time, o *owner, untilMS uint64) {
	leaseUntil := w.localTime(untilMS)
	if limit := now.Add(OwnerLease); leaseUntil.After(limit) {
		leaseUntil = limit
	}
	if leaseUntil.After(o.leaseUntil) {
		o.leaseUntil = leaseUntil
	}
}

// HandleHeartbeat renews the lease of an owner and updates its state interval.
func (w *Worker) HandleHeartbeat(now time.Time, from Owner, m *yuccawire.Beat) {
	o := w.ensureOwner(from)
	w.extendLease(now, o, m.GetUntilMs())
	if ms := m.GetStateIntervalMs(); ms > 0 {
		o.stateInterval = max(time.Duration(ms)*time.Millisecond, minStateInterval)
	}
	if ms := m.GetIdleIntervalMs(); ms > 0 {
		o.idleInterval = max(time.Duration(ms)*time.Millisecond, o.stateInterval)
	}
	w.handleDrainNews(now, o, m)
	w.raiseTokenAbove(now, m.GetToken())
	w.sendStates(now)
}

// HandleLinkUp processes a new link to an owner. It sends the owner all its active
// and queued runs and its retained outcomes, and expires the leases of the owner's
// earlier incarnations.
func (w *Worker) HandleLinkUp(now time.Time, id Owner) {
	for _, other := range w.ownerList {
		if other.id.Name == id.Name && other.id != id {
			other.leaseUntil = now
			other.linked = false
		}
	}
	w.expireOwners(now)
	o := w.ensureOwner(id)
	w.dropUnsent(id)
	w.losePlacements(now, func(lost Owner) bool { return lost.Name == id.Name && lost != id })
	delete(w.placements, id)
	o.linked = true
	o.closing = false
	o.ordersSeen = 0
	o.specSent, o.tokenSent = 0, 0
	o.heldSent, o.heldSeen, o.confirmsHeld = 0, 0, false
	o.unsent = nil
	o.dropRetained(now)
	message := &yuccawire.Ends{Full: true, State: w.workerState(now, o)}
	for _, retained := range o.retained {
		message.Ends = append(message.Ends, retained.ended)
	}
	for _, r := range w.sortedRuns() {
		if r.owner == o {
			message.Present = append(message.Present, r.wireKey())
		}
	}
	for _, r := range w.queue {
		if r.owner == o {
			message.Present = append(message.Present, r.wireKey())
		}
	}
	o.stateSentAt = now
	w.sendAllLostPlacements(now, o)
	w.sendRecentCrashes(now, o)
	w.emit(Send{Owner: id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: message}}})
	w.sendHeld(now, o)
}

// dropRetained drops the old outcomes. The owner may use the number of such a run again, for
// a job that is submitted again.
func (o *owner) dropRetained(now time.Time) {
	for len(o.retained) > 0 && now.Sub(o.retained[0].retainedAt) > OutcomeRetention {
		o.retained = o.retained[1:]
	}
}

// dropUnsent drops the messages that were meant for the previous link of an owner. On the new
// one, the owner would take them for an answer to its orders there. The full list of runs
// and the retained outcomes replace them.
func (w *Worker) dropUnsent(id Owner) {
	w.actions = slices.DeleteFunc(w.actions, func(a Action) bool {
		s, isSend := a.(Send)
		return isSend && s.Owner == id
	})
}

// HandleLinkSurplus prepares the end of a link that is no longer wanted: the owner
// gets told to send no more orders. The link is released by a [ReleaseLink] once
// the owner has no runs.
func (w *Worker) HandleLinkSurplus(now time.Time, id Owner) {
	if o := w.owners[id]; o != nil && o.linked && !o.closing {
		o.closing = true
		o.dirty = true
		w.sendStates(now)
		w.releaseLinks()
	}
}

// releaseLinks releases the surplus links of owners without runs.
func (w *Worker) releaseLinks() {
	for _, o := range w.ownerList {
		if o.closing && o.linked && o.runCount == 0 && len(o.unsent) == 0 {
			o.linked = false
			w.emit(ReleaseLink{Owner: o.id})
		}
	}
}

// HandleLinkDown processes the loss of the link to an owner. Its runs continue until
// its lease expires, as the owner may reconnect before.
func (w *Worker) HandleLinkDown(now time.Time, id Owner) {
	if o := w.owners[id]; o != nil && o.linked {
		o.linked = false
		w.losePlacements(now, func(lost Owner) bool { return lost == id })
	}
}

// expireOwners stops the runs of owners whose lease has expired, and later
// removes these owners.
func (w *Worker) expireOwners(now time.Time) {
	for _, o := range slices.Clone(w.ownerList) {
		if now.Before(o.leaseUntil) {
			continue
		}
		if o.runCount > 0 {
			w.stopOwnerRuns(now, o)
			continue
		}
		if !o.linked && now.Sub(o.leaseUntil) > OutcomeRetention {
			delete(w.owners, o.id)
			w.ownerList = slices.DeleteFunc(w.ownerList, func(other *owner) bool { return other == o })
			w.updateDrained(now)
		}
	}
}

func (w *Worker) stopOwnerRuns(now time.Time, o *owner) {
	stopped := 0
	for _, r := range w.sortedRuns() {
		if r.owner == o && r.stopSentAt.IsZero() {
			stopped++
			w.stopRun(now, r)
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
		w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_LEASE)
	}
	if stopped > 0 {
		w.metrics.Add("owner_leases_lost", 1)
		w.options.Logger.Warn("lease of the owner expired, stopping its runs", "owner", o.id.Name,
			"incarnation", o.id.Incarnation, "runs", stopped, "late_ms", now.Sub(o.leaseUntil).Milliseconds(), "linked", o.linked)
	}
}

// markOwnersDirty schedules a state message to every owner within
// minStateInterval.
func (w *Worker) markOwnersDirty() {
	for _, o := range w.ownerList {
		o.dirty = true
	}
}

// sendStates sends outcomes immediately, and the state of the worker at the
// interval of each owner.
func (w *Worker) sendStates(now time.Time) {
	for _, o := range w.ownerList {
		if !o.linked {
			continue
		}
		if len(o.unsent) > 0 {
			message := &yuccawire.Ends{Ends: slices.Clone(o.unsent), State: w.workerState(now, o)}
			o.unsent = nil
			o.stateSentAt = now
			w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: message}}})
			continue
		}
		if now.Sub(o.stateSentAt) < w.stateIntervalFor(o) {
			continue
		}
		o.stateSentAt = now
		o.dirty = false
		state := w.workerState(now, o)
		w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_WorkerState{WorkerState: state}}})
	}
}

func (w *Worker) stateIntervalFor(o *owner) time.Duration {
	switch {
	case o.dirty:
		return minStateInterval
	case w.hasSpareCapacity() && o.runCount > 0:
		return busyStateInterval
	case w.hasSpareCapacity():
		return max(o.stateInterval, o.idleInterval)
	case o.runCount > 0:
		return min(o.stateInterval, busyStateInterval)
	case o.freeSent != w.capacity().minus(w.used):
		return o.stateInterval
	}
	return max(o.stateInterval, o.idleInterval)
}

// hasSpareCapacity reports whether enough capacity is free that owners need no
// frequent state messages.
func (w *Worker) hasSpareCapacity() bool {
	return float64(w.capacity().minus(w.used).cpuMilli) > spareCapacityShare*float64(w.capacity().cpuMilli)
}

func (w *Worker) workerState(now time.Time, o *owner) *yuccawire.WorkerState {
	free := w.capacity().minus(w.used)
	o.freeSent = free
	state := &yuccawire.WorkerState{
		ClockMs:          w.Clock(now),
		Ready:            w.isReady(now) && !o.closing && w.health.canAdmit(now, len(w.runs)+len(w.queue)),
		FreeCpuMilli:     int32(free.cpuMilli),
		FreeMemoryMb:     int32(free.memoryMB),
		FreeAccelerators: int32(free.accelerators),
		OrdersSeen:       o.ordersSeen,
		PacePercent:      w.health.slowdownPercent(),
		Suspect:          w.health.isSuspect(),
		Taken:            w.takenOver,
		SuspectRun:       w.hasSuspectRun(),
		Unsettled:        w.unsettledRuns(o),
	}
	o.unsettledSent = len(state.GetUnsettled()) > 0
	state.FailurePercent = w.health.failurePercent(now)
	w.addLeaving(now, state)
	for _, queued := range w.queued {
		state.QueuedCpuMilli = append(state.QueuedCpuMilli, int32(queued.cpuMilli))
	}
	w.addForecast(now, state)
	if w.report != nil && o.tokenSent != w.token {
		o.tokenSent, state.Token = w.token, w.token
	}
	if w.report != nil && o.specSent != w.specVersion {
		o.specSent = w.specVersion
		total := w.capacity()
		state.CpuMilli, state.MemoryMb, state.Accelerators = uint32(total.cpuMilli), uint32(total.memoryMB), uint32(total.accelerators)
		state.Worker = w.report.ID
		state.Service = w.report.Service
		state.Labels = w.report.Labels
	}
	return state
}
