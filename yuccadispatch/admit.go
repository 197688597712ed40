package yuccadispatch

import (
	"bytes"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
)

// Submit admits a job, attaches it to an earlier submission with the same key,
// or rejects it. An admitted job is answered by an [Answer] action no later
// than its deadline.
func (d *Dispatcher) Submit(now time.Time, s Submission) Admission {
	if earlier := d.jobs[s.Key]; earlier != nil {
		return d.resubmit(earlier, s)
	}
	admission := d.checkAdmission(now, s)
	if admission.Rejection == NoLease || admission.Rejection != NotRejected && s.Unnamed {
		d.metrics.Add("jobs_rejected", 1)
		return admission
	}
	d.nonce++
	j := newJob(now, s, d.nonce)
	d.jobs[s.Key] = j
	d.unsettled[j] = struct{}{}
	if admission.Rejection != NotRejected {
		d.rejectUnlessClaimed(now, j, admission)
		return Admission{}
	}
	j.state = claiming
	d.metrics.Add("jobs_admitted", 1)
	if s.Unnamed {
		d.openJob(now, j)
		return Admission{}
	}
	d.sendClaim(now, j)
	return Admission{}
}

// rejectUnlessClaimed looks up the job at control and rejects it only if no
// earlier submission claimed it. Rejecting it before the lookup could report a
// job as not run that another entry has started.
func (d *Dispatcher) rejectUnlessClaimed(now time.Time, j *job, admission Admission) {
	j.state = lookingUp
	j.pendingRejection = admission
	if minDeadline := now.Add(lookupTimeout); j.Deadline.Before(minDeadline) {
		j.Deadline = minDeadline
	}
	d.sendClaim(now, j)
}

// resubmit attaches a repeated submission to the existing job. A submission
// with different tasks is rejected as a conflict.
func (d *Dispatcher) resubmit(earlier *job, s Submission) Admission {
	if !bytes.Equal(earlier.Digest, s.Digest) {
		d.metrics.Add("jobs_conflicting", 1)
		return Admission{Rejection: Conflict}
	}
	d.metrics.Add("jobs_resubmitted", 1)
	if earlier.state != settled {
		return Admission{}
	}
	return Admission{Answer: earlier.answer()}
}

func (j *job) answer() *Answer {
	a := &Answer{Key: j.Key, Outcome: j.outcome, Rejection: j.rejection}
	if j.rejection == j.pendingRejection.Rejection {
		a.RetryAfter = j.pendingRejection.RetryAfter
		a.MaxDeadline = j.pendingRejection.MaxDeadline
	}
	return a
}

// checkAdmission returns the first reason to reject the submission, or an empty
// Admission. It runs before the job is claimed or queued.
func (d *Dispatcher) checkAdmission(now time.Time, s Submission) Admission {
	if !d.draining && !d.lease.Valid(now) {
		return Admission{Rejection: NoLease, RetryAfter: minRetryAfter}
	}
	if d.isTooOld(now, s) { // before all that say not run, since its claim may be dropped
		return Admission{Rejection: TooOld}
	}
	if d.draining {
		return Admission{Rejection: Draining, RetryAfter: minRetryAfter}
	}
	quota, known := d.view.Team(s.Key.Team)
	if !known {
		return Admission{Rejection: UnknownTeam}
	}
	settings, known := d.view.Service(s.Service)
	if !known {
		return Admission{Rejection: UnknownService}
	}
	if !quota.MayCall(s.Service) {
		return Admission{Rejection: NotAllowed}
	}
	if limit := d.view.Document().Limits.MaxDeadline(); !s.Unnamed && s.Deadline.Sub(now) > limit {
		return Admission{Rejection: DeadlineTooLong, MaxDeadline: limit}
	}
	if !now.Before(s.Deadline) {
		return Admission{Rejection: CannotMeetDeadline}
	}
	return d.checkCapacity(now, s, quota, settings)
}

func (d *Dispatcher) checkCapacity(now time.Time, s Submission, quota yuccadocument.Team, settings yuccadocument.Service) Admission {
	sv := d.service(s.Service)
	if sv.slots == 0 && settings.RecoveryWait == 0 {
		return Admission{Rejection: NoTarget, RetryAfter: minRetryAfter}
	}
	if sv.queue.FlowLen(s.Key.Team)+len(s.Tasks) > quota.QueueLimit() {
		return Admission{Rejection: QueueFull, RetryAfter: max(sv.expectedWait(s.Key.Team, quota.EffectiveWeight(), 0), minRetryAfter)}
	}
	if wait := sv.expectedWait(s.Key.Team, quota.EffectiveWeight(), len(s.Tasks)); wait > 0 && now.Add(wait+runTimeMargin*sv.meanRunTime).After(s.Deadline) {
		return Admission{Rejection: CannotMeetDeadline, RetryAfter: max(wait, minRetryAfter)}
	}
	return Admission{}
}

// observeRunTime updates the moving average of the service's run time.
func (sv *service) observeRunTime(runTime time.Duration) {
	if sv.meanRunTime == 0 {
		sv.meanRunTime = runTime
		return
	}
	sv.meanRunTime += time.Duration(runTimeSmoothing * float64(runTime-sv.meanRunTime))
}

func (d *Dispatcher) isTooOld(now time.Time, s Submission) bool {
	limits := d.view.Document().Limits
	return !s.SubmittedAt.IsZero() && now.Sub(s.SubmittedAt) > limits.ResubmitWithin()
}
