package yuccaworker

import (
	"log/slog"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options holds what a core needs.
type Options struct {
	Metrics *yuccametric.Set
	Logger  *slog.Logger
}

// Worker drives one worker. It is not safe for concurrent use.
type Worker struct {
	options    Options
	metrics    *yuccametric.Set
	clockStart time.Time
	actions    []Action

	report *Report
	// reports counts the changes of what is fixed in a report.
	specVersion   uint64
	lastContactAt time.Time
	// answeredAt is when the worker last answered a call.
	lastAnswerAt time.Time
	// listedAt is when its lists last came.
	lastListAt time.Time
	gone       bool
	stopping   bool
	token      int64
	clock      workerClock
	// taken is set once nothing that an earlier side began runs any more.
	takenOver    bool
	takeOverAt   time.Time
	holdUntilMS  int64
	holdInFlight bool
	holdSentAt   time.Time
	cursor       int64
	ackedCursor  int64

	runs   map[Key]*run
	queue  []*run
	owners map[Owner]*owner
	// ownerList has them in the order in which they came.
	ownerList []*owner
	used      resources
	// queued is what waits, by tier.
	queued [tierCount]resources
	health health
}

// size is what a task or a worker has of each resource.
type resources struct{ cpuMilli, memoryMB, accelerators int }

func (r resources) plus(other resources) resources {
	return resources{cpuMilli: r.cpuMilli + other.cpuMilli, memoryMB: r.memoryMB + other.memoryMB, accelerators: r.accelerators + other.accelerators}
}

func (r resources) minus(other resources) resources {
	return resources{cpuMilli: r.cpuMilli - other.cpuMilli, memoryMB: r.memoryMB - other.memoryMB, accelerators: r.accelerators - other.accelerators}
}

func (r resources) fitsIn(capacity resources) bool {
	return r.cpuMilli <= capacity.cpuMilli && r.memoryMB <= capacity.memoryMB && r.accelerators <= capacity.accelerators
}

// owner is what the side keeps of one incarnation of an entry.
type owner struct {
	id            Owner
	linked        bool
	leaseUntil    time.Time
	ordersSeen    uint64
	stateSentAt   time.Time
	stateInterval time.Duration
	dirty         bool
	// told is the report whose fixed parts the owner has, as counted by reports.
	specSent uint64
	freeSent resources
	unsent   []*yuccawire.Ended
	retained []retainedOutcome
	runCount int
}

// keptEnd is an end that is sent again if the owner's link breaks.
type retainedOutcome struct {
	ended *yuccawire.Ended
	at    time.Time
}

// workerClock estimates the worker's clock from below.
type workerClock struct {
	ms int64
	at time.Time
}

func (c *workerClock) observe(ms int64, at time.Time) {
	if c.at.IsZero() || ms > c.lowerBound(at) {
		c.ms, c.at = ms, at
	}
}

// least is a time that the worker's clock has surely reached.
func (c *workerClock) lowerBound(now time.Time) int64 {
	return c.ms + int64(float64(now.Sub(c.at).Milliseconds())*(1-ClockDrift))
}

// New returns a core that knows no worker yet.
func New(options Options, now time.Time) *Worker {
	w := &Worker{
		options:    options,
		metrics:    options.Metrics,
		clockStart: now,
		runs:       make(map[Key]*run),
		owners:     make(map[Owner]*owner),
	}
	w.health.reset()
	return w
}

// Actions returns what has to be carried out, and forgets it.
func (w *Worker) Actions() []Action {
	actions := w.actions
	w.actions = nil
	return actions
}

func (w *Worker) emit(a Action) { w.actions = append(w.actions, a) }

// Clock is the side's clock in milliseconds.
func (w *Worker) Clock(now time.Time) uint64 { return uint64(now.Sub(w.clockStart).Milliseconds()) }

// at is the local time of a time on the side's clock.
func (w *Worker) localTime(clock uint64) time.Time {
	return w.clockStart.Add(time.Duration(clock) * time.Millisecond)
}

func (w *Worker) incarnation() Incarnation {
	if w.report == nil {
		return Incarnation{}
	}
	return Incarnation{ID: w.report.ID, StartedAtMS: w.report.StartedAtMS}
}

// Report takes in what the worker says of itself. It returns false for a report
// that was overtaken by a later one.
func (w *Worker) Report(now time.Time, r Report) bool {
	if w.report != nil && w.isOutdated(r) {
		w.metrics.Add("reports_overtaken", 1)
		w.options.Logger.Warn("ignores a report that was overtaken", "worker", r.ID, "born", r.StartedAtMS, "sequence", r.Sequence)
		return false
	}
	known := w.report != nil && !w.gone && w.incarnation() == Incarnation{ID: r.ID, StartedAtMS: r.StartedAtMS}
	leaving := known && !w.report.Leaving && r.Leaving
	w.lastContactAt = now
	if w.report == nil || !w.report.sameSpec(r) {
		w.specVersion++
	}
	w.report = &r
	w.clock.observe(r.ClockMS, now)
	if known {
		if leaving {
			w.options.Logger.Info("worker leaves", "worker", r.ID)
			w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
			w.markOwnersDirty()
		}
		return true
	}
	w.takeOver(now, r)
	return true
}

// overtaken tells whether the report is of an earlier life, or an earlier one
// of this life.
func (w *Worker) isOutdated(r Report) bool {
	if r.StartedAtMS != w.report.StartedAtMS {
		return r.StartedAtMS < w.report.StartedAtMS
	}
	return r.ID == w.report.ID && r.Sequence < w.report.Sequence
}

// begin takes up a new life of the worker, which runs nothing of the old one.
func (w *Worker) takeOver(now time.Time, r Report) {
	w.options.Logger.Info("takes a worker over", "worker", r.ID, "born", r.StartedAtMS, "service", r.Service,
		"cpu_milli", r.CPUMilli, "memory_mb", r.MemoryMB, "clock_ms", r.ClockMS)
	w.metrics.Add("workers_taken", 1)
	w.loseAllRuns(now, "another life of the worker began")
	w.gone = false
	w.clock = workerClock{ms: r.ClockMS, at: now}
	w.token = max(r.ClockMS, 1)
	w.takenOver = false
	w.takeOverAt = now
	w.lastAnswerAt = now
	w.holdInFlight = false
	w.holdUntilMS = 0
	w.cursor, w.ackedCursor = 0, 0
	w.health.reset()
	w.markOwnersDirty()
	w.renewHold(now)
}

// Deregister tells that the worker has said goodbye.
func (w *Worker) Deregister(now time.Time, id string) {
	if w.report == nil || w.report.ID != id || w.gone {
		return
	}
	w.options.Logger.Info("worker is gone", "worker", id)
	w.gone = true
	w.loseAllRuns(now, "the worker is gone")
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.markOwnersDirty()
}

// Stop tells that this side is about to end: it takes no more orders.
func (w *Worker) Stop(now time.Time) {
	w.stopping = true
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
	w.markOwnersDirty()
}

// Idle tells whether nothing runs or waits here.
func (w *Worker) Idle() bool { return len(w.runs) == 0 && len(w.queue) == 0 }

// Suspended tells that the machine stood still while its clock did not count:
// every lease of an owner may have run out meanwhile.
func (w *Worker) Suspended(now time.Time, paused time.Duration) {
	w.options.Logger.Warn("the machine was suspended", "stood_ms", paused.Milliseconds())
	w.metrics.Add("suspensions", 1)
	for _, o := range w.ownerList {
		o.leaseUntil = now
	}
	w.clock.at = w.clock.at.Add(-paused)
	w.expireOwners(now)
}

// answered takes in that the worker has answered a call.
func (w *Worker) recordAnswer(now time.Time, clockMS int64) {
	w.lastContactAt, w.lastAnswerAt = now, now
	w.clock.observe(clockMS, now)
}

// ready tells whether orders are taken.
func (w *Worker) isReady() bool {
	return w.report != nil && w.takenOver && !w.gone && !w.stopping && !w.report.Leaving
}

func (w *Worker) capacity() resources {
	if w.report == nil {
		return resources{}
	}
	return resources{cpuMilli: w.report.CPUMilli, memoryMB: w.report.MemoryMB, accelerators: w.report.Accelerators}
}

// Tick lets the time pass.
func (w *Worker) Tick(now time.Time) {
	w.expireOwners(now)
	w.expireQueue(now)
	w.retryStops(now)
	w.checkHoldExpiry(now)
	w.checkHealth(now)
	if !w.holdInFlight || now.Sub(w.holdSentAt) > holdTimeout {
		w.renewHold(now)
	}
	w.startQueued(now)
	w.sendStates(now)
}
