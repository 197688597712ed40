package yuccabroker

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaestimate"
)

type taskState int

const (
	// taskBlocked: steps it depends on are not done, a run of an earlier submission may be
	// alive, or its job is being withdrawn or waits for other entries.
	taskBlocked taskState = iota
	// taskQueued: it is queued for placement.
	taskQueued
	// taskSent: a run was ordered at a side and may be alive.
	taskSent
	// taskDone: a run has succeeded.
	taskDone
)

// job is a job that this entry owns, with its progress.
type job struct {
	Job
	arrivedAt time.Time
	// objective is the target time for the answer, answerBy the latest one.
	objective time.Time
	answerBy  time.Time
	// usefulUntil is the time after which an answer has no value for the caller.
	usefulUntil time.Time
	// leastTime is the least time in which all its tasks end, see leastRemainingTime.
	leastTime time.Duration
	waiters   []uint64
	// path is its critical path.
	path time.Duration
	// estimator has the learned run times, nil if they are not used.
	estimator *yuccaestimate.Estimator
	steps     []*step
	// remaining is how many of the taskCount tasks are not done.
	taskCount int
	remaining int
	// dispatched is set once a task has been sent to a side, with a reservation once it
	// has started there.
	dispatched bool
	// runsSent counts the orders sent, runsInFlight those whose runs may be alive.
	// mayHaveRun is set once a run has ended other than by a refusal, or was lost
	// after it may have started, or a run of an earlier submission is held elsewhere.
	runsSent     int
	runsInFlight int
	mayHaveRun   bool
	// withdrawReason is set when the runs of the job are withdrawn before it is
	// abandoned.
	withdrawReason string
	// lastRun is the highest run number used by any of its tasks. A job that is
	// submitted again continues the numbering from there; runsBefore is that of the
	// submissions before.
	lastRun, runsBefore uint64
	// receivedAt is when its first request reached this machine, lastReceivedAt when its last one did. openSequence is
	// the number of the message that has told the other entries of the job, or will, zero if none has. isTold is set
	// once they were told. isContested is set while it waits for other
	// entries, follows while it is open at one.
	receivedAt     time.Time
	lastReceivedAt time.Time
	openSequence   uint64
	isTold         bool
	isContested    bool
	follows        bool
	// ended is set once this submission of the job has ended, endedAt is since when. isFinal is set
	// if its callers were answered for good.
	ended   bool
	endedAt time.Time
	isFinal bool
}

// step is a step of a job with its progress.
type step struct {
	Step
	tasks     []*task
	remaining int
	// longestRun is the run time of its slowest successful run, zero if there is
	// none.
	longestRun time.Duration
	// placedAt is when its first task was placed, expectedEnd the latest expected end
	// of its runs. waitedAt is when a task of it last waited for a faster worker.
	placedAt    time.Time
	expectedEnd time.Time
	waitedAt    time.Time
}

// task is one of the equal tasks of a step.
type task struct {
	job   *job
	step  *step
	name  string
	state taskState
	// run is the number of its latest run.
	run      uint64
	failures uint32
	// losses counts the runs that ended with their worker.
	losses int
	// side is where its latest run was sent, nil while it is queued.
	side *side
	// sideIncarnation is the incarnation of the side that the run was sent to.
	sideIncarnation uint64
	// order is the number of the orders with its latest run, zero once the link that they were
	// sent on has been replaced. settled is set while nothing can start that run again.
	order   uint64
	settled bool
	// pinnedTo are the sides whose workers may still start earlier runs. The task runs nowhere else.
	pinnedTo []string
	// notBefore is until when it is not placed again at the side that has another run of it.
	notBefore time.Time
	// tier and rank determine its position in the queue, lower ones first.
	tier int
	rank time.Time
	// heapIndex is its index in the queue, -1 while it is not queued.
	heapIndex int
	// queuedAt is when it was last queued.
	queuedAt time.Time
	sentAt   time.Time
	// orderedMS is a time that the side's clock had reached when the run was ordered, in
	// milliseconds.
	orderedMS int64
	// avoid is the side where its last run failed, was refused, stopped or lost;
	// other sides are preferred.
	avoid *side
	// withdrawnRun is the number of the last run that was withdrawn from a leaving worker.
	withdrawnRun uint64
	// failedAt holds the sides where runs of it failed.
	failedAt []*side
	// moved is set once a run was withdrawn as a straggler.
	moved bool
	// heldBack is set while its queue is over its share, wasHeldBack once that is counted.
	heldBack, wasHeldBack bool
	// yields is set while it is late and tasks wait at other entries.
	yields bool
	// unplacedSince is since when the task has fitted at no worker, unplacedAt when that
	// was last found. reservation is nil unless its latest run is a reserved order.
	unplacedSince time.Time
	unplacedAt    time.Time
	reservation   *reservation
}

