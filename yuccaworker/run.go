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
	// waiting: it has not been sent to the worker.
	waiting runState = iota
	// starting: the start was sent and not answered.
	starting
	// started: it runs.
	started
	// unsure: the start may have been carried out, or may be yet. It is stopped.
	unsure
)

// run is one run of a task here.
type run struct {
	key       Key
	owner     *owner
	service   string
	payload   []byte
	trace     string
	size      size
	tier      int
	rank      int64
	expires   time.Time
	estimate  time.Duration
	failures  uint32
	orderedAt time.Time
	state     runState
	tries     int
	startAt   time.Time
	// confirmedAt is when it was first known to run.
	confirmedAt time.Time
	// stopAt is when it was last asked to stop, stopAcked when the worker has
	// answered that.
	stopAt    time.Time
	stopAcked time.Time
}

// Orders takes in tasks that an owner wants to run.
func (w *Worker) Orders(now time.Time, from Owner, m *yuccawire.Orders) {
	o := w.owner(from)
	o.seen = m.GetNumber()
	w.extend(now, o, m.GetUntilMs())
	for _, job := range m.GetJobs() {
		for _, task := range job.GetTasks() {
			w.admit(now, o, job, task)
		}
	}
	o.dirty = true
	w.pump(now)
	w.sendStates(now)
}

func (w *Worker) admit(now time.Time, o *owner, job *yuccawire.JobOrder, t *yuccawire.TaskOrder) {
	r := &run{
		key: Key{Task: t.GetTask(), Run: t.GetRun()}, owner: o, service: job.GetService(), payload: job.GetPayload(), trace: job.GetTraceparent(),
		size:     size{cpu: int(t.GetCpuMilli()), memory: int(t.GetMemoryMb()), accelerators: int(t.GetAccelerators())},
		tier:     min(int(job.GetTier()), tiers-1),
		rank:     job.GetRankMs(),
		expires:  w.at(job.GetExpiresMs()),
		estimate: time.Duration(t.GetEstimateMs()) * time.Millisecond, failures: t.GetFailures(), orderedAt: now,
	}
	if refusal := w.refusal(now, r); refusal != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED {
		w.refuse(now, r, refusal)
		return
	}
	o.runs++
	w.queued[r.tier] = w.queued[r.tier].plus(r.size)
	at, _ := slices.BinarySearchFunc(w.queue, r, func(q, r *run) int {
		if c := cmp.Or(cmp.Compare(q.tier, r.tier), cmp.Compare(q.rank, r.rank)); c != 0 {
			return c
		}
		return -1
	})
	w.queue = slices.Insert(w.queue, at, r)
}

func (w *Worker) refusal(now time.Time, r *run) yuccawire.RunRefusal {
	switch {
	case w.report == nil || w.gone || !w.taken || r.service != w.report.Service:
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER
	case w.stopping || w.report.Leaving:
		return yuccawire.RunRefusal_RUN_REFUSAL_LEAVING
	case r.stale(now) != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED:
		return r.stale(now)
	case w.present(r.key.Task):
		return yuccawire.RunRefusal_RUN_REFUSAL_BUSY
	case !w.health.admits(now, len(w.runs)+len(w.queue)):
		return yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY
	case !r.size.fits(w.total()):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM
	case !r.size.fits(w.room(r.tier).plus(w.maxQueued())), len(w.queue) >= maxQueuedRuns:
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM
	}
	return yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED
}

// room is what is left for a task of the tier, when all that runs and all that
// waits before it has its share. What is less urgent keeps nothing out.
func (w *Worker) room(tier int) size {
	room := w.total().minus(w.used)
	for _, queued := range w.queued[:tier+1] {
		room = room.minus(queued)
	}
	return room
}

// maxQueued is how much may wait here beyond what fits.
func (w *Worker) maxQueued() size {
	t := w.total()
	return size{cpu: int(float64(t.cpu) * queuedShare), memory: int(float64(t.memory) * queuedShare), accelerators: 0}
}

// sorted lists the runs by name, so that equal histories give equal actions.
func (w *Worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.key.Task, b.key.Task), cmp.Compare(a.key.Run, b.key.Run))
	})
}

// present tells whether another run of the task is here: two must never run at
// the same time.
func (w *Worker) present(task string) bool {
	for key := range w.runs {
		if key.Task == task {
			return true
		}
	}
	return slices.ContainsFunc(w.queue, func(q *run) bool { return q.key.Task == task })
}

