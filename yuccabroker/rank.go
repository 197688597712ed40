package yuccabroker

import "time"

// rankAt returns the position of a task in the queue. Tasks that can still meet
// their job's objective come first, those of the most urgent queues before the
// others, ordered by the latest start that meets it. Tasks of urgent queues that are late
// by the learned run times, but not by the estimate, follow those. Late jobs that are nearly
// done join the second tier. The tasks of other late jobs follow, those with the
// least remaining work first: a late answer is worth little, but more than none.
func (t *task) rankAt(now time.Time) (tier int, rank time.Time) {
	j := t.job
	latestStart := j.latestStart(t.step)
	switch {
	case now.After(latestStart) && j.dispatched && j.remaining*nearlyDoneDivisor <= j.taskCount:
		return tierInTime, j.earlyObjective()
	case now.After(latestStart) && j.Queue.Priority == 0 && !now.After(j.objective.Add(-t.step.Estimate)):
		return tierInTime, j.objective.Add(uncertainDelay)
	case now.After(latestStart):
		return tierLate, j.arrivedAt.Add(span(j.remainingWork() * lateRankPerWork * float64(time.Second)))
	case j.Queue.Priority == 0:
		return tierUrgent, latestStart
	}
	return tierInTime, latestStart.Add(time.Duration(min(max(j.Queue.Priority, -maxPriority), maxPriority)) * priorityStep)
}

// rerank updates the ranks of the queued tasks, some of which may have become late.
func (b *Broker) rerank(now time.Time) {
	for _, q := range b.queueList {
		q.rerank(now)
	}
}

// remainingWork returns the work of the tasks that are not done, in core-seconds
// by estimate.
func (j *job) remainingWork() float64 {
	work := 0.0
	for _, st := range j.steps {
		work += float64(st.remaining) * float64(st.CPUMilli) / milli * st.Estimate.Seconds()
	}
	return work
}

// work returns the work of the task, in core-seconds by estimate.
func (t *task) work() float64 {
	return float64(t.step.CPUMilli) / milli * t.step.Estimate.Seconds()
}
