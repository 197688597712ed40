package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// attemptsPerOwner keeps the attempts of successive owners apart.
	attemptsPerOwner = 1000
	// claimAgeMargin covers how far the wall clocks of two controls may differ.
	claimAgeMargin = 10 * time.Second
)

// takeover is the gathering of what the sides know of a job whose old owner is
// fenced.
type takeover struct {
	formerOwner owner
	// claimedAt is the earliest time at which the job may have been claimed, or
	// zero where nobody knows.
	claimedAt time.Time
	deadline  time.Time
	pending   map[string]bool
	// lost is set when a side that may have started tasks can't be asked.
	incomplete bool
}

// beginGathering asks every side of the service. Each records the fence of the
// old owner before it answers.
func (d *Dispatcher) startGathering(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	j.state = gathering
	j.takeover = &takeover{formerOwner: j.owner, deadline: now.Add(gatherTimeout), pending: make(map[string]bool)}
	if reply.GetAgeMs() >= 0 {
		age := time.Duration(reply.GetAgeMs()) * time.Millisecond
		j.takeover.claimedAt = now.Add(-age - claimAgeMargin)
	}
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

// Gathered takes in what a side knows of a job.
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

func (d *Dispatcher) applyGatheredResult(j *job, name string, f *yuccawire.Finished) {
	t := j.tasksByID[f.GetKey().GetTask()]
	if t == nil || t.isSettled() {
		return
	}
	t.side = name
	t.attempt = f.GetKey().GetAttempt()
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

// gatherRunning waits for an attempt of the old owner, whose answer the side
// will send here.
func (d *Dispatcher) adoptRunningAttempt(j *job, name string, key *yuccawire.TaskKey) {
	t := j.tasksByID[key.GetTask()]
	s := d.sides[name]
	if t == nil || s == nil || t.state != waiting {
		return
	}
	t.state = sent
	t.side = name
	t.attempt = key.GetAttempt()
	t.endpoint = s.endpoints[j.Service]
	s.outstanding[t] = struct{}{}
	d.team(j.Key.Team).running++
}

// gatherLost notes that a side was lost before it could be asked.
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

// endGathering goes on with the job. Tasks that no side knows are started only
// if every side that may have had them was asked.
func (d *Dispatcher) endGathering(now time.Time, j *job) {
	allAnswered := d.allSidesAnswered(j)
	j.state = open
	sv := d.service(j.Service)
	if !allAnswered {
		d.settleUndetermined(j)
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

// settleUnasked ends the tasks that the former owner may have started at a side
// that could not be asked.
func (d *Dispatcher) settleUndetermined(j *job) {
	for _, t := range j.tasks {
		if t.state != waiting {
			continue
		}
		t.settle(unknown)
		t.failure = "the former owner may have started it at a side that is gone"
		if j.failReason == "" {
			j.failReason = t.failure
		}
	}
}

// askedAll tells whether every side that may have started tasks of the job has
// answered: none is pending, and none was lost since the job was claimed.
func (d *Dispatcher) allSidesAnswered(j *job) bool {
	t := j.takeover
	lostAt := d.service(j.Service).lastSideLoss
	return len(t.pending) == 0 && !t.incomplete && !d.membersSince.IsZero() && d.membersSince.Before(t.claimedAt) && lostAt.Before(t.claimedAt)
}
