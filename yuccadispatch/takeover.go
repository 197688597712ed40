package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccagate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// attemptsPerOwner spaces the attempt numbers of successive owners so that
	// they do not collide.
	attemptsPerOwner = 1000
	// claimAgeMargin is the clock skew allowed between two controls.
	claimAgeMargin = 10 * time.Second
)

// takeover is the state of collecting the results and running attempts of a job
// from the sides after its former owner was fenced.
type takeover struct {
	formerOwner owner
	// claimedAt is the earliest time at which the job may have been claimed, or
	// zero if unknown.
	claimedAt time.Time
	deadline  time.Time
	// pending is the set of sides, by name, that have not replied yet.
	pending map[string]bool
	// outlived is set if the claim may be dropped at any time, so that this entry must
	// start nothing.
	outlived bool
	// incomplete is set if a side that may have started tasks cannot be
	// queried, or may have forgotten them.
	incomplete bool
}

// startGathering queries every side of the service. A side records the fence of
// the former owner before it replies, so that it starts nothing more for it. All
// tasks of a job that was recorded as complete have run, so that one which no side
// reports was forgotten and must not be started. Nor must it be if the former owner
// is not known, whose starts may still arrive.
func (d *Dispatcher) startGathering(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	j.state = gathering
	former, known := d.formerOwner(j, reply)
	j.takeover = &takeover{
		formerOwner: former, deadline: now.Add(gatherTimeout), pending: make(map[string]bool), incomplete: reply.GetFinished() || !known,
	}
	if reply.GetAgeMs() >= 0 {
		age := time.Duration(reply.GetAgeMs()) * time.Millisecond
		j.takeover.claimedAt = now.Add(-age - claimAgeMargin)
	}
	d.limitToClaim(now, j)
	j.owner = owner{}
	d.metrics.Add("jobs_taken_over", 1)
	for name, s := range d.sides {
		if s.endpoints[j.Service] == nil {
			continue
		}
		j.takeover.pending[name] = true
		if s.linked {
			d.sendGather(j, name)
		}
	}
	d.checkGathering(now, j)
}

// limitToClaim ends the job before its claim may be dropped. The claim counts from the
// first submission, whoever took the job over since.
func (d *Dispatcher) limitToClaim(now time.Time, j *job) {
	t := j.takeover
	keptUntil := t.claimedAt.Add(d.view.Document().Limits.ClaimRetention())
	if t.claimedAt.IsZero() || !now.Before(keptUntil) {
		t.outlived = true
		return
	}
	if keptUntil.Before(j.expireAt) {
		j.expireAt = keptUntil
	}
}

// formerOwner returns the owner before the take-over, and whether it is known. The
// reply to a repeated claim names this entry instead; the owner that it heard of last
// may have lost the job to another one since.
func (d *Dispatcher) formerOwner(j *job, reply *yuccawire.ClaimReply) (owner, bool) {
	self := d.options.Self
	if reply.GetOwner() == self.GetName() && reply.GetIncarnation() == self.GetIncarnation() {
		return j.owner, false
	}
	return owner{name: reply.GetOwner(), incarnation: reply.GetIncarnation()}, true
}

func (d *Dispatcher) sendGather(j *job, name string) {
	if !j.takeover.pending[name] {
		return
	}
	gather := &yuccawire.Gather{
		Job:   j.Key.Wire(),
		Fence: &yuccawire.Fence{Owner: j.takeover.formerOwner.name, Incarnation: j.takeover.formerOwner.incarnation},
	}
	d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Gather{Gather: gather}})
}

// HandleGathered processes a side's reply about a job that was taken over.
func (d *Dispatcher) HandleGathered(now time.Time, name string, m *yuccawire.Gathered) {
	j := d.jobs[KeyOf(m.GetJob())]
	if j == nil || j.state != gathering || !j.takeover.pending[name] {
		return
	}
	delete(j.takeover.pending, name)
	for _, f := range m.GetFinished() {
		d.applyGatheredResult(j, name, f)
	}
	for _, key := range m.GetRunning() {
		d.adoptRunningAttempt(j, name, key)
	}
	d.checkGathering(now, j)
}

