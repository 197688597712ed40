package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// A run is a straggler once it takes longer than stragglerFactor times its
	// expected run time plus stragglerSlack. At low load, a task on a slower
	// worker took up to 2.5 times as long as another one of its step in the first
	// deployments. The slack covers network latency and queueing at the side.
	stragglerFactor = 3
	stragglerSlack  = 60 * time.Millisecond
	// slowFactor times the median slowdown marks a worker as slow, independent of
	// the jobs it runs: estimates are off by 40%.
	slowFactor = 2
)

// moveStragglers withdraws runs that take much longer than expected while another
// worker has capacity. Their tasks are placed again once the run has provably
// ended. A task is moved at most once: its next run may take any time.
func (b *Broker) moveStragglers(now time.Time) {
	for _, s := range b.sideList {
		if !s.linked || len(s.runs) == 0 {
			continue
		}
		withdraw := &yuccawire.Withdraw{Straggling: true}
		for _, t := range s.sortedTasks() {
			if !t.isStraggler(now, b.medianSlowdown) || !b.isBeyondTail(now, t) || !b.hasCapacityElsewhere(now, t) {
				continue
			}
			t.moved = true
			b.metrics.Add("stragglers_moved", 1)
			b.options.Logger.Info("straggler withdrawn", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "worker", s.worker,
				"since_order_ms", now.Sub(t.sentAt).Milliseconds(), "estimate_ms", t.step.Estimate.Milliseconds(),
				"sibling_ms", t.step.longestRun.Milliseconds(), "pace", s.slowdown, "usual_pace", b.medianSlowdown)
			withdraw.Runs = append(withdraw.Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
		}
		if len(withdraw.GetRuns()) > 0 {
			b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
		}
	}
}

// isStraggler reports whether a run takes much longer than the longest other run
// of its step. One that isn't settled would have to start again at the same worker. If none has succeeded yet, runs on slow workers are compared with
// their estimate times the median slowdown.
func (t *task) isStraggler(now time.Time, medianSlowdown float64) bool {
	if t.moved || !t.settled || t.reservation != nil || t.job.ended || t.job.withdrawReason != "" {
		return false
	}
	expected := t.step.longestRun
	if expected == 0 {
		if t.side.slowdown < slowFactor*medianSlowdown {
			return false
		}
		expected = time.Duration(medianSlowdown * float64(t.step.Estimate))
	}
	return now.Sub(t.sentAt) > time.Duration(stragglerFactor*float64(expected))+stragglerSlack
}

// computeMedianSlowdown returns the median slowdown of the ready workers, 1 if
// there is none.
func (b *Broker) computeMedianSlowdown() float64 {
	slowdowns := make([]float64, 0, len(b.sideList))
	for _, s := range b.sideList {
		if s.linked && s.ready {
			slowdowns = append(slowdowns, s.slowdown)
		}
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return slowdowns[len(slowdowns)/2]
}

// hasCapacityElsewhere reports whether another worker that is neither suspect nor
// slower has capacity for a task now.
func (b *Broker) hasCapacityElsewhere(now time.Time, t *task) bool {
	for _, s := range b.sideList {
		if s != t.side && b.isEligible(now, t, s) && !s.suspect && s.slowdown <= t.side.slowdown && demand(t.step.Step).fitsIn(s.available(t.tier)) {
			return true
		}
	}
	return false
}
