package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Key names a job within all teams.
type Key struct {
	Team string
	ID   string
}

// Wire returns the key as messages carry it.
func (k Key) Wire() *yuccawire.JobKey { return &yuccawire.JobKey{Team: k.Team, Id: k.ID} }

// KeyOf returns the key that a message carries.
func KeyOf(k *yuccawire.JobKey) Key { return Key{Team: k.GetTeam(), ID: k.GetId()} }

// Submission is a decoded job of a caller.
type Submission struct {
	Key     Key
	Service string
	// Digest tells submissions with different tasks apart.
	Digest []byte
	// SubmittedAt is the caller's time of the first submission, or zero.
	SubmittedAt time.Time
	// Deadline is when the job must have been answered.
	Deadline time.Time
	// Repeatable allows a task to be started again when its answer was lost or
	// an error.
	Repeatable bool
	// Unnamed tells that the caller gave no id, so that nobody can submit the job
	// again: it needs no claim.
	Unnamed bool
	// Passthrough takes every answer of the target as the task's success.
	Passthrough bool
	Tasks       []TaskRequest
	Traceparent string
}

// TaskRequest is one task of a submission.
type TaskRequest struct {
	ID      string
	Request *yuccawire.Request
}

type jobState int

const (
	// looking: the job is refused here unless it is an earlier submission's.
	lookingUp jobState = iota
	// claiming: control has not answered the claim.
	claiming
	// joined: another entry owns the job and is asked for its outcome.
	joined
	// gathering: the job was taken over, and the sides are asked what they know.
	gathering
	// open: this entry owns the job and runs its tasks.
	open
	// confirming: the outcome is known, and control is asked to record it before
	// it is answered.
	confirming
	// settled: the job has its answer.
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

// job is a submission that this entry answers.
type job struct {
	Submission
	state      jobState
	nonce      uint64
	tasks      []*task
	tasksByID  map[string]*task
	remaining  int
	failReason string
	cancelled  bool
	// cancelSent tells that the sides were asked to stop the job.
	cancelQueued bool
	// unqueued tells that no task of the job waits any more.
	dequeued    bool
	outcome     *yuccawire.Outcome
	rejection   Rejection
	joiners     []string
	claimSentAt time.Time
	// expireAt is when an unfinished job is given up, early enough to be
	// answered by its deadline.
	expireAt         time.Time
	targetWaitUntil  time.Time
	pendingRejection Admission
	takeover         *takeover
	owner            owner
	retainUntil      time.Time
	bodyBytes        int
}

// owner is one run of an entry that owns a job.
type owner struct {
	name        string
	incarnation uint64
}

// task is one task of a job.
type task struct {
	job      *job
	id       string
	request  *yuccawire.Request
	state    taskState
	attempt  uint32
	tries    int
	endpoint *endpoint
	side     string
	// failedAt is where the last attempt failed.
	failedEndpoint *endpoint
	// ran is set once an attempt was started, or may have been.
	maybeStarted bool
	// ownStart is set once this entry has started the task itself.
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

// makeTasks makes the tasks of the submission, none of which was started here.
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

// yield forgets what this entry did as the owner, after another took over.
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

// settle ends the task in a state that doesn't change any more.
func (t *task) settle(state taskState) {
	if t.state != succeeded && t.state != failed && t.state != unknown {
		t.job.remaining--
	}
	t.state = state
}

func (t *task) isSettled() bool {
	return t.state == succeeded || t.state == failed || t.state == unknown
}

// neverStarted tells whether no attempt at any task was started.
func (j *job) neverStarted() bool {
	for _, t := range j.tasks {
		if t.state != waiting || t.maybeStarted {
			return false
		}
	}
	return true
}

// ongoing tells whether any task was sent and has not been answered.
func (j *job) hasTasksInFlight() bool {
	for _, t := range j.tasks {
		if t.state == sent {
			return true
		}
	}
	return false
}
