package yuccabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// room is what a worker has of each resource.
type resources struct{ cpu, memory, accelerators int }

func demand(s Step) resources {
	return resources{cpu: s.CPUMilli, memory: s.MemoryMB, accelerators: s.Accelerators}
}

func (r resources) plus(o resources) resources {
	return resources{cpu: r.cpu + o.cpu, memory: r.memory + o.memory, accelerators: r.accelerators + o.accelerators}
}

func (r resources) minus(o resources) resources {
	return resources{cpu: r.cpu - o.cpu, memory: r.memory - o.memory, accelerators: r.accelerators - o.accelerators}
}

func (r resources) fits(capacity resources) bool {
	return r.cpu <= capacity.cpu && r.memory <= capacity.memory && r.accelerators <= capacity.accelerators
}

// side is a worker as this entry sees it.
type side struct {
	Side
	name   string
	linked bool
	// lostAt is when the link ended.
	linkLostAt time.Time
	service    string
	worker     string
	ready      bool
	suspect    bool
	capacity   resources
	free       resources
	queuedCPU  [tierCount]int
	slowdown   float64
	labels     []string
	// stamp is the side's clock, stampAt when it came.
	clockMs    uint64
	lastReport time.Time
	// leaseFrom is when the newest stamp came that the side's lease for this
	// entry was renewed with.
	leaseBase   time.Time
	lastOrder   uint64
	unreported  []unreportedOrder
	runs        map[*task]struct{}
	pausedUntil time.Time
	// orphans is set while runs that an earlier process of the side was sent may
	// be alive.
	hasOrphans bool
}

// unseenOrder is room that was used by orders which the last report did not
// count.
type unreportedOrder struct {
	number uint64
	tier   int
	size   resources
}

func (s *side) hasLabel(label string) bool { return label == "" || slices.Contains(s.labels, label) }

