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
	blocked taskState = iota
	// waiting: it is in the queue.
	waiting
	// sent: a run of it is alive, as far as is known.
	sent
	// done: it has ended well.
	done
)

// job is a submission that this entry answers.
type job struct {
	Job
	arrived time.Time
	// objective is when the job should be answered, giveUpAt when its caller has to
	// be.
	objective time.Time
	giveUpAt  time.Time
	// worthlessAt is when an answer is worth nothing to its caller any more.
	worthlessAt time.Time
	waiters     []uint64
	steps       []*step
	// count is the number of tasks, left those that are not done.
	count int
	left  int
	begun bool
	// sentRuns counts the orders that were sent, openRuns those whose runs may be
	// alive. ran is set once one has started, as far as is known.
	sentRuns int
	openRuns int
	ran      bool
	// withdrawn is set once the job was given up and its runs were withdrawn.
	withdrawn string
	// lastRun is the highest number of a run of any of its tasks. A job that is
	// handed in again goes on from there.
	lastRun uint64
	// ended is set once the job has its outcome.
	ended bool
}

// step is one step of a job.
type step struct {
	Step
	tasks []*task
	left  int
	// longest is what the longest run of it that ended well has taken, zero while
	// none has.
	longest time.Duration
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
	sentTo uint64
	tier   int
	rank   time.Time
	at     int
	sentAt time.Time
	// avoid is where it has last failed or stood still.
	avoid *side
	// moved is set once a run of it was withdrawn as a straggler.
	moved bool
}

// Submit takes in a job. A job that is known is joined.
func (b *Broker) Submit(now time.Time, submitted Job, waiter uint64) {
	b.metrics.Add("jobs_submitted", 1)
	if k, ok := b.kept[submitted.ID]; ok && k.queue == submitted.Queue.Name && k.outcome.State != GivenUp && k.outcome.State != Rejected {
		b.metrics.Add("jobs_answered_again", 1)
		b.options.Logger.Info("answers a resend with the outcome that is kept", "job", submitted.ID, "state", k.outcome.State.String())
		b.do(Answer{Waiter: waiter, Outcome: k.outcome})
		return
	}
	if j := b.jobs[submitted.ID]; j != nil {
		b.metrics.Add("jobs_joined", 1)
		b.options.Logger.Info("a resend joins the job", "job", j.ID, "waiters", len(j.waiters)+1)
		j.waiters = append(j.waiters, waiter)
		j.giveUpAt = submitted.Deadline.Add(-answerMargin)
		return
	}
	j := newJob(now, submitted, waiter)
	j.giveUpAt = earlier(j.giveUpAt, b.stopAt)
	j.lastRun = b.kept[submitted.ID].lastRun
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.run = j.lastRun
		}
	}
	if refusal := b.refusal(now, j); refusal != nil {
		b.metrics.Add("jobs_refused", 1)
		b.options.Logger.Info("refuses a job", "job", j.ID, "queue", j.Queue.Name, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfter.Milliseconds(), "waiting_tasks", b.waiting.Len(), "sides", len(b.list))
		b.do(Answer{Waiter: waiter, Outcome: *refusal})
		return
	}
	b.jobs[j.ID] = j
	b.open = append(b.open, j)
	b.options.Logger.Info("takes a job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.count, "chain_ms", j.chain().Milliseconds(),
		"deadline_ms", j.giveUpAt.Sub(now).Milliseconds(), "waiting_tasks", b.waiting.Len())
	b.release(now, j)
	b.stale = true
}

func newJob(now time.Time, submitted Job, waiter uint64) *job {
	j := &job{Job: submitted, arrived: now, waiters: []uint64{waiter}}
	for s, given := range submitted.Steps {
		st := &step{Step: given, left: given.Count}
		for i := range given.Count {
			st.tasks = append(st.tasks, &task{job: j, step: st, name: fmt.Sprintf("%s.0.%d.%d", j.ID, s, i), at: -1})
		}
		j.count += given.Count
		j.left += given.Count
		j.steps = append(j.steps, st)
	}
	objective := time.Duration(j.Queue.Stretch*float64(j.chain())) + j.Queue.TargetLatency
	j.objective = now.Add(objective)
	j.worthlessAt = now.Add(lateFactor * objective)
	j.giveUpAt = submitted.Deadline.Add(-answerMargin)
	return j
}

// chain is the longest chain of estimates.
func (j *job) chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.steps))
	for s, st := range j.steps {
		for _, before := range st.After {
			ends[s] = max(ends[s], ends[before])
		}
		ends[s] += st.Estimate
		longest = max(longest, ends[s])
	}
	return longest
}

