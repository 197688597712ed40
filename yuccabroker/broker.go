package yuccabroker

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccademand"
	"github.com/yuccaturn/yuccaturn/yuccaestimate"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccashare"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options holds the dependencies of a Broker.
type Options struct {
	// Name is the name of the entry, used in logs.
	Name string
	// Incarnation identifies this start of the entry, DataCentre is where it runs.
	Incarnation uint64
	DataCentre  string
	// IsReplica is set if the entry has a replica of the configuration, ToleratedFailures is how many of these may be lost
	// at once.
	IsReplica         bool
	ToleratedFailures int
	Scheduling        Scheduling
	Random            *rand.Rand
	Metrics           *yuccametric.Set
	Logger            *slog.Logger
}

// Broker owns the jobs of one entry. It is not safe for concurrent use.
type Broker struct {
	options Options
	metrics *yuccametric.Set
	actions []Action
	// drained is the set of data centres that operators have drained, as of drainedVersion.
	drained        map[string]bool
	drainedVersion uint64

	jobs map[string]*job
	// jobList holds the jobs in order of arrival; ended ones are pruned each tick.
	jobList     []*job
	outcomes    map[string]savedOutcome
	outcomeAges []outcomeAge
	sides       map[string]*side
	sideList    []*side
	// queues holds the queued tasks by queue name, queueList the same in order of use.
	queues    map[string]*taskQueue
	queueList []*taskQueue
	// shares holds what the queues are entitled to.
	shares *yuccashare.Policy
	// rejectedAt is when the waiting jobs were last compared with the forecast.
	rejectedAt time.Time
	// runs maps a run that may be alive to its task.
	runs    map[runKey]*task
	crashes *crashLog
	// endingJobs are the ended jobs with runs that may be alive. held are the tasks that the
	// other entries were told at heldAt to hold until the times given, heldElsewhere those
	// that this entry was told of.
	endingJobs    []*job
	held          map[string]heldTask
	heldSequence  uint64
	heldAt        time.Time
	heldElsewhere map[heldKey]*heldList
	// heldByTask combines these lists by task, nil if it has to be made again.
	heldByTask map[string]heldTask
	// peers are the names of the linked entries. linkRequests holds when the links that entries need to
	// sides were last requested.
	peers        []string
	linkRequests map[linkRequest]time.Time
	// seenByPeer is what the linked entries have received of the own lists, heldReached are those that the last
	// one has named as reached.
	seenByPeer  map[string]*heldSeen
	heldReached []string
	// pinned are the tasks that may run at some sides only, until nobody submits them again.
	pinned map[*task]struct{}
	// culprits are the tasks that were lately found to crash their workers. downtime is
	// the moving average of the time that a worker is down after a crash.
	culprits     []culprit
	downtime     time.Duration
	queueUses    map[string]queueUse
	bulkheads    map[string]*bulkhead
	bulkheadList []*bulkhead
	// bulkheadsUpdatedAt is when the bulkheads were last updated.
	bulkheadsUpdatedAt time.Time
	failureLog         failureLog
	// isMoveDue is set if runs may have to be moved from leaving workers.
	isMoveDue bool
	// reservations are those of this entry, the oldest first.
	reservations []*reservation
	// needsPlacement is set when a change may allow a queued task to be placed.
	needsPlacement bool
	ticks          yuccasuspend.TickWatch
	// lastSuspension is the length of the last suspension of the machine, which ended at resumedAt.
	lastSuspension time.Duration
	resumedAt      time.Time
	// stopAt is when this entry stops, zero unless a stop is scheduled.
	stopAt time.Time

	// backlogSince is the tick since which tasks have been queued, zero if none is.
	backlogSince time.Time
	throughput   throughput
	// medianSlowdown is the median of the workers' slowdowns.
	medianSlowdown float64

	// demand is the demand at all entries, that of this entry as of demandUpdatedAt.
	demand *yuccademand.Table
	// demandView is the demand by which the shares are computed.
	demandView      demandView
	demandUpdatedAt time.Time
	// demandObservedAt is when the usual demand was last updated.
	demandObservedAt time.Time
	estimator        *yuccaestimate.Estimator
	// meanRun is the moving average of run times.
	meanRun time.Duration
	// compared is the memory for the next comparison of sides.
	compared []candidate
	// wantedRacks are the racks that queued tasks want because of their data.
	wantedRacks map[string]bool
	// cancelled are the cancelled jobs, answered those that other entries have answered or this one has
	// refused for good. endedNews are those that this entry has answered since it last told the others,
	// at endedAt.
	cancelled, answered *endedLog
	// open are the jobs that the other entries are told of, openElsewhere those that they have told of, and
	// contested those of this entry that wait for them.
	open          *openJobs
	openElsewhere map[entryKey]*openList
	contested     map[*job]struct{}
	// incarnations are those of the last links of the other entries, members are those of the roster. awaited
	// are those whose open jobs this entry waits for, until the times given.
	incarnations map[string]uint64
	members      map[string]bool
	// gone are the incarnations of other entries that have ended, refusals those that may have.
	gone     map[string]uint64
	refusals map[string]refusal
	// openers counts the other entries at which each job is open.
	openers            map[string]int
	evictedElsewhereAt time.Time
	// awaitedRequestedAt is when awaited lists were last requested over other entries.
	awaitedRequestedAt time.Time
	// forwards counts the messages to other entries over third ones, sideForwards those over sides since
	// sideForwardsFrom.
	forwards, sideForwards int
	sideForwardsFrom       time.Time
	awaited                map[string]time.Time
	// awaitedTwice are those of the awaited entries whose next list may have been sent too early.
	awaitedTwice map[string]bool
	startedAt    time.Time
	// hasLosses is set once this entry was told of a lost one, hasOlderPeer once it is linked with one that had run before it.
	hasLosses, hasOlderPeer bool
	// placements are the jobs of this entry that its backups are told of, owners the linked entries that this one is a backup
	// of, and lostOwners those that it or another one has lost or not heard for a while.
	placements *placements
	owners     map[entryKey]*owner
	lostOwners map[entryKey]*lostOwner
	// lastQuery is the number of the last query about such jobs.
	lastQuery uint64
	// dataCentres are those of the linked entries, by name, replicas the other entries with a replica of the configuration.
	dataCentres map[string]string
	replicas    map[string]bool
	// isIsolated is set while this entry has no link at all.
	isIsolated bool
	endedNews  *yuccawire.EndedJobs
	endedAt    time.Time
}

