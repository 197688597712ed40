package yuccabroker

import (
	"cmp"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaestimate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// equalBand is the ratio up to which two expected ends count as equal.
	equalBand = 1.1
	// siblingFactor times the expected end of the other tasks of its step is how late a
	// task may end without waiting for a better worker.
	siblingFactor = 1.5
	// staleAfter is the age of a report at which other entries are assumed to have sent a
	// side as many tasks since as this entry; they are more in proportion to the age. All
	// entries prefer the fast workers.
	staleAfter = 50 * time.Millisecond
	// minSpeedRuns is how many runs of a worker are needed before its learned speed is
	// used. Before, it follows from the slowdown that the side reports, in which the
	// errors of the estimates are contained: up to maxReportedSpeed either way.
	minSpeedRuns     = 10
	maxReportedSpeed = 2.0
)

// chooseSide returns the side for a task, or nil if no worker has capacity. It compares
// a few random sides, so that entries with the same reports don't all choose the same
// one, and all sides if none of these has free capacity.
func (b *Broker) chooseSide(now time.Time, t *task) *side {
	if len(b.sideList) == 0 {
		return nil
	}
	if only, isPinned := b.onlySide(t); isPinned {
		return b.choosePinned(now, t, only)
	}
	if b.options.Scheduling.LearnedRunTimes {
		return b.chooseByEnd(now, t)
	}
	return b.chooseByScore(now, t)
}

// chooseByEnd returns the side where a task is expected to end first. Nil is returned
// too if the task should wait for a better worker than those with capacity.
func (b *Broker) chooseByEnd(now time.Time, t *task) *side {
	if t.step.waitedAt.Equal(now) {
		return nil
	}
	c := choice{broker: b, now: now, task: t, candidates: b.compared[:0], usual: b.estimator.RunTime(t.job.Queue.Name, "", t.step.Estimate, yuccaestimate.Median)}
	if t.step.NearRack != "" {
		c.rackFactor = b.rackFactor(t.job.Queue.Name)
		for _, s := range b.sideList {
			if !isRemote(t, s) {
				c.add(s)
			}
		}
	}
	for range sampleSize {
		c.add(b.sideList[b.options.Random.IntN(len(b.sideList))])
	}
	best := c.best()
	if !c.hasFree || c.endsLate(best) {
		c.addAll()
		best = c.best()
	}
	b.compared = c.candidates
	if best == nil || b.waitsForSiblings(&c, best) {
		return nil
	}
	t.step.recordExpectedEnd(now, now.Add(best.start+c.nearRunTime(best.side)))
	if isRemote(t, best.side) {
		b.metrics.Add("tasks_placed_remote_rack", 1)
	}
	return best.side
}

// choice compares the sides for one task.
type choice struct {
	broker *Broker
	now    time.Time
	task   *task
	// usual is the task's run time on a worker of usual speed in the rack of its data.
	usual      time.Duration
	rackFactor float64
	candidates []candidate
	// hasFree is set once a candidate that is not to be avoided has free capacity.
	hasFree bool
}

// candidate is a side that can accept the task.
type candidate struct {
	side *side
	// start and end are the times until the task is expected to start and to end.
	start time.Duration
	end   time.Duration
	// free is the share of the processors that is free after the placement.
	free float64
	// avoidance is how much other workers are preferred, regardless of the end.
	avoidance float64
	// isWanted is set if tasks wait for the worker's rack because of their data.
	isWanted bool
}

// add adds a side unless it can't accept the task.
func (c *choice) add(s *side) {
	b, t := c.broker, c.task
	if !b.isEligible(c.now, t, s) {
		return
	}
	available := s.available(t.tier)
	size := demand(t.step.Step)
	if !size.fitsIn(available.plus(s.queueLimit())) || t.heldBack && !t.mayStart(available, size, s.capacity) {
		return
	}
	expected := available
	if len(s.unreported) > 0 {
		expected = available.minus(s.othersOrders(c.now, t.tier))
	}
	start := c.startDelay(s, size, expected)
	candidate := candidate{
		side: s, start: start, end: start + time.Duration(float64(c.runTime(s))*t.expectedAttempts(s)),
		free:      float64(available.cpuMilli-size.cpuMilli+1) / float64(max(s.capacity.cpuMilli, 1)),
		avoidance: b.avoidance(t, s), isWanted: t.step.NearRack == "" && b.isWantedRack(s),
	}
	c.hasFree = c.hasFree || candidate.free > 0 && candidate.avoidance == 0
	c.candidates = append(c.candidates, candidate)
}

