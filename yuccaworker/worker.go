package yuccaworker

import (
	"log/slog"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options holds the dependencies of a [Worker].
type Options struct {
	// Name is the name of the side.
	Name    string
	Metrics *yuccametric.Set
	Logger  *slog.Logger
}

// Worker is the state of one worker as its side sees it. It is not safe for
// concurrent use.
type Worker struct {
	options Options
	metrics *yuccametric.Set
	// clockStart is the zero of the side's clock.
	clockStart time.Time
	actions    []Action

	report *Report
	// unconfirmed is a report of another incarnation than the known one that the worker has not confirmed
	// yet, nil if there is none.
	unconfirmed *unconfirmedRestart
	// specVersion counts the changes of the fields that sameSpec compares.
	specVersion uint64
	// reportedAt is when the last report arrived.
	reportedAt time.Time
	// lowSequence is the sequence of the last report that was ignored for it, lowSince when
	// the first of the reports with rising sequences arrived that it belongs to.
	lowSequence int64
	lowSince    time.Time
	// lastContactAt is when the worker last reported or answered a call.
	lastContactAt time.Time
	lastAnswerAt  time.Time
	// answeredMS is the worker's clock in its last answer.
	answeredMS int64
	ticks      yuccasuspend.TickWatch
	// unreachableSince is when the worker first refused a connection after its last
	// answer, zero if it has not.
	unreachableSince time.Time
	// unansweredHolds counts the renewals without an answer since the last answer.
	unansweredHolds int
	// isSilent is set while runs are active whose hold has expired since the worker last answered.
	// acceptsConnections and failedConnects tell what became of the connections since then.
	isSilent           bool
	acceptsConnections bool
	failedConnects     int
	connectInFlight    bool
	nextConnectAt      time.Time
	// crashReported is set once the crash of this incarnation has been reported.
	crashReported   bool
	retainedCrashes []retainedCrash
	// unproven is the crash that this incarnation is suspected of for its silence, nil if it is not.
	unproven *pendingCrash
	// lastListAt is when the lists of running and completed runs were last
	// received.
	lastListAt time.Time
	// listSentAt is when the last of these lists was requested. The worker may have restarted
	// since then.
	listSentAt time.Time
	// gone is set if the worker has deregistered, or another incarnation answers
	// at its address, goneAt is since when.
	gone   bool
	goneAt time.Time
	// hasRestarted is set if it is gone as it has answered with a later start.
	hasRestarted bool
	// deregistered is set while the worker has announced its end and its runs have not
	// ended yet. An earlier incarnation with the same ID may have sent the announcement.
	deregistered bool
	stopping     bool
	// unreportedSince is since when no incarnation has reported that can be taken over, zero if one
	// has, unreportedFencedAt when the worker was last fenced without a report.
	unreportedSince, unreportedFencedAt time.Time
	// token is the fencing token sent with each call: the wall time of the takeover in
	// milliseconds, as told by the worker. A worker rejects calls with a lower token than
	// the highest one it has received.
	token int64
	// tokenStep is by how much the token was raised last, zero once it suffices.
	tokenStep int64
	clock     workerClock
	// clockAnswered is set once an answer of this incarnation has stated its clock.
	clockAnswered bool
	// answered is the clock by the plausible answers of this incarnation.
	answered workerClock
	// takenOver is set while the worker runs only what this process of the side tracks.
	takenOver      bool
	nextTakeOverAt time.Time
	// fencedFrom is the first renewal with the present token.
	fencedFrom time.Time
	// deadlineMS is the latest deadline sent to the worker, on the worker's clock,
	// holdUntilMS until when it keeps its runs at most: longer if it restarted under them.
	// extendedAt is when a deadline was last sent.
	deadlineMS  int64
	holdUntilMS int64
	extendedAt  time.Time
	// unfenced is set until an incarnation of the worker has first answered: it may execute calls to an
	// earlier one until then.
	unfenced     bool
	holdInFlight bool
	// holdSentAt is when the last renewal was sent. It differs between renewals that are
	// sent at the same instant.
	holdSentAt time.Time
	// cursor is the number of the last completion that was processed, ackedCursor
	// the number up to which the worker has discarded completions.
	cursor      int64
	ackedCursor int64
	// lastUntracked is the first run of the last list with runs that the side doesn't track.
	lastUntracked Key
	// hadUntracked is set while such a run may be left, also one of an earlier process before
	// the first takeover. clearSince is when the first of the last lists without one arrived,
	// zero if they show one.
	hadUntracked bool
	clearSince   time.Time

	runs   map[Key]*run
	queue  []*run
	owners map[Owner]*owner
	// placements are the jobs of owners that may have runs, at other sides, too.
	placements          map[Owner]*placements
	placementsEvictedAt time.Time
	// ownerList holds the owners in order of arrival.
	ownerList []*owner
	used      resources
	// queued is the total demand of the queue by tier.
	queued [tierCount]resources
	// reservation is nil while there is none. Its run is queued, but not in queued.
	// reservationEndedAt is when the last one ended.
	reservation        *reservation
	reservationEndedAt time.Time
	health             health
	held               heldRuns
	// isDrained is set while the side's data centre is drained.
	isDrained bool
}

// resources is the demand of a task, or the capacity of a worker.
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

// owner is the state of one incarnation of an entry.
type owner struct {
	id          Owner
	linked      bool
	leaseUntil  time.Time
	ordersSeen  uint64
	stateSentAt time.Time
	// stateInterval and idleInterval are the intervals of state messages that the
	// owner wants while the state changes, and while it does not.
	stateInterval time.Duration
	idleInterval  time.Duration
	dirty         bool
	// unsettledSent is set if the last state message listed unsettled runs.
	unsettledSent bool
	// closing is set once the link to the owner is to be closed.
	closing bool
	// specSent is the specVersion that the owner has received, 0 for none.
	specSent uint64
	// tokenSent is the fencing token that the owner has received, 0 for none.
	tokenSent int64
	// heldSent and heldSeen are the numbers of the last lists of held runs that were sent on this link and
	// that the owner has received. If these differ, the owner has received none since heldUnseenSince.
	heldSent, heldSeen uint64
	heldUnseenSince    time.Time
	// confirmsHeld is set if the owner says which lists it has received, and takes parts of them. One of
	// an earlier version does neither.
	confirmsHeld bool
	// freeSent is the free capacity in the last state message.
	freeSent resources
	unsent   []*yuccawire.Ended
	retained []retainedOutcome
	// runCount counts running and queued tasks.
	runCount  int
	drainNews drainNews
}

// retainedOutcome is an outcome that is sent again when the owner reconnects.
type retainedOutcome struct {
	ended      *yuccawire.Ended
	retainedAt time.Time
}

// New returns a Worker that has received no report yet. The side's clock starts
// at now.
func New(options Options, now time.Time) *Worker {
	w := &Worker{
		options:    options,
		metrics:    options.Metrics,
		clockStart: now,
		runs:       make(map[Key]*run),
		owners:     make(map[Owner]*owner),
		placements: make(map[Owner]*placements),
		// The worker may be stopping runs of an earlier process, and have restarted since it
		// last answered that one.
		hadUntracked: true,
		unfenced:     true,
	}
	w.health.reset()
	return w
}

// Actions returns the actions emitted since the last call.
func (w *Worker) Actions() []Action {
	actions := w.actions
	w.actions = nil
	return actions
}

func (w *Worker) emit(a Action) { w.actions = append(w.actions, a) }

// Clock returns the time on the side's clock in milliseconds.
func (w *Worker) Clock(now time.Time) uint64 { return uint64(now.Sub(w.clockStart).Milliseconds()) }

// localTime converts a time on the side's clock to local time.
func (w *Worker) localTime(clock uint64) time.Time {
	return w.clockStart.Add(time.Duration(clock) * time.Millisecond)
}

func (w *Worker) incarnation() Incarnation {
	if w.report == nil {
		return Incarnation{}
	}
	return Incarnation{ID: w.report.ID, StartedAtMS: w.report.StartedAtMS}
}

// HandleReport processes a report of the worker. It returns false and ignores the
// report if a later one was received before. One of another incarnation than the known one has
// to be confirmed by the worker first.
func (w *Worker) HandleReport(now time.Time, r Report) bool {
	if w.report != nil && w.isOutdated(now, r) {
		w.metrics.Add("reports_overtaken", 1)
		w.options.Logger.Warn("outdated report ignored", "worker", r.ID, "born", r.StartedAtMS, "sequence", r.Sequence)
		return false
	}
	if w.contradictsAnswer(r) {
		w.metrics.Add("reports_contradicted", 1)
		w.options.Logger.Warn("report of another worker ignored, the known one has answered that it has restarted", "worker", r.ID, "known", w.report.ID, "runs", len(w.runs))
		return false
	}
	if w.isUnconfirmedRestart(r) {
		w.noteUnconfirmedRestart(now, r)
		return true
	}
	w.acceptReport(now, r)
	return true
}

// acceptReport records a report of the known incarnation, or takes over the one that the report names.
func (w *Worker) acceptReport(now time.Time, r Report) {
	sameIncarnation := w.report != nil && !w.gone && w.incarnation() == Incarnation{ID: r.ID, StartedAtMS: r.StartedAtMS}
	startsLeaving := sameIncarnation && !w.report.Leaving && r.Leaving
	w.lastContactAt = now
	previous := w.report
	if previous == nil || !previous.sameSpec(r) {
		w.specVersion++
		w.markOwnersDirty()
	}
	switch {
	case sameIncarnation || previous == nil:
	case previous.ID == r.ID:
		w.endIncarnation(now, "worker restarted", false)
	default:
		w.loseAllRuns(now, "worker replaced", true)
	}
	if w.isReportStale(now) {
		w.markOwnersDirty()
	}
	w.report, w.reportedAt = &r, now
	w.deregistered = false
	if w.clock.mayShow(r.ClockMS, now) {
		w.clock.observe(r.ClockMS, now)
	}
	if sameIncarnation {
		if r.ClockMS > w.holdUntilMS {
			w.refuteCrash()
		}
		w.recordReachable(now)
		w.refuseUnsuited(now)
		w.handleCapacity(now, previous)
		if previous.Remaining != r.Remaining {
			w.markOwnersDirty()
		}
		if startsLeaving {
			w.options.Logger.Info("worker is leaving", "worker", r.ID, "remaining_ms", r.Remaining.Milliseconds())
			w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
			w.markOwnersDirty()
		}
		return
	}
	w.takeOver(now, r, previous != nil && previous.ID == r.ID)
}

// takeOver begins the takeover of a new incarnation of the worker.
func (w *Worker) takeOver(now time.Time, r Report, sameID bool) {
	silent := int64(0)
	if !w.lastAnswerAt.IsZero() {
		silent = now.Sub(w.lastAnswerAt).Milliseconds()
	}
	w.options.Logger.Info("taking over worker", "worker", r.ID, "born", r.StartedAtMS, "service", r.Service,
		"cpu_milli", r.CPUMilli, "memory_mb", r.MemoryMB, "clock_ms", r.ClockMS, "since_answer_ms", silent)
	w.metrics.Add("workers_taken", 1)
	w.gone, w.hasRestarted = false, false
	w.unconfirmed = nil
	w.clock, w.clockAnswered = workerClock{lastMS: r.ClockMS, observedAt: now}, false
	w.answered = workerClock{}
	// Fences the starts that were sent to an earlier incarnation with this ID.
	w.token = max(min(w.token+1, maxToken), r.StartedAtMS+r.ClockMS)
	w.fencedFrom = w.nextHoldAt(now)
	w.takenOver = false
	w.nextTakeOverAt = now
	w.lastAnswerAt = now
	w.unreachableSince = time.Time{}
	w.unansweredHolds = 0
	w.recordHeard()
	w.crashReported, w.unproven = false, nil
	w.holdInFlight = false
	w.clearSince = time.Time{}
	w.deadlineMS, w.holdUntilMS = 0, 0
	w.unfenced = true
	if sameID {
		w.carryOver(now, r.ClockMS)
	}
	w.cursor, w.ackedCursor = 0, 0
	w.health.reset()
	// The new incarnation may be of another service, kind or size.
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.markOwnersDirty()
	w.renewHold(now)
}

// Stop prepares for the shutdown of this side: it refuses queued tasks and all
// further orders. Runs in progress continue.
func (w *Worker) Stop(now time.Time) {
	w.stopping = true
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
	w.markOwnersDirty()
}

// Idle reports whether no task is running or queued.
func (w *Worker) Idle() bool { return len(w.runs) == 0 && len(w.queue) == 0 }

// HandleSuspension processes a suspension of the machine, during which its
// monotonic clock stopped. It expires the leases of all owners, since any of
// them may have run out in the meantime.
func (w *Worker) HandleSuspension(now time.Time, suspendedFor time.Duration) {
	w.options.Logger.Warn("machine was suspended", "stood_ms", suspendedFor.Milliseconds())
	w.metrics.Add("suspensions", 1)
	for _, o := range w.ownerList {
		o.leaseUntil = now
	}
	w.clock.advance(suspendedFor)
	w.answered.advance(suspendedFor)
	w.reportedAt = w.reportedAt.Add(-suspendedFor)
	// Owners extrapolate the side's clock, so it has to include the suspension.
	w.clockStart = w.clockStart.Add(-suspendedFor)
	w.expireOwners(now)
}

// recordAnswer records that the worker answered a call, and its clock.
func (w *Worker) recordAnswer(now time.Time, clockMS int64) {
	w.recordSilence(now, clockMS)
	w.recordHeard()
	w.answeredMS = clockMS
	if clockMS > 0 && !w.clock.isPlausible(clockMS, now) {
		w.metrics.Add("answers_with_other_clock", 1)
		w.options.Logger.Warn("answer with another clock, the worker may have restarted", "worker", w.report.ID, "born", w.report.StartedAtMS,
			"clock_ms", clockMS, "expected_ms", w.clock.lowerBound(now), "runs", len(w.runs))
		if len(w.runs) == 0 {
			// No renewal is on its way that would show it.
			w.takenOver, w.nextTakeOverAt = false, now
		}
	}
	w.lastContactAt, w.lastAnswerAt = now, now
	w.unansweredHolds = 0
	w.recordReachable(now)
	if clockMS > 0 && !w.clockAnswered {
		w.clockAnswered = true
		w.correctClock(now, clockMS)
	}
	if clockMS > 0 && w.clock.isPlausible(clockMS, now) {
		w.answered.observe(clockMS, now)
	}
	w.clock.observe(clockMS, now)
}

// isReachable reports whether the worker has not refused a connection since its last
// answer or report.
func (w *Worker) isReachable() bool { return w.unreachableSince.IsZero() }

// recordUnreachable records that no process listens at the worker's address. Queued
// tasks are refused. The runs stay active until the hold has expired, since the worker
// may run on.
func (w *Worker) recordUnreachable(now time.Time) {
	if !w.isReachable() {
		return
	}
	w.unreachableSince = now
	w.metrics.Add("workers_unreachable", 1)
	w.options.Logger.Warn("worker unreachable, it refuses connections", "worker", w.report.ID, "born", w.report.StartedAtMS,
		"runs", len(w.runs), "queued", len(w.queue), "since_answer_ms", now.Sub(w.lastAnswerAt).Milliseconds())
	w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
	w.markOwnersDirty()
}

// recordReachable records that the same incarnation of the worker was heard.
func (w *Worker) recordReachable(now time.Time) {
	if w.isReachable() {
		return
	}
	w.options.Logger.Info("worker reachable again", "worker", w.report.ID, "after_ms", now.Sub(w.unreachableSince).Milliseconds())
	w.unreachableSince = time.Time{}
	w.markOwnersDirty()
}

// isReportStale reports whether the worker's capacity may have changed unnoticed.
func (w *Worker) isReportStale(now time.Time) bool { return now.Sub(w.reportedAt) > maxReportAge }

// isReady reports whether the worker can start runs.
func (w *Worker) isReady(now time.Time) bool {
	return w.report != nil && w.takenOver && !w.gone && !w.deregistered && w.isReachable() && !w.stopping && !w.report.Leaving && !w.isReportStale(now) && w.unconfirmed == nil
}

func (w *Worker) capacity() resources {
	if w.report == nil {
		return resources{}
	}
	return w.report.capacity()
}

// handleCapacity handles a change of the worker's capacity. Its runs continue, also
// beyond the capacity, but queued tasks that would have to wait for them are refused.
func (w *Worker) handleCapacity(now time.Time, previous *Report) {
	capacity := w.capacity()
	if capacity == previous.capacity() {
		return
	}
	w.metrics.Add("capacity_changes", 1)
	w.options.Logger.Info("worker capacity changed", "worker", w.report.ID, "cpu_milli", capacity.cpuMilli, "was_cpu_milli", previous.CPUMilli,
		"memory_mb", capacity.memoryMB, "accelerators", capacity.accelerators, "used_cpu_milli", w.used.cpuMilli, "queued", len(w.queue))
	w.refuseExcess(now)
	w.startQueued(now)
}

// Tick handles expired leases and timeouts, and starts and sends what is due.
func (w *Worker) Tick(now time.Time) {
	w.checkStandstill(now)
	w.checkCrash(now)
	w.expireOwners(now)
	w.expireQueue(now)
	w.checkReservation(now)
	w.retryStops(now)
	w.checkConnection(now)
	w.checkHoldExpiry(now)
	w.checkUnconfirmedRestart(now)
	w.checkReplacedWorker(now)
	w.checkDeregistration(now)
	w.checkHealth(now)
	w.updateHeld(now)
	w.fenceUnreported(now)
	if !w.holdInFlight || now.Sub(w.holdSentAt) > holdTimeout {
		w.renewHold(now)
	}
	w.startQueued(now)
	w.sendStates(now)
	w.releaseLinks()
	w.evictPlacements(now)
}