type runKey struct {
	task string
	run  uint64
}

// savedOutcome is the record of an ended job, kept for outcomeRetention.
type savedOutcome struct {
	outcome Outcome
	queue   string
	// lastRun is the highest run number used by any task of the job.
	lastRun uint64
	savedAt time.Time
	// job is that of the latest submission.
	job *job
}

// outcomeAge orders saved outcomes for eviction. A later submission of the job may have
// replaced the outcome.
type outcomeAge struct {
	id      string
	savedAt time.Time
}

// New returns a broker without sides or jobs.
func New(options Options) *Broker {
	if options.Scheduling.RemoteRackFactor == 0 {
		options.Scheduling.RemoteRackFactor = defaultRemoteRackFactor
	}
	demand := yuccademand.New(yuccademand.Options{
		Entry: options.Name, Incarnation: options.Incarnation, DataCentre: options.DataCentre, Metrics: options.Metrics,
	})
	return &Broker{
		options:        options,
		metrics:        options.Metrics,
		drained:        make(map[string]bool),
		jobs:           make(map[string]*job),
		outcomes:       make(map[string]savedOutcome),
		cancelled:      newEndedLog(maxCancelledJobs),
		answered:       newEndedLog(maxAnsweredJobs),
		endedNews:      &yuccawire.EndedJobs{},
		sides:          make(map[string]*side),
		queues:         make(map[string]*taskQueue),
		shares:         yuccashare.New(),
		runs:           make(map[runKey]*task),
		crashes:        newCrashLog(),
		heldElsewhere:  make(map[heldKey]*heldList),
		open:           newOpenJobs(),
		openElsewhere:  make(map[entryKey]*openList),
		contested:      make(map[*job]struct{}),
		incarnations:   make(map[string]uint64),
		openers:        make(map[string]int),
		gone:           make(map[string]uint64),
		refusals:       make(map[string]refusal),
		members:        make(map[string]bool),
		awaited:        make(map[string]time.Time),
		awaitedTwice:   make(map[string]bool),
		placements:     newPlacements(),
		owners:         make(map[entryKey]*owner),
		lostOwners:     make(map[entryKey]*lostOwner),
		pinned:         make(map[*task]struct{}),
		linkRequests:   make(map[linkRequest]time.Time),
		seenByPeer:     make(map[string]*heldSeen),
		downtime:       usualDowntime,
		queueUses:      make(map[string]queueUse),
		bulkheads:      make(map[string]*bulkhead),
		medianSlowdown: 1,
		demand:         demand,
		demandView:     demand,
		wantedRacks:    make(map[string]bool),
		estimator:      yuccaestimate.New(yuccaestimate.Options{}),
	}
}

