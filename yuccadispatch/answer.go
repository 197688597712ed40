package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// progress answers the job if it has come to its end.
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

// failJob ends a job that can't complete: nothing more of it is started, what
// runs is asked to stop, and it is answered when the last attempt has ended.
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

// cancelSides asks each side that runs tasks of the job to stop, once.
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

// conclude makes the outcome. A complete one is answered at once while the
// lease holds. Any other is answered after control has recorded it, so that no
// later owner starts what was said not to be run.
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

// maybeAnswered tells whether a former owner may have answered the job complete:
// it was taken over, no task is known not to have been started, and none failed.
func (j *job) mayHaveBeenAnswered() bool {
	if j.takeover == nil {
		return false
	}
	for _, t := range j.tasks {
		if t.state == waiting && !t.maybeStarted || t.state == failed || t.startedHere {
			return false
		}
	}
	return true
}

// outcome tells the truth about one task. Results are given only in a complete
// answer.
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

// settle answers the job and keeps its outcome for later submissions.
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

// end takes the job out of work and answers its callers.
func (d *Dispatcher) answerCallers(j *job) {
	j.state = settled
	delete(d.unsettled, j)
	d.emit(*j.answer())
}

// reject answers the job without an outcome. A later submission is claimed
// anew.
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

// giveUp answers a job whose deadline has come before its outcome was sure.
func (d *Dispatcher) abandon(j *job) {
	if j.state == open || j.state == gathering {
		d.queueCancels(j)
	}
	d.metrics.Add("jobs_given_up", 1)
	d.reject(j, OutcomeUnknown)
}

// forgetAtSides lets the sides free the results of the job.
func (d *Dispatcher) queueForgets(j *job) {
	queued := make(map[string]bool)
	for _, t := range j.tasks {
		if t.side != "" && !queued[t.side] {
			queued[t.side] = true
			d.pendingForgets[t.side] = append(d.pendingForgets[t.side], j.Key.Wire())
		}
	}
}

// sweepKept drops the oldest outcomes that are past their time or over the
// bound of memory.
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

// endHold fails a job for which no target came in the time that the service
// allows.
func (d *Dispatcher) endTargetWait(now time.Time, j *job) {
	j.targetWaitUntil = time.Time{}
	if d.service(j.Service).slots == 0 && j.neverStarted() {
		d.failJob(now, j, "no target of the service came in time")
	}
}

// Cancel ends a job at the wish of its caller. It returns false for a job that
// is not here.
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
