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
	from owner
	// claimedAt is the earliest time at which the job may have been claimed, or
	// zero where nobody knows.
	claimedAt time.Time
	until     time.Time
	pending   map[string]bool
	// lost is set when a side that may have started tasks can't be asked.
	lost bool
}

// beginGathering asks every side of the service. Each records the fence of the
// old owner before it answers.
func (d *Dispatcher) beginGathering(now time.Time, j *job, reply *yuccawire.ClaimReply) {
	j.state = gathering
	j.takeover = &takeover{from: j.owner, until: now.Add(gatherTimeout), pending: make(map[string]bool)}
	if reply.GetAgeMs() >= 0 {
		age := time.Duration(reply.GetAgeMs()) * time.Millisecond
		j.takeover.claimedAt = now.Add(-age - claimAgeMargin)
	}
	j.owner = owner{}
	d.metrics.Add("jobs_taken_over", 1)
	for name, s := range d.sides {
		if s.places[j.Service] == nil {
			continue
		}
		j.takeover.pending[name] = true
		if s.linked {
			d.sendGather(j, name)
		}
	}
	d.gatherProgress(now, j)
}

func (d *Dispatcher) sendGather(j *job, name string) {
	if !j.takeover.pending[name] {
		return
	}
	gather := &yuccawire.Gather{
		Job:   j.Key.Wire(),
		Fence: &yuccawire.Fence{Owner: j.takeover.from.name, Incarnation: j.takeover.from.incarnation},
	}
	d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Gather{Gather: gather}})
}

// Gathered takes in what a side knows of a job.
func (d *Dispatcher) Gathered(now time.Time, name string, m *yuccawire.Gathered) {
	j := d.jobs[KeyOf(m.GetJob())]
	if j == nil || j.state != gathering || !j.takeover.pending[name] {
		return
	}
	delete(j.takeover.pending, name)
	for _, f := range m.GetFinished() {
		d.gatherResult(j, name, f)
	}
	for _, key := range m.GetRunning() {
		d.gatherRunning(j, name, key)
	}
	d.gatherProgress(now, j)
}

func (d *Dispatcher) gatherResult(j *job, name string, f *yuccawire.Finished) {
	t := j.index[f.GetKey().GetTask()]
	if t == nil || t.done() {
		return
	}
	t.side = name
	t.attempt = f.GetKey().GetAttempt()
	if f.GetState() == yuccawire.TaskState_TASK_FINISHED {
		d.takeResult(t, f)
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
func (d *Dispatcher) gatherRunning(j *job, name string, key *yuccawire.TaskKey) {
	t := j.index[key.GetTask()]
	s := d.sides[name]
	if t == nil || s == nil || t.state != waiting {
		return
	}
	t.state = sent
	t.side = name
	t.attempt = key.GetAttempt()
	t.place = s.places[j.Service]
	s.outstanding[t] = struct{}{}
	d.team(j.Key.Team).running++
}

// gatherLost notes that a side was lost before it could be asked.
func (d *Dispatcher) gatherLost(now time.Time, j *job, name string) {
	if j.takeover.pending[name] {
		delete(j.takeover.pending, name)
		j.takeover.lost = true
		d.gatherProgress(now, j)
	}
}

func (d *Dispatcher) gatherProgress(now time.Time, j *job) {
	if len(j.takeover.pending) == 0 {
		d.endGathering(now, j)
	}
}

// endGathering goes on with the job. Tasks that no side knows are started only
// if every side that may have had them was asked.
func (d *Dispatcher) endGathering(now time.Time, j *job) {
	sure := d.askedAll(j)
	j.state = open
	sv := d.service(j.Service)
	if !sure {
		d.settleUnasked(j)
	}
	for _, t := range j.tasks {
		if t.state == waiting && j.failReason == "" {
			t.attempt = max(t.attempt, uint32(j.nonce)*attemptsPerOwner)
			d.enqueue(sv, t)
		}
	}
	d.progress(now, j)
	d.placeService(now, sv)
}

// settleUnasked ends the tasks that the former owner may have started at a side
// that could not be asked.
func (d *Dispatcher) settleUnasked(j *job) {
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
func (d *Dispatcher) askedAll(j *job) bool {
	t := j.takeover
	lostAt := d.service(j.Service).lostAt
	return len(t.pending) == 0 && !t.lost && !d.since.IsZero() && d.since.Before(t.claimedAt) && lostAt.Before(t.claimedAt)
}
