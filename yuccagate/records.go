package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// jobID identifies a job across teams.
type jobID struct{ team, id string }

func jobIDOf(key *yuccawire.JobKey) jobID {
	return jobID{team: key.GetTeam(), id: key.GetId()}
}

// jobRecord holds the attempts at the tasks of a job.
type jobRecord struct {
	key         *yuccawire.JobKey
	tasks       map[string][]*attempt
	cancelled   bool
	retainUntil time.Time
}

// attempt is a recorded attempt at a task, either started or refused.
type attempt struct {
	key     *yuccawire.TaskKey
	service string
	owner   owner
	refusal yuccawire.Refusal
	running bool
	result  *yuccawire.Finished
}

// owner is one incarnation of an entry.
type owner struct {
	name        string
	incarnation uint64
}

func (a *attempt) wasStarted() bool { return a.refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED }

func (r *jobRecord) find(key *yuccawire.TaskKey) *attempt {
	for _, a := range r.tasks[key.GetTask()] {
		if a.key.GetAttempt() == key.GetAttempt() {
			return a
		}
	}
	return nil
}

// anyStarted reports whether any attempt at the task was started.
func (r *jobRecord) anyStarted(task string) bool {
	for _, a := range r.tasks[task] {
		if a.wasStarted() {
			return true
		}
	}
	return false
}

func (r *jobRecord) add(a *attempt) {
	task := a.key.GetTask()
	r.tasks[task] = append(r.tasks[task], a)
}

func (r *jobRecord) hasRunning() bool {
	for _, attempts := range r.tasks {
		for _, a := range attempts {
			if a.running {
				return true
			}
		}
	}
	return false
}

// ensureRecord returns the record of the job, and creates it if needed. The
// record is retained at least until the given time.
func (g *Gate) ensureRecord(key *yuccawire.JobKey, retainUntil time.Time) *jobRecord {
	id := jobIDOf(key)
	r := g.jobs[id]
	if r == nil {
		r = &jobRecord{key: key, tasks: make(map[string][]*attempt, 1)}
		g.jobs[id] = r
	}
	if r.retainUntil.Before(retainUntil) {
		r.retainUntil = retainUntil
	}
	return r
}

// retainResult stores the result of an attempt. It drops the oldest results while
// the total size exceeds MaxResultBytes.
func (g *Gate) retainResult(a *attempt, result *yuccawire.Finished) {
	a.result = result
	g.retainedBytes += len(result.GetBody())
	g.retained = append(g.retained, a)
	for g.retainedBytes > g.options.MaxResultBytes && len(g.retained) > 0 {
		g.dropResult(g.retained[0])
		g.retained[0] = nil
		g.retained = g.retained[1:]
	}
}

// dropResult replaces a retained result by one with an unknown outcome.
func (g *Gate) dropResult(a *attempt) {
	if a.result == nil || len(a.result.GetBody()) == 0 {
		return
	}
	g.retainedBytes -= len(a.result.GetBody())
	a.result = unknownResult(a.key, "the result is no longer kept")
}

func unknownResult(key *yuccawire.TaskKey, failure string) *yuccawire.Finished {
	return &yuccawire.Finished{Key: key, State: yuccawire.TaskState_TASK_UNKNOWN, Failure: failure}
}