// refusal tells why a job can't be taken, or returns nil.
func (b *Broker) refusal(now time.Time, j *job) *Outcome {
	workers := 0
	for _, st := range j.steps {
		workers = 0
		fits := false
		for _, s := range b.list {
			if s.service != j.Queue.Service || s.total == (room{}) {
				continue
			}
			workers++
			fits = fits || need(st.Step).fits(s.total) && s.has(st.Label)
		}
		if workers > 0 && !fits && workers == len(b.list) {
			return &Outcome{State: Failed, Reason: "no worker is large enough, or has the label, for a task of it"}
		}
	}
	if workers == 0 {
		return &Outcome{State: Rejected, Reason: "no worker of the service is known", RetryAfter: time.Second}
	}
	if !b.stopAt.IsZero() && b.stopAt.Sub(now) < time.Duration(stopFactor*float64(j.chain()))+stopSlack {
		return &Outcome{State: Rejected, Reason: "this entry is about to stop", RetryAfter: time.Second}
	}
	if !now.Before(j.giveUpAt) {
		return &Outcome{State: Rejected, Reason: "the deadline has passed", RetryAfter: time.Second}
	}
	if wait := b.backlog(now); now.Add(wait + j.chain()).After(j.giveUpAt) {
		return &Outcome{State: Rejected, Reason: "what waits here takes longer than the caller waits", RetryAfter: max(wait, time.Second)}
	}
	return nil
}

// release queues the tasks of the steps whose turn has come.
func (b *Broker) release(now time.Time, j *job) {
	for _, st := range j.steps {
		if st.left == 0 || !j.mayBegin(st) {
			continue
		}
		for _, t := range st.tasks {
			if t.state == blocked {
				b.enqueue(now, t)
			}
		}
	}
}