// sorted lists the tasks that the side has, by name.
func (s *side) sortedTasks() []*task {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// left is the room for another task of the tier, with what is on its way there.
// What is less urgent gives way.
func (s *side) available(tier int) resources {
	available := s.free
	for _, cpu := range s.queuedCPU[:tier+1] {
		available.cpu -= cpu
	}
	for _, u := range s.unreported {
		if u.tier <= tier {
			available = available.minus(u.size)
		}
	}
	return available
}

// LinkUp tells that a side is linked.
func (b *Broker) LinkUp(_ time.Time, peer Side) {
	s := b.sides[peer.Name]
	if s != nil && s.Incarnation != peer.Incarnation {
		b.options.Logger.Info("a side has started again", "side", peer.Name, "runs", len(s.runs))
		s.ready = false
		s.hasOrphans = len(s.runs) > 0
	}
	if s == nil {
		s = &side{name: peer.Name, runs: make(map[*task]struct{}), slowdown: 1}
		b.sides[peer.Name] = s
		b.sideList = append(b.sideList, s)
		b.options.Logger.Info("a side is there", "side", peer.Name, "data_centre", peer.DataCentre)
	}
	s.Side = peer
	s.linked = true
	s.lastOrder = 0
	s.unreported = nil
	s.lastReport = time.Time{}
}

// LinkDown tells that the link to a side has ended. Its runs may go on.
func (b *Broker) LinkDown(now time.Time, name string) {
	if s := b.sides[name]; s != nil && s.linked {
		s.linked = false
		s.linkLostAt = now
		b.metrics.Add("side_links_lost", 1)
		b.options.Logger.Info("the link to a side is lost", "side", name, "runs", len(s.runs), "stamp_age_ms", now.Sub(s.lastReport).Milliseconds())
	}
}

// State takes in what a side tells of its worker.
func (b *Broker) ApplyState(now time.Time, name string, m *yuccawire.WorkerState) {
	s := b.sides[name]
	if s == nil || m == nil {
		return
	}
	if s.ready != m.GetReady() || s.suspect != m.GetSuspect() {
		b.options.Logger.Info("a worker has changed", "side", name, "worker", m.GetWorker(), "ready", m.GetReady(), "suspect", m.GetSuspect(), "pace_percent", m.GetPacePercent())
	}
	s.clockMs, s.lastReport = m.GetClockMs(), now
	s.ready, s.suspect = m.GetReady(), m.GetSuspect()
	if m.GetWorker() != "" {
		s.worker, s.service, s.labels = m.GetWorker(), m.GetService(), m.GetLabels()
		s.capacity = resources{cpu: int(m.GetCpuMilli()), memory: int(m.GetMemoryMb()), accelerators: int(m.GetAccelerators())}
	}
	s.free = resources{cpu: int(m.GetFreeCpuMilli()), memory: int(m.GetFreeMemoryMb()), accelerators: int(m.GetFreeAccelerators())}
	s.queuedCPU = [tierCount]int{}
	for tier, cpu := range m.GetQueuedCpuMilli() {
		s.queuedCPU[min(tier, tierCount-1)] += int(cpu)
	}
	s.slowdown = max(float64(m.GetPacePercent())/100, 0.1)
	s.unreported = slices.DeleteFunc(s.unreported, func(u unreportedOrder) bool { return u.number <= m.GetOrdersSeen() })
	if m.GetTaken() {
		b.loseOrphans(now, s)
	}
	b.needsPlacement = true
}

// endOrphans gives up what was sent to an earlier process of a side, once the
// present one has made sure that nothing of it runs. Until then it may.
func (b *Broker) loseOrphans(now time.Time, s *side) {
	if !s.hasOrphans {
		return
	}
	s.hasOrphans = false
	for _, t := range s.sortedTasks() {
		if t.sideIncarnation != s.Incarnation {
			t.job.mayHaveRun = true
			b.runLost(now, t, "the side has started again")
		}
	}
}

// Ends takes in what became of runs at a side.
func (b *Broker) ApplyEnds(now time.Time, name string, m *yuccawire.Ends) {
	b.ApplyState(now, name, m.GetState())
	s := b.sides[name]
	if s == nil {
		return
	}
	for _, e := range m.GetEnds() {
		b.runEnded(now, s, e)
	}
	if m.GetFull() {
		b.reconcile(now, s, m)
	}
}

// reconcile compares the runs of a side after a new link with what it has.
func (b *Broker) reconcile(now time.Time, s *side, m *yuccawire.Ends) {
	present := make(map[runKey]bool, len(m.GetPresent()))
	withdraw := &yuccawire.Withdraw{}
	for _, k := range m.GetPresent() {
		key := runKey{task: k.GetTask(), run: k.GetRun()}
		present[key] = true
		if t := b.runs[key]; t == nil || t.job.ended {
			withdraw.Runs = append(withdraw.Runs, k)
		}
	}
	if len(withdraw.GetRuns()) > 0 {
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Withdraw{Withdraw: withdraw}})
	}
	for _, t := range s.sortedTasks() {
		if t.sideIncarnation == s.Incarnation && !present[runKey{task: t.name, run: t.run}] {
			b.metrics.Add("runs_never_arrived", 1)
			b.runLost(now, t, "it never reached the side")
		}
	}
}

func (b *Broker) runEnded(now time.Time, s *side, e *yuccawire.Ended) {
	key := runKey{task: e.GetRun().GetTask(), run: e.GetRun().GetRun()}
	t := b.runs[key]
	if t == nil || t.side != s || t.sideIncarnation != s.Incarnation {
		return
	}
	b.removeRun(t)
	if e.GetEnd() != yuccawire.RunEnd_RUN_END_REFUSED {
		t.job.mayHaveRun = true
	}
	if t.job.ended {
		return
	}
	switch e.GetEnd() {
	case yuccawire.RunEnd_RUN_END_DONE:
		t.step.longestRun = max(t.step.longestRun, time.Duration(e.GetRanMs())*time.Millisecond)
		b.completeTask(now, t)
	case yuccawire.RunEnd_RUN_END_FAILED:
		t.avoid = s
		b.logRunEnd(now, t, s, e)
		b.failTask(now, t)
	case yuccawire.RunEnd_RUN_END_REFUSED:
		b.orderRefused(now, t, s, e)
	default:
		t.avoid = s
		b.logRunEnd(now, t, s, e)
		b.enqueue(now, t)
	}
}

