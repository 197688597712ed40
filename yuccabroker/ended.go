package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	cancelledReason = "cancelled"
	// maxEndedJobs limits the ended jobs that are known: 1,000 cancellations a second.
	maxEndedJobs = 10_000
)

type endedKey struct{ queue, id string }

// endedJob is a job of any entry that has ended for good.
type endedJob struct {
	reason      string
	isCancelled bool
	// until is how long its request may come again.
	until time.Time
}

// endedAge orders ended jobs for eviction. The job may have been recorded again.
type endedAge struct {
	key   endedKey
	until time.Time
}

// retainedOutcome returns the answer to a request that comes again after its job has ended for good.
func (b *Broker) retainedOutcome(now time.Time, queue, id string) (Outcome, bool) {
	if saved, ok := b.outcomes[id]; ok && saved.queue == queue && saved.outcome.State != Abandoned && saved.outcome.State != Rejected {
		return saved.outcome, true
	}
	e, ok := b.ended[endedKey{queue: queue, id: id}]
	return Outcome{State: Failed, Reason: e.reason}, ok && now.Before(e.until) && b.jobs[id] == nil
}

// recordEnded records an ended job for its requests that come again here. One that was cancelled stays so.
func (b *Broker) recordEnded(key endedKey, e endedJob) {
	known, ok := b.ended[key]
	isNews := e.until.After(known.until) || e.isCancelled && !known.isCancelled
	if ok && (!isNews || known.isCancelled && !e.isCancelled) {
		return
	}
	if len(b.endedAges) >= maxEndedJobs {
		b.metrics.Add("ended_jobs_forgotten", 1)
		b.evictFirstEnded()
	}
	b.ended[key] = e
	b.endedAges = append(b.endedAges, endedAge{key: key, until: e.until})
}

func (b *Broker) evictEnded(now time.Time) {
	for len(b.endedAges) > 0 && !now.Before(b.endedAges[0].until) {
		b.evictFirstEnded()
	}
}

func (b *Broker) evictFirstEnded() {
	oldest := b.endedAges[0]
	b.endedAges = b.endedAges[1:]
	if b.ended[oldest.key].until.Equal(oldest.until) {
		delete(b.ended, oldest.key)
	}
}

// Cancellation returns the message that tells another entry of a cancelled job.
func (b *Broker) Cancellation(now time.Time, queue, id string) *yuccawire.EndedJobs {
	key := endedKey{queue: queue, id: id}
	return &yuccawire.EndedJobs{Jobs: []*yuccawire.EndedJob{b.ended[key].toWire(now, key)}}
}

// EndedJobs returns the known ended jobs for an entry that may not know them.
func (b *Broker) EndedJobs(now time.Time) *yuccawire.EndedJobs {
	m := &yuccawire.EndedJobs{}
	for _, age := range b.endedAges {
		if e := b.ended[age.key]; e.until.Equal(age.until) && now.Before(e.until) {
			m.Jobs = append(m.Jobs, e.toWire(now, age.key))
		}
	}
	return m
}

func (e endedJob) toWire(now time.Time, key endedKey) *yuccawire.EndedJob {
	return &yuccawire.EndedJob{
		Queue: key.queue, Job: key.id, RemainingMs: uint32(max(e.until.Sub(now), 0).Milliseconds()), Cancelled: e.isCancelled, Reason: e.reason,
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
		}
	}
}
