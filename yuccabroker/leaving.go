package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// setLeaving updates until when a leaving worker runs at least.
func (b *Broker) setLeaving(now time.Time, s *side, m *yuccawire.WorkerState) {
	if !m.GetLeaving() || m.GetRemainingMs() == 0 {
		s.leavesAt = time.Time{}
		return
	}
	s.leavesAt = now.Add(time.Duration(m.GetRemainingMs()) * time.Millisecond)
	b.isMoveDue = true
}

// moveFromLeaving withdraws the runs that are expected to outlast their worker, if other
// workers have capacity for them. The tasks are placed again once these runs have provably
// ended.
func (b *Broker) moveFromLeaving(now time.Time) {
	if !b.isMoveDue {
		return
	}
	b.isMoveDue = false
	promised := make(map[*side]resources)
	for _, s := range b.sideList {
		if s.leavesAt.IsZero() || !s.linked || len(s.runs) == 0 {
			continue
		}
		withdraw := &yuccawire.Withdraw{}
		for _, t := range s.sortedTasks() {
			if b.outlasts(now, t, s) && b.promiseElsewhere(now, t, promised) {
				t.withdrawnRun = t.run
				withdraw.Runs = append(withdraw.Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
			}
		}
		if len(withdraw.GetRuns()) > 0 {
			b.metrics.Add("runs_moved_leaving", int64(len(withdraw.GetRuns())))
			b.options.Logger.Info("runs moved from leaving worker", "side", s.name, "worker", s.worker, "runs", len(withdraw.GetRuns()),
				"first", withdraw.GetRuns()[0].GetTask(), "remaining_ms", s.leavesAt.Sub(now).Milliseconds(), "stay", len(s.runs)-len(withdraw.GetRuns()))
			b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
		}
	}
}

// outlasts reports whether the latest run of a task is expected to end after its worker
// has left, and has not been withdrawn. The end of a run that takes longer than expected
// is not known: it is left to end, as is one that isn't settled and can't be placed elsewhere.
func (b *Broker) outlasts(now time.Time, t *task, s *side) bool {
	return t.settled && t.withdrawnRun != t.run && !t.job.ended && t.job.withdrawReason == "" && now.Before(s.leavesAt) &&
		t.sentAt.Add(b.expectedRunTime(t, s)).After(s.leavesAt)
}

// promiseElsewhere reports whether another trusted worker has free capacity for a task, in
// addition to what is promised there already, and promises that to it.
func (b *Broker) promiseElsewhere(now time.Time, t *task, promised map[*side]resources) bool {
	size := demand(t.step.Step)
	for _, s := range b.sideList {
		if s == t.side || s.suspect || !size.plus(promised[s]).fitsIn(s.available(t.tier)) || !b.isEligible(now, t, s) {
			continue
		}
		promised[s] = promised[s].plus(size)
		return true
	}
	return false
}