// beginGathered makes a gathered attempt the current one of its task, and returns the
// task. It returns nil if the task has a later attempt, which the former owner has sent
// after it gave this one up, or has failed.
func (d *Dispatcher) beginGathered(j *job, name string, key *yuccawire.TaskKey) *task {
	t := j.tasksByID[key.GetTask()]
	if t == nil || key.GetAttempt() <= t.attempt || t.state == failed || t.state == unknown {
		return nil
	}
	d.release(t)
	if t.isSettled() {
		j.remaining++
	}
	t.state = waiting
	t.result = nil
	t.side = name
	t.attempt = key.GetAttempt()
	return t
}

func (d *Dispatcher) applyGatheredResult(j *job, name string, f *yuccawire.Finished) {
	t := d.beginGathered(j, name, f.GetKey())
	if t == nil {
		return
	}
	if f.GetState() == yuccawire.TaskState_TASK_FINISHED {
		d.applyResult(t, f)
		return
	}
	t.settle(unknown)
	t.failure = f.GetFailure()
	if j.failReason == "" {
		j.failReason = "a task of the former owner was started, and its answer is lost"
	}
}

// adoptRunningAttempt marks the task as sent, for an attempt of the former owner
// that still runs. The side sends its result to this entry.
func (d *Dispatcher) adoptRunningAttempt(j *job, name string, key *yuccawire.TaskKey) {
	s := d.sides[name]
	if s == nil {
		return
	}
	t := d.beginGathered(j, name, key)
	if t == nil {
		return
	}
	t.state = sent
	t.endpoint = s.endpoints[j.Service]
	s.outstanding[t] = struct{}{}
	d.team(j.Key.Team).running++
}

// handleGatherSideLoss records the loss of a side that had not replied.
func (d *Dispatcher) handleGatherSideLoss(now time.Time, j *job, name string) {
	if j.takeover.pending[name] {
		delete(j.takeover.pending, name)
		j.takeover.incomplete = true
		d.checkGathering(now, j)
	}
}

func (d *Dispatcher) checkGathering(now time.Time, j *job) {
	if len(j.takeover.pending) == 0 {
		d.endGathering(now, j)
	}
}

// endGathering resumes the job. Tasks that no side reported are started only if
// every side that may have started them has replied.
func (d *Dispatcher) endGathering(now time.Time, j *job) {
	allAnswered := d.allSidesAnswered(now, j)
	j.state = open
	sv := d.service(j.Service)
	if !allAnswered {
		d.settleUndetermined(j)
	}
	if j.cancelled {
		d.failJob(now, j, "cancelled by the caller")
		return
	}
	for _, t := range j.tasks {
		if t.state == waiting && j.failReason == "" {
			t.attempt = max(t.attempt, uint32(j.nonce)*attemptsPerOwner)
			d.enqueue(sv, t)
		}
	}
	d.advance(now, j)
	d.placeService(now, sv)
}

const (
	mayHaveStarted  = "the former owner may have started it at a side that is gone or keeps no record of it"
	mayHaveRepeated = "the former owner may have repeated it at a side that is gone or keeps no record of it"
)

// settleUndetermined settles the waiting tasks as unknown, because the former
// owner may have started them at a side that did not reply. The attempts that other
// sides reported are the last ones only if the former owner can't have repeated them.
func (d *Dispatcher) settleUndetermined(j *job) {
	for _, t := range j.tasks {
		switch {
		case t.state == waiting:
			t.settle(unknown)
			t.failure = mayHaveStarted
		case j.Repeatable && !t.startedHere && t.state == succeeded:
			t.settle(unknown)
			t.failure = mayHaveRepeated
		case j.Repeatable && !t.startedHere && t.state == sent:
			t.failure = mayHaveRepeated
		default:
			continue
		}
		if j.failReason == "" {
			j.failReason = t.failure
		}
	}
}

// allSidesAnswered reports whether every side that may have started tasks of the
// job has replied and still has its records: none is pending, none was lost or
// started since the job was claimed, this entry has tracked the sides since before the claim, and
// the claim is younger than the records that sides drop.
func (d *Dispatcher) allSidesAnswered(now time.Time, j *job) bool {
	t := j.takeover
	if len(t.pending) > 0 || t.incomplete || t.outlived || d.membersSince.IsZero() {
		return false
	}
	lostAt := d.service(j.Service).lastSideLoss
	return d.membersSince.Before(t.claimedAt) && lostAt.Before(t.claimedAt) && d.lastSideJoin.Before(t.claimedAt) && now.Sub(t.claimedAt) < yuccagate.DefaultRetention
}
