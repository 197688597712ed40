package yuccabroker

import (
	"slices"
	"time"
)

const (
	// excessReason is the reason of a rejection by the forecast.
	excessReason = "the demand of its queue exceeds the capacity until it would be late"
	// rejectionInterval is the time between two forecasts for the waiting jobs, which sort
	// the waiting tasks.
	rejectionInterval = 100 * time.Millisecond
)

// backlogRefusal returns the outcome for a job that would be late because of what waits, or
// nil.
func (b *Broker) backlogRefusal(now time.Time, j *job) *Outcome {
	if !b.options.Scheduling.AdmissionForecast {
		if wait := b.backlogDelay(now); now.Add(wait + j.path).After(j.answerBy) {
			return &Outcome{State: Rejected, Reason: "what waits here takes longer than the caller waits", RetryAfter: max(wait, time.Second)}
		}
		return nil
	}
	if now.Add(j.path).After(j.answerBy) {
		return &Outcome{State: Rejected, Reason: "a task of it can't end before the deadline", RetryAfter: time.Second}
	}
	queue := j.Queue.Name
	if !b.shares.HasBacklog(now, queue) || !now.Add(b.forecastWait(now, j)+j.path).After(j.objective) || b.hasCapacityFor(now, j) {
		return nil
	}
	b.metrics.Add("jobs_refused_forecast", 1)
	return &Outcome{State: Rejected, Reason: excessReason, RetryAfter: b.retryAfter(now, j)}
}

// forecastWait returns how long the tasks of a new job are expected to wait.
func (b *Broker) forecastWait(now time.Time, j *job) time.Duration {
	return b.shares.WaitFor(now, j.Queue.Name, b.workBefore(now, j))
}

// workBefore returns the work of the waiting tasks of its queue that are placed before the
// tasks of a new job, in core-seconds. Late tasks are not among them.
func (b *Broker) workBefore(now time.Time, j *job) float64 {
	first := *j.steps[0].tasks[0]
	first.tier, first.rank = first.rankAt(now)
	work := 0.0
	for _, t := range b.queueOf(&first).tasks {
		if t.isBefore(&first) {
			work += t.work()
		}
	}
	return work
}

// hasCapacityFor reports whether for each step that can start, a worker has free capacity
// for a task.
func (b *Broker) hasCapacityFor(now time.Time, j *job) bool {
	for _, st := range j.steps {
		if !j.canStart(st) {
			continue
		}
		t := st.tasks[0]
		tier, _ := t.rankAt(now)
		if !slices.ContainsFunc(b.sideList, func(s *side) bool {
			return b.isEligible(now, t, s) && demand(st.Step).fitsIn(s.available(tier))
		}) {
			return false
		}
	}
	return true
}

// rejectHopeless rejects the jobs of which no task was sent and which can't be answered
// while an answer is useful, by the work that is placed before them. A queue without a
// share has no such forecast.
func (b *Broker) rejectHopeless(now time.Time) {
	if !b.options.Scheduling.AdmissionForecast || now.Sub(b.rejectedAt) < rejectionInterval {
		return
	}
	b.rejectedAt = now
	for _, q := range b.openQueues() {
		e, known := b.shares.Entitlement(now, q.name)
		if !known || e.Part <= 0 || !b.shares.HasBacklog(now, q.name) {
			continue
		}
		tasks := slices.Clone(q.tasks)
		slices.SortFunc(tasks, func(x, y *task) int {
			if x.isBefore(y) {
				return -1
			}
			return 1
		})
		ahead := 0.0
		for _, t := range tasks {
			j := t.job
			if j.ended {
				continue
			}
			if j.runsSent == 0 && !j.mayHaveRun && j.withdrawReason == "" && now.Add(e.WaitFor(ahead)+j.path).After(j.usefulUntil) {
				b.metrics.Add("jobs_refused_forecast", 1)
				b.answer(now, j, Outcome{State: Rejected, Reason: excessReason, RetryAfter: b.retryAfter(now, j)})
				continue
			}
			ahead += t.work()
		}
	}
}

// answerWithdrawn answers a job that is being withdrawn once none of its runs may be alive.
func (b *Broker) answerWithdrawn(now time.Time, j *job) {
	if !j.ended && j.withdrawReason != "" && j.runsInFlight == 0 {
		b.abandon(now, j, j.withdrawReason)
	}
}

// retryAfter returns the delay before a job that is rejected for lack of capacity is
// submitted again.
func (b *Broker) retryAfter(now time.Time, j *job) time.Duration {
	if !b.options.Scheduling.AdmissionForecast {
		return time.Second
	}
	return b.shares.RetryAfter(now, j.Queue.Name, now.Sub(j.arrivedAt), b.options.Random.Float64())
}

// backlogDelay estimates the time until the queued work is done from the
// throughput of this entry. It is zero until tasks have been queued for
// backlogWindow: before that, the throughput reflects demand, not capacity.
func (b *Broker) backlogDelay(now time.Time) time.Duration {
	if b.throughput.mean == 0 || b.backlogSince.IsZero() || now.Sub(b.backlogSince) < backlogWindow {
		return 0
	}
	work := 0.0
	for _, q := range b.openQueues() {
		work += q.work
	}
	return time.Duration(work / b.throughput.mean * float64(time.Second))
}
