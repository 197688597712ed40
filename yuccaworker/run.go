package yuccaworker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type runState int

const (
	// waiting: queued at the side.
	waiting runState = iota
	// starting: the start was sent and is not answered yet.
	starting
	// started: the worker confirmed the start.
	started
	// uncertain: no start was answered, but the worker may have executed one, or
	// may still do so. The run is being stopped.
	uncertain
)

// run is a queued or active run of a task.
type run struct {
	key           Key
	owner         *owner
	service       string
	label         string
	queue         string
	payload       []byte
	traceparent   string
	demand        resources
	tier          int
	rankMS        int64
	expiresAt     time.Time
	estimate      time.Duration
	priorFailures uint32
	// suspect is set if a worker has crashed under an earlier run of the task.
	suspect bool
	// reserved is set while the run is queued beyond the usual limit.
	reserved bool
	// confirmedBy is the renewal of the hold that has to be answered before a pinned run starts, zero
	// for others.
	confirmedBy time.Time
	orderedAt   time.Time
	state       runState
	tries       int
	startSentAt time.Time
	// confirmedAt is when the start was confirmed.
	confirmedAt time.Time
	// stopSentAt is when a stop was last sent, stopAckedAt when the worker answered
	// one.
	stopSentAt  time.Time
	stopAckedAt time.Time
	// listed is set once the worker's lists have shown that the run is running,
	// clockConfirmed once a start was answered by a worker whose clock is not behind that
	// of the known incarnation. triedAt is when the start was last sent, triedAtMS what that
	// clock showed.
	listed         bool
	clockConfirmed bool
	triedAt        time.Time
	triedAtMS      int64
	// absent is set while the worker's last lists have shown that none of the starts was
	// executed in time, the last one included.
	absent bool
	// absentSince is when the first of the last lists without the run arrived, zero if they
	// show it. A stop may have been executed since that list was requested.
	absentSince time.Time
	// lostAs is how the run ends, after ranBeforeLoss, unless a restarted worker turns out
	// to have started it. It is unspecified while no restart has been noticed.
	lostAs        yuccawire.RunEnd
	ranBeforeLoss time.Duration
	// pendingCrash is the crash that the run may have been active in, nil if there is none.
	pendingCrash *pendingCrash
	// isHeld is set once all entries were told of the run, as it can't be ended.
	isHeld bool
	// withdrawnAt is when the owner first withdrew the run, zero if it did not.
	withdrawnAt time.Time
	// stopRequestedAt is when the first stop was sent, stopTries the number of stops.
	stopRequestedAt time.Time
	stopTries       int
}

// HandleOrders renews the lease of an owner, and queues or refuses the tasks that it
// ordered.
func (w *Worker) HandleOrders(now time.Time, from Owner, m *yuccawire.Orders) {
	o := w.ensureOwner(from)
	o.ordersSeen = m.GetNumber()
	w.extendLease(now, o, m.GetUntilMs())
	for _, job := range m.GetJobs() {
		for _, task := range job.GetTasks() {
			w.admit(now, o, job, task)
		}
	}
	o.dirty = true
	if w.awaitsConfirmation() {
		w.renewHold(now)
	}
	w.startQueued(now)
	w.sendStates(now)
}

func (w *Worker) admit(now time.Time, o *owner, job *yuccawire.JobOrder, task *yuccawire.TaskOrder) {
	r := &run{
		key: Key{Task: task.GetTask(), Run: task.GetRun()}, owner: o, service: job.GetService(), label: task.GetLabel(), queue: job.GetQueue(), payload: job.GetPayload(), traceparent: job.GetTraceparent(),
		demand:    resources{cpuMilli: int(task.GetCpuMilli()), memoryMB: int(task.GetMemoryMb()), accelerators: int(task.GetAccelerators())},
		tier:      min(int(job.GetTier()), tierCount-1),
		rankMS:    job.GetRankMs(),
		expiresAt: w.localTime(job.GetExpiresMs()),
		estimate:  time.Duration(task.GetEstimateMs()) * time.Millisecond, priorFailures: task.GetFailures(), suspect: task.GetSuspect(), orderedAt: now,
	}
	r.reserved = task.GetReserved() && !r.demand.fitsIn(w.freeCapacity(r.tier))
	if refusal := w.refusalFor(now, r); refusal != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED {
		w.refuse(now, r, refusal)
		return
	}
	o.runCount++
	if task.GetPinned() {
		w.confirmBeforeStart(now, r)
	}
	w.addQueued(now, r)
	index, _ := slices.BinarySearchFunc(w.queue, r, func(q, r *run) int {
		if c := cmp.Or(cmp.Compare(q.tier, r.tier), cmp.Compare(q.rankMS, r.rankMS)); c != 0 {
			return c
		}
		return -1
	})
	w.queue = slices.Insert(w.queue, index, r)
}

