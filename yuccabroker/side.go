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
type room struct{ cpu, memory, accelerators int }

func need(s Step) room {
	return room{cpu: s.CPUMilli, memory: s.MemoryMB, accelerators: s.Accelerators}
}

func (r room) plus(o room) room {
	return room{cpu: r.cpu + o.cpu, memory: r.memory + o.memory, accelerators: r.accelerators + o.accelerators}
}

func (r room) minus(o room) room {
	return room{cpu: r.cpu - o.cpu, memory: r.memory - o.memory, accelerators: r.accelerators - o.accelerators}
}

func (r room) fits(in room) bool {
	return r.cpu <= in.cpu && r.memory <= in.memory && r.accelerators <= in.accelerators
}

// side is a worker as this entry sees it.
type side struct {
	Side
	name   string
	linked bool
	// lostAt is when the link ended.
	lostAt  time.Time
	service string
	worker  string
	ready   bool
	suspect bool
	total   room
	free    room
	queued  [tiers]int
	pace    float64
	labels  []string
	// stamp is the side's clock, stampAt when it came.
	stamp   uint64
	stampAt time.Time
	// leaseFrom is when the newest stamp came that the side's lease for this
	// entry was renewed with.
	leaseFrom time.Time
	number    uint64
	unseen    []unseenOrder
	runs      map[*task]struct{}
	pausedTo  time.Time
	// orphans is set while runs that an earlier process of the side was sent may
	// be alive.
	orphans bool
}

// unseenOrder is room that was used by orders which the last report did not
// count.
type unseenOrder struct {
	number uint64
	tier   int
	size   room
}

func (s *side) has(label string) bool { return label == "" || slices.Contains(s.labels, label) }

