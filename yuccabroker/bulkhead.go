package yuccabroker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// A queue is confined once a share of downShareToConfine of the workers, and
	// minDownToConfine at least, are down after crashes, and no more than
	// freeShareToConfine of the processors of the others is free.
	downShareToConfine = 0.25
	minDownToConfine   = 2
	freeShareToConfine = 0.2
	// freeShareToGrow is the share of the processors of the other workers that must be
	// free for another one to become a member.
	freeShareToGrow = 0.35
	// bulkheadInterval is the time between two updates without a crash.
	bulkheadInterval = 100 * time.Millisecond
	// minMembers is the least number of workers that a queue is confined to.
	minMembers = 2
	// minCrashesToConfine is how many crashes tell which queue is the cause. The queue
	// must account for minAccountedShare of the latest maxCrashesCompared ones.
	minCrashesToConfine = 3
	minAccountedShare   = 0.8
	maxCrashesCompared  = 12
	// culpritWindow is how long a task that was found to crash its workers counts
	// against its queue.
	culpritWindow = 10 * time.Second
	// quietToRelease is how long a confined queue must have a worker, and crash none,
	// before it is released.
	quietToRelease = 5 * time.Second
	// maxDowntime is how long a crashed worker is expected to come back.
	maxDowntime = 10 * time.Second
	// usualDowntime is the expected downtime after a crash until one was observed,
	// downtimeWeight the weight of the latest one in the moving average.
	usualDowntime  = 3 * time.Second
	downtimeWeight = 0.3
	// priorShare is the assumed share of a queue in the work, with the weight of
	// priorRuns runs.
	priorShare = 0.25
	priorRuns  = 4
)

// bulkhead confines a queue whose tasks crash workers to a part of these, its members,
// so that the jobs of other queues continue on the rest.
type bulkhead struct {
	queueName string
	service   string
	since     time.Time
	// quietSince is when a worker last crashed under a task of the queue, or all
	// members were down.
	quietSince time.Time
	// share is the share of the workers that are members.
	share   float64
	members map[*side]bool
	// weights caches the weights by which members are chosen.
	weights map[*side]uint64
}

// culprit is a task that was found to crash its workers.
type culprit struct {
	task, queue, service string
	foundAt              time.Time
}

// queueUse is the latest job of a queue.
type queueUse struct {
	service string
	at      time.Time
}

// hasOtherQueue reports whether another queue has used a service lately.
func (b *Broker) hasOtherQueue(now time.Time, queue, service string) bool {
	for name, use := range b.queueUses {
		if name != queue && use.service == service && now.Sub(use.at) <= culpritWindow {
			return true
		}
	}
	return false
}

// recordDown notes that the worker of a side is down after a crash.
func (b *Broker) recordDown(name string, at time.Time) {
	if s := b.sides[name]; s != nil && at.After(s.crashedAt) {
		s.crashedAt = at
	}
}

// recordUp notes that the worker of a side is ready again.
func (b *Broker) recordUp(now time.Time, s *side) {
	if s.crashedAt.IsZero() {
		return
	}
	if down := now.Sub(s.crashedAt); down < maxDowntime {
		b.downtime += time.Duration(downtimeWeight * float64(down-b.downtime))
	}
	s.crashedAt = time.Time{}
}

// recordCulprit counts a task that crashes its workers against its queue. It returns
// false if the task is known.
func (b *Broker) recordCulprit(now time.Time, c culprit) bool {
	if slices.ContainsFunc(b.culprits, func(other culprit) bool { return other.task == c.task }) {
		return false
	}
	c.foundAt = now
	b.culprits = append(b.culprits, c)
	if h := b.bulkheads[c.queue]; h != nil {
		h.quietSince = now
	}
	return true
}

// recordMemberCrash keeps the queues confined that had runs on a member that crashed.
func (b *Broker) recordMemberCrash(now time.Time, c *yuccawire.Crash) {
	for _, r := range c.GetRuns() {
		if h := b.bulkheads[r.GetQueue()]; h != nil && h.members[b.sides[c.GetSide()]] {
			h.quietSince = now
		}
	}
}

// isExplained reports whether a crash is put down to a queue that is confined to the
// worker and had a run there.
func (b *Broker) isExplained(c *yuccawire.Crash) bool {
	return slices.ContainsFunc(c.GetRuns(), func(r *yuccawire.CrashedRun) bool {
		h := b.bulkheads[r.GetQueue()]
		return h != nil && h.members[b.sides[c.GetSide()]]
	})
}

func (b *Broker) isConfined(queue string) bool { return b.bulkheads[queue] != nil }

// updateBulkheads releases queues that have been quiet, confines the queue whose tasks
// crash the workers, and updates the members.
func (b *Broker) updateBulkheads(now time.Time) {
	b.bulkheadsUpdatedAt = now
	b.culprits = slices.DeleteFunc(b.culprits, func(c culprit) bool { return now.Sub(c.foundAt) > culpritWindow })
	maps.DeleteFunc(b.queueUses, func(_ string, use queueUse) bool { return now.Sub(use.at) > culpritWindow })
	for _, h := range slices.Clone(b.bulkheadList) {
		b.updateMembers(now, h)
		if now.Sub(h.quietSince) > quietToRelease {
			b.release(now, h)
		}
	}
	if c, ok := b.mainCulprit(now); ok {
		b.confineIfHarmful(now, c)
	}
	b.metrics.Gauge("queues_confined_now", int64(len(b.bulkheadList)))
}