func (w *Worker) refusalFor(now time.Time, r *run) yuccawire.RunRefusal {
	switch {
	case w.report == nil || w.gone || w.deregistered || !w.isReachable() || !w.takenOver || !w.report.suits(r):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER
	case w.stopping || w.report.Leaving || r.owner.closing:
		return yuccawire.RunRefusal_RUN_REFUSAL_LEAVING
	case w.isDrained:
		return yuccawire.RunRefusal_RUN_REFUSAL_DRAINED
	case r.staleReason(now) != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED:
		return r.staleReason(now)
	case w.isReportStale(now):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER
	case w.hasRunOf(r.key.Task):
		return yuccawire.RunRefusal_RUN_REFUSAL_BUSY
	case r.suspect && w.hasSuspectRun():
		return yuccawire.RunRefusal_RUN_REFUSAL_OTHER_SUSPECT
	case !w.health.canAdmit(now, len(w.runs)+len(w.queue)):
		return yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY
	case !r.demand.fitsIn(w.capacity()):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM
	case r.reserved:
		return w.reservedRefusal(r)
	case !r.demand.fitsIn(w.freeCapacity(r.tier).plus(w.queueAllowance())), len(w.queue) >= maxQueuedRuns:
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM
	}
	return yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED
}

// freeCapacity returns the capacity left for a task of the tier, after running
// tasks, the reservation, and queued tasks of the same or a more urgent tier.
func (w *Worker) freeCapacity(tier int) resources {
	free := w.capacity().minus(w.used).minus(w.heldCapacity(tier))
	for _, queued := range w.queued[:tier+1] {
		free = free.minus(queued)
	}
	return free
}

// queueAllowance returns the demand that may be queued beyond the free capacity.
func (w *Worker) queueAllowance() resources {
	capacity := w.capacity()
	return resources{cpuMilli: int(float64(capacity.cpuMilli) * maxQueuedShare), memoryMB: int(float64(capacity.memoryMB) * maxQueuedShare), accelerators: 0}
}

// sortedRuns returns the runs in order of their keys, so that the order of
// actions is deterministic.
func (w *Worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.key.Task, b.key.Task), cmp.Compare(a.key.Run, b.key.Run))
	})
}

// hasRunOf reports whether a run of the task is active or queued. Two runs of a
// task must never overlap.
func (w *Worker) hasRunOf(task string) bool {
	for key := range w.runs {
		if key.Task == task {
			return true
		}
	}
	return slices.ContainsFunc(w.queue, func(q *run) bool { return q.key.Task == task })
}

// startQueued starts the queued tasks that fit, by tier and lowest rank first. The
// reserved run goes before those of its tier and of less urgent ones.
func (w *Worker) startQueued(now time.Time) {
	if !w.isReady(now) || !w.mayExtendHold(now) {
		return
	}
	w.checkReservation(now)
	limit := w.backfillLimit()
	for i := 0; i < len(w.queue) && i < limit; {
		r := w.queue[i]
		if w.startReserved(now, r.tier) {
			continue
		}
		// The process may have been suspended since the last tick.
		if reason := r.staleReason(now); reason != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED {
			w.dequeue(i)
			w.refuseQueued(now, r, reason)
			continue
		}
		if !w.mayStart(now, r) || !w.isConfirmed(r) {
			i++
			continue
		}
		w.dequeue(i)
		w.startRun(now, r)
	}
}

// staleReason returns why a run must not be started any more, or
// RUN_REFUSAL_UNSPECIFIED.
func (r *run) staleReason(now time.Time) yuccawire.RunRefusal {
	switch {
	case !now.Before(r.expiresAt):
		return yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED
	case !now.Before(r.owner.leaseUntil):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_LEASE
	}
	return yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED
}

func (w *Worker) dequeue(i int) {
	r := w.queue[i]
	w.removeQueued(r)
	w.queue = slices.Delete(w.queue, i, i+1)
}

func (w *Worker) refuseQueue(now time.Time, reason yuccawire.RunRefusal) {
	for len(w.queue) > 0 {
		r := w.queue[0]
		w.dequeue(0)
		w.refuseQueued(now, r, reason)
	}
}

// refuseExcess refuses the queued tasks that neither fit the capacity nor may be queued
// beyond it. The reserved run only has to fit the capacity.
func (w *Worker) refuseExcess(now time.Time) {
	room := w.capacity().minus(w.used).plus(w.queueAllowance())
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		if r.reserved && r.demand.fitsIn(w.capacity()) {
			i++
			continue
		}
		if !r.reserved && r.demand.fitsIn(room) && r.demand.fitsIn(w.capacity()) {
			room = room.minus(r.demand)
			i++
			continue
		}
		w.dequeue(i)
		w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	}
}

// refuseUnsuited refuses the queued tasks that the worker doesn't suit any more.
func (w *Worker) refuseUnsuited(now time.Time) {
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		if w.report.suits(r) {
			i++
			continue
		}
		w.dequeue(i)
		w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	}
}

