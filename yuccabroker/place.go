package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Place sends orders for the queued tasks, in queue order, to workers with capacity
// until none can accept the next task. It has to be called after each batch of events.
func (b *Broker) Place(now time.Time) {
	b.moveFromLeaving(now)
	b.settleReservations(now)
	b.querySides(now)
	if !b.needsPlacement || b.queuedTasks() == 0 || !b.isInformed(now) {
		return
	}
	b.needsPlacement = false
	b.updateAvoided()
	batch := &orderBatch{orders: make(map[*side]*yuccawire.Orders)}
	b.placeQueues(now, b.openQueues(), batch)
	for _, h := range b.bulkheadList {
		if q := b.queues[h.queueName]; q != nil {
			b.placeQueues(now, []*taskQueue{q}, batch)
		}
	}
	b.tellBackups(now, batch)
	for _, s := range batch.sides {
		m := batch.orders[s]
		b.logOrders(now, s, m)
		s.lastOrder++
		m.Number = s.lastOrder
		m.UntilMs = s.renewLease(now)
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Orders{Orders: m}})
	}
}

// orderBatch holds the orders that are sent together, with their sides in order.
type orderBatch struct {
	orders map[*side]*yuccawire.Orders
	sides  []*side
	// spare caches spareCPU by service.
	spare map[string]int
}

// placeQueues adds orders for the tasks of the queues to the batch until no worker can
// accept the next one of any service. Tasks that are held back don't delay those of other
// queues; suspect tasks, which may have to wait for each other, large ones, for which
// capacity is reserved, pinned ones, and tasks that wait for a faster worker don't delay those
// behind them.
func (b *Broker) placeQueues(now time.Time, queues []*taskQueue, batch *orderBatch) {
	var skipped, waiting []*task
	suspects := 0
	for queue := firstQueue(queues); queue != nil; queue = firstQueue(queues) {
		t := queue.peek()
		b.updateHeldBack(now, t)
		suspect := b.isSuspect(t)
		var s *side
		if (!suspect || suspects < maxSkippedSuspects) && !(t.heldBack && t.step.CPUMilli > batch.spareCPU(b, t.job.Queue.Service)) {
			s = b.chooseSide(now, t)
		}
		only, isPinned := b.onlySide(t)
		waits := s == nil && t.step.waitedAt.Equal(now)
		skip := suspect || waits
		if !skip && !t.heldBack && (!isPinned || only != nil && only.isLarge(t)) {
			s, skip = b.reserve(now, t, s, len(skipped)-suspects)
		}
		if s == nil && isPinned {
			skip, waits = true, true
		}
		if s == nil && !skip {
			queues = slices.DeleteFunc(queues, func(q *taskQueue) bool {
				return q == queue || !t.heldBack && q.Len() > 0 && q.peek().job.Queue.Service == t.job.Queue.Service
			})
			continue
		}
		queue.remove(t)
		if waits {
			waiting = append(waiting, t)
			continue
		}
		if s == nil {
			if suspect {
				suspects++
			}
			skipped = append(skipped, t)
			continue
		}
		b.addOrder(now, t, s, batch)
	}
	for _, t := range append(skipped, waiting...) {
		b.queueOf(t).add(t)
	}
}

// logOrders logs one line for each job in the orders for a side.
func (b *Broker) logOrders(now time.Time, s *side, m *yuccawire.Orders) {
	for _, j := range m.GetJobs() {
		first := j.GetTasks()[0]
		b.options.Logger.Info("tasks ordered", "job", j.GetJob(), "side", s.name, "tasks", len(j.GetTasks()), "first", first.GetTask(),
			"run", first.GetRun(), "tier", j.GetTier(), "report_age_ms", now.Sub(s.lastReport).Milliseconds(), "left_cpu_milli", s.available(int(j.GetTier())).cpuMilli,
			"expected_ms", b.expectedMS(now, first))
	}
}