// Submit accepts or refuses a job. A resend joins the open job with its ID and queue, or
// is answered with the retained outcome if the job has completed or failed. The
// outcome is returned by an [Answer] for the waiter.
func (b *Broker) Submit(now time.Time, submitted Job, waiter uint64) {
	b.metrics.Add("jobs_submitted", 1)
	submitted.Deadline = earlier(submitted.Deadline, now.Add(maxSpan))
	if outcome, ok := b.retainedOutcome(now, submitted.Queue.Name, submitted.ID); ok {
		b.metrics.Add("jobs_answered_again", 1)
		b.options.Logger.Info("resend answered with the saved outcome", "job", submitted.ID, "state", outcome.State.String(), "reason", outcome.Reason)
		b.emit(Answer{Waiter: waiter, Outcome: outcome})
		return
	}
	if j := b.jobs[submitted.ID]; j != nil {
		if j.Queue.Name != submitted.Queue.Name {
			b.refuseSameID(j, submitted, waiter)
			return
		}
		b.metrics.Add("jobs_joined", 1)
		b.options.Logger.Info("resend joined the open job", "job", j.ID, "waiters", len(j.waiters)+1)
		j.waiters = append(j.waiters, waiter)
		j.answerBy = earlier(submitted.Deadline.Add(-AnswerMargin), b.stopAt)
		if submitted.Deadline.After(j.Deadline) {
			j.Deadline = submitted.Deadline
		}
		j.lastReceivedAt = b.receivedAt(now, submitted)
		if j.openSequence > 0 {
			b.open.list(j)
		}
		b.extendHeld(j)
		return
	}
	b.queueUses[submitted.Queue.Name] = queueUse{service: submitted.Queue.Service, at: now}
	j := newJob(now, submitted, waiter)
	j.receivedAt = b.receivedAt(now, submitted)
	j.lastReceivedAt = j.receivedAt
	if b.options.Scheduling.LearnedRunTimes {
		j.estimator = b.estimator
	}
	j.answerBy = earlier(j.answerBy, b.stopAt)
	j.runsBefore = max(b.outcomes[submitted.ID].lastRun, b.lastUnsettledRun(submitted.ID))
	j.lastRun = j.runsBefore
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.run = j.lastRun
			b.extendEarlierRuns(t)
		}
	}
	b.inheritPins(j)
	b.extendHeld(j)
	j.follows = b.isOpenElsewhere(j.ID)
	j.mayHaveRun = j.mayHaveRun || len(b.lostPlacements(j.ID)) > 0
	if refusal := b.admissionRefusal(now, j); refusal != nil {
		if refusal.State == Rejected && j.mayHaveRun {
			refusal = &Outcome{State: Abandoned, Reason: refusal.Reason}
		}
		b.metrics.Add("jobs_refused", 1)
		b.options.Logger.Info("job refused", "job", j.ID, "queue", j.Queue.Name, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfter.Milliseconds(), "waiting_tasks", b.queuedTasks(), "sides", len(b.sideList),
			"forecast_ms", b.forecastWait(now, j).Milliseconds())
		if refusal.State == Failed {
			b.recordEnded(b.answered, endedKey{queue: j.Queue.Name, id: j.ID}, endedJob{outcome: *refusal, until: now.Add(outcomeRetention)})
			b.announce(j.Queue.Name, j.ID, *refusal)
		}
		b.emit(Answer{Waiter: waiter, Outcome: *refusal})
		return
	}
	b.jobs[j.ID] = j
	b.jobList = append(b.jobList, j)
	b.options.Logger.Info("job accepted", "job", j.ID, "queue", j.Queue.Name, "tasks", j.taskCount, "chain_ms", j.criticalPath().Milliseconds(),
		"deadline_ms", j.answerBy.Sub(now).Milliseconds(), "waiting_tasks", b.queuedTasks(), "received_ms", now.Sub(j.receivedAt).Milliseconds())
	b.updateContested(now, j)
	b.enqueueReady(now, j)
	b.needsPlacement = true
}