// mainCulprit returns a task that was found to crash its workers, of the queue that
// accounts for the recent crashes best. It returns false if there is none, or if a queue
// without such a task accounts for them better.
func (b *Broker) mainCulprit(now time.Time) (culprit, bool) {
	if len(b.culprits) == 0 {
		return culprit{}, false
	}
	crashes := b.unexplainedCrashes(now)
	if len(crashes) < minCrashesToConfine {
		return culprit{}, false
	}
	accounted := accountFor(crashes)
	best := 0
	for _, n := range accounted {
		best = max(best, n)
	}
	var main culprit
	tasks := 0
	byQueue := make(map[string]int)
	for _, c := range b.culprits {
		if n := accounted[c.queue]; n < best || float64(n) < minAccountedShare*float64(len(crashes)) || b.bulkheads[c.queue] != nil {
			continue
		}
		byQueue[c.queue]++
		if byQueue[c.queue] > tasks {
			main, tasks = c, byQueue[c.queue]
		}
	}
	return main, tasks > 0
}

// unexplainedCrashes returns the latest crashes that are not put down to a confined
// queue.
func (b *Broker) unexplainedCrashes(now time.Time) []*yuccawire.Crash {
	var crashes []*yuccawire.Crash
	for i := len(b.crashes.inOrder) - 1; i >= 0 && len(crashes) < maxCrashesCompared; i-- {
		if c := b.crashes.inOrder[i]; !c.isExplained && !c.message.GetUnproven() && now.Sub(c.at) <= culpritWindow {
			crashes = append(crashes, c.message)
		}
	}
	return crashes
}

// accountFor returns, for each queue, how many of the crashes happened at the same point
// of a run of its tasks, for the point with the most.
func accountFor(crashes []*yuccawire.Crash) map[string]int {
	best := make(map[string]int)
	for _, c := range crashes {
		for _, r := range c.GetRuns() {
			n := 0
			for _, other := range crashes {
				if slices.ContainsFunc(other.GetRuns(), func(o *yuccawire.CrashedRun) bool {
					return o.GetQueue() == r.GetQueue() && isSamePoint(runTime(o), runTime(r))
				}) {
					n++
				}
			}
			best[r.GetQueue()] = max(best[r.GetQueue()], n)
		}
	}
	return best
}

func runTime(r *yuccawire.CrashedRun) time.Duration {
	return time.Duration(r.GetRanMs()) * time.Millisecond
}

// confineIfHarmful confines the queue of a culprit if a large part of the workers that
// other queues use, too, is down.
func (b *Broker) confineIfHarmful(now time.Time, c culprit) {
	candidates := b.candidates(now, c.service)
	down := 0
	for _, s := range candidates {
		if !s.crashedAt.IsZero() {
			down++
		}
	}
	share := b.shareOf(now, c.queue)
	switch {
	case down < minDownToConfine, float64(down) < downShareToConfine*float64(len(candidates)):
		return
	case freeShare(candidates) > freeShareToConfine:
		return
	case memberCount(share, len(candidates)) == len(candidates), !b.hasOtherQueue(now, c.queue, c.service):
		return
	}
	b.options.Logger.Warn("queue crashes workers", "queue", c.queue, "task", c.task, "down", down, "workers", len(candidates))
	b.confine(now, &bulkhead{queueName: c.queue, service: c.service, quietSince: now, share: share})
}

// shareOf returns the share of a queue in the processors that were in use on the workers
// that have crashed lately. The job of the youngest run of the queue on each is left out:
// that it was there may be why the worker crashed.
func (b *Broker) shareOf(now time.Time, queue string) float64 {
	own, total, runs := 0.0, 0.0, 0
	for _, c := range b.crashes.inOrder {
		if c.message.GetUnproven() || now.Sub(c.at) > culpritWindow {
			continue
		}
		suspect := jobOf(youngestRun(c.message, queue).GetTask())
		for _, r := range c.message.GetRuns() {
			if jobOf(r.GetTask()) == suspect {
				continue
			}
			runs++
			total += float64(r.GetCpuMilli())
			if r.GetQueue() == queue {
				own += float64(r.GetCpuMilli())
			}
		}
	}
	prior := priorRuns * max(total/float64(max(runs, 1)), 1)
	return (own + priorShare*prior) / (total + prior)
}