func (j *job) mayBegin(st *step) bool {
	for _, before := range st.After {
		if j.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// enqueue makes a task wait for a place. It ranks by the latest start that
// reaches the job's objective; those that can't any more come after the others.
func (b *Broker) enqueue(now time.Time, t *task) {
	t.side = nil
	if t.job.withdrawn != "" {
		t.state = blocked
		return
	}
	t.state = waiting
	t.tier, t.rank = t.rankAt(now)
	b.waiting.add(t)
	b.stale = true
}

// rankAt orders a task among those that wait. Tasks that can reach their
// objective come first, those of the most urgent queues before the others, and
// then by the latest start that reaches it. The rest are ordered by what their
// callers still wait for: late answers are worth little, and none is worth less.
func (t *task) rankAt(now time.Time) (tier int, rank time.Time) {
	j := t.job
	latest := j.objective.Add(-t.step.Estimate)
	switch {
	case now.After(latest) && j.begun && j.left*nearlyDone <= j.count:
		return tierInTime, j.objective
	case now.After(latest):
		return tierLate, j.arrived.Add(time.Duration(j.workLeft() * lateRankPerWork * float64(time.Second)))
	case j.Queue.Priority == 0:
		return tierUrgent, latest
	}
	return tierInTime, latest.Add(time.Duration(j.Queue.Priority) * priorityStep)
}

// rerank orders the waiting tasks anew, some of which have become late.
func (b *Broker) rerank(now time.Time) {
	changed := false
	for _, t := range b.waiting.tasks {
		if tier, rank := t.rankAt(now); tier != t.tier || !rank.Equal(t.rank) {
			t.tier, t.rank = tier, rank
			changed = true
		}
	}
	if changed {
		b.waiting.rerank()
	}
}

// workLeft is what the tasks that are not done take, in core-seconds by
// estimate.
func (j *job) workLeft() float64 {
	left := 0.0
	for _, st := range j.steps {
		left += float64(st.left) * float64(st.CPUMilli) / milli * st.Estimate.Seconds()
	}
	return left
}

// work is what the task takes, in core-seconds by estimate.
func (t *task) work() float64 {
	return float64(t.step.CPUMilli) / milli * t.step.Estimate.Seconds()
}

// Left tells that a caller has gone. Without another one the job is cancelled.
func (b *Broker) Left(now time.Time, id string, waiter uint64) {
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
		"age_ms", now.Sub(j.arrived).Milliseconds(), "left", j.left, "begun", j.begun)
	b.end(now, j, Outcome{State: GivenUp, Reason: "the caller has gone"})
}

// Cancel ends a job on its caller's word. It returns false for a job that isn't
// known here.
func (b *Broker) Cancel(now time.Time, queue, id string) bool {
	j := b.jobs[id]
	if j == nil || j.Queue.Name != queue {
		return false
	}
	b.metrics.Add("jobs_cancelled", 1)
	b.options.Logger.Info("cancels a job", "job", id, "age_ms", now.Sub(j.arrived).Milliseconds(), "left", j.left)
	b.answer(now, j, Outcome{State: Failed, Reason: "cancelled"})
	return true
}

// end keeps the outcome of a job and stops what is left of it.
func (b *Broker) end(now time.Time, j *job, o Outcome) {
	j.ended = true
	delete(b.jobs, j.ID)
	b.kept[j.ID] = keptOutcome{outcome: o, queue: j.Queue.Name, lastRun: j.lastRun}
	b.keptIDs = append(b.keptIDs, keptID{id: j.ID, at: now})
	b.stopRuns(j)
	b.stale = true
}

// stopRuns takes the waiting tasks of a job from the queue and withdraws its runs.
func (b *Broker) stopRuns(j *job) {
	stops := make(map[*side]*yuccawire.Withdraw)
	var sides []*side
	for _, st := range j.steps {
		for _, t := range st.tasks {
			switch t.state {
			case waiting:
				b.waiting.remove(t)
			case sent:
				if stops[t.side] == nil {
					stops[t.side] = &yuccawire.Withdraw{}
					sides = append(sides, t.side)
				}
				stops[t.side].Runs = append(stops[t.side].Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
			case blocked, done:
			}
		}
	}
	for _, s := range sides {
		withdraw := stops[s]
		b.metrics.Add("runs_withdrawn", int64(len(withdraw.GetRuns())))
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
	}
}

// answer ends the job with its one outcome.
func (b *Broker) answer(now time.Time, j *job, o Outcome) {
	for _, w := range j.waiters {
		b.do(Answer{Waiter: w, Outcome: o})
	}
	j.waiters = nil
	b.metrics.Add("jobs_"+o.State.String(), 1)
	if o.State == Completed {
		b.options.Logger.Info("completes a job", "job", j.ID, "queue", j.Queue.Name, "age_ms", now.Sub(j.arrived).Milliseconds(),
			"orders", j.sentRuns, "late_ms", now.Sub(j.objective).Milliseconds())
	} else {
		b.options.Logger.Info("ends a job", "job", j.ID, "queue", j.Queue.Name, "state", o.State.String(), "reason", o.Reason,
			"age_ms", now.Sub(j.arrived).Milliseconds(), "left", j.left, "orders", j.sentRuns)
	}
	b.end(now, j, o)
}

// giveUp ends a job that can't be completed. Only one that never left this
// entry is rejected, since nothing of it has run or will.
func (b *Broker) giveUp(now time.Time, j *job, reason string) {
	if j.withdrawn != "" {
		reason = j.withdrawn
	}
	if !j.ran && j.openRuns == 0 {
		b.answer(now, j, Outcome{State: Rejected, Reason: reason, RetryAfter: time.Second})
		return
	}
	b.answer(now, j, Outcome{State: GivenUp, Reason: reason})
}

func (b *Broker) expireJobs(now time.Time) {
	b.open = slices.DeleteFunc(b.open, func(j *job) bool { return j.ended })
	for _, j := range b.open {
		switch {
		case j.ended:
		case !now.Before(j.giveUpAt), j.withdrawn != "" && j.openRuns == 0:
			b.giveUp(now, j, "the deadline has passed")
		case j.withdrawn == "" && !now.Before(j.giveUpAt.Add(-withdrawMargin)):
			b.withdraw(j, "the deadline is near")
		case j.withdrawn == "" && j.hopeless(now):
			b.withdraw(j, "a task of it can't end before the deadline")
		case j.sentRuns == 0 && now.Add(j.chain()).After(j.worthlessAt):
			b.giveUp(now, j, "it has waited in vain and can't be answered in three times its objective")
		}
	}
}

// hopeless tells whether a task that waits can't end before the job has to be
// answered.
func (j *job) hopeless(now time.Time) bool {
	left := j.giveUpAt.Sub(now)
	for _, st := range j.steps {
		if st.left == 0 || left > time.Duration(hopelessShare*float64(st.Estimate)) {
			continue
		}
		for _, t := range st.tasks {
			if t.state == waiting {
				return true
			}
		}
	}
	return false
}

// withdraw stops what is left of a job before it is given up, so that its
// caller hears whether anything has run.
func (b *Broker) withdraw(j *job, reason string) {
	j.withdrawn = reason
	b.stopRuns(j)
}

// backlog is the time until what waits here is done, at the rate at which
// this entry's tasks end. That rate tells what callers can have only while tasks
// have waited for some time.
func (b *Broker) backlog(now time.Time) time.Duration {
	if b.rate.mean == 0 || b.busySince.IsZero() || now.Sub(b.busySince) < backlogWindow {
		return 0
	}
	return time.Duration(b.waiting.work / b.rate.mean * float64(time.Second))
}

// taskDone takes in that a task has ended well.
func (b *Broker) taskDone(now time.Time, t *task) {
	j := t.job
	t.state = done
	t.step.left--
	j.left--
	b.rate.add(now, t.work())
	if j.left == 0 {
		b.answer(now, j, Outcome{State: Completed})
		return
	}
	if t.step.left == 0 {
		b.release(now, j)
	}
}

// taskFailed takes in that a run failed by itself.
func (b *Broker) taskFailed(now time.Time, t *task) {
	t.failures++
	b.metrics.Add("runs_failed", 1)
	if int(t.failures) >= max(t.job.Queue.MaxAttempts, 1) {
		b.answer(now, t.job, Outcome{State: Failed, Reason: fmt.Sprintf("task %s failed %d times", t.name, t.failures)})
		return
	}
	b.enqueue(now, t)
}