func (w *Worker) expireQueue(now time.Time) {
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		if now.Before(r.expiresAt) {
			i++
			continue
		}
		w.dequeue(i)
		w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED)
	}
}

func (w *Worker) refuseQueued(now time.Time, r *run, reason yuccawire.RunRefusal) {
	w.releaseReservation(now, r, yuccawire.RunRefusal_name[int32(reason)])
	r.owner.runCount--
	w.refuse(now, r, reason)
}

// refuseStarted removes a run whose start the worker refused.
func (w *Worker) refuseStarted(now time.Time, r *run, reason yuccawire.RunRefusal) {
	w.removeRun(r)
	w.refuse(now, r, reason)
}

func (w *Worker) removeRun(r *run) {
	delete(w.runs, r.key)
	w.used = w.used.minus(r.demand)
	r.owner.runCount--
}

// completeRun removes an active run and queues its outcome for the owner. The cause is empty if
// the worker has listed the outcome.
func (w *Worker) completeRun(now time.Time, r *run, outcome yuccawire.RunEnd, cause string) {
	w.settleCrash(now, r, false)
	w.completeRunAfter(now, r, outcome, now.Sub(r.startSentAt), cause)
}

// completeRunAfter is completeRun for a run that has ended before now.
func (w *Worker) completeRunAfter(now time.Time, r *run, outcome yuccawire.RunEnd, ran time.Duration, cause string) {
	w.removeRun(r)
	ended := &yuccawire.Ended{End: outcome, RanMs: uint32(ran.Milliseconds()), Cause: cause}
	if r.mayStartLater() {
		w.metrics.Add("ends_with_unanswered_start", 1)
		w.options.Logger.Info("run has ended, a start of it had no answer", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name,
			"end", outcome.String(), "tries", r.tries, "since_start_ms", now.Sub(r.startSentAt).Milliseconds(),
			"linked_entries", len(w.reachedEntries(now)))
		w.holdEnded(now, r)
		isLost := outcome == yuccawire.RunEnd_RUN_END_LOST || outcome == yuccawire.RunEnd_RUN_END_CRASHED
		ended.MayStart, ended.Unanswered = isLost, !isLost
	}
	w.recordOutcome(now, r, outcome, ran)
	w.metrics.Add("ends_"+outcomeNames[outcome], 1)
	w.queueOutcome(now, r, ended)
}

var outcomeNames = map[yuccawire.RunEnd]string{
	yuccawire.RunEnd_RUN_END_DONE:    "done",
	yuccawire.RunEnd_RUN_END_FAILED:  "failed",
	yuccawire.RunEnd_RUN_END_STOPPED: "stopped",
	yuccawire.RunEnd_RUN_END_LOST:    "lost",
	yuccawire.RunEnd_RUN_END_CRASHED: "crashed",
}

func (w *Worker) refuse(now time.Time, r *run, reason yuccawire.RunRefusal) {
	w.metrics.Add("orders_refused", 1)
	w.queueOutcome(now, r, &yuccawire.Ended{End: yuccawire.RunEnd_RUN_END_REFUSED, Refusal: reason})
}

// queueOutcome adds an outcome to the owner's next message, and retains it for
// OutcomeRetention.
func (w *Worker) queueOutcome(now time.Time, r *run, ended *yuccawire.Ended) {
	ended.Run = r.wireKey()
	if !r.startSentAt.IsZero() {
		ended.WaitedMs = uint32(r.startSentAt.Sub(r.orderedAt).Milliseconds())
	}
	o := r.owner
	o.unsent = append(o.unsent, ended)
	o.retained = append(o.retained, retainedOutcome{ended: ended, retainedAt: now})
	o.dropRetained(now)
}

// loseAllRuns completes all active runs, as crashed if the worker has crashed under them.
// The end of a leaving worker is no crash.
func (w *Worker) loseAllRuns(now time.Time, reason string, crashed bool) {
	w.loseRuns(now, reason, crashed, func(*run) bool { return true })
}

// loseRuns is loseAllRuns for the runs that have ended.
func (w *Worker) loseRuns(now time.Time, reason string, crashed bool, hasEnded func(r *run) bool) {
	if len(w.runs) == 0 {
		if crashed {
			w.proveCrash(now)
		}
		return
	}
	crashed = crashed && !w.report.Leaving && !w.deregistered
	w.options.Logger.Warn("runs lost", "count", len(w.runs), "why", reason, "crashed", crashed)
	if crashed {
		w.reportCrash(now)
	}
	endedAt := w.crashTime(now)
	for _, r := range w.sortedRuns() {
		if !hasEnded(r) {
			continue
		}
		if r.lostAs == yuccawire.RunEnd_RUN_END_UNSPECIFIED {
			r.markLost(crashed, endedAt)
		}
		w.loseRun(now, r, reason)
	}
}