// Actions returns the pending actions in order and clears them.
func (b *Broker) Actions() []Action {
	actions := b.actions
	b.actions = nil
	return actions
}

func (b *Broker) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Broker) send(side string, m *yuccawire.Envelope) { b.emit(Send{Side: side, Message: m}) }

// StopAt schedules the stop of this entry: open jobs are answered by then, and
// new jobs that are unlikely to complete in time are rejected.
func (b *Broker) StopAt(now time.Time, stopAt time.Time) {
	b.stopAt = stopAt
	for _, j := range b.jobList {
		j.answerBy = earlier(j.answerBy, stopAt)
	}
	b.options.Logger.Info("entry stop scheduled", "jobs", len(b.jobs), "stop_in_ms", stopAt.Sub(now).Milliseconds())
}

// earlier returns the earlier of two times; b is ignored if it is zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// ReadySides returns the number of linked sides whose workers accept orders.
func (b *Broker) ReadySides() int {
	n := 0
	for _, s := range b.sideList {
		if s.linked && s.ready {
			n++
		}
	}
	return n
}

// OpenJobs returns the number of jobs that have not ended.
func (b *Broker) OpenJobs() int { return len(b.jobs) }

// Pending returns the number of open jobs of a queue of which no task has been
// sent to a side.
func (b *Broker) Pending(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue.Name == queue && !j.dispatched {
			n++
		}
	}
	return n
}

// PendingByQueue returns the numbers of [Broker.Pending] that are not zero, sorted
// by queue.
func (b *Broker) PendingByQueue() []*yuccawire.QueueCount {
	jobs := make(map[string]uint32)
	for _, j := range b.jobs {
		if !j.dispatched {
			jobs[j.Queue.Name]++
		}
	}
	counts := make([]*yuccawire.QueueCount, 0, len(jobs))
	for _, queue := range slices.Sorted(maps.Keys(jobs)) {
		counts = append(counts, &yuccawire.QueueCount{Queue: queue, Jobs: jobs[queue]})
	}
	return counts
}

// JobState returns the state of a job of the queue. It returns false if this
// entry neither owns the job nor retains its outcome.
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

