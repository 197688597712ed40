package yuccabroker

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options holds what a broker needs.
type Options struct {
	// Name is that of the entry, for logs.
	Name    string
	Random  *rand.Rand
	Metrics *yuccametric.Set
	Logger  *slog.Logger
}

// Broker owns the jobs of one entry. It is not safe for concurrent use.
type Broker struct {
	options Options
	metrics *yuccametric.Set
	actions []Action
	drained map[string]bool

	jobs map[string]*job
	// open lists the jobs in the order in which they came; some have ended.
	openJobs    []*job
	outcomes    map[string]savedOutcome
	outcomeAges []outcomeAge
	sides       map[string]*side
	sideList    []*side
	queue       taskQueue
	// runs finds a run by its task and number.
	runs map[runKey]*task
	// stale is set when something has changed that may let a waiting task be placed.
	needsPlacement bool
	// stopAt is when this entry ends, zero while that is not known.
	stopAt time.Time

	// busySince is when tasks began to wait for room.
	backlogSince  time.Time
	lastHeartbeat time.Time
	throughput    throughput
	// usual is the median of the workers' run times over the estimates.
	medianSlowdown float64
}

type runKey struct {
	task string
	run  uint64
}

// keptOutcome is what is kept of a job that has ended.
type savedOutcome struct {
	outcome Outcome
	queue   string
	// lastRun is the highest number of a run of it.
	lastRun uint64
}

type outcomeAge struct {
	id      string
	savedAt time.Time
}

// New returns a broker that knows no side.
func New(options Options) *Broker {
	return &Broker{
		options:        options,
		metrics:        options.Metrics,
		drained:        make(map[string]bool),
		jobs:           make(map[string]*job),
		outcomes:       make(map[string]savedOutcome),
		sides:          make(map[string]*side),
		runs:           make(map[runKey]*task),
		medianSlowdown: 1,
	}
}

// Actions returns what has to be carried out, and forgets it.
func (b *Broker) Actions() []Action {
	actions := b.actions
	b.actions = nil
	return actions
}

func (b *Broker) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Broker) send(side string, m *yuccawire.Envelope) { b.emit(Send{Side: side, Message: m}) }

// SetOut replaces the data centres that operators have taken out.
func (b *Broker) SetDrained(dataCentres []string) {
	clear(b.drained)
	for _, name := range dataCentres {
		b.drained[name] = true
	}
	b.needsPlacement = true
}

// StopAt tells that this entry ends at the time: every job is answered before
// it, and none is taken that is likely not to end before it.
func (b *Broker) StopAt(now time.Time, stopAt time.Time) {
	b.stopAt = stopAt
	for _, j := range b.openJobs {
		j.answerBy = earlier(j.answerBy, stopAt)
	}
	b.options.Logger.Info("takes jobs until it stops", "jobs", len(b.jobs), "stop_in_ms", stopAt.Sub(now).Milliseconds())
}

// earlier returns the earlier of two times, of which the second may be unset.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// ReadySides is the number of linked sides that take orders.
func (b *Broker) ReadySides() int {
	n := 0
	for _, s := range b.sideList {
		if s.linked && s.ready {
			n++
		}
	}
	return n
}

// Jobs is the number of jobs that are not answered yet.
func (b *Broker) OpenJobs() int { return len(b.jobs) }

// Pending is the number of jobs of a queue for which no task has started.
func (b *Broker) Pending(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue.Name == queue && !j.dispatched {
			n++
		}
	}
	return n
}

// JobState returns how far a job is, if it is known here.
func (b *Broker) JobState(queue, id string) (State, bool) {
	if j := b.jobs[id]; j != nil && j.Queue.Name == queue {
		if j.dispatched {
			return Running, true
		}
		return Queued, true
	}
	saved, ok := b.outcomes[id]
	return saved.outcome.State, ok && saved.queue == queue
}

// Tick lets the time pass. The owner calls it every few tens of milliseconds.
func (b *Broker) Tick(now time.Time) {
	b.expireJobs(now)
	b.rerank(now)
	b.expireRuns(now)
	b.medianSlowdown = b.computeMedianSlowdown()
	b.moveStragglers(now)
	b.evictSides(now)
	b.sendHeartbeats(now)
	b.evictOutcomes(now)
	b.needsPlacement = true
	b.Place(now)
	switch {
	case b.queue.Len() == 0:
		b.backlogSince = time.Time{}
	case b.backlogSince.IsZero():
		b.backlogSince = now
	}
}

func (b *Broker) evictOutcomes(now time.Time) {
	for len(b.outcomeAges) > 0 && now.Sub(b.outcomeAges[0].savedAt) > outcomeRetention {
		delete(b.outcomes, b.outcomeAges[0].id)
		b.outcomeAges = b.outcomeAges[1:]
	}
}

// Suspended tells that the machine stood still while its clock did not count.
// Callers may have handed their jobs in elsewhere meanwhile, so that nothing of
// the jobs that are known may start any more.
func (b *Broker) HandleSuspension(now time.Time, suspendedFor time.Duration) {
	b.options.Logger.Warn("the machine was suspended, giving up all jobs", "stood_ms", suspendedFor.Milliseconds(), "jobs", len(b.jobs))
	b.metrics.Add("suspensions", 1)
	for _, s := range b.sides {
		s.lastReport = time.Time{}
	}
	for _, j := range slices.Clone(b.openJobs) {
		if j.ended {
			continue
		}
		b.abandon(now, j, "the entry stood still")
	}
}
