package yuccabroker

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaforecast"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// resources is an amount of each resource: processors in thousandths, memory in
// megabytes, and accelerators.
type resources struct{ cpuMilli, memoryMB, accelerators int }

// demand returns the resources that one task of the step needs.
func demand(s Step) resources {
	return resources{cpuMilli: s.CPUMilli, memoryMB: s.MemoryMB, accelerators: s.Accelerators}
}

func (r resources) plus(o resources) resources {
	return resources{cpuMilli: r.cpuMilli + o.cpuMilli, memoryMB: r.memoryMB + o.memoryMB, accelerators: r.accelerators + o.accelerators}
}

func (r resources) minus(o resources) resources {
	return resources{cpuMilli: r.cpuMilli - o.cpuMilli, memoryMB: r.memoryMB - o.memoryMB, accelerators: r.accelerators - o.accelerators}
}

func (r resources) max(o resources) resources {
	return resources{cpuMilli: max(r.cpuMilli, o.cpuMilli), memoryMB: max(r.memoryMB, o.memoryMB), accelerators: max(r.accelerators, o.accelerators)}
}

func (r resources) fitsIn(capacity resources) bool {
	return r.cpuMilli <= capacity.cpuMilli && r.memoryMB <= capacity.memoryMB && r.accelerators <= capacity.accelerators
}

// side is a side with its worker, as last reported to this entry.
type side struct {
	Side
	name   string
	linked bool
	// linkedAt is when the last link came up, linkLostAt when the last one was lost.
	linkedAt, linkLostAt time.Time
	service              string
	worker               string
	// token is the highest fencing token that a process of the side has sent its worker.
	token    int64
	ready    bool
	suspect  bool
	capacity resources
	// largest is the largest capacity that the worker has had.
	largest resources
	free    resources
	// queuedCPU is the processors that tasks queued at the side need, in
	// thousandths by tier.
	queuedCPU [tierCount]int
	// slowdown is the ratio of run times to estimates.
	slowdown float64
	labels   []string
	// clockMS is the side's clock in its last report on this link, lastReport the
	// local time at which that arrived, zero if there is none.
	clockMS    uint64
	lastReport time.Time
	// leaseBase is the local time at which this entry's lease at the side was last
	// renewed.
	leaseBase time.Time
	// intervals are those last requested of the side on this link.
	intervals reportIntervals
	// lastOrder is the number of the last orders sent on this link.
	lastOrder  uint64
	unreported []unreportedOrder
	// runs holds the tasks whose latest run may be alive at the side, busySince is
	// when the first of them was ordered.
	runs map[*task]struct{}
	// unsettled holds the tasks whose latest run may be in progress at the silent side, or may still
	// be started by its worker.
	unsettled   map[*task]struct{}
	busySince   time.Time
	pausedUntil time.Time
	// hasSuspectRun is set while the side runs a task under which a worker has crashed.
	hasSuspectRun bool
	// crashedAt is when the worker crashed, zero once it is ready again.
	crashedAt time.Time
	// leavesAt is until when a leaving worker runs at least, zero if that is not known.
	leavesAt time.Time
	// failurePercent is the reported share of runs that failed lately, isAvoided is set
	// while the side is avoided for it.
	failurePercent int
	isAvoided      bool
	// taken is set once the side has taken over the worker.
	taken bool
	// hasOrphans is set while runs sent to an earlier incarnation of the side may
	// be alive.
	hasOrphans bool
	// reserved is set while the side holds a reservation. releases is the capacity that
	// is expected to become free, empty if the side reports none. ordersSeen is the
	// number of the last orders that its last report includes.
	reserved   bool
	releases   []yuccaforecast.Release
	ordersSeen uint64
}

// unreportedOrder is the capacity used by an order that the side's last report
// does not include yet.
type unreportedOrder struct {
	number uint64
	sentAt time.Time
	tier   int
	size   resources
}

func (s *side) hasLabel(label string) bool { return label == "" || slices.Contains(s.labels, label) }

// sortedTasks returns the tasks with runs at the side, sorted by name.
func (s *side) sortedTasks() []*task { return sortedByName(s.runs) }

