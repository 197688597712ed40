package yuccabroker

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type taskState int

const (
	// blocked: steps that it depends on are not done.
	taskBlocked taskState = iota
	// waiting: it is in the queue.
	taskQueued
	// sent: a run of it is alive, as far as is known.
	taskSent
	// done: it has ended well.
	taskDone
)

// job is a submission that this entry answers.
type job struct {
	Job
	arrivedAt time.Time
	// objective is when the job should be answered, giveUpAt when its caller has to
	// be.
	objective time.Time
	answerBy  time.Time
	// worthlessAt is when an answer is worth nothing to its caller any more.
	usefulUntil time.Time
	waiters     []uint64
	steps       []*step
	// count is the number of tasks, left those that are not done.
	taskCount  int
	remaining  int
	dispatched bool
	// sentRuns counts the orders that were sent, openRuns those whose runs may be
	// alive. ran is set once one has started, as far as is known.
	runsSent     int
	runsInFlight int
	mayHaveRun   bool
	// withdrawn is set once the job was given up and its runs were withdrawn.
	withdrawReason string
	// lastRun is the highest number of a run of any of its tasks. A job that is
	// handed in again goes on from there.
	lastRun uint64
	// ended is set once the job has its outcome.
	ended bool
}

// step is one step of a job.
type step struct {
	Step
	tasks     []*task
	remaining int
	// longest is what the longest run of it that ended well has taken, zero while
	// none has.
	longestRun time.Duration
}

// task is one task of a job.
type task struct {
	job      *job
	step     *step
	name     string
	state    taskState
	run      uint64
	failures uint32
	side     *side
	// sentTo is the incarnation of the side that the run was sent to.
	sideIncarnation uint64
	tier            int
	rank            time.Time
	heapIndex       int
	sentAt          time.Time
	// avoid is where it has last failed or stood still.
	avoid *side
	// moved is set once a run of it was withdrawn as a straggler.
	moved bool
}

// Submit takes in a job. A job that is known is joined.
func (b *Broker) Submit(now time.Time, submitted Job, waiter uint64) {
	b.metrics.Add("jobs_submitted", 1)
	if saved, ok := b.outcomes[submitted.ID]; ok && saved.queue == submitted.Queue.Name && saved.outcome.State != Abandoned && saved.outcome.State != Rejected {
		b.metrics.Add("jobs_answered_again", 1)
		b.options.Logger.Info("answers a resend with the outcome that is kept", "job", submitted.ID, "state", saved.outcome.State.String())
		b.emit(Answer{Waiter: waiter, Outcome: saved.outcome})
		return
	}
	if j := b.jobs[submitted.ID]; j != nil {
		b.metrics.Add("jobs_joined", 1)
		b.options.Logger.Info("a resend joins the job", "job", j.ID, "waiters", len(j.waiters)+1)
		j.waiters = append(j.waiters, waiter)
		j.answerBy = submitted.Deadline.Add(-answerMargin)
		return
	}
	j := newJob(now, submitted, waiter)
	j.answerBy = earlier(j.answerBy, b.stopAt)
	j.lastRun = b.outcomes[submitted.ID].lastRun
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.run = j.lastRun
		}
	}
	if refusal := b.admissionRefusal(now, j); refusal != nil {
		b.metrics.Add("jobs_refused", 1)
		b.options.Logger.Info("refuses a job", "job", j.ID, "queue", j.Queue.Name, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfter.Milliseconds(), "waiting_tasks", b.queue.Len(), "sides", len(b.sideList))
		b.emit(Answer{Waiter: waiter, Outcome: *refusal})
		return
	}
	b.jobs[j.ID] = j
	b.openJobs = append(b.openJobs, j)
	b.options.Logger.Info("takes a job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.taskCount, "chain_ms", j.criticalPath().Milliseconds(),
		"deadline_ms", j.answerBy.Sub(now).Milliseconds(), "waiting_tasks", b.queue.Len())
	b.enqueueReady(now, j)
	b.needsPlacement = true
}

func newJob(now time.Time, submitted Job, waiter uint64) *job {
	j := &job{Job: submitted, arrivedAt: now, waiters: []uint64{waiter}}
	for i, spec := range submitted.Steps {
		st := &step{Step: spec, remaining: spec.Count}
		for n := range spec.Count {
			st.tasks = append(st.tasks, &task{job: j, step: st, name: fmt.Sprintf("%s.0.%d.%d", j.ID, i, n), heapIndex: -1})
		}
		j.taskCount += spec.Count
		j.remaining += spec.Count
		j.steps = append(j.steps, st)
	}
	objective := time.Duration(j.Queue.Stretch*float64(j.criticalPath())) + j.Queue.TargetLatency
	j.objective = now.Add(objective)
	j.usefulUntil = now.Add(usefulFactor * objective)
	j.answerBy = submitted.Deadline.Add(-answerMargin)
	return j
}

// chain is the longest chain of estimates.
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