func newJob(now time.Time, submitted Job, waiter uint64) *job {
	j := &job{Job: submitted, arrivedAt: now, waiters: []uint64{waiter}}
	for i, spec := range submitted.Steps {
		spec.Estimate = min(spec.Estimate, maxEstimate)
		st := &step{Step: spec, remaining: spec.Count}
		for n := range spec.Count {
			st.tasks = append(st.tasks, &task{job: j, step: st, name: fmt.Sprintf("%s.0.%d.%d", j.ID, i, n), heapIndex: -1})
		}
		j.taskCount += spec.Count
		j.remaining += spec.Count
		j.steps = append(j.steps, st)
	}
	j.path = j.criticalPath()
	objective := j.Queue.objective(j.path)
	j.objective = now.Add(objective)
	j.usefulUntil = now.Add(usefulFactor * objective)
	j.leastTime = time.Duration(minTimeShare * float64(j.path))
	j.answerBy = submitted.Deadline.Add(-AnswerMargin)
	return j
}

// criticalPath returns the length of the longest chain of dependent steps, by
// estimate.
func (j *job) criticalPath() time.Duration {
	longest := time.Duration(0)
	finishes := make([]time.Duration, len(j.steps))
	for i, st := range j.steps {
		for _, dependency := range st.After {
			finishes[i] = max(finishes[i], finishes[dependency])
		}
		finishes[i] += st.Estimate
		longest = max(longest, finishes[i])
	}
	return longest
}

// admissionRefusal returns the outcome for a job that is not accepted, or nil.
func (b *Broker) admissionRefusal(now time.Time, j *job) *Outcome {
	if j.follows {
		return nil
	}
	if refusal := b.crashRefusal(j); refusal != nil {
		return refusal
	}
	if refusal := b.confinedRefusal(now, j); refusal != nil {
		return refusal
	}
	workers := 0
	for _, st := range j.steps {
		workers = 0
		unknown, fits, fitted := 0, false, false
		for _, s := range b.sideList {
			if s.service == "" || s.service == j.Queue.Service && s.largest.cpuMilli == 0 {
				unknown++
				continue
			}
			if s.service != j.Queue.Service {
				continue
			}
			workers++
			fits = fits || demand(st.Step).fitsIn(s.capacity) && s.hasLabel(st.Label)
			fitted = fitted || demand(st.Step).fitsIn(s.largest) && s.hasLabel(st.Label)
		}
		switch {
		case workers == 0 || fits || unknown > 0:
		case fitted:
			return &Outcome{State: Rejected, Reason: "no worker is large enough at present for a task of it", RetryAfter: b.retryAfter(now, j)}
		default:
			return &Outcome{State: Failed, Reason: "no worker is large enough, or has the label, for a task of it"}
		}
	}
	if workers == 0 {
		return &Outcome{State: Rejected, Reason: "no worker of the service is known", RetryAfter: b.retryAfter(now, j)}
	}
	if !b.stopAt.IsZero() && b.stopAt.Sub(now) < time.Duration(stopPathFactor*float64(j.criticalPath()))+stopSlack {
		return &Outcome{State: Rejected, Reason: "this entry is about to stop", RetryAfter: time.Second}
	}
	if !now.Before(j.answerBy) {
		return &Outcome{State: Rejected, Reason: "the deadline has passed", RetryAfter: time.Second}
	}
	return b.backlogRefusal(now, j)
}