func sortedByName(tasks map[*task]struct{}) []*task {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// available returns the capacity for another task of the tier, less what tasks
// queued at the side or on their way to it need. Those of higher (less urgent)
// tiers don't count.
func (s *side) available(tier int) resources {
	available := s.free
	for _, cpu := range s.queuedCPU[:tier+1] {
		available.cpuMilli -= cpu
	}
	for _, u := range s.unreported {
		if u.tier <= tier {
			available = available.minus(u.size)
		}
	}
	return available
}

// HandleLinkUp records a new link to a side. Runs that were sent to an earlier
// incarnation of the side count as alive until the current one reports that it
// has taken over the worker.
func (b *Broker) HandleLinkUp(now time.Time, peer Side) {
	s := b.sides[peer.Name]
	if s != nil && s.Incarnation != peer.Incarnation {
		b.options.Logger.Info("side restarted", "side", peer.Name, "runs", len(s.runs))
		s.ready = false
		b.forgetWorker(peer.Name, "side restarted")
		s.hasOrphans = len(s.runs)+len(s.unsettled) > 0
		s.clockMS = 0
	}
	if s == nil {
		s = &side{name: peer.Name, runs: make(map[*task]struct{}), unsettled: make(map[*task]struct{}), slowdown: 1}
		b.sides[peer.Name] = s
		b.sideList = append(b.sideList, s)
		b.options.Logger.Info("side discovered", "side", peer.Name, "data_centre", peer.DataCentre)
	}
	s.Side = peer
	s.linked, s.linkedAt = true, now
	b.placements.loseBackup(func(to backup) bool { return to == backup{name: s.name, isSide: true} })
	s.lastOrder = 0
	s.unreported = nil
	s.lastReport = time.Time{}
	s.intervals = reportIntervals{}
	s.ordersSeen = 0
	for t := range s.allRuns() {
		t.order = 0
	}
	b.sendDrained(s)
	b.confirmHeld(s.name, 0)
	b.updateIsolation(now)
}

// HandleLinkDown records the loss of the link to a side. Its runs may still be
// alive.
func (b *Broker) HandleLinkDown(now time.Time, name string) {
	if s := b.sides[name]; s != nil && s.linked {
		s.linked = false
		s.linkLostAt = now
		b.placements.loseBackup(func(to backup) bool { return to == backup{name: name, isSide: true} })
		b.metrics.Add("side_links_lost", 1)
		b.updateIsolation(now)
		b.options.Logger.Info("side link lost", "side", name, "runs", len(s.runs), "stamp_age_ms", now.Sub(s.lastReport).Milliseconds())
	}
}

// HandleWorkerState updates a side from its report. Unknown sides, nil reports and those
// of an older link are ignored.
func (b *Broker) HandleWorkerState(now time.Time, name string, m *yuccawire.WorkerState) {
	if s := b.sides[name]; s != nil && b.updateSide(now, s, m) {
		s.settleRuns(m)
	}
}

// updateSide updates a side from its report. It returns false for a nil report and one of an
// older link, which it ignores.
func (b *Broker) updateSide(now time.Time, s *side, m *yuccawire.WorkerState) bool {
	if m == nil {
		return false
	}
	name := s.name
	if s.precedes(m) {
		b.metrics.Add("reports_of_older_links", 1)
		b.options.Logger.Warn("report of an older link ignored", "side", name, "clock_ms", m.GetClockMs(), "known_ms", s.clockMS)
		return false
	}
	if s.ready != m.GetReady() || s.suspect != m.GetSuspect() {
		b.options.Logger.Info("worker state changed", "side", name, "worker", cmp.Or(m.GetWorker(), s.worker), "ready", m.GetReady(), "suspect", m.GetSuspect(), "pace_percent", m.GetPacePercent())
	}
	if m.GetReady() {
		b.recordUp(now, s)
	}
	s.clockMS, s.lastReport = m.GetClockMs(), now
	s.ready, s.suspect, s.hasSuspectRun = m.GetReady(), m.GetSuspect(), m.GetSuspectRun()
	b.forgetChangedWorker(s, m)
	if m.GetWorker() != "" {
		if m.GetWorker() != s.worker {
			s.largest = resources{}
			s.token = 0
		}
		s.worker, s.service, s.labels = m.GetWorker(), m.GetService(), m.GetLabels()
		s.capacity = resources{cpuMilli: int(m.GetCpuMilli()), memoryMB: int(m.GetMemoryMb()), accelerators: int(m.GetAccelerators())}
		s.largest = s.largest.max(s.capacity)
	}
	b.recordToken(s, m.GetToken())
	s.free = resources{cpuMilli: int(m.GetFreeCpuMilli()), memoryMB: int(m.GetFreeMemoryMb()), accelerators: int(m.GetFreeAccelerators())}
	s.queuedCPU = [tierCount]int{}
	for tier, cpu := range m.GetQueuedCpuMilli() {
		s.queuedCPU[min(tier, tierCount-1)] += int(cpu)
	}
	b.setFailurePercent(s, m)
	b.setLeaving(now, s, m)
	s.slowdown = max(float64(m.GetPacePercent())/100, 0.1)
	s.unreported = slices.DeleteFunc(s.unreported, func(u unreportedOrder) bool { return u.number <= m.GetOrdersSeen() })
	s.handleForecast(now, m)
	if m.GetTaken() {
		b.loseOrphans(now, s)
	}
	b.needsPlacement = true
	return true
}

// precedes reports whether a report was sent before one that is known. The reports of one
// link are in order, but two links of a side may come up in another order than at the side.
func (s *side) precedes(m *yuccawire.WorkerState) bool { return m.GetClockMs() < s.clockMS }

// HandleEnds applies the ends of runs at a side, and the worker state that comes
// with them.
func (b *Broker) HandleEnds(now time.Time, name string, m *yuccawire.Ends) {
	s := b.sides[name]
	if s == nil {
		return
	}
	isOutdated := m.GetState() != nil && s.precedes(m.GetState())
	hasState := b.updateSide(now, s, m.GetState())
	// An end may let a job be answered, so that these runs have to be known before.
	for _, k := range m.GetPresent() {
		if key := (runKey{task: k.GetTask(), run: k.GetRun()}); b.runs[key] == nil {
			b.recordUnknownRun(s, key)
		}
	}
	for _, e := range m.GetEnds() {
		t := b.runs[runKey{task: e.GetRun().GetTask(), run: e.GetRun().GetRun()}]
		b.handleEnded(now, s, e)
		if t != nil {
			b.answerWithdrawn(now, t.job)
		}
	}
	if m.GetFull() && !isOutdated {
		b.reconcile(now, s, m)
	}
	if hasState {
		s.settleRuns(m.GetState())
	}
}

// reconcile compares the full list of runs that a side sends on a new link with
// the runs ordered there: unknown runs are withdrawn, missing ones are lost. Those have
// not started unless the side may have forgotten their end.
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
	for _, t := range append(s.sortedTasks(), sortedByName(s.unsettled)...) {
		switch {
		case t.sideIncarnation != s.Incarnation || present[runKey{task: t.name, run: t.run}]:
		case t.mayBeForgotten(m):
			b.metrics.Add("runs_forgotten", 1)
			b.handleUnknownRun(now, t, "order never reached the side, or its end is forgotten")
		default:
			b.metrics.Add("runs_never_arrived", 1)
			b.handleLostRun(now, t, "order never reached the side")
		}
	}
}

