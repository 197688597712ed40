package yuccabroker

import (
	"iter"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// settleRuns marks the runs as settled that the report includes and doesn't list as unsettled. A
// restart of the worker makes runs unsettled that the next incarnation may have started.
func (s *side) settleRuns(m *yuccawire.WorkerState) {
	for t := range s.allRuns() {
		if t.sideIncarnation == s.Incarnation && t.order <= m.GetOrdersSeen() && !t.lostBySide {
			t.settled = !t.isIn(m.GetUnsettled())
		}
	}
}

// allRuns returns the tasks with runs at the side, also those that are held back.
func (s *side) allRuns() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, tasks := range []map[*task]struct{}{s.runs, s.unsettled} {
			for t := range tasks {
				if !yield(t) {
					return
				}
			}
		}
	}
}

func (t *task) isIn(keys []*yuccawire.RunKey) bool {
	for _, k := range keys {
		if k.GetRun() == t.run && k.GetTask() == t.name {
			return true
		}
	}
	return false
}

// loseOrphans treats the runs sent to an earlier incarnation of a side as lost.
// It must not be called before the current incarnation has taken over the
// worker and thereby made sure that none of them is alive.
func (b *Broker) loseOrphans(now time.Time, s *side) {
	if !s.hasOrphans {
		return
	}
	s.hasOrphans = false
	for _, t := range append(s.sortedTasks(), sortedByName(s.unsettled)...) {
		if t.sideIncarnation != s.Incarnation && !t.lostBySide {
			b.handleUnknownRun(now, t, "side restarted")
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
		"settled", t.settled, "since_order_ms", now.Sub(t.sentAt).Milliseconds(), "report_age_ms", now.Sub(s.lastReport).Milliseconds())
	t.avoid = s
	b.enqueue(now, t)
}

// removeRun removes a run that has ended. The task of a later submission may have waited for
// that.
func (b *Broker) removeRun(now time.Time, t *task) {
	delete(b.runs, runKey{task: t.name, run: t.run})
	if !t.isHeldBack() {
		b.queueOf(t).runningCPU -= t.step.CPUMilli
	}
	delete(t.side.runs, t)
	delete(t.side.unsettled, t)
	t.job.runsInFlight--
	if j := b.jobs[t.job.ID]; j != nil && j != t.job {
		b.enqueueReady(now, j)
	}
}

// runsExpireAt returns when the leases have expired that keep the runs at a silent side alive:
// this entry's at the side and, following it, the side's at the worker, allowing for clock drift.
// A machine that stands still or is suspended notices that only when it goes on.
func (s *side) runsExpireAt() time.Time {
	hold := time.Duration(float64(yuccaworker.Hold) * (1 + 2*yuccaworker.ClockDrift))
	return s.leaseBase.Add(yuccaworker.OwnerLease + hold + lossSlack)
}

// expireRuns holds the tasks with runs at a side back once its leases have expired. Only its side
// can tell when a run has ended, so that no task is placed again before that is heard.
func (b *Broker) expireRuns(now time.Time) {
	for _, s := range b.sideList {
		b.expireUnsettled(now, s)
		if len(s.runs) == 0 || now.Before(s.runsExpireAt()) {
			continue
		}
		for _, t := range s.sortedTasks() {
			t.job.mayHaveRun = true
			b.holdBack(now, t, "side silent, leases expired")
		}
	}
}

// isHeldBack reports whether the task is not placed again since its latest run, which was lost,
// may be in progress or may still start.
func (t *task) isHeldBack() bool {
	if t.side == nil {
		return false
	}
	_, isHeldBack := t.side.unsettled[t]
	return isHeldBack
}

// handleUnknownRun handles the loss of a run that may have started. If it is settled, its task
// is placed again. A worker may execute a start that it left unanswered seconds later, also
// after a restart, so no wait shows that another run doesn't start.
func (b *Broker) handleUnknownRun(now time.Time, t *task, reason string) {
	t.job.mayHaveRun = true
	if t.settled {
		b.handleLostRun(now, t, reason)
		return
	}
	b.holdBack(now, t, reason)
}

// handleLostBySide handles the loss of a run that the worker may still start, as its side reports.
func (b *Broker) handleLostBySide(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	t.lostBySide = true
	if !t.job.ended {
		b.recordLoss(t)
		b.logRunEnd(now, t, s, e)
	}
	b.holdBack(now, t, "side lost it")
}

// holdBack keeps the task of a run that was lost from being placed again, while that may be in
// progress or may still start. The side may still report how the run ended.
func (b *Broker) holdBack(now time.Time, t *task, reason string) {
	if t.isHeldBack() {
		b.withdrawHopeless(now, t)
		return
	}
	delete(t.side.runs, t)
	t.side.unsettled[t] = struct{}{}
	b.queueOf(t).runningCPU -= t.step.CPUMilli
	message, counter := "run lost that may still start, its task is not placed again", "runs_lost_unsettled"
	if t.settled && !t.lostBySide {
		message, counter = "run of a silent side may be in progress, its task waits for news of it", "runs_silent"
	}
	b.metrics.Add(counter, 1)
	b.options.Logger.Warn(message, "job", t.job.ID, "task", t.name, "run", t.run, "side", t.side.name, "why", reason,
		"since_order_ms", now.Sub(t.sentAt).Milliseconds(), "report_age_ms", now.Sub(t.side.lastReport).Milliseconds())
	b.withdrawHopeless(now, t)
}

// mayBeHeardOf reports whether there may be news of a run that was lost: from the process of the side
// that it was sent to, or from the next one, whose takeover shows that a settled run has ended.
func (t *task) mayBeHeardOf() bool {
	return !t.lostBySide && (t.settled || t.sideIncarnation == t.side.Incarnation)
}

// withdrawHopeless stops the other runs of a job that can't be completed, since no side will report
// the end of a lost run of it. The job is answered at its deadline: a caller who comes again at
// another entry would have the task run beside that run.
func (b *Broker) withdrawHopeless(now time.Time, t *task) {
	if t.mayBeHeardOf() || t.job.ended || t.job.withdrawReason != "" {
		return
	}
	b.withdrawJob(now, t.job, "a run of it was lost that may still start")
}

// expireUnsettled removes the lost runs at a side whose jobs nobody submits again, as their
// callers have stopped waiting, and those that come again after an answer have had their time.
func (b *Broker) expireUnsettled(now time.Time, s *side) {
	if len(s.unsettled) == 0 {
		return
	}
	for _, t := range sortedByName(s.unsettled) {
		if j := b.jobs[t.job.ID]; j != nil && j.Deadline.After(t.job.Deadline) {
			t.job.Deadline = j.Deadline
		}
		if !now.Before(t.job.Deadline.Add(outcomeRetention)) {
			b.handleLostRun(now, t, "its caller has stopped waiting")
		}
	}
}

// extendEarlierRuns keeps the runs of earlier submissions of a task from being removed before
// the caller of this one has stopped waiting, even if that leaves and comes again.
func (b *Broker) extendEarlierRuns(t *task) {
	for run := range t.job.runsBefore {
		if earlier := b.runs[runKey{task: t.name, run: run + 1}]; earlier != nil && earlier.job.Deadline.Before(t.job.Deadline) {
			earlier.job.Deadline = t.job.Deadline
		}
	}
}

// lastUnsettledRun returns the highest run number of the job's earlier submissions of which a
// run that was lost may still start, or may be alive at a side that has restarted. Both may last
// longer than their saved outcome.
func (b *Broker) lastUnsettledRun(id string) uint64 {
	last := uint64(0)
	for _, s := range b.sideList {
		last = max(last, lastRunOf(id, s.unsettled))
		if s.hasOrphans {
			last = max(last, lastRunOf(id, s.runs))
		}
	}
	return last
}

func lastRunOf(id string, tasks map[*task]struct{}) uint64 {
	last := uint64(0)
	for t := range tasks {
		if t.job.ID == id {
			last = max(last, t.job.lastRun)
		}
	}
	return last
}