// refusal tells why a job can't be taken, or returns nil.
func (b *Broker) admissionRefusal(now time.Time, j *job) *Outcome {
	workers := 0
	for _, st := range j.steps {
		workers = 0
		fits := false
		for _, s := range b.sideList {
			if s.service != j.Queue.Service || s.capacity == (resources{}) {
				continue
			}
			workers++
			fits = fits || demand(st.Step).fits(s.capacity) && s.hasLabel(st.Label)
		}
		if workers > 0 && !fits && workers == len(b.sideList) {
			return &Outcome{State: Failed, Reason: "no worker is large enough, or has the label, for a task of it"}
		}
	}
	if workers == 0 {
		return &Outcome{State: Rejected, Reason: "no worker of the service is known", RetryAfter: time.Second}
	}
	if !b.stopAt.IsZero() && b.stopAt.Sub(now) < time.Duration(stopPathFactor*float64(j.criticalPath()))+stopSlack {
		return &Outcome{State: Rejected, Reason: "this entry is about to stop", RetryAfter: time.Second}
	}
	if !now.Before(j.answerBy) {
		return &Outcome{State: Rejected, Reason: "the deadline has passed", RetryAfter: time.Second}
	}
	if wait := b.backlogDelay(now); now.Add(wait + j.criticalPath()).After(j.answerBy) {
		return &Outcome{State: Rejected, Reason: "what waits here takes longer than the caller waits", RetryAfter: max(wait, time.Second)}
	}
	return nil
}

// release queues the tasks of the steps whose turn has come.
func (b *Broker) enqueueReady(now time.Time, j *job) {
	for _, st := range j.steps {
		if st.remaining == 0 || !j.canStart(st) {
			continue
		}
		for _, t := range st.tasks {
			if t.state == taskBlocked {
				b.enqueue(now, t)
			}
		}
	}
}

func (j *job) canStart(st *step) bool {
	for _, dependency := range st.After {
		if j.steps[dependency].remaining > 0 {
			return false
		}
	}
	return true
}

// enqueue makes a task wait for a place. It ranks by the latest start that
// reaches the job's objective; those that can't any more come after the others.
func (b *Broker) enqueue(now time.Time, t *task) {
	t.side = nil
	if t.job.withdrawReason != "" {
		t.state = taskBlocked
		return
	}
	t.state = taskQueued
	t.tier, t.rank = t.rankAt(now)
	b.queue.add(t)
	b.needsPlacement = true
}

// rankAt orders a task among those that wait. Tasks that can reach their
// objective come first, those of the most urgent queues before the others, and
// then by the latest start that reaches it. The rest are ordered by what their
// callers still wait for: late answers are worth little, and none is worth less.
func (t *task) rankAt(now time.Time) (tier int, rank time.Time) {
	j := t.job
	latestStart := j.objective.Add(-t.step.Estimate)
	switch {
	case now.After(latestStart) && j.dispatched && j.remaining*nearlyDoneDivisor <= j.taskCount:
		return tierInTime, j.objective
	case now.After(latestStart):
		return tierLate, j.arrivedAt.Add(time.Duration(j.remainingWork() * lateRankPerWork * float64(time.Second)))
	case j.Queue.Priority == 0:
		return tierUrgent, latestStart
	}
	return tierInTime, latestStart.Add(time.Duration(j.Queue.Priority) * priorityStep)
}

// rerank orders the waiting tasks anew, some of which have become late.
func (b *Broker) rerank(now time.Time) {
	changed := false
	for _, t := range b.queue.tasks {
		if tier, rank := t.rankAt(now); tier != t.tier || !rank.Equal(t.rank) {
			t.tier, t.rank = tier, rank
			changed = true
		}
	}
	if changed {
		b.queue.rerank()
	}
}

// workLeft is what the tasks that are not done take, in core-seconds by
// estimate.
func (j *job) remainingWork() float64 {
	work := 0.0
	for _, st := range j.steps {
		work += float64(st.remaining) * float64(st.CPUMilli) / milli * st.Estimate.Seconds()
	}
	return work
}

// work is what the task takes, in core-seconds by estimate.
func (t *task) work() float64 {
	return float64(t.step.CPUMilli) / milli * t.step.Estimate.Seconds()
}