// mayBeForgotten reports whether a side that sends the list may have removed the end of the
// latest run, which counts as soon as the order was sent.
func (t *task) mayBeForgotten(list *yuccawire.Ends) bool {
	return int64(list.GetState().GetClockMs())-t.orderedMS >= yuccaworker.OutcomeRetention.Milliseconds()
}

// recordUnknownRun notes that a run of an open job may have started which counts as ended.
func (b *Broker) recordUnknownRun(s *side, key runKey) {
	if j := b.jobs[jobOf(key.task)]; j != nil && key.run > j.runsBefore && !j.mayHaveRun {
		j.mayHaveRun = true
		b.metrics.Add("runs_unexpected", 1)
		b.options.Logger.Warn("run reported that counts as never started", "job", j.ID, "task", key.task, "run", key.run, "side", s.name)
	}
}

// handleEnded applies the end of one run. Ends of superseded runs and of earlier
// incarnations of the side only show that the run may have started.
func (b *Broker) handleEnded(now time.Time, s *side, e *yuccawire.Ended) {
	key := runKey{task: e.GetRun().GetTask(), run: e.GetRun().GetRun()}
	t := b.runs[key]
	if t == nil || t.side != s || t.sideIncarnation != s.Incarnation {
		if e.GetEnd() != yuccawire.RunEnd_RUN_END_REFUSED {
			b.recordUnknownRun(s, key)
		}
		if other := b.jobs[jobOf(key.task)].task(key.task); other != nil && mayStartAgain(e) {
			b.pin(other, s.name)
		}
		return
	}
	if e.GetEnd() != yuccawire.RunEnd_RUN_END_REFUSED {
		t.job.mayHaveRun = true
	}
	if mayStartAgain(e) {
		b.pin(t, s.name)
	}
	b.removeRun(now, t)
	b.observeRun(now, t, s, e)
	if t.job.ended {
		return
	}
	switch e.GetEnd() {
	case yuccawire.RunEnd_RUN_END_DONE:
		t.step.longestRun = max(t.step.longestRun, time.Duration(e.GetRanMs())*time.Millisecond)
		b.completeTask(now, t)
	case yuccawire.RunEnd_RUN_END_FAILED:
		t.avoid = s
		b.recordFailedRun(now, t, s)
		b.logRunEnd(now, t, s, e)
		b.failTask(now, t)
	case yuccawire.RunEnd_RUN_END_REFUSED:
		b.handleRefused(now, t, s, e)
	case yuccawire.RunEnd_RUN_END_LOST, yuccawire.RunEnd_RUN_END_CRASHED:
		t.avoid = s
		b.recordLoss(t)
		b.logRunEnd(now, t, s, e)
		if b.isConfined(t.job.Queue.Name) && now.After(t.job.usefulUntil) {
			b.abandon(now, t.job, "a worker crashed under a task of it")
			return
		}
		b.enqueue(now, t)
	default:
		t.avoid = s
		b.logRunEnd(now, t, s, e)
		b.enqueue(now, t)
	}
}