// pump starts the waiting tasks that fit, the lowest rank first.
func (w *Worker) pump(now time.Time) {
	if !w.ready() || w.silent(now) {
		return
	}
	for i := 0; i < len(w.queue) && i < backfill; {
		r := w.queue[i]
		// The process may have stood still since the last tick.
		if why := r.stale(now); why != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED {
			w.dequeue(i)
			w.dropQueued(now, r, why)
			continue
		}
		if !r.size.fits(w.total().minus(w.used)) {
			i++
			continue
		}
		w.dequeue(i)
		w.begun(now, r)
	}
}

// stale tells why a run may not be started any more, if it may not.
func (r *run) stale(now time.Time) yuccawire.RunRefusal {
	switch {
	case !now.Before(r.expires):
		return yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED
	case !now.Before(r.owner.until):
		return yuccawire.RunRefusal_RUN_REFUSAL_NO_LEASE
	}
	return yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED
}

func (w *Worker) dequeue(i int) {
	r := w.queue[i]
	w.queued[r.tier] = w.queued[r.tier].minus(r.size)
	w.queue = slices.Delete(w.queue, i, i+1)
}

// begun sends the start of a run that was waiting.
func (w *Worker) begun(now time.Time, r *run) {
	r.state = starting
	r.startAt = now
	if len(w.runs) == 0 {
		w.answeredAt = now
	}
	w.runs[r.key] = r
	w.used = w.used.plus(r.size)
	w.metrics.Add("starts", 1)
	w.options.Logger.Info("starts a run", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name,
		"waited_ms", now.Sub(r.orderedAt).Milliseconds(), "used_cpu_milli", w.used.cpu, "lease_ms", r.owner.until.Sub(now).Milliseconds())
	w.sendStart(now, r)
	if !w.holding {
		w.renewHold(now)
	}
}

func (w *Worker) sendStart(now time.Time, r *run) {
	r.tries++
	deadline := w.clock.least(now) + Hold.Milliseconds()
	w.holdUntil = max(w.holdUntil, deadline)
	w.do(CallStart{
		Incarnation: w.life(), Key: r.key, Payload: r.payload, DeadlineMS: deadline, Token: w.token,
		Timeout: min(startTimeout<<(r.tries-1), callTimeout), Traceparent: r.trace,
	})
}

// StartReply takes in the answer to a start.
func (w *Worker) StartReply(now time.Time, life Incarnation, key Key, result Result, clock int64) {
	if result != ResultUnknown && life == w.life() {
		w.answered(now, clock)
	}
	r := w.runs[key]
	if r == nil || life != w.life() || r.state != starting {
		return
	}
	switch result {
	case ResultOK:
		w.confirmStart(now, r)
	case ResultUnknown:
		w.startUnknown(now, r)
	case ResultNoCapacity:
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	case ResultOldRun:
		if r.tries > 1 {
			// The first try was carried out, and has ended: its end is listed.
			w.confirmStart(now, r)
			break
		}
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_OLD_RUN)
	case ResultUnhealthy:
		w.health.failed(now, r.failures)
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	case ResultFenced:
		w.fenced(now, clock)
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_WORKER)
	case ResultExpired:
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED)
	default:
		w.notStarted(now, r, yuccawire.RunRefusal_RUN_REFUSAL_WORKER)
	}
	w.pump(now)
	w.sendStates(now)
}

func (w *Worker) confirmStart(now time.Time, r *run) {
	if r.state == starting || r.state == unsure {
		r.state = started
		r.confirmedAt = now
		if !r.stopAt.IsZero() {
			w.stop(now, r)
		}
	}
}

// startUnknown sends an unanswered start again, which does no harm where the
// first one was carried out. After some tries it makes sure that the run never
// starts.
func (w *Worker) startUnknown(now time.Time, r *run) {
	w.metrics.Add("starts_unanswered", 1)
	if r.tries < maxStartTries && r.stale(now) == yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED && r.stopAt.IsZero() {
		w.sendStart(now, r)
		return
	}
	w.options.Logger.Warn("a start has no answer, stopping the run", "task", r.key.Task, "run", r.key.Run, "tries", r.tries)
	r.state = unsure
	w.stop(now, r)
}

// stop asks the worker to end a run. It counts as there until the worker shows
// that it is not.
func (w *Worker) stop(now time.Time, r *run) {
	r.stopAt = now
	w.callStop(r.key)
}

func (w *Worker) callStop(key Key) {
	w.do(CallStop{Incarnation: w.life(), Key: key, Token: w.token, Timeout: callTimeout})
}

// StopReply takes in the answer to a stop.
func (w *Worker) StopReply(now time.Time, life Incarnation, key Key, answered bool, clock int64) {
	if life != w.life() {
		return
	}
	if answered {
		w.answered(now, clock)
	}
	r := w.runs[key]
	if r == nil || !answered || r.stopAt.IsZero() || !r.stopAcked.IsZero() {
		return
	}
	r.stopAcked = now
	w.renewHold(now)
}

