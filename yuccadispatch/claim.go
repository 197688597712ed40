package yuccadispatch

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (d *Dispatcher) newClaim(j *job) *yuccawire.Claim {
	return &yuccawire.Claim{
		Job:         j.Key.Wire(),
		Digest:      j.Digest,
		Owner:       d.options.Self.GetName(),
		Incarnation: d.options.Self.GetIncarnation(),
		Nonce:       j.nonce,
	}
}

// sendClaim sends the lookup, claim or completion of the job to control,
// depending on its state. Claims are idempotent and may be resent.
func (d *Dispatcher) sendClaim(now time.Time, j *job) {
	j.claimSentAt = now
	c := d.newClaim(j)
	c.Lookup = j.state == lookingUp
	c.TakeOver = j.state == claiming && j.owner.name != ""
	if j.state == confirming {
		c.Finished = true
		c.Complete = j.outcome.GetComplete()
	}
	d.pendingClaims = append(d.pendingClaims, c)
	d.metrics.Add("claims_sent", 1)
}

// resendClaims sends all unanswered claims to a new leader, because the old one
// may not have received or answered them.
func (d *Dispatcher) resendClaims(now time.Time) {
	for j := range d.unsettled {
		if j.state == lookingUp || j.state == claiming || j.state == confirming {
			d.sendClaim(now, j)
		}
	}
}

// sendFinished records the completion of the job at control, so that a repeated
// submission is not run.
func (d *Dispatcher) sendFinished(j *job) {
	c := d.newClaim(j)
	c.Finished = true
	c.Complete = j.outcome.GetComplete()
	d.pendingClaims = append(d.pendingClaims, c)
}

func (d *Dispatcher) handleClaimReply(now time.Time, reply *yuccawire.ClaimReply) {
	if reply.GetNonce() == 0 {
		d.handleWatchReply(reply)
		return
	}
	j := d.jobs[KeyOf(reply.GetJob())]
	if j == nil || j.nonce != reply.GetNonce() {
		d.metrics.Add("claim_replies_late", 1)
		return
	}
	switch j.state {
	case lookingUp:
		d.handleLookupReply(now, j, reply)
	case claiming:
		d.handleClaimResult(now, j, reply)
	case confirming:
		d.handleConfirmReply(now, j, reply)
	case joined, gathering, open, settled:
	}
}

// handleLookupReply rejects the job if no earlier submission claimed it, and
// otherwise treats the reply like that to a claim.
func (d *Dispatcher) handleLookupReply(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	switch reply.GetResult() {
	case yuccawire.ClaimResult_CLAIM_ABSENT:
		d.metrics.Add("jobs_rejected", 1)
		d.reject(j, j.pendingRejection.Rejection)
	case yuccawire.ClaimResult_CLAIM_HELD:
		j.state = claiming
		d.handleClaimResult(now, j, reply)
	case yuccawire.ClaimResult_CLAIM_CONFLICT, yuccawire.ClaimResult_CLAIM_EXPIRED:
		d.handleClaimResult(now, j, reply)
	case yuccawire.ClaimResult_CLAIM_UNSPECIFIED, yuccawire.ClaimResult_CLAIM_GRANTED,
		yuccawire.ClaimResult_CLAIM_REFUSED, yuccawire.ClaimResult_CLAIM_TAKEN:
	}
}

func (d *Dispatcher) handleClaimResult(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	switch reply.GetResult() {
	case yuccawire.ClaimResult_CLAIM_GRANTED:
		if j.owner.name != "" { // the claim of that owner was dropped, and its tasks may have run
			d.reject(j, Expired)
			return
		}
		d.openJob(now, j)
	case yuccawire.ClaimResult_CLAIM_TAKEN:
		d.startGathering(now, j, reply)
	case yuccawire.ClaimResult_CLAIM_HELD:
		d.joinOwner(now, j, owner{name: reply.GetOwner(), incarnation: reply.GetIncarnation()})
	case yuccawire.ClaimResult_CLAIM_CONFLICT:
		d.reject(j, Conflict)
	case yuccawire.ClaimResult_CLAIM_EXPIRED:
		d.reject(j, Expired)
	case yuccawire.ClaimResult_CLAIM_REFUSED:
		d.reject(j, NoLease)
	case yuccawire.ClaimResult_CLAIM_UNSPECIFIED, yuccawire.ClaimResult_CLAIM_ABSENT:
	}
}

// joinOwner queries the owner of the job for its outcome. If the owner is gone,
// the job stays in the claiming state and the next claim takes it over.
func (d *Dispatcher) joinOwner(now time.Time, j *job, o owner) {
	j.owner = o
	e := d.entries[o.name]
	if e == nil || e.node.GetIncarnation() != o.incarnation {
		j.claimSentAt = now // Tick resends the claim after claimResendInterval
		return
	}
	j.state = joined
	d.metrics.Add("jobs_joined", 1)
	if e.linked {
		d.sendJoin(now, j)
	}
}

func (d *Dispatcher) sendJoin(now time.Time, j *job) {
	join := &yuccawire.Join{Job: j.Key.Wire(), DeadlineMs: uint32(j.Deadline.Sub(now).Milliseconds()), Cancel: j.cancelled}
	j.claimSentAt = now
	d.send(j.owner.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Join{Join: join}})
}

// HandleJoin processes a query of another entry for the outcome of a job. The
// entry receives a Joined message when the job is settled, or immediately if the
// query is a watch or this entry does not have the job.
func (d *Dispatcher) HandleJoin(now time.Time, name string, m *yuccawire.Join) {
	j := d.jobs[KeyOf(m.GetJob())]
	if m.GetWatch() {
		d.answerWatch(now, name, m, j)
		return
	}
	switch {
	case j == nil || j.rejection != NotRejected:
		d.sendJoined(name, &yuccawire.Joined{Job: m.GetJob()})
	case j.state == settled:
		d.sendJoined(name, &yuccawire.Joined{Job: m.GetJob(), Known: true, Outcome: j.outcome})
	default:
		if !slices.Contains(j.joiners, name) {
			j.joiners = append(j.joiners, name)
		}
		if m.GetCancel() {
			d.cancelJob(now, j)
		}
	}
}

func (d *Dispatcher) sendJoined(name string, m *yuccawire.Joined) {
	d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Joined{Joined: m}})
}

// HandleJoined processes the owner's reply to a query for a job's outcome.
func (d *Dispatcher) HandleJoined(now time.Time, m *yuccawire.Joined) {
	if m.GetWatch() {
		d.finishWatch(KeyOf(m.GetJob()), m.GetKnown(), m.GetOutcome())
		return
	}
	j := d.jobs[KeyOf(m.GetJob())]
	if j == nil || j.state != joined {
		return
	}
	if !m.GetKnown() {
		d.reject(j, Expired)
		return
	}
	j.outcome = m.GetOutcome()
	d.settle(now, j)
}

// openJob queues the tasks of a job that this entry now owns. If the service has
// no slots, the job waits for a target for the service's recovery wait.
func (d *Dispatcher) openJob(now time.Time, j *job) {
	j.state = open
	d.metrics.Add("jobs_opened", 1)
	if j.cancelled {
		d.failJob(now, j, "cancelled by the caller")
		return
	}
	sv := d.service(j.Service)
	if settings, _ := d.view.Service(j.Service); sv.slots == 0 {
		j.targetWaitUntil = now.Add(settings.RecoveryWait)
		d.metrics.Add("jobs_held", 1)
	}
	for _, t := range j.tasks {
		if t.state == waiting {
			d.enqueue(sv, t)
		}
	}
	d.placeService(now, sv)
}
