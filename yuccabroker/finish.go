package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// HandleDisconnect removes a waiter whose caller has disconnected. A job without
// any other waiter is cancelled.
func (b *Broker) HandleDisconnect(now time.Time, id string, waiter uint64) {
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
	b.options.Logger.Info("caller left, cancelling the job", "job", id, "queue", j.Queue.Name,
		"age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining, "begun", j.dispatched)
	b.finish(now, j, Outcome{State: Abandoned, Reason: "the caller has gone"})
}

// Cancel ends a job at the request of a caller, and answers its requests that arrive later. It
// returns false if this entry has no such open job.
func (b *Broker) Cancel(now time.Time, queue, id string) bool {
	return b.cancel(now, endedKey{queue: queue, id: id}, now.Add(outcomeRetention))
}

func (b *Broker) cancel(now time.Time, key endedKey, until time.Time) bool {
	queue, id := key.queue, key.id
	b.recordEnded(b.cancelled, key, endedJob{outcome: Outcome{State: Failed, Reason: cancelledReason}, until: until})
	j := b.jobs[id]
	if j == nil || j.Queue.Name != queue {
		return false
	}
	b.metrics.Add("jobs_cancelled", 1)
	b.options.Logger.Info("job cancelled", "job", id, "age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining)
	b.answer(now, j, Outcome{State: Failed, Reason: cancelledReason})
	return true
}

// finish saves the outcome of a job and stops its remaining tasks.
func (b *Broker) finish(now time.Time, j *job, o Outcome) {
	j.ended, j.endedAt = true, now
	j.isFinal = o.State == Completed || o.State == Failed
	if j.runsInFlight > 0 {
		b.endingJobs = append(b.endingJobs, j)
		if !j.isFinal {
			b.open.list(j)
		}
	}
	delete(b.jobs, j.ID)
	if j.isFinal {
		b.announce(j.Queue.Name, j.ID, o)
	}
	b.outcomes[j.ID] = savedOutcome{outcome: o, queue: j.Queue.Name, lastRun: j.lastRun, savedAt: now, job: j}
	b.outcomeAges = append(b.outcomeAges, outcomeAge{id: j.ID, savedAt: now})
	b.stopRuns(j)
	b.needsPlacement = true
}

// stopRuns dequeues the queued tasks of a job and withdraws its runs.
func (b *Broker) stopRuns(j *job) {
	withdrawals := make(map[*side]*yuccawire.Withdraw)
	var sides []*side
	for _, st := range j.steps {
		for _, t := range st.tasks {
			switch t.state {
			case taskQueued:
				b.queueOf(t).remove(t)
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

// answer sends the outcome to all waiters and finishes the job.
func (b *Broker) answer(now time.Time, j *job, o Outcome) {
	for _, w := range j.waiters {
		b.emit(Answer{Waiter: w, Outcome: o})
	}
	j.waiters = nil
	b.metrics.Add("jobs_"+o.State.String(), 1)
	if o.State == Completed {
		b.options.Logger.Info("job completed", "job", j.ID, "queue", j.Queue.Name, "age_ms", now.Sub(j.arrivedAt).Milliseconds(),
			"orders", j.runsSent, "late_ms", now.Sub(j.objective).Milliseconds())
	} else {
		b.options.Logger.Info("job not completed", "job", j.ID, "queue", j.Queue.Name, "state", o.State.String(), "reason", o.Reason,
			"age_ms", now.Sub(j.arrivedAt).Milliseconds(), "left", j.remaining, "orders", j.runsSent)
	}
	b.finish(now, j, o)
}

// abandon ends a job that can't be completed. It is answered as rejected only if
// no run of it has started or will.
func (b *Broker) abandon(now time.Time, j *job, reason string) {
	if j.withdrawReason != "" {
		reason = j.withdrawReason
	}
	if !j.mayHaveRun && j.runsInFlight == 0 {
		b.answer(now, j, Outcome{State: Rejected, Reason: reason, RetryAfter: b.retryAfter(now, j)})
		return
	}
	b.answer(now, j, Outcome{State: Abandoned, Reason: reason})
}
