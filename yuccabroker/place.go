package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Place sends the waiting tasks whose turn it is to workers with room. The
// owner calls it after each batch of events.
func (b *Broker) Place(now time.Time) {
	if !b.stale || b.waiting.Len() == 0 {
		return
	}
	b.stale = false
	orders := make(map[*side]*yuccawire.Orders)
	var sides []*side
	for b.waiting.Len() > 0 {
		t := b.waiting.first()
		s := b.choose(now, t)
		if s == nil {
			break
		}
		b.waiting.remove(t)
		if orders[s] == nil {
			sides = append(sides, s)
		}
		b.order(now, t, s, orders)
	}
	for _, s := range sides {
		m := orders[s]
		b.logOrders(now, s, m)
		s.number++
		m.Number = s.number
		m.UntilMs = s.until()
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Orders{Orders: m}})
	}
}

// logOrders writes a line for each job that a side is sent tasks of.
func (b *Broker) logOrders(now time.Time, s *side, m *yuccawire.Orders) {
	for _, j := range m.GetJobs() {
		first := j.GetTasks()[0]
		b.options.Logger.Info("orders tasks", "job", j.GetJob(), "side", s.name, "tasks", len(j.GetTasks()), "first", first.GetTask(),
			"run", first.GetRun(), "tier", j.GetTier(), "report_age_ms", now.Sub(s.stampAt).Milliseconds(), "left_cpu_milli", s.left(int(j.GetTier())).cpu)
	}
}

// order adds a task to the orders for a side.
func (b *Broker) order(now time.Time, t *task, s *side, orders map[*side]*yuccawire.Orders) {
	j := t.job
	t.state = sent
	t.run++
	j.lastRun = max(j.lastRun, t.run)
	t.side = s
	t.sentTo = s.Incarnation
	t.sentAt = now
	j.begun = true
	j.sentRuns++
	j.openRuns++
	s.runs[t] = struct{}{}
	b.runs[runKey{task: t.name, run: t.run}] = t
	b.metrics.Add("orders_sent", 1)
	m := orders[s]
	if m == nil {
		m = &yuccawire.Orders{}
		orders[s] = m
	}
	n := len(m.GetJobs())
	if n == 0 || m.GetJobs()[n-1].GetJob() != j.ID || m.GetJobs()[n-1].GetTier() != uint32(t.tier) {
		m.Jobs = append(m.Jobs, &yuccawire.JobOrder{
			Job: j.ID, Service: j.Queue.Service, Payload: j.Payload, Traceparent: j.Traceparent,
			Tier:      uint32(t.tier),
			RankMs:    s.clockOf(t.rank),
			ExpiresMs: uint64(max(s.clockOf(j.giveUpAt), 0)),
		})
		n++
	}
	order := &yuccawire.TaskOrder{
		Task: t.name, Run: t.run, CpuMilli: uint32(t.step.CPUMilli), MemoryMb: uint32(t.step.MemoryMB),
		Accelerators: uint32(t.step.Accelerators), EstimateMs: uint32(t.step.Estimate.Milliseconds()), Failures: t.failures,
	}
	m.Jobs[n-1].Tasks = append(m.Jobs[n-1].Tasks, order)
	s.unseen = append(s.unseen, unseenOrder{number: s.number + 1, tier: t.tier, size: need(t.step.Step)})
}

// clockOf is the side's clock at a local time, as far as its last stamp tells.
func (s *side) clockOf(at time.Time) int64 {
	return int64(s.stamp) + at.Sub(s.stampAt).Milliseconds()
}

// choose returns the worker for a task, or nil while none has room. Of a few
// random workers the one with the largest free share is taken, so that entries
// with equal reports don't all choose the same.
func (b *Broker) choose(now time.Time, t *task) *side {
	if len(b.list) == 0 {
		return nil
	}
	var best *side
	bestScore := 0.0
	for i := range choices {
		if t.step.NearRack != "" {
			// Few workers are near its data.
			break
		}
		s := b.list[b.options.Random.IntN(len(b.list))]
		if score, ok := b.score(now, t, s); ok && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
		if i == choices-1 && best != nil && bestScore > 0 {
			return best
		}
	}
	for _, s := range b.list {
		if score, ok := b.score(now, t, s); ok && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
	}
	return best
}

// score compares workers for a task. It is positive where the task fits now.
func (b *Broker) score(now time.Time, t *task, s *side) (float64, bool) {
	if !b.usable(now, t, s) {
		return 0, false
	}
	left := s.left(t.tier)
	size := need(t.step.Step)
	if !size.fits(left.plus(room{cpu: int(queuedShare * float64(s.total.cpu)), memory: s.total.memory / 8})) {
		return 0, false
	}
	score := float64(left.cpu-size.cpu+1) / float64(max(s.total.cpu, 1))
	if score > 0 {
		score /= s.pace
	} else {
		score *= s.pace
	}
	if score > 0 && t.step.NearRack != "" && !s.has(t.step.NearRack) {
		score /= awayFactor
	}
	if s == t.avoid || s.pace > slowPace*b.usual {
		score--
	}
	return score, true
}

func (b *Broker) usable(now time.Time, t *task, s *side) bool {
	return s.linked && s.ready && s.service == t.job.Queue.Service && !b.out[s.DataCentre] &&
		!s.stampAt.IsZero() && now.Sub(s.stampAt) < stampMaxAge && !now.Before(s.pausedTo) && s.has(t.step.Label) &&
		b.spread(t, s)
}

// spread tells whether the step may have one more task on the worker.
func (b *Broker) spread(t *task, s *side) bool {
	if t.step.Spread == 0 {
		return true
	}
	n := 0
	for other := range s.runs {
		if other.step == t.step {
			n++
		}
	}
	return n < t.step.Spread
}
