package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Key identifies a job. IDs are unique within a team.
type Key struct {
	Team string
	ID   string
}

// Wire returns the wire representation of the key.
func (k Key) Wire() *yuccawire.JobKey { return &yuccawire.JobKey{Team: k.Team, Id: k.ID} }

// KeyOf returns the key for its wire representation.
func KeyOf(k *yuccawire.JobKey) Key { return Key{Team: k.GetTeam(), ID: k.GetId()} }

// Submission is a decoded job as submitted by a caller.
type Submission struct {
	Key     Key
	Service string
	// Digest is a hash of the job's content. A submission with the same key
	// and a different digest is a conflict.
	Digest []byte
	// SubmittedAt is the time of the first submission by the caller's clock, or zero.
	SubmittedAt time.Time
	// Deadline is the time by which the job must be answered.
	Deadline time.Time
	// Repeatable permits retries of a task whose answer was lost or was an
	// error.
	Repeatable bool
	// Unnamed is set if the caller gave no ID. Such a job cannot be submitted
	// again, so it needs no claim.
	Unnamed bool
	// Passthrough counts every answer of the target as a success, whatever its
	// status.
	Passthrough bool
	Tasks       []TaskRequest
	Traceparent string
}

// TaskRequest is one task of a submission: its ID within the job and the request
// to the target.
type TaskRequest struct {
	ID      string
	Request *yuccawire.Request
}

type jobState int

const (
	// lookingUp: the job is rejected unless control reports that an earlier
	// submission claimed it.
	lookingUp jobState = iota
	// claiming: waiting for control to answer the claim.
	claiming
	// joined: another entry owns the job and was queried for its outcome.
	joined
	// gathering: the job was taken over, and the sides are queried for its
	// results and running attempts.
	gathering
	// open: this entry owns the job and runs its tasks.
	open
	// confirming: the outcome is known, and control must record it before the
	// job is answered.
	confirming
	// settled: the job is answered.
	settled
)

type taskState int

const (
	waiting taskState = iota
	sent
	succeeded
	failed
	unknown
)

// job is the state of a submission at this entry.
type job struct {
	Submission
	state      jobState
	nonce      uint64
	tasks      []*task
	tasksByID  map[string]*task
	remaining  int
	failReason string
	cancelled  bool
	// cancelQueued is set once the cancellations to the sides are queued.
	cancelQueued bool
	// dequeued is set once the tasks of the job were removed from the queue.
	dequeued    bool
	outcome     *yuccawire.Outcome
	rejection   Rejection
	joiners     []string
	claimSentAt time.Time
	// expireAt is when an unfinished job is failed. It is before the deadline to
	// leave time for the answer.
	expireAt         time.Time
	targetWaitUntil  time.Time
	pendingRejection Admission
	takeover         *takeover
	owner            owner
	retainUntil      time.Time
	bodyBytes        int
}

// owner identifies the incarnation of an entry that owns a job.
type owner struct {
	name        string
	incarnation uint64
}

// task is the state of one task of a job.
type task struct {
	job      *job
	id       string
	request  *yuccawire.Request
	state    taskState
	attempt  uint32
	tries    int
	endpoint *endpoint
	side     string
	// failedEndpoint is the endpoint of the last answered attempt. A retry avoids
	// it.
	failedEndpoint *endpoint
	// maybeStarted is set if an earlier attempt was started or may have been.
	maybeStarted bool
	// startedHere is set once this entry has sent a start of the task.
	startedHere bool
	result      *yuccawire.Finished
	failure     string
}

func newJob(now time.Time, s Submission, nonce uint64) *job {
	margin := min(s.Deadline.Sub(now)/10, maxAnswerMargin)
	j := &job{Submission: s, nonce: nonce, expireAt: s.Deadline.Add(-margin)}
	j.resetTasks()
	return j
}

// resetTasks creates the tasks of the submission in their initial state.
func (j *job) resetTasks() {
	j.remaining = len(j.Tasks)
	j.tasks = make([]*task, len(j.Tasks))
	j.tasksByID = make(map[string]*task, len(j.Tasks))
	for i, request := range j.Tasks {
		t := &task{job: j, id: request.ID, request: request.Request}
		j.tasks[i] = t
		j.tasksByID[t.id] = t
	}
}

// relinquish resets the job to the claiming state after another entry took it
// over.
func (j *job) relinquish() {
	j.resetTasks()
	j.state = claiming
	j.outcome = nil
	j.takeover = nil
	j.failReason = ""
	j.cancelQueued = false
	j.dequeued = false
}

func (t *task) key() *yuccawire.TaskKey {
	return &yuccawire.TaskKey{Job: t.job.Key.Wire(), Task: t.id, Attempt: t.attempt}
}

// settle moves the task to a final state.
func (t *task) settle(state taskState) {
	if t.state != succeeded && t.state != failed && t.state != unknown {
		t.job.remaining--
	}
	t.state = state
}

func (t *task) isSettled() bool {
	return t.state == succeeded || t.state == failed || t.state == unknown
}

// neverStarted reports whether no attempt at any task can have been started.
func (j *job) neverStarted() bool {
	for _, t := range j.tasks {
		if t.state != waiting || t.maybeStarted {
			return false
		}
	}
	return true
}

// hasTasksInFlight reports whether any task was sent and is not yet answered.
func (j *job) hasTasksInFlight() bool {
	for _, t := range j.tasks {
		if t.state == sent {
			return true
		}
	}
	return false
}