func (b *Broker) logRunEnd(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	b.options.Logger.Info("a run did not end well", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "worker", s.worker,
		"end", e.GetEnd().String(), "refusal", e.GetRefusal().String(), "ran_ms", e.GetRanMs(), "since_order_ms", now.Sub(t.sentAt).Milliseconds(),
		"failures", t.failures)
}

// refused queues a task again that did not start.
func (b *Broker) orderRefused(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	b.metrics.Add("orders_refused", 1)
	if e.GetRefusal() != yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM {
		b.logRunEnd(now, t, s, e)
		t.avoid = s
	}
	s.pausedUntil = now.Add(refusalBackoff)
	b.enqueue(now, t)
}

// runOver takes in that a run is not alive any more, without a word of how it
// ended.
func (b *Broker) runLost(now time.Time, t *task, reason string) {
	s := t.side
	b.removeRun(t)
	if t.job.ended {
		return
	}
	b.metrics.Add("runs_lost", 1)
	b.options.Logger.Info("a run is lost", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "why", reason,
		"since_order_ms", now.Sub(t.sentAt).Milliseconds())
	t.avoid = s
	b.enqueue(now, t)
}

func (b *Broker) removeRun(t *task) {
	delete(b.runs, runKey{task: t.name, run: t.run})
	delete(t.side.runs, t)
	t.job.runsInFlight--
}

// overAt is when the runs that were sent to a silent side are surely over: its
// lease for this entry has run out, and then the worker's hold.
func (s *side) runsExpireAt() time.Time {
	hold := time.Duration(float64(yuccaworker.Hold) * (1 + 2*yuccaworker.ClockDrift))
	return s.leaseBase.Add(yuccaworker.OwnerLease + hold + lossSlack)
}

// loseRuns gives up the runs of sides that have been silent for so long that
// nothing of this entry can run there.
func (b *Broker) expireRuns(now time.Time) {
	for _, s := range b.sideList {
		if len(s.runs) == 0 || now.Before(s.runsExpireAt()) {
			continue
		}
		for _, t := range s.sortedTasks() {
			t.job.mayHaveRun = true
			b.runLost(now, t, "the side is silent and its leases have run out")
		}
	}
}

// forgetSides drops the sides that have been gone for long.
func (b *Broker) evictSides(now time.Time) {
	b.sideList = slices.DeleteFunc(b.sideList, func(s *side) bool {
		expired := !s.linked && len(s.runs) == 0 && now.Sub(s.linkLostAt) > sideRetention
		if expired {
			b.options.Logger.Info("forgets a side", "side", s.name, "lost_s", now.Sub(s.linkLostAt).Seconds())
			delete(b.sides, s.name)
		}
		return expired
	})
}

// until is the time on the side's clock to which the lease may be renewed.
func (s *side) renewLease() uint64 {
	s.leaseBase = s.lastReport
	return s.clockMs + uint64(yuccaworker.OwnerLease.Milliseconds())
}

// sendBeats renews the lease at the sides that run something, and tells all
// how often to report.
func (b *Broker) sendHeartbeats(now time.Time) {
	if now.Sub(b.lastHeartbeat) < heartbeatInterval {
		return
	}
	b.lastHeartbeat = now
	interval := min(max(time.Duration(len(b.sideList))*stateIntervalPerSide, minStateInterval), maxStateInterval)
	for _, s := range b.sideList {
		if !s.linked || s.lastReport.IsZero() || len(s.runs) == 0 && now.Sub(s.leaseBase) < maxReportAge {
			continue
		}
		heartbeat := &yuccawire.Beat{UntilMs: s.renewLease(), StateIntervalMs: uint32(interval.Milliseconds())}
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Beat{Beat: heartbeat}})
	}
}