// addAll replaces the candidates by all sides.
func (c *choice) addAll() {
	c.candidates = c.candidates[:0]
	for _, s := range c.broker.sideList {
		c.add(s)
	}
}

// runTime returns the expected run time of the task at a side.
func (c *choice) runTime(s *side) time.Duration {
	if isRemote(c.task, s) {
		return time.Duration(c.rackFactor * float64(c.nearRunTime(s)))
	}
	return c.nearRunTime(s)
}

// nearRunTime returns the expected run time of the task at a side if the side were in
// the rack of the task's data.
func (c *choice) nearRunTime(s *side) time.Duration {
	return time.Duration(float64(c.usual) / c.broker.speed(s))
}

// best returns the candidate where the task ends first. Of those that end at about the
// same time it is one whose rack no task waits for, then the one with the most free
// capacity. It returns nil without candidates.
func (c *choice) best() *candidate {
	var first *candidate
	for i := range c.candidates {
		d := &c.candidates[i]
		if first == nil || d.avoidance < first.avoidance || d.avoidance == first.avoidance && d.end < first.end {
			first = d
		}
	}
	if first == nil {
		return nil
	}
	limit := time.Duration(equalBand * float64(first.end))
	best := first
	for i := range c.candidates {
		d := &c.candidates[i]
		if d.avoidance != first.avoidance || d.end > limit {
			continue
		}
		if best.isWanted && !d.isWanted || best.isWanted == d.isWanted && d.free > best.free {
			best = d
		}
	}
	return best
}

// startDelay returns the time until a task can start at a side. Where no releases are
// reported, the processors that it lacks come free at the rate at which runs of usual
// length end.
func (c *choice) startDelay(s *side, size, available resources) time.Duration {
	b, now := c.broker, c.now
	if size.fitsIn(available) {
		return 0
	}
	for _, r := range s.releases {
		if available = available.plus(toResources(r.Amount)); size.fitsIn(available) {
			return max(r.At.Sub(now), 0)
		}
	}
	delay := time.Duration(0)
	if len(s.releases) > 0 {
		delay = max(s.releases[len(s.releases)-1].At.Sub(now), 0)
	}
	lacking := size.minus(available)
	share := max(float64(lacking.cpuMilli)/float64(max(s.capacity.cpuMilli, 1)), float64(lacking.memoryMB)/float64(max(s.capacity.memoryMB, 1)),
		float64(lacking.accelerators)/float64(max(s.capacity.accelerators, 1)))
	return delay + time.Duration(share*float64(cmp.Or(b.meanRun, c.usual))/b.speed(s))
}

// speed returns the speed of a side's worker as a multiple of the usual one.
func (b *Broker) speed(s *side) float64 {
	if speed, runs := b.estimator.Speed(s.name); runs >= minSpeedRuns {
		return speed
	}
	return min(max(b.medianSlowdown/s.slowdown, 1/maxReportedSpeed), maxReportedSpeed)
}

// othersOrders returns the capacity that other entries may have sent tasks for since the
// last report of a side, by what this entry has sent.
func (s *side) othersOrders(now time.Time, tier int) resources {
	share := float64(now.Sub(s.lastReport)) / float64(staleAfter)
	var sent resources
	for _, u := range s.unreported {
		if u.tier <= tier {
			sent = sent.plus(u.size)
		}
	}
	return resources{cpuMilli: int(share * float64(sent.cpuMilli)), memoryMB: int(share * float64(sent.memoryMB)), accelerators: int(share * float64(sent.accelerators))}
}

// queueLimit returns the capacity for which tasks may be queued at the side.
func (s *side) queueLimit() resources {
	return resources{cpuMilli: int(maxQueuedShare * float64(s.capacity.cpuMilli)), memoryMB: s.capacity.memoryMB / 8}
}

// updateWantedRacks finds the racks that queued tasks want because of their data.
func (b *Broker) updateWantedRacks() {
	clear(b.wantedRacks)
	for _, q := range b.queueList {
		for _, t := range q.tasks {
			if t.step.NearRack != "" {
				b.wantedRacks[t.step.NearRack] = true
			}
		}
	}
}

// isWantedRack reports whether tasks wait for the rack of a side.
func (b *Broker) isWantedRack(s *side) bool {
	for rack := range b.wantedRacks {
		if s.hasLabel(rack) {
			return true
		}
	}
	return false
}