// sorted lists the tasks that the side has, by name.
func (s *side) sorted() []*task {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// left is the room for another task of the tier, with what is on its way there.
// What is less urgent gives way.
func (s *side) left(tier int) room {
	left := s.free
	for _, queued := range s.queued[:tier+1] {
		left.cpu -= queued
	}
	for _, u := range s.unseen {
		if u.tier <= tier {
			left = left.minus(u.size)
		}
	}
	return left
}

// LinkUp tells that a side is linked.
func (b *Broker) LinkUp(_ time.Time, given Side) {
	s := b.sides[given.Name]
	if s != nil && s.Incarnation != given.Incarnation {
		b.options.Logger.Info("a side has started again", "side", given.Name, "runs", len(s.runs))
		s.ready = false
		s.orphans = len(s.runs) > 0
	}
	if s == nil {
		s = &side{name: given.Name, runs: make(map[*task]struct{}), pace: 1}
		b.sides[given.Name] = s
		b.list = append(b.list, s)
		b.options.Logger.Info("a side is there", "side", given.Name, "data_centre", given.DataCentre)
	}
	s.Side = given
	s.linked = true
	s.number = 0
	s.unseen = nil
	s.stampAt = time.Time{}
}

// LinkDown tells that the link to a side has ended. Its runs may go on.
func (b *Broker) LinkDown(now time.Time, name string) {
	if s := b.sides[name]; s != nil && s.linked {
		s.linked = false
		s.lostAt = now
		b.metrics.Add("side_links_lost", 1)
		b.options.Logger.Info("the link to a side is lost", "side", name, "runs", len(s.runs), "stamp_age_ms", now.Sub(s.stampAt).Milliseconds())
	}
}

// State takes in what a side tells of its worker.
func (b *Broker) State(now time.Time, name string, m *yuccawire.WorkerState) {
	s := b.sides[name]
	if s == nil || m == nil {
		return
	}
	if s.ready != m.GetReady() || s.suspect != m.GetSuspect() {
		b.options.Logger.Info("a worker has changed", "side", name, "worker", m.GetWorker(), "ready", m.GetReady(), "suspect", m.GetSuspect(), "pace_percent", m.GetPacePercent())
	}
	s.stamp, s.stampAt = m.GetClockMs(), now
	s.ready, s.suspect = m.GetReady(), m.GetSuspect()
	if m.GetWorker() != "" {
		s.worker, s.service, s.labels = m.GetWorker(), m.GetService(), m.GetLabels()
		s.total = room{cpu: int(m.GetCpuMilli()), memory: int(m.GetMemoryMb()), accelerators: int(m.GetAccelerators())}
	}
	s.free = room{cpu: int(m.GetFreeCpuMilli()), memory: int(m.GetFreeMemoryMb()), accelerators: int(m.GetFreeAccelerators())}
	s.queued = [tiers]int{}
	for tier, cpu := range m.GetQueuedCpuMilli() {
		s.queued[min(tier, tiers-1)] += int(cpu)
	}
	s.pace = max(float64(m.GetPacePercent())/100, 0.1)
	s.unseen = slices.DeleteFunc(s.unseen, func(u unseenOrder) bool { return u.number <= m.GetOrdersSeen() })
	if m.GetTaken() {
		b.endOrphans(now, s)
	}
	b.stale = true
}

// endOrphans gives up what was sent to an earlier process of a side, once the
// present one has made sure that nothing of it runs. Until then it may.
func (b *Broker) endOrphans(now time.Time, s *side) {
	if !s.orphans {
		return
	}
	s.orphans = false
	for _, t := range s.sorted() {
		if t.sentTo != s.Incarnation {
			t.job.ran = true
			b.runOver(now, t, "the side has started again")
		}
	}
}

// Ends takes in what became of runs at a side.
func (b *Broker) Ends(now time.Time, name string, m *yuccawire.Ends) {
	b.State(now, name, m.GetState())
	s := b.sides[name]
	if s == nil {
		return
	}
	for _, e := range m.GetEnds() {
		b.ended(now, s, e)
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
	for _, t := range s.sorted() {
		if t.sentTo == s.Incarnation && !present[runKey{task: t.name, run: t.run}] {
			b.metrics.Add("runs_never_arrived", 1)
			b.runOver(now, t, "it never reached the side")
		}
	}
}

func (b *Broker) ended(now time.Time, s *side, e *yuccawire.Ended) {
	key := runKey{task: e.GetRun().GetTask(), run: e.GetRun().GetRun()}
	t := b.runs[key]
	if t == nil || t.side != s || t.sentTo != s.Incarnation {
		return
	}
	b.forgetRun(t)
	if e.GetEnd() != yuccawire.RunEnd_RUN_END_REFUSED {
		t.job.ran = true
	}
	if t.job.ended {
		return
	}
	switch e.GetEnd() {
	case yuccawire.RunEnd_RUN_END_DONE:
		t.step.longest = max(t.step.longest, time.Duration(e.GetRanMs())*time.Millisecond)
		b.taskDone(now, t)
	case yuccawire.RunEnd_RUN_END_FAILED:
		t.avoid = s
		b.logRun(now, t, s, e)
		b.taskFailed(now, t)
	case yuccawire.RunEnd_RUN_END_REFUSED:
		b.refused(now, t, s, e)
	default:
		t.avoid = s
		b.logRun(now, t, s, e)
		b.enqueue(now, t)
	}
}

func (b *Broker) logRun(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	b.options.Logger.Info("a run did not end well", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "worker", s.worker,
		"end", e.GetEnd().String(), "refusal", e.GetRefusal().String(), "ran_ms", e.GetRanMs(), "since_order_ms", now.Sub(t.sentAt).Milliseconds(),
		"failures", t.failures)
}

// refused queues a task again that did not start.
func (b *Broker) refused(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	b.metrics.Add("orders_refused", 1)
	if e.GetRefusal() != yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM {
		b.logRun(now, t, s, e)
		t.avoid = s
	}
	s.pausedTo = now.Add(pauseAfterRefusal)
	b.enqueue(now, t)
}

// runOver takes in that a run is not alive any more, without a word of how it
// ended.
func (b *Broker) runOver(now time.Time, t *task, why string) {
	s := t.side
	b.forgetRun(t)
	if t.job.ended {
		return
	}
	b.metrics.Add("runs_lost", 1)
	b.options.Logger.Info("a run is lost", "job", t.job.ID, "task", t.name, "run", t.run, "side", s.name, "why", why,
		"since_order_ms", now.Sub(t.sentAt).Milliseconds())
	t.avoid = s
	b.enqueue(now, t)
}

func (b *Broker) forgetRun(t *task) {
	delete(b.runs, runKey{task: t.name, run: t.run})
	delete(t.side.runs, t)
	t.job.openRuns--
}

// overAt is when the runs that were sent to a silent side are surely over: its
// lease for this entry has run out, and then the worker's hold.
func (s *side) overAt() time.Time {
	hold := time.Duration(float64(yuccaworker.Hold) * (1 + 2*yuccaworker.ClockDrift))
	return s.leaseFrom.Add(yuccaworker.OwnerLease + hold + lossSlack)
}

// loseRuns gives up the runs of sides that have been silent for so long that
// nothing of this entry can run there.
func (b *Broker) loseRuns(now time.Time) {
	for _, s := range b.list {
		if len(s.runs) == 0 || now.Before(s.overAt()) {
			continue
		}
		for _, t := range s.sorted() {
			t.job.ran = true
			b.runOver(now, t, "the side is silent and its leases have run out")
		}
	}
}

// forgetSides drops the sides that have been gone for long.
func (b *Broker) forgetSides(now time.Time) {
	b.list = slices.DeleteFunc(b.list, func(s *side) bool {
		gone := !s.linked && len(s.runs) == 0 && now.Sub(s.lostAt) > sideKept
		if gone {
			b.options.Logger.Info("forgets a side", "side", s.name, "lost_s", now.Sub(s.lostAt).Seconds())
			delete(b.sides, s.name)
		}
		return gone
	})
}

// until is the time on the side's clock to which the lease may be renewed.
func (s *side) until() uint64 {
	s.leaseFrom = s.stampAt
	return s.stamp + uint64(yuccaworker.OwnerLease.Milliseconds())
}

// sendBeats renews the lease at the sides that run something, and tells all
// how often to report.
func (b *Broker) sendBeats(now time.Time) {
	if now.Sub(b.beatAt) < beatInterval {
		return
	}
	b.beatAt = now
	interval := min(max(time.Duration(len(b.list))*stateIntervalPerSide, minStateInterval), maxStateInterval)
	for _, s := range b.list {
		if !s.linked || s.stampAt.IsZero() || len(s.runs) == 0 && now.Sub(s.leaseFrom) < stampMaxAge {
			continue
		}
		beat := &yuccawire.Beat{UntilMs: s.until(), StateIntervalMs: uint32(interval.Milliseconds())}
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Beat{Beat: beat}})
	}
}