// mayStartAgain reports whether the worker may still execute a start of the ended run.
func mayStartAgain(e *yuccawire.Ended) bool { return e.GetMayStart() || e.GetUnanswered() }

// logRunEnd logs the end of a run and what it rests on. Runs that were lost are warnings, which a burst of other
// lines doesn't displace.
func (b *Broker) logRunEnd(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	level := slog.LevelInfo
	if e.GetEnd() == yuccawire.RunEnd_RUN_END_LOST || e.GetEnd() == yuccawire.RunEnd_RUN_END_CRASHED {
		level = slog.LevelWarn
	}
	b.options.Logger.Log(context.Background(), level, "run did not succeed", "end", e.GetEnd().String(), "cause", e.GetCause(), "task", t.name, "run", t.run,
		"side", s.name, "worker", s.worker, "job", t.job.ID, "refusal", e.GetRefusal().String(), "ran_ms", e.GetRanMs(), "since_order_ms", now.Sub(t.sentAt).Milliseconds(),
		"settled", t.settled, "failures", t.failures, "losses", t.losses, "crashes", len(b.crashes.byTask[t.name]))
}

// handleRefused requeues a task whose run was refused by the side before it
// started.
func (b *Broker) handleRefused(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	b.metrics.Add("orders_refused", 1)
	b.logRunEnd(now, t, s, e)
	switch e.GetRefusal() {
	case yuccawire.RunRefusal_RUN_REFUSAL_OTHER_SUSPECT:
		s.hasSuspectRun = true
	case yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM, yuccawire.RunRefusal_RUN_REFUSAL_RESERVED:
		s.pausedUntil = now.Add(refusalBackoff)
	case yuccawire.RunRefusal_RUN_REFUSAL_BUSY:
		// The side has a run of the task by another entry, or one that this entry has lost track of.
		b.pin(t, s.name)
		t.notBefore = now.Add(busyBackoff)
	case yuccawire.RunRefusal_RUN_REFUSAL_DRAINED:
		s.pausedUntil = now.Add(drainedBackoff)
	default:
		t.avoid = s
		s.pausedUntil = now.Add(refusalBackoff)
	}
	b.enqueue(now, t)
}