func (w *Worker) retryStops(now time.Time) {
	for _, r := range w.sorted() {
		if !r.stopAt.IsZero() && r.stopAcked.IsZero() && now.Sub(r.stopAt) > stopRetry {
			w.stop(now, r)
		}
	}
}

// Withdraw stops runs that their owner does not want any more.
func (w *Worker) Withdraw(now time.Time, from Owner, m *yuccawire.Withdraw) {
	keys := m.GetRuns()
	if len(keys) > 0 {
		w.options.Logger.Info("an owner withdraws runs", "owner", from.Name, "runs", len(keys), "first", keys[0].GetTask(),
			"run", keys[0].GetRun(), "straggling", m.GetStraggling())
	}
	for _, k := range keys {
		key := Key{Task: k.GetTask(), Run: k.GetRun()}
		if r := w.runs[key]; r != nil && r.owner.id == from && r.stopAt.IsZero() && m.GetStraggling() {
			w.straggled(now, r)
		}
		w.withdraw(now, key, from)
	}
	w.pump(now)
	w.sendStates(now)
}

func (w *Worker) withdraw(now time.Time, key Key, from Owner) {
	if r := w.runs[key]; r != nil && r.owner.id == from {
		if r.stopAt.IsZero() {
			w.stop(now, r)
		}
		return
	}
	i := slices.IndexFunc(w.queue, func(q *run) bool { return q.key == key && q.owner.id == from })
	if i >= 0 {
		r := w.queue[i]
		w.dequeue(i)
		w.dropQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	}
}

func (w *Worker) refuseQueue(now time.Time, why yuccawire.RunRefusal) {
	for len(w.queue) > 0 {
		r := w.queue[0]
		w.dequeue(0)
		w.dropQueued(now, r, why)
	}
}

func (w *Worker) expireQueue(now time.Time) {
	for i := 0; i < len(w.queue); {
		r := w.queue[i]
		if now.Before(r.expires) {
			i++
			continue
		}
		w.dequeue(i)
		w.dropQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_EXPIRED)
	}
}

func (w *Worker) dropQueued(now time.Time, r *run, why yuccawire.RunRefusal) {
	r.owner.runs--
	w.refuse(now, r, why)
}

// notStarted ends a run that the worker has refused.
func (w *Worker) notStarted(now time.Time, r *run, why yuccawire.RunRefusal) {
	w.forget(r)
	w.refuse(now, r, why)
}

func (w *Worker) forget(r *run) {
	delete(w.runs, r.key)
	w.used = w.used.minus(r.size)
	r.owner.runs--
}

// finish ends a run that was there.
func (w *Worker) finish(now time.Time, r *run, end yuccawire.RunEnd) {
	w.forget(r)
	ran := now.Sub(r.startAt)
	w.health.ended(now, r, end, ran)
	w.metrics.Add("ends_"+endNames[end], 1)
	w.tell(now, r, &yuccawire.Ended{End: end, RanMs: uint32(ran.Milliseconds())})
}

var endNames = map[yuccawire.RunEnd]string{
	yuccawire.RunEnd_RUN_END_DONE:    "done",
	yuccawire.RunEnd_RUN_END_FAILED:  "failed",
	yuccawire.RunEnd_RUN_END_STOPPED: "stopped",
	yuccawire.RunEnd_RUN_END_LOST:    "lost",
}

func (w *Worker) refuse(now time.Time, r *run, why yuccawire.RunRefusal) {
	w.metrics.Add("orders_refused", 1)
	w.tell(now, r, &yuccawire.Ended{End: yuccawire.RunEnd_RUN_END_REFUSED, Refusal: why})
}

// tell keeps an end for its owner; it leaves with the next report.
func (w *Worker) tell(now time.Time, r *run, ended *yuccawire.Ended) {
	ended.Run = &yuccawire.RunKey{Task: r.key.Task, Run: r.key.Run}
	if !r.startAt.IsZero() {
		ended.WaitedMs = uint32(r.startAt.Sub(r.orderedAt).Milliseconds())
	}
	o := r.owner
	o.ends = append(o.ends, ended)
	o.kept = append(o.kept, keptEnd{ended: ended, at: now})
	for len(o.kept) > 0 && now.Sub(o.kept[0].at) > endsKept {
		o.kept = o.kept[1:]
	}
}

// loseAll ends all runs, none of which is there any more.
func (w *Worker) loseAll(now time.Time, why string) {
	if len(w.runs) > 0 {
		w.options.Logger.Warn("runs are lost", "count", len(w.runs), "why", why)
	}
	for _, r := range w.sorted() {
		w.finish(now, r, yuccawire.RunEnd_RUN_END_LOST)
	}
}