// enqueueReady queues the blocked tasks of the steps whose dependencies are done, but for
// those with a run of an earlier submission that may be alive.
func (b *Broker) enqueueReady(now time.Time, j *job) {
	if j.isContested {
		return
	}
	for _, st := range j.steps {
		if st.remaining == 0 || !j.canStart(st) {
			continue
		}
		for _, t := range st.tasks {
			if t.state == taskBlocked && !b.hasEarlierRun(t) {
				b.enqueue(now, t)
			}
		}
	}
}

// hasEarlierRun reports whether a run of the task of an earlier submission may be alive.
func (b *Broker) hasEarlierRun(t *task) bool {
	for run := range t.job.runsBefore {
		if b.runs[runKey{task: t.name, run: run + 1}] != nil {
			return true
		}
	}
	return false
}

func (j *job) canStart(st *step) bool {
	for _, dependency := range st.After {
		if j.steps[dependency].remaining > 0 {
			return false
		}
	}
	return true
}

// enqueue queues a task for placement. Tasks of a job that is being withdrawn, or waits for other
// entries, are blocked instead.
func (b *Broker) enqueue(now time.Time, t *task) {
	t.side = nil
	if t.job.withdrawReason != "" || t.job.isContested {
		t.state = taskBlocked
		return
	}
	t.state = taskQueued
	t.queuedAt = now
	t.tier, t.rank = t.rankAt(now)
	b.queueOf(t).add(t)
	b.needsPlacement = true
}

// expireJobs withdraws or abandons the jobs that can't be answered in time.
func (b *Broker) expireJobs(now time.Time) {
	b.jobList = slices.DeleteFunc(b.jobList, func(j *job) bool { return j.ended })
	b.rejectHopeless(now)
	for _, j := range b.jobList {
		switch {
		case j.ended:
		case !now.Before(j.answerBy), j.withdrawReason != "" && j.runsInFlight == 0:
			b.abandon(now, j, "the deadline has passed")
		case j.withdrawReason == "" && !now.Before(j.answerBy.Add(-withdrawMargin)):
			b.withdrawJob(now, j, "the deadline is near")
		case j.withdrawReason == "" && !j.follows && j.cannotFinish(now):
			b.withdrawJob(now, j, "a task of it can't end before the deadline")
		case j.runsSent > 0 || j.mayHaveRun:
		case b.confinedRefusal(now, j) != nil:
			b.answer(now, j, *b.confinedRefusal(now, j))
		case now.Add(j.criticalPath()).After(j.usefulUntil):
			b.abandon(now, j, "it has waited in vain and can't be answered in three times its objective")
		}
	}
}

// withdrawJob stops the remaining tasks of a job shortly before it is abandoned,
// so that the sides can report whether any run has started.
func (b *Broker) withdrawJob(now time.Time, j *job, reason string) {
	j.withdrawReason = reason
	b.stopRuns(j)
	b.answerWithdrawn(now, j)
}

// completeTask handles the success of a run.
func (b *Broker) completeTask(now time.Time, t *task) {
	j := t.job
	t.state = taskDone
	t.step.remaining--
	j.remaining--
	b.throughput.add(now, t.work())
	if j.remaining == 0 {
		b.answer(now, j, Outcome{State: Completed})
		return
	}
	if t.step.remaining == 0 {
		b.enqueueReady(now, j)
	}
}

// failTask handles the failure of a run: it retries the task up to MaxAttempts.
func (b *Broker) failTask(now time.Time, t *task) {
	t.failures++
	b.metrics.Add("runs_failed", 1)
	if int(t.failures) >= max(t.job.Queue.MaxAttempts, 1) {
		b.answer(now, t.job, Outcome{State: Failed, Reason: fmt.Sprintf("task %s failed %d times", t.name, t.failures)})
		return
	}
	b.enqueue(now, t)
}
