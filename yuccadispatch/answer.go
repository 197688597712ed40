package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// advance concludes the job if all its tasks are settled or it has failed.
func (d *Dispatcher) advance(now time.Time, j *job) {
	if j.state != open && j.state != gathering {
		return
	}
	if j.failReason != "" {
		d.failJob(now, j, j.failReason)
		return
	}
	if j.state == open && j.remaining == 0 {
		d.conclude(now, j)
	}
}

// failJob fails a job that cannot complete. Its queued tasks are dropped, its
// running tasks are cancelled, and it is answered once no attempt is in flight,
// or at expireAt.
func (d *Dispatcher) failJob(now time.Time, j *job, reason string) {
	if j.failReason == "" {
		j.failReason = reason
	}
	d.dequeue(j)
	if j.state == gathering {
		j.takeover.incomplete = true
		d.settleUndetermined(j)
	}
	if j.hasTasksInFlight() {
		d.queueCancels(j)
		if now.Before(j.expireAt) {
			return
		}
	}
	d.conclude(now, j)
}

// queueCancels queues one cancellation for each side that runs tasks of the job.
// Further calls do nothing.
func (d *Dispatcher) queueCancels(j *job) {
	if j.cancelQueued {
		return
	}
	j.cancelQueued = true
	queued := make(map[string]bool)
	for _, t := range j.tasks {
		if t.state == sent && !queued[t.side] {
			queued[t.side] = true
			d.pendingCancels[t.side] = append(d.pendingCancels[t.side], j.Key.Wire())
		}
	}
}

// conclude computes the outcome. A complete outcome is answered immediately
// while the lease is valid. Any other outcome is answered only after control
// has recorded it, so that no later owner starts tasks that were reported as
// not run.
func (d *Dispatcher) conclude(now time.Time, j *job) {
	j.outcome = j.makeOutcome()
	for _, t := range j.tasks {
		d.release(t)
	}
	if j.Unnamed {
		d.settle(now, j)
		return
	}
	if j.outcome.GetComplete() && d.lease.Valid(now) {
		d.sendFinished(j)
		d.settle(now, j)
		return
	}
	j.state = confirming
	d.sendClaim(now, j)
}

func (d *Dispatcher) handleConfirmReply(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	switch reply.GetResult() {
	case yuccawire.ClaimResult_CLAIM_GRANTED:
		if reply.GetFinished() {
			d.settle(now, j)
		}
	case yuccawire.ClaimResult_CLAIM_HELD:
		d.metrics.Add("jobs_lost_to_owner", 1)
		j.relinquish()
		d.joinOwner(now, j, owner{name: reply.GetOwner(), incarnation: reply.GetIncarnation()})
	case yuccawire.ClaimResult_CLAIM_UNSPECIFIED, yuccawire.ClaimResult_CLAIM_CONFLICT, yuccawire.ClaimResult_CLAIM_REFUSED,
		yuccawire.ClaimResult_CLAIM_TAKEN, yuccawire.ClaimResult_CLAIM_EXPIRED, yuccawire.ClaimResult_CLAIM_ABSENT:
		d.reject(j, OutcomeUnknown)
	}
}

func (j *job) makeOutcome() *yuccawire.Outcome {
	o := &yuccawire.Outcome{Complete: j.failReason == "", Reason: j.failReason, Cancelled: j.cancelled}
	o.NotRun = !o.GetComplete() && j.neverStarted()
	o.Undetermined = !o.GetComplete() && j.mayHaveBeenAnswered()
	o.Tasks = make([]*yuccawire.TaskOutcome, len(j.tasks))
	for i, t := range j.tasks {
		o.Tasks[i] = t.outcome(o.GetComplete())
	}
	return o
}

// mayHaveBeenAnswered reports whether a former owner may have answered the job
// as complete: it was taken over, every task may have been started by the former
// owner, none failed that it can't have repeated, and none was started by this entry.
func (j *job) mayHaveBeenAnswered() bool {
	if j.takeover == nil {
		return false
	}
	for _, t := range j.tasks {
		if t.state == waiting && !t.maybeStarted || t.state == failed && !j.Repeatable || t.startedHere {
			return false
		}
	}
	return true
}

// outcome returns the outcome of one task. The headers and body of the result
// are included only if the job is complete.
func (t *task) outcome(complete bool) *yuccawire.TaskOutcome {
	o := &yuccawire.TaskOutcome{Id: t.id, Failure: t.failure, Side: t.side}
	switch t.state {
	case waiting:
		o.State = yuccawire.TaskState_TASK_NOT_STARTED
		if t.maybeStarted {
			o.State = yuccawire.TaskState_TASK_UNKNOWN
		}
	case sent, unknown:
		o.State = yuccawire.TaskState_TASK_UNKNOWN
	case succeeded, failed:
		o.State = yuccawire.TaskState_TASK_FINISHED
		o.Status = t.result.GetStatus()
		o.RunUs = t.result.GetRunUs()
	}
	if complete {
		o.Headers = t.result.GetHeaders()
		o.Body = t.result.GetBody()
	}
	return o
}

