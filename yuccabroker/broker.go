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
	out     map[string]bool

	jobs map[string]*job
	// open lists the jobs in the order in which they came; some have ended.
	open    []*job
	kept    map[string]keptOutcome
	keptIDs []keptID
	sides   map[string]*side
	list    []*side
	waiting queue
	// runs finds a run by its task and number.
	runs map[runKey]*task
	// stale is set when something has changed that may let a waiting task be placed.
	stale bool
	// stopAt is when this entry ends, zero while that is not known.
	stopAt time.Time

	// busySince is when tasks began to wait for room.
	busySince time.Time
	beatAt    time.Time
	rate      rate
	// usual is the median of the workers' run times over the estimates.
	usual float64
}

type runKey struct {
	task string
	run  uint64
}

// keptOutcome is what is kept of a job that has ended.
type keptOutcome struct {
	outcome Outcome
	queue   string
	// lastRun is the highest number of a run of it.
	lastRun uint64
}

type keptID struct {
	id string
	at time.Time
}

// New returns a broker that knows no side.
func New(options Options) *Broker {
	return &Broker{
		options: options,
		metrics: options.Metrics,
		out:     make(map[string]bool),
		jobs:    make(map[string]*job),
		kept:    make(map[string]keptOutcome),
		sides:   make(map[string]*side),
		runs:    make(map[runKey]*task),
		usual:   1,
	}
}

// Actions returns what has to be carried out, and forgets it.
func (b *Broker) Actions() []Action {
	taken := b.actions
	b.actions = nil
	return taken
}

func (b *Broker) do(a Action) { b.actions = append(b.actions, a) }

func (b *Broker) send(side string, m *yuccawire.Envelope) { b.do(Send{Side: side, Message: m}) }

// SetOut replaces the data centres that operators have taken out.
func (b *Broker) SetOut(dataCentres []string) {
	clear(b.out)
	for _, name := range dataCentres {
		b.out[name] = true
	}
	b.stale = true
}

// StopAt tells that this entry ends at the time: every job is answered before
// it, and none is taken that is likely not to end before it.
func (b *Broker) StopAt(now time.Time, at time.Time) {
	b.stopAt = at
	for _, j := range b.open {
		j.giveUpAt = earlier(j.giveUpAt, at)
	}
	b.options.Logger.Info("takes jobs until it stops", "jobs", len(b.jobs), "stop_in_ms", at.Sub(now).Milliseconds())
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
	for _, s := range b.list {
		if s.linked && s.ready {
			n++
		}
	}
	return n
}

// Jobs is the number of jobs that are not answered yet.
func (b *Broker) Jobs() int { return len(b.jobs) }

// Pending is the number of jobs of a queue for which no task has started.
func (b *Broker) Pending(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue.Name == queue && !j.begun {
			n++
		}
	}
	return n
}

// JobState returns how far a job is, if it is known here.
func (b *Broker) JobState(queue, id string) (State, bool) {
	if j := b.jobs[id]; j != nil && j.Queue.Name == queue {
		if j.begun {
			return Running, true
		}
		return Queued, true
	}
	k, ok := b.kept[id]
	return k.outcome.State, ok && k.queue == queue
}

// Tick lets the time pass. The owner calls it every few tens of milliseconds.
func (b *Broker) Tick(now time.Time) {
	b.expireJobs(now)
	b.rerank(now)
	b.loseRuns(now)
	b.usual = b.usualPace()
	b.moveStragglers(now)
	b.forgetSides(now)
	b.sendBeats(now)
	b.forgetOutcomes(now)
	b.stale = true
	b.Place(now)
	switch {
	case b.waiting.Len() == 0:
		b.busySince = time.Time{}
	case b.busySince.IsZero():
		b.busySince = now
	}
}

func (b *Broker) forgetOutcomes(now time.Time) {
	for len(b.keptIDs) > 0 && now.Sub(b.keptIDs[0].at) > outcomeKept {
		delete(b.kept, b.keptIDs[0].id)
		b.keptIDs = b.keptIDs[1:]
	}
}

// Suspended tells that the machine stood still while its clock did not count.
// Callers may have handed their jobs in elsewhere meanwhile, so that nothing of
// the jobs that are known may start any more.
func (b *Broker) Suspended(now time.Time, stood time.Duration) {
	b.options.Logger.Warn("the machine was suspended, giving up all jobs", "stood_ms", stood.Milliseconds(), "jobs", len(b.jobs))
	b.metrics.Add("suspensions", 1)
	for _, s := range b.sides {
		s.stampAt = time.Time{}
	}
	for _, j := range slices.Clone(b.open) {
		if j.ended {
			continue
		}
		b.giveUp(now, j, "the entry stood still")
	}
}
