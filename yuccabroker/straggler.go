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
	slowPace = 2
)

// moveStragglers withdraws runs that take far longer than they should while
// another worker has room, so that they run there once they have provably
// ended. A task is moved once: the next run may take as long as it needs.
func (b *Broker) moveStragglers(now time.Time) {
	for _, s := range b.list {
		if !s.linked || len(s.runs) == 0 {
			continue
		}
		withdraw := &yuccawire.Withdraw{Straggling: true}
		for _, t := range s.sorted() {
			if !t.straggles(now, b.usual) || !b.roomElsewhere(now, t) {
				continue
			}
			t.moved = true
			b.metrics.Add("stragglers_moved", 1)
			b.options.Logger.Info("moves a straggler", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "worker", s.worker,
				"since_order_ms", now.Sub(t.sentAt).Milliseconds(), "estimate_ms", t.step.Estimate.Milliseconds(),
				"sibling_ms", t.step.longest.Milliseconds(), "pace", s.pace, "usual_pace", b.usual)
			withdraw.Runs = append(withdraw.Runs, &yuccawire.RunKey{Task: t.name, Run: t.run})
		}
		if len(withdraw.GetRuns()) > 0 {
			b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
		}
	}
}

// straggles tells whether a run takes far longer than others of its step have
// taken, or where none has ended, than its estimate on a worker that is slow.
func (t *task) straggles(now time.Time, usual float64) bool {
	if t.moved || t.job.ended || t.job.withdrawn != "" {
		return false
	}
	expected := t.step.longest
	if expected == 0 {
		if t.side.pace < slowPace*usual {
			return false
		}
		expected = time.Duration(usual * float64(t.step.Estimate))
	}
	return now.Sub(t.sentAt) > time.Duration(stragglerFactor*float64(expected))+stragglerSlack
}

// usualPace is the median of the workers' run times over the estimates.
func (b *Broker) usualPace() float64 {
	paces := make([]float64, 0, len(b.list))
	for _, s := range b.list {
		if s.linked && s.ready {
			paces = append(paces, s.pace)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// roomElsewhere tells whether another worker that isn't slow has room for a task
// now.
func (b *Broker) roomElsewhere(now time.Time, t *task) bool {
	for _, s := range b.list {
		if s != t.side && b.usable(now, t, s) && !s.suspect && s.pace <= t.side.pace && need(t.step.Step).fits(s.left(t.tier)) {
			return true
		}
	}
	return false
}