// Left tells that a caller has gone. Without another one the job is cancelled.
func (b *Broker) CallerLeft(now time.Time, id string, waiter uint64) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	for i, w := range j.waiters {
		if w == waiter {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if len(j.waiters) > 0 {
		return
	}
	b.metrics.Add("jobs_abandoned", 1)
	b.options.Logger.Info("caller has gone, cancelling the job", "job", id, "queue", j.Queue.Name,
		"age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining, "begun", j.dispatched)
	b.finish(now, j, Outcome{State: Abandoned, Reason: "the caller has gone"})
}

// Cancel ends a job on its caller's word. It returns false for a job that isn't
// known here.
func (b *Broker) Cancel(now time.Time, queue, id string) bool {
	j := b.jobs[id]
	if j == nil || j.Queue.Name != queue {
		return false
	}
	b.metrics.Add("jobs_cancelled", 1)
	b.options.Logger.Info("cancels a job", "job", id, "age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining)
	b.answer(now, j, Outcome{State: Failed, Reason: "cancelled"})
	return true
}

// end keeps the outcome of a job and stops what is left of it.
func (b *Broker) finish(now time.Time, j *job, o Outcome) {
	j.ended = true
	delete(b.jobs, j.ID)
	b.outcomes[j.ID] = savedOutcome{outcome: o, queue: j.Queue.Name, lastRun: j.lastRun}
	b.outcomeAges = append(b.outcomeAges, outcomeAge{id: j.ID, savedAt: now})
	b.stopRuns(j)
	b.needsPlacement = true
}

// stopRuns takes the waiting tasks of a job from the queue and withdraws its runs.
func (b *Broker) stopRuns(j *job) {
	withdrawals := make(map[*side]*yuccawire.Withdraw)
	var sides []*side
	for _, st := range j.steps {
		for _, t := range st.tasks {
			switch t.state {
			case taskQueued:
				b.queue.remove(t)
			case taskSent:
				if withdrawals[t.side] == nil {
					withdrawals[t.side] = &yuccawire.Withdraw{}
					sides = append(sides, t.side)
				}
				withdrawals[t.side].Runs = append(withdrawals[t.side].Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
			case taskBlocked, taskDone:
			}
		}
	}
	for _, s := range sides {
		withdraw := withdrawals[s]
		b.metrics.Add("runs_withdrawn", int64(len(withdraw.GetRuns())))
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
	}
}

// answer ends the job with its one outcome.
func (b *Broker) answer(now time.Time, j *job, o Outcome) {
	for _, w := range j.waiters {
		b.emit(Answer{Waiter: w, Outcome: o})
	}
	j.waiters = nil
	b.metrics.Add("jobs_"+o.State.String(), 1)
	if o.State == Completed {
		b.options.Logger.Info("completes a job", "job", j.ID, "queue", j.Queue.Name, "age_ms", now.Sub(j.arrivedAt).Milliseconds(),
			"orders", j.runsSent, "late_ms", now.Sub(j.objective).Milliseconds())
	} else {
		b.options.Logger.Info("ends a job", "job", j.ID, "queue", j.Queue.Name, "state", o.State.String(), "reason", o.Reason,
			"age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining, "orders", j.runsSent)
	}
	b.finish(now, j, o)
}

// giveUp ends a job that can't be completed. Only one that never left this
// entry is rejected, since nothing of it has run or will.
func (b *Broker) abandon(now time.Time, j *job, reason string) {
	if j.withdrawReason != "" {
		reason = j.withdrawReason
	}
	if !j.mayHaveRun && j.runsInFlight == 0 {
		b.answer(now, j, Outcome{State: Rejected, Reason: reason, RetryAfter: time.Second})
		return
	}
	b.answer(now, j, Outcome{State: Abandoned, Reason: reason})
}

func (b *Broker) expireJobs(now time.Time) {
	b.openJobs = slices.DeleteFunc(b.openJobs, func(j *job) bool { return j.ended })
	for _, j := range b.openJobs {
		switch {
		case j.ended:
		case !now.Before(j.answerBy), j.withdrawReason != "" && j.runsInFlight == 0:
			b.abandon(now, j, "the deadline has passed")
		case j.withdrawReason == "" && !now.Before(j.answerBy.Add(-withdrawMargin)):
			b.withdrawJob(j, "the deadline is near")
		case j.withdrawReason == "" && j.cannotFinish(now):
			b.withdrawJob(j, "a task of it can't end before the deadline")
		case j.runsSent == 0 && now.Add(j.criticalPath()).After(j.usefulUntil):
			b.abandon(now, j, "it has waited in vain and can't be answered in three times its objective")
		}
	}
}

// hopeless tells whether a task that waits can't end before the job has to be
// answered.
func (j *job) cannotFinish(now time.Time) bool {
	remaining := j.answerBy.Sub(now)
	for _, st := range j.steps {
		if st.remaining == 0 || remaining > time.Duration(minTimeShare*float64(st.Estimate)) {
			continue
		}
		for _, t := range st.tasks {
			if t.state == taskQueued {
				return true
			}
		}
	}
	return false
}

// withdraw stops what is left of a job before it is given up, so that its
// caller hears whether anything has run.
func (b *Broker) withdrawJob(j *job, reason string) {
	j.withdrawReason = reason
	b.stopRuns(j)
}

// backlog is the time until what waits here is done, at the rate at which
// this entry's tasks end. That rate tells what callers can have only while tasks
// have waited for some time.
func (b *Broker) backlogDelay(now time.Time) time.Duration {
	if b.throughput.mean == 0 || b.backlogSince.IsZero() || now.Sub(b.backlogSince) < backlogWindow {
		return 0
	}
	return time.Duration(b.queue.work / b.throughput.mean * float64(time.Second))
}

// taskDone takes in that a task has ended well.
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

// taskFailed takes in that a run failed by itself.
func (b *Broker) failTask(now time.Time, t *task) {
	t.failures++
	b.metrics.Add("runs_failed", 1)
	if int(t.failures) >= max(t.job.Queue.MaxAttempts, 1) {
		b.answer(now, t.job, Outcome{State: Failed, Reason: fmt.Sprintf("task %s failed %d times", t.name, t.failures)})
		return
	}
	b.enqueue(now, t)
}