// Tick handles everything that depends on time: deadlines, leases, heartbeats,
// stragglers and retention. It has to be called every few tens of milliseconds.
func (b *Broker) Tick(now time.Time) {
	if stood := b.ticks.Advance(now); stood > 0 {
		b.metrics.Add("standstills", 1)
		b.options.Logger.Warn("entry stood still", "stood_ms", stood.Milliseconds(), "jobs", len(b.jobs), "runs", len(b.runs))
		b.restartRefusals(now)
		b.restartSilences(now)
		if stood >= minMissedLists {
			b.awaitLists(now)
		}
	}
	b.updateShares(now)
	b.expireJobs(now)
	b.rerank(now)
	b.evictQueues()
	b.expireRuns(now)
	b.evictPinned(now)
	b.publishHeld(now)
	b.evictHeld(now)
	b.updateIsolation(now)
	b.checkRefusals(now)
	b.evictElsewhere(now)
	b.updateLostOwners(now)
	b.publishLostOwners(now)
	b.updateSilentOwners(now)
	b.updatePlacements(now)
	b.evictPlacements(now)
	b.publishEnded(now)
	b.updateOpenJobs(now)
	b.evictLinkRequests(now)
	b.medianSlowdown = b.computeMedianSlowdown()
	b.updateWantedRacks()
	b.moveStragglers(now)
	b.isMoveDue = true
	b.evictSides(now)
	b.expireFailures(now)
	b.sendHeartbeats(now)
	b.evictOutcomes(now)
	b.cancelled.evict(now)
	b.answered.evict(now)
	b.crashes.evict(now)
	if now.Sub(b.bulkheadsUpdatedAt) >= bulkheadInterval {
		b.updateBulkheads(now)
	}
	b.needsPlacement = true
	b.Place(now)
	b.updateDemand(now)
	switch {
	case len(b.openQueues()) == 0:
		b.backlogSince = time.Time{}
	case b.backlogSince.IsZero():
		b.backlogSince = now
	}
}

// evictOutcomes removes old outcomes. That of a job whose runs may be alive or may start is kept, since
// it holds the run numbers that were used, and the sides of these runs.
func (b *Broker) evictOutcomes(now time.Time) {
	for len(b.outcomeAges) > 0 && now.Sub(b.outcomeAges[0].savedAt) > outcomeRetention {
		oldest := b.outcomeAges[0]
		b.outcomeAges = b.outcomeAges[1:]
		saved := b.outcomes[oldest.id]
		switch {
		case !saved.savedAt.Equal(oldest.savedAt):
		case saved.job.runsInFlight > 0 || b.hasPinned(saved.job):
			saved.savedAt = now
			b.outcomes[oldest.id] = saved
			b.outcomeAges = append(b.outcomeAges, outcomeAge{id: oldest.id, savedAt: now})
		default:
			delete(b.outcomes, oldest.id)
		}
	}
}

// HandleSuspension abandons all open jobs after a suspension of the machine,
// during which its monotonic clock stopped. Callers may have resubmitted their
// jobs to another entry in the meantime, so none of their tasks may start here
// anymore.
func (b *Broker) HandleSuspension(now time.Time, suspendedFor time.Duration) {
	b.options.Logger.Warn("machine was suspended, abandoning all jobs", "stood_ms", suspendedFor.Milliseconds(), "jobs", len(b.jobs))
	b.metrics.Add("suspensions", 1)
	b.demand.Clear()
	for _, s := range b.sides {
		s.lastReport = time.Time{}
	}
	for _, j := range slices.Clone(b.jobList) {
		if j.ended {
			continue
		}
		b.abandon(now, j, "the entry stood still")
	}
	b.awaitLists(now)
	b.lastSuspension, b.resumedAt = suspendedFor, now
}

// receivedAt returns when the request of a job reached this machine. What was sent during a suspension arrives
// after it, as late as the sender's retransmission.
func (b *Broker) receivedAt(now time.Time, j Job) time.Time {
	received := earlier(now, j.ReceivedAt)
	if now.Sub(b.resumedAt) < b.lastSuspension {
		received = received.Add(-b.lastSuspension)
	}
	return received
}
