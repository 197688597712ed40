package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// loseOrphans treats the runs sent to an earlier incarnation of a side as lost.
// It must not be called before the current incarnation has taken over the
// worker and thereby made sure that none of them is alive.
func (b *Broker) loseOrphans(now time.Time, s *side) {
	if !s.hasOrphans {
		return
	}
	s.hasOrphans = false
	for _, t := range s.sortedTasks() {
		if t.sideIncarnation != s.Incarnation {
			t.job.mayHaveRun = true
			b.handleLostRun(now, t, "side restarted")
		}
	}
}

// handleLostRun requeues a task whose run is no longer alive and has an unknown
// outcome.
func (b *Broker) handleLostRun(now time.Time, t *task, reason string) {
	s := t.side
	b.removeRun(now, t)
	if t.job.ended {
		return
	}
	b.metrics.Add("runs_lost", 1)
	b.options.Logger.Info("run lost", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "why", reason,
		"since_order_ms", now.Sub(t.sentAt).Milliseconds())
	t.avoid = s
	b.enqueue(now, t)
}

// removeRun removes a run that has ended. The task of a later submission may have waited for
// that.
func (b *Broker) removeRun(now time.Time, t *task) {
	delete(b.runs, runKey{task: t.name, run: t.run})
	delete(t.side.runs, t)
	b.queueOf(t).runningCPU -= t.step.CPUMilli
	t.job.runsInFlight--
	if j := b.jobs[t.job.ID]; j != nil && j != t.job {
		b.enqueueReady(now, j)
	}
}

// runsExpireAt returns when no run sent to a silent side can be alive anymore:
// after the expiry of this entry's lease at the side and, following it, of the
// side's lease at the worker, allowing for clock drift.
func (s *side) runsExpireAt() time.Time {
	hold := time.Duration(float64(yuccaworker.Hold) * (1 + 2*yuccaworker.ClockDrift))
	return s.leaseBase.Add(yuccaworker.OwnerLease + hold + lossSlack)
}

// expireRuns treats the runs at a side as lost once its leases have expired.
func (b *Broker) expireRuns(now time.Time) {
	for _, s := range b.sideList {
		if len(s.runs) == 0 || now.Before(s.runsExpireAt()) {
			continue
		}
		for _, t := range s.sortedTasks() {
			t.job.mayHaveRun = true
			b.handleLostRun(now, t, "side silent, leases expired")
		}
	}
}