// recordExpectedEnd notes where a task of the step is expected to end.
func (st *step) recordExpectedEnd(now, end time.Time) {
	if st.placedAt.IsZero() {
		st.placedAt = now
	}
	if end.After(st.expectedEnd) {
		st.expectedEnd = end
	}
}

// expectedMS returns the time until the last placed run of an order's step is expected to
// end, zero without learned run times.
func (b *Broker) expectedMS(now time.Time, o *yuccawire.TaskOrder) int64 {
	if t := b.runs[runKey{task: o.GetTask(), run: o.GetRun()}]; t != nil && !t.step.expectedEnd.IsZero() {
		return t.step.expectedEnd.Sub(now).Milliseconds()
	}
	return 0
}

// siblingLimit returns the time by which a task should end because of the other tasks of
// its step, zero if there is no limit.
func (c *choice) siblingLimit() time.Time {
	st := c.task.step
	if st.placedAt.IsZero() || c.task.tier == tierLate {
		return time.Time{}
	}
	return st.placedAt.Add(time.Duration(siblingFactor * float64(st.expectedEnd.Sub(st.placedAt))))
}

// endsLate reports whether the task would end long after the other tasks of its step: the
// job ends with its last task. The rack factor is left out: a task takes free capacity
// outside a full rack.
func (c *choice) endsLate(d *candidate) bool {
	limit := c.siblingLimit()
	return d != nil && !limit.IsZero() && c.now.Add(d.start+c.nearRunTime(d.side)).After(limit)
}

// waitsForSiblings reports whether a task waits for a faster worker, as it would end long
// after the other tasks of its step. It waits while there is a worker where it is
// expected to end within the limit, although that has no capacity yet.
func (b *Broker) waitsForSiblings(c *choice, best *candidate) bool {
	if !c.endsLate(best) {
		return false
	}
	st, limit := c.task.step, c.siblingLimit()
	size := demand(st.Step)
	for _, s := range b.sideList {
		if !b.isEligible(c.now, c.task, s) || b.avoidance(c.task, s) > 0 || !size.fitsIn(s.capacity) {
			continue
		}
		if c.now.Add(c.startDelay(s, size, s.available(c.task.tier)) + c.nearRunTime(s)).After(limit) {
			continue
		}
		if st.waitedAt.IsZero() {
			b.options.Logger.Info("tasks wait for a faster worker", "job", c.task.job.ID, "task", c.task.name, "expected_ms", best.end.Milliseconds(),
				"limit_ms", limit.Sub(c.now).Milliseconds(), "side", best.side.name, "better", s.name)
			b.metrics.Add("tasks_waiting_for_siblings", 1)
		}
		st.waitedAt = c.now
		return true
	}
	return false
}

// chooseByScore returns the side with the highest score, without learned run times.
func (b *Broker) chooseByScore(now time.Time, t *task) *side {
	var best *side
	bestScore := 0.0
	for i := range sampleSize {
		if t.step.NearRack != "" {
			// A random sample would rarely include the few workers near the data.
			break
		}
		s := b.sideList[b.options.Random.IntN(len(b.sideList))]
		if score, ok := b.score(now, t, s); ok && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
		if i == sampleSize-1 && best != nil && bestScore > 0 {
			return best
		}
	}
	for _, s := range b.sideList {
		if score, ok := b.score(now, t, s); ok && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
	}
	return best
}

// score rates a worker for a task by its share of free processors after placement,
// corrected for slowdown and rack. A score below zero means that the task would
// be queued at the side, or that the worker is slow or to be avoided. It returns
// false if the side can't accept the task.
func (b *Broker) score(now time.Time, t *task, s *side) (float64, bool) {
	if !b.isEligible(now, t, s) {
		return 0, false
	}
	available := s.available(t.tier)
	size := demand(t.step.Step)
	if !size.fitsIn(available.plus(s.queueLimit())) || t.heldBack && !t.mayStart(available, size, s.capacity) {
		return 0, false
	}
	score := float64(available.cpuMilli-size.cpuMilli+1) / float64(max(s.capacity.cpuMilli, 1))
	cost := s.slowdown * t.expectedAttempts(s)
	if score > 0 {
		score /= cost
	} else {
		score *= cost
	}
	if score > 0 && t.step.NearRack != "" && !s.hasLabel(t.step.NearRack) {
		score /= b.options.Scheduling.RemoteRackFactor
	}
	return score - b.avoidance(t, s), true
}