// evictSides removes the sides without runs that have been unlinked for sideRetention.
func (b *Broker) evictSides(now time.Time) {
	b.sideList = slices.DeleteFunc(b.sideList, func(s *side) bool {
		expired := !s.linked && len(s.runs) == 0 && len(s.unsettled) == 0 && now.Sub(s.linkLostAt) > sideRetention
		if expired {
			b.options.Logger.Info("side evicted", "side", s.name, "lost_s", now.Sub(s.linkLostAt).Seconds())
			delete(b.sides, s.name)
		}
		return expired
	})
}

// renewLease renews this entry's lease and returns its new expiry, in milliseconds
// of the side's clock. That clock is computed from the last report: it has advanced
// by at least the time since then, less the drift, so the lease ends no later than
// OwnerLease after now.
func (s *side) renewLease(now time.Time) uint64 {
	s.leaseBase = now
	return uint64(s.clockAt(now)) + uint64(yuccaworker.OwnerLease.Milliseconds())
}

// clockAt returns a time that the side's clock has certainly reached at the local
// time, in milliseconds.
func (s *side) clockAt(at time.Time) int64 {
	sinceReport := float64(at.Sub(s.lastReport).Milliseconds())
	return int64(s.clockMS) + int64(sinceReport*(1-machineDrift))
}

// isResponsive reports whether the side was heard recently enough to get orders. A
// side with runs reports often, and each report mentions the orders received.
func (s *side) isResponsive(now time.Time) bool {
	if s.lastReport.IsZero() || now.Sub(s.lastReport) > s.intervals.idle+idleReportSlack {
		return false
	}
	if len(s.unreported) > 0 && now.Sub(s.unreported[0].sentAt) > maxUnseenOrderAge {
		return false
	}
	return len(s.runs) == 0 || now.Sub(s.lastHeard()) < maxBusyReportAge
}

// lastHeard returns since when a side with runs has not reported.
func (s *side) lastHeard() time.Time { return later(s.lastReport, s.busySince) }

// reportIntervals are the intervals at which a side is to report: changed while its
// worker's state changes, idle while it does not.
type reportIntervals struct{ changed, idle time.Duration }

// reportIntervals returns the intervals for the current number of sides.
func (b *Broker) reportIntervals() reportIntervals {
	sides := time.Duration(len(b.sideList))
	return reportIntervals{
		changed: min(max(sides*stateIntervalPerSide, minStateInterval), maxStateInterval),
		idle:    min(max(sides*idleIntervalPerSide, minIdleInterval), maxIdleInterval),
	}
}

// sendHeartbeats renews the lease at each side with runs that has been heard, and
// requests the intervals of reports if they have changed.
func (b *Broker) sendHeartbeats(now time.Time) {
	intervals := b.reportIntervals()
	for _, s := range b.sideList {
		if !s.linked || s.lastReport.IsZero() {
			continue
		}
		renews := len(s.runs) > 0 && now.Sub(s.leaseBase) >= renewInterval && now.Sub(s.lastReport) < maxBusyReportAge
		if !renews && s.intervals == intervals {
			continue
		}
		s.intervals = intervals
		heartbeat := &yuccawire.Beat{StateIntervalMs: uint32(intervals.changed.Milliseconds()), IdleIntervalMs: uint32(intervals.idle.Milliseconds())}
		if renews {
			heartbeat.UntilMs = s.renewLease(now)
		}
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Beat{Beat: heartbeat}})
	}
}
