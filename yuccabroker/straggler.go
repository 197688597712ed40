package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// stragglerFactor times what a run should take, and stragglerSlack more, is
	// when it counts as a straggler: on quiet days of the first deployments a task
	// took up to 2.5 times as long as another of its step, on a slower worker. The
	// slack is for the ways and a wait at the side.
	stragglerFactor = 3
	stragglerSlack  = 60 * time.Millisecond
	// slowPace times the usual pace is that of a worker which is slow, whatever the
	// jobs: estimates are off by 40%.
	slowFactor = 2
)

// moveStragglers withdraws runs that take far longer than they should while
// another worker has room, so that they run there once they have provably
// ended. A task is moved once: the next run may take as long as it needs.
func (b *Broker) moveStragglers(now time.Time) {
	for _, s := range b.sideList {
		if !s.linked || len(s.runs) == 0 {
			continue
		}
		withdraw := &yuccawire.Withdraw{Straggling: true}
		for _, t := range s.sortedTasks() {
			if !t.isStraggler(now, b.medianSlowdown) || !b.hasCapacityElsewhere(now, t) {
				continue
			}
			t.moved = true
			b.metrics.Add("stragglers_moved", 1)
			b.options.Logger.Info("moves a straggler", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "worker", s.worker,
				"since_order_ms", now.Sub(t.sentAt).Milliseconds(), "estimate_ms", t.step.Estimate.Milliseconds(),
				"sibling_ms", t.step.longestRun.Milliseconds(), "pace", s.slowdown, "usual_pace", b.medianSlowdown)
			withdraw.Runs = append(withdraw.Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
		}
		if len(withdraw.GetRuns()) > 0 {
			b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
		}
	}
}

// straggles tells whether a run takes far longer than others of its step have
// taken, or where none has ended, than its estimate on a worker that is slow.
func (t *task) isStraggler(now time.Time, medianSlowdown float64) bool {
	if t.moved || t.job.ended || t.job.withdrawReason != "" {
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

// usualPace is the median of the workers' run times over the estimates.
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

// roomElsewhere tells whether another worker that isn't slow has room for a task
// now.
func (b *Broker) hasCapacityElsewhere(now time.Time, t *task) bool {
	for _, s := range b.sideList {
		if s != t.side && b.isEligible(now, t, s) && !s.suspect && s.slowdown <= t.side.slowdown && demand(t.step.Step).fits(s.available(t.tier)) {
			return true
		}
	}
	return false
}
