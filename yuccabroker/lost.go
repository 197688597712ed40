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
		if t.sideIncarnation == s.Incarnation && t.order <= m.GetOrdersSeen() {
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
		if t.sideIncarnation != s.Incarnation {
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
			b.holdBack(now, t)
		}
	}
}

// isHeldBack reports whether the task is not placed again since its latest run may be in progress at
// a silent side.
func (t *task) isHeldBack() bool {
	if t.side == nil {
		return false
	}
	_, isHeldBack := t.side.unsettled[t]
	return isHeldBack
}

// handleUnknownRun handles the loss of a run that may have started. A worker may execute a start that
// it left unanswered seconds later, also after a restart: unless the run is settled, its task may only run
// at the same worker.
func (b *Broker) handleUnknownRun(now time.Time, t *task, reason string) {
	t.job.mayHaveRun = true
	if !t.settled {
		b.pin(t, t.side.name)
	}
	b.handleLostRun(now, t, reason)
}

// holdBack keeps the task of a run at a silent side from being placed again, while that may be in
// progress. The side may still report how the run ended.
func (b *Broker) holdBack(now time.Time, t *task) {
	delete(t.side.runs, t)
	t.side.unsettled[t] = struct{}{}
	b.queueOf(t).runningCPU -= t.step.CPUMilli
	b.metrics.Add("runs_silent", 1)
	b.options.Logger.Warn("run of a silent side may be in progress, its task waits for news of it", "job", t.job.ID, "task", t.name, "run", t.run,
		"side", t.side.name, "settled", t.settled, "since_order_ms", now.Sub(t.sentAt).Milliseconds(), "report_age_ms", now.Sub(t.side.lastReport).Milliseconds())
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
