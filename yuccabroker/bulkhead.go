package yuccabroker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// A queue is confined once a share of downShareToConfine of the workers, and
	// minDownToConfine at least, are down after crashes.
	downShareToConfine = 0.25
	minDownToConfine   = 2
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
	// queue holds the queued tasks, which must not delay those of other queues.
	queue taskQueue
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

// updateBulkheads releases queues that have been quiet, confines the queue whose tasks
// crash the workers, and updates the members.
func (b *Broker) updateBulkheads(now time.Time) {
	b.culprits = slices.DeleteFunc(b.culprits, func(c culprit) bool { return now.Sub(c.foundAt) > culpritWindow })
	maps.DeleteFunc(b.queueUses, func(_ string, use queueUse) bool { return now.Sub(use.at) > culpritWindow })
	for _, h := range slices.Clone(b.bulkheadList) {
		b.updateMembers(now, h)
		if now.Sub(h.quietSince) > quietToRelease {
			b.release(now, h)
		}
	}
	if c, tasks := b.mainCulprit(); tasks > 0 && b.bulkheads[c.queue] == nil {
		b.confineIfHarmful(now, c, tasks)
	}
	b.metrics.Gauge("queues_confined_now", int64(len(b.bulkheadList)))
}

// mainCulprit returns a task of the queue that has half or more of those that were found
// to crash their workers, and the number of these, which is zero if no queue has.
func (b *Broker) mainCulprit() (main culprit, tasks int) {
	byQueue := make(map[string]int)
	for _, c := range b.culprits {
		byQueue[c.queue]++
		if n := byQueue[c.queue]; n > tasks || n == tasks && c.queue < main.queue {
			main, tasks = c, n
		}
	}
	if tasks*2 < len(b.culprits) {
		return culprit{}, 0
	}
	return main, tasks
}

// confineIfHarmful confines the queue of a culprit if a large part of the workers that
// other queues use, too, is down.
func (b *Broker) confineIfHarmful(now time.Time, c culprit, tasks int) {
	candidates := b.candidates(now, c.service)
	down := 0
	for _, s := range candidates {
		if !s.crashedAt.IsZero() {
			down++
		}
	}
	share := b.shareOf(now, c.queue)
	if down < minDownToConfine || float64(down) < downShareToConfine*float64(len(candidates)) || memberCount(share, len(candidates)) == len(candidates) ||
		!b.hasOtherQueue(now, c.queue, c.service) {
		return
	}
	b.options.Logger.Warn("queue crashes workers", "queue", c.queue, "tasks", tasks, "down", down, "workers", len(candidates))
	b.confine(now, &bulkhead{queueName: c.queue, service: c.service, quietSince: now, share: share})
}

// shareOf returns the share of a queue in the processors that were in use on the workers
// that have crashed lately. The youngest run of the queue on each is left out: that it
// was there may be why the worker crashed.
func (b *Broker) shareOf(now time.Time, queue string) float64 {
	own, total, runs := 0.0, 0.0, 0
	for _, c := range b.crashes.inOrder {
		if now.Sub(c.at) > culpritWindow {
			continue
		}
		var youngest *yuccawire.CrashedRun
		for _, r := range c.message.GetRuns() {
			runs++
			total += float64(r.GetCpuMilli())
			if r.GetQueue() != queue {
				continue
			}
			own += float64(r.GetCpuMilli())
			if youngest == nil || r.GetRanMs() < youngest.GetRanMs() {
				youngest = r
			}
		}
		own -= float64(youngest.GetCpuMilli())
		total -= float64(youngest.GetCpuMilli())
	}
	prior := priorRuns * max(total/float64(max(runs, 1)), 1)
	return (own + priorShare*prior) / (total + prior)
}

// confine confines a queue and tells the other entries.
func (b *Broker) confine(now time.Time, h *bulkhead) {
	h.since = now
	b.bulkheads[h.queueName] = h
	b.bulkheadList = append(b.bulkheadList, h)
	b.updateMembers(now, h)
	moveQueued(&b.queue, &h.queue, func(t *task) bool { return t.job.Queue.Name == h.queueName })
	b.metrics.Add("queues_confined", 1)
	b.options.Logger.Warn("queue confined", "queue", h.queueName, "share_percent", int(100*h.share), "members", h.memberNames())
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_CrashReport{CrashReport: &yuccawire.CrashReport{
		Confined: []*yuccawire.ConfinedQueue{h.toWire(now)},
	}}}})
}

func (h *bulkhead) toWire(now time.Time) *yuccawire.ConfinedQueue {
	return &yuccawire.ConfinedQueue{
		Queue: h.queueName, Service: h.service, SharePermille: uint32(milli * h.share), QuietMs: uint64(now.Sub(h.quietSince).Milliseconds()),
	}
}

// adopt confines a queue that another entry has confined. Entries that have done so at
// the same time agree on the largest share.
func (b *Broker) adopt(now time.Time, m *yuccawire.ConfinedQueue) {
	quietSince := now.Add(-time.Duration(m.GetQuietMs()) * time.Millisecond)
	share := float64(m.GetSharePermille()) / milli
	h := b.bulkheads[m.GetQueue()]
	switch {
	case h == nil && now.Sub(quietSince) <= quietToRelease:
		b.confine(now, &bulkhead{queueName: m.GetQueue(), service: m.GetService(), quietSince: quietSince, share: share})
	case h != nil:
		h.share = max(h.share, share)
	}
}

func (b *Broker) release(now time.Time, h *bulkhead) {
	delete(b.bulkheads, h.queueName)
	b.bulkheadList = slices.DeleteFunc(b.bulkheadList, func(other *bulkhead) bool { return other == h })
	moveQueued(&h.queue, &b.queue, func(*task) bool { return true })
	b.needsPlacement = true
	b.options.Logger.Info("queue no longer confined", "queue", h.queueName, "after_ms", now.Sub(h.since).Milliseconds())
}

func moveQueued(from, to *taskQueue, matches func(*task) bool) {
	for _, t := range slices.Clone(from.tasks) {
		if matches(t) {
			from.remove(t)
			to.add(t)
		}
	}
}

// queueOf returns the queue for a task.
func (b *Broker) queueOf(t *task) *taskQueue {
	if h := b.bulkheads[t.job.Queue.Name]; h != nil {
		return &h.queue
	}
	return &b.queue
}

// queuedTasks returns the number of queued tasks.
func (b *Broker) queuedTasks() int {
	n := b.queue.Len()
	for _, h := range b.bulkheadList {
		n += h.queue.Len()
	}
	return n
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
	slices.SortFunc(candidates, func(x, y *side) int {
		return cmp.Compare(yuccaplacement.Weight(h.queueName, x.name), yuccaplacement.Weight(h.queueName, y.name))
	})
	h.members = make(map[*side]bool)
	isUp := false
	for _, s := range candidates[:memberCount(h.share, len(candidates))] {
		h.members[s] = true
		isUp = isUp || s.ready
	}
	if !isUp {
		h.quietSince = now
	}
}

func memberCount(share float64, candidates int) int {
	return min(max(int(math.Ceil(share*float64(candidates))), 1), candidates)
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
	if h == nil {
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
