package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	cancelledReason = "cancelled"
	// maxCancelledJobs limits the cancelled jobs that are known, maxAnsweredJobs those that other
	// entries have answered: 1,000 and 10,000 a second.
	maxCancelledJobs = 10_000
	maxAnsweredJobs  = 100_000
	// endedInterval is the least time between two messages with the jobs that were answered here.
	// A request comes again 1.3 s after its connection has broken at the earliest.
	endedInterval = 250 * time.Millisecond
)

type endedKey struct{ queue, id string }

// endedJob is a job that has ended for good.
type endedJob struct {
	outcome Outcome
	// until is how long its request may come again.
	until time.Time
}

// endedAge orders ended jobs for eviction. The job may have been recorded again.
type endedAge struct {
	key   endedKey
	until time.Time
}

// endedLog holds a limited number of ended jobs.
type endedLog struct {
	limit int
	jobs  map[endedKey]endedJob
	ages  []endedAge
}

func newEndedLog(limit int) *endedLog {
	return &endedLog{limit: limit, jobs: make(map[endedKey]endedJob)}
}

// add records a job. It returns false if that made another one forgotten too early.
func (l *endedLog) add(key endedKey, e endedJob) bool {
	if known, ok := l.jobs[key]; ok && !e.until.After(known.until) {
		return true
	}
	hasSpace := len(l.ages) < l.limit
	if !hasSpace {
		l.evictFirst()
	}
	l.jobs[key] = e
	l.ages = append(l.ages, endedAge{key: key, until: e.until})
	return hasSpace
}

func (l *endedLog) evict(now time.Time) {
	for len(l.ages) > 0 && !now.Before(l.ages[0].until) {
		l.evictFirst()
	}
}

func (l *endedLog) evictFirst() {
	oldest := l.ages[0]
	l.ages = l.ages[1:]
	if l.jobs[oldest.key].until.Equal(oldest.until) {
		delete(l.jobs, oldest.key)
	}
}

// retainedOutcome returns the answer to a request that comes again after its job has ended for good.
func (b *Broker) retainedOutcome(now time.Time, queue, id string) (Outcome, bool) {
	if saved, ok := b.outcomes[id]; ok && saved.queue == queue && saved.outcome.State != Abandoned && saved.outcome.State != Rejected {
		return saved.outcome, true
	}
	for _, l := range []*endedLog{b.answered, b.cancelled} {
		if e, ok := l.jobs[endedKey{queue: queue, id: id}]; ok && now.Before(e.until) && b.jobs[id] == nil {
			return e.outcome, true
		}
	}
	return Outcome{}, false
}

func (b *Broker) recordEnded(l *endedLog, key endedKey, e endedJob) {
	if !l.add(key, e) {
		b.metrics.Add("ended_jobs_forgotten", 1)
	}
}

// announce lets the other entries know of a job that was answered for good here.
func (b *Broker) announce(queue, id string, o Outcome) {
	if _, isCancelled := b.cancelled.jobs[endedKey{queue: queue, id: id}]; isCancelled {
		return
	}
	if o.State == Failed {
		b.endedNews.Jobs = append(b.endedNews.Jobs, &yuccawire.EndedJob{
			Queue: queue, Job: id, RemainingMs: uint32(outcomeRetention.Milliseconds()), Reason: o.Reason,
		})
		return
	}
	i := slices.IndexFunc(b.endedNews.Completed, func(c *yuccawire.CompletedJobs) bool { return c.GetQueue() == queue })
	if i < 0 {
		i = len(b.endedNews.Completed)
		b.endedNews.Completed = append(b.endedNews.Completed, &yuccawire.CompletedJobs{Queue: queue})
	}
	b.endedNews.Completed[i].Jobs = append(b.endedNews.Completed[i].Jobs, id)
}

// publishEnded tells the other entries of the jobs that were answered for good here.
func (b *Broker) publishEnded(now time.Time) {
	if len(b.endedNews.Jobs)+len(b.endedNews.Completed) == 0 || now.Sub(b.endedAt) < endedInterval {
		return
	}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_EndedJobs{EndedJobs: b.endedNews}}})
	b.endedNews, b.endedAt = &yuccawire.EndedJobs{}, now
}

// Cancellation returns the message that tells another entry of a cancelled job.
func (b *Broker) Cancellation(now time.Time, queue, id string) *yuccawire.EndedJobs {
	key := endedKey{queue: queue, id: id}
	return &yuccawire.EndedJobs{Jobs: []*yuccawire.EndedJob{b.cancelled.jobs[key].toWire(now, key)}}
}

// Cancellations returns the known cancelled jobs for an entry that may not know them.
func (b *Broker) Cancellations(now time.Time) *yuccawire.EndedJobs {
	m := &yuccawire.EndedJobs{}
	for _, age := range b.cancelled.ages {
		if e := b.cancelled.jobs[age.key]; e.until.Equal(age.until) && now.Before(e.until) {
			m.Jobs = append(m.Jobs, e.toWire(now, age.key))
		}
	}
	return m
}

// toWire returns the message on a cancelled job.
func (e endedJob) toWire(now time.Time, key endedKey) *yuccawire.EndedJob {
	return &yuccawire.EndedJob{
		Queue: key.queue, Job: key.id, RemainingMs: uint32(max(e.until.Sub(now), 0).Milliseconds()), Cancelled: true, Reason: e.outcome.Reason,
	}
}

// HandleEndedJobs records jobs that have ended at other entries. Those that were cancelled end here, too.
func (b *Broker) HandleEndedJobs(now time.Time, m *yuccawire.EndedJobs) {
	for _, j := range m.GetJobs() {
		b.metrics.Add("ended_jobs_received", 1)
		key := endedKey{queue: j.GetQueue(), id: j.GetJob()}
		until := now.Add(min(time.Duration(j.GetRemainingMs())*time.Millisecond, outcomeRetention))
		if j.GetCancelled() {
			b.cancel(now, key, until)
			continue
		}
		b.recordAnswered(now, key, endedJob{outcome: Outcome{State: Failed, Reason: j.GetReason()}, until: until})
	}
	for _, c := range m.GetCompleted() {
		b.metrics.Add("ended_jobs_received", int64(len(c.GetJobs())))
		for _, id := range c.GetJobs() {
			b.recordAnswered(now, endedKey{queue: c.GetQueue(), id: id}, endedJob{outcome: Outcome{State: Completed}, until: now.Add(outcomeRetention)})
		}
	}
}

// recordAnswered records a job that another entry has answered, and answers its callers here alike.
func (b *Broker) recordAnswered(now time.Time, key endedKey, e endedJob) {
	b.recordEnded(b.answered, key, e)
	if j := b.jobs[key.id]; j != nil && j.Queue.Name == key.queue {
		b.metrics.Add("jobs_answered_elsewhere", 1)
		b.answer(now, j, e.outcome)
	}
}