// youngestRun returns the run of a queue that was started last before a crash, or nil.
func youngestRun(c *yuccawire.Crash, queue string) *yuccawire.CrashedRun {
	var youngest *yuccawire.CrashedRun
	for _, r := range c.GetRuns() {
		if r.GetQueue() == queue && (youngest == nil || r.GetRanMs() < youngest.GetRanMs()) {
			youngest = r
		}
	}
	return youngest
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// confine confines a queue.
func (b *Broker) confine(now time.Time, h *bulkhead) {
	h.since = now
	b.bulkheads[h.queueName] = h
	b.bulkheadList = append(b.bulkheadList, h)
	b.updateMembers(now, h)
	b.metrics.Add("queues_confined", 1)
	b.options.Logger.Warn("queue confined", "queue", h.queueName, "share_percent", int(100*h.share), "members", h.memberNames())
}

func (h *bulkhead) toWire(now time.Time) *yuccawire.ConfinedQueue {
	return &yuccawire.ConfinedQueue{
		Queue: h.queueName, Service: h.service, SharePermille: uint32(milli * h.share), QuietMs: uint64(now.Sub(h.quietSince).Milliseconds()),
	}
}

// adopt confines a queue that another entry has confined before the link to it was
// opened. An entry that has just started can't tell by itself.
func (b *Broker) adopt(now time.Time, m *yuccawire.ConfinedQueue) {
	quietSince := now.Add(-time.Duration(m.GetQuietMs()) * time.Millisecond)
	if b.bulkheads[m.GetQueue()] != nil || now.Sub(quietSince) > quietToRelease {
		return
	}
	b.confine(now, &bulkhead{
		queueName: m.GetQueue(), service: m.GetService(), quietSince: quietSince, share: float64(m.GetSharePermille()) / milli,
	})
}

func (b *Broker) release(now time.Time, h *bulkhead) {
	delete(b.bulkheads, h.queueName)
	b.bulkheadList = slices.DeleteFunc(b.bulkheadList, func(other *bulkhead) bool { return other == h })
	b.needsPlacement = true
	b.options.Logger.Info("queue no longer confined", "queue", h.queueName, "after_ms", now.Sub(h.since).Milliseconds())
}

// candidates returns the sides of a service whose worker is ready, or expected back
// after a crash.
func (b *Broker) candidates(now time.Time, service string) []*side {
	var candidates []*side
	for _, s := range b.sideList {
		if s.linked && s.service == service && !b.drained[s.DataCentre] && (s.ready || now.Sub(s.crashedAt) < maxDowntime) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// updateMembers chooses the members of a bulkhead in an order that all entries agree
// on.
func (b *Broker) updateMembers(now time.Time, h *bulkhead) {
	candidates := b.candidates(now, h.service)
	slices.SortFunc(candidates, func(x, y *side) int { return cmp.Compare(h.weight(x), h.weight(y)) })
	h.members = make(map[*side]bool)
	isUp := false
	n := memberCount(h.share, len(candidates))
	for n < len(candidates) && freeShare(candidates[n+1:]) > freeShareToGrow {
		n++
	}
	for _, s := range candidates[:n] {
		h.members[s] = true
		isUp = isUp || s.ready
	}
	if !isUp {
		h.quietSince = now
	}
}

// freeShare returns the share of free processors at sides whose workers are up.
func freeShare(sides []*side) float64 {
	free, capacity := 0, 0
	for _, s := range sides {
		if s.crashedAt.IsZero() {
			free += max(s.available(tierLate).cpuMilli, 0)
			capacity += s.capacity.cpuMilli
		}
	}
	return float64(free) / float64(max(capacity, 1))
}

func (h *bulkhead) weight(s *side) uint64 {
	if h.weights == nil {
		h.weights = make(map[*side]uint64)
	}
	if _, known := h.weights[s]; !known {
		h.weights[s] = yuccaplacement.Weight(h.queueName, s.name)
	}
	return h.weights[s]
}

func memberCount(share float64, candidates int) int {
	return min(max(int(math.Ceil(share*float64(candidates))), minMembers), candidates)
}

// memberNames returns the sorted names of the members.
func (h *bulkhead) memberNames() []string {
	var names []string
	for s := range h.members {
		names = append(names, s.name)
	}
	slices.Sort(names)
	return names
}

// isOpenTo reports whether a side may run tasks of a queue.
func (b *Broker) isOpenTo(queue string, s *side) bool {
	h := b.bulkheads[queue]
	return h == nil || h.members[s]
}

// isMember reports whether any queue is confined to a side.
func (b *Broker) isMember(s *side) bool {
	return slices.ContainsFunc(b.bulkheadList, func(h *bulkhead) bool { return h.members[s] })
}

// confinedRefusal returns the outcome of a job whose queue is confined to workers that
// are all down, or nil.
func (b *Broker) confinedRefusal(now time.Time, j *job) *Outcome {
	h := b.bulkheads[j.Queue.Name]
	if h == nil || len(h.members) == 0 {
		return nil
	}
	back := now.Add(maxDowntime)
	for s := range h.members {
		if s.ready {
			return nil
		}
		if at := s.crashedAt.Add(b.downtime); at.Before(back) {
			back = at
		}
	}
	return &Outcome{State: Rejected, Reason: "tasks of its queue have crashed the workers that it is confined to", RetryAfter: max(back.Sub(now), time.Second)}
}