// settle answers the job and retains its outcome for repeated submissions. The
// outcome of an unnamed job is not retained.
func (d *Dispatcher) settle(now time.Time, j *job) {
	d.countOutcome(j)
	d.answerCallers(j)
	for _, name := range j.joiners {
		d.sendJoined(name, &yuccawire.Joined{Job: j.Key.Wire(), Known: true, Outcome: j.outcome})
	}
	d.queueForgets(j)
	if j.Unnamed {
		delete(d.jobs, j.Key)
		return
	}
	j.retainUntil = now.Add(outcomeRetention)
	for _, t := range j.outcome.GetTasks() {
		j.bodyBytes += len(t.GetBody())
	}
	d.retainedBytes += j.bodyBytes
	d.retained = append(d.retained, j)
	j.tasks, j.tasksByID = nil, nil
	j.Tasks = nil
}

func (d *Dispatcher) countOutcome(j *job) {
	switch {
	case j.outcome.GetComplete():
		d.metrics.Add("jobs_complete", 1)
	case j.outcome.GetUndetermined():
		d.metrics.Add("jobs_undetermined", 1)
	case j.outcome.GetCancelled():
		d.metrics.Add("jobs_cancelled", 1)
	default:
		d.metrics.Add("jobs_failed", 1)
	}
}

// answerCallers marks the job as settled and emits its answer.
func (d *Dispatcher) answerCallers(j *job) {
	j.state = settled
	delete(d.unsettled, j)
	d.emit(*j.answer())
}

// reject answers the job without an outcome and removes it, so that a repeated
// submission claims it again.
func (d *Dispatcher) reject(j *job, r Rejection) {
	j.rejection = r
	j.outcome = nil
	for _, t := range j.tasks {
		d.release(t)
	}
	d.dequeue(j)
	d.answerCallers(j)
	for _, name := range j.joiners {
		d.sendJoined(name, &yuccawire.Joined{Job: j.Key.Wire()})
	}
	delete(d.jobs, j.Key)
}

// abandon answers a job whose outcome is still unknown at its deadline.
func (d *Dispatcher) abandon(j *job) {
	if j.state == open || j.state == gathering {
		d.queueCancels(j)
	}
	d.metrics.Add("jobs_given_up", 1)
	d.reject(j, OutcomeUnknown)
}

// queueForgets queues one Forget for each side to which a task of the job was last
// sent, so that the side drops the results that it retains.
func (d *Dispatcher) queueForgets(j *job) {
	queued := make(map[string]bool)
	for _, t := range j.tasks {
		if t.side != "" && !queued[t.side] {
			queued[t.side] = true
			d.pendingForgets[t.side] = append(d.pendingForgets[t.side], j.Key.Wire())
		}
	}
}

// evictRetained evicts the oldest retained outcomes that have expired or exceed
// maxRetainedBytes.
func (d *Dispatcher) evictRetained(now time.Time) {
	evicted := 0
	for _, j := range d.retained {
		if now.Before(j.retainUntil) && d.retainedBytes <= maxRetainedBytes {
			break
		}
		d.retainedBytes -= j.bodyBytes
		delete(d.jobs, j.Key)
		evicted++
	}
	d.retained = append([]*job(nil), d.retained[evicted:]...)
}

// endTargetWait fails a job if its service got no target within its recovery
// wait.
func (d *Dispatcher) endTargetWait(now time.Time, j *job) {
	j.targetWaitUntil = time.Time{}
	if d.service(j.Service).slots == 0 && j.neverStarted() {
		d.failJob(now, j, "no target of the service came in time")
	}
}

// Cancel cancels a job on behalf of its caller. It returns false if this entry
// does not have the job.
func (d *Dispatcher) Cancel(now time.Time, key Key) bool {
	j := d.jobs[key]
	if j == nil {
		return false
	}
	d.cancelJob(now, j)
	return true
}

func (d *Dispatcher) cancelJob(now time.Time, j *job) {
	if j.cancelled || j.state == settled || j.state == confirming {
		return
	}
	j.cancelled = true
	switch j.state {
	case open, gathering:
		d.failJob(now, j, "cancelled by the caller")
	case joined:
		d.sendJoin(now, j)
	case lookingUp, claiming, confirming, settled:
	}
}