// addOrder starts a new run of a task and adds it to the orders for a side.
func (b *Broker) addOrder(now time.Time, t *task, s *side, batch *orderBatch) {
	j := t.job
	t.state = taskSent
	t.run = b.nextRun(t)
	j.lastRun = max(j.lastRun, t.run)
	t.side = s
	t.sideIncarnation = s.Incarnation
	t.order, t.settled = s.lastOrder+1, false
	t.sentAt = now
	t.orderedMS = s.clockAt(now)
	// A task with a reservation waits for its start.
	j.dispatched = j.dispatched || t.reservation == nil
	j.runsSent++
	j.runsInFlight++
	if len(s.runs) == 0 {
		s.busySince = now
	}
	s.runs[t] = struct{}{}
	b.runs[runKey{task: t.name, run: t.run}] = t
	b.recordSent(t)
	b.metrics.Add("orders_sent", 1)
	m := batch.orders[s]
	if m == nil {
		m = &yuccawire.Orders{}
		batch.orders[s] = m
		batch.sides = append(batch.sides, s)
	}
	n := len(m.GetJobs())
	if n == 0 || m.GetJobs()[n-1].GetJob() != j.ID || m.GetJobs()[n-1].GetTier() != uint32(t.tier) {
		m.Jobs = append(m.Jobs, &yuccawire.JobOrder{
			Job: j.ID, Queue: j.Queue.Name, Service: j.Queue.Service, Payload: j.Payload, Traceparent: j.Traceparent,
			Tier:      uint32(t.tier),
			RankMs:    s.toSideClock(t.rank),
			ExpiresMs: uint64(max(s.toSideClock(b.expiryOf(t)), 0)),
		})
		n++
	}
	_, isPinned := b.onlySide(t)
	order := &yuccawire.TaskOrder{
		Task: t.name, Run: t.run, CpuMilli: uint32(t.step.CPUMilli), MemoryMb: uint32(t.step.MemoryMB),
		Accelerators: uint32(t.step.Accelerators), EstimateMs: uint32(t.step.Estimate.Milliseconds()), Failures: t.failures, Suspect: b.isSuspect(t), Reserved: t.reservation != nil,
		Pinned: isPinned,
		Label:  t.step.Label,
	}
	m.Jobs[n-1].Tasks = append(m.Jobs[n-1].Tasks, order)
	s.unreported = append(s.unreported, unreportedOrder{number: s.lastOrder + 1, sentAt: now, tier: t.tier, size: demand(t.step.Step)})
}

// expiryOf returns when an order of the task has to be started at the latest. Other entries may not know by then
// that its job is open here, unless they have confirmed it.
func (b *Broker) expiryOf(t *task) time.Time {
	if b.open.isConfirmed(t.job) {
		return t.job.answerBy
	}
	return earlier(t.job.answerBy, t.job.receivedAt.Add(resendAfter))
}

// toSideClock converts a local time to the side's clock, based on its last report.
func (s *side) toSideClock(at time.Time) int64 {
	return int64(s.clockMS) + at.Sub(s.lastReport).Milliseconds()
}

// isEligible reports whether orders for a task may be sent to a side, regardless
// of its capacity.
func (b *Broker) isEligible(now time.Time, t *task, s *side) bool {
	return s.linked && s.ready && s.service == t.job.Queue.Service && !b.drained[s.DataCentre] &&
		s.isResponsive(now) && !now.Before(s.pausedUntil) && s.hasLabel(t.step.Label) &&
		b.isOpenTo(t.job.Queue.Name, s) && b.withinSpread(t, s) && !s.hasTrial() && (!b.isSuspect(t) || !b.runsSuspect(s)) && b.mayRunAt(t, s)
}

// withinSpread reports whether the step may have one more task on the worker, which may start the
// pinned ones at any time.
func (b *Broker) withinSpread(t *task, s *side) bool {
	if t.step.Spread == 0 {
		return true
	}
	n := 0
	for _, other := range t.step.tasks {
		if other != t && (other.state == taskSent && other.side == s || slices.Contains(other.pinnedTo, s.name)) {
			n++
		}
	}
	return n < t.step.Spread
}
