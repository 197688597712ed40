package yuccaworker_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

var (
	entry      = yuccaworker.Owner{Name: "entry-1", Incarnation: 1}
	otherEntry = yuccaworker.Owner{Name: "entry-2", Incarnation: 1}
)

// harness connects a [yuccaworker.Worker] to a fake worker and to fake owners.
// Calls are answered immediately unless a test disables that.
type harness struct {
	t           *testing.T
	now         time.Time
	core        *yuccaworker.Worker
	incarnation yuccaworker.Incarnation
	running     map[yuccaworker.Key]bool
	latestRun   map[string]uint64
	completions []yuccaworker.Completion
	lastNumber  int64
	token       int64
	holdUntilMS int64
	// unresponsive drops calls without executing them, silent also lets renewals time
	// out, refusing refuses connections.
	unresponsive bool
	silent       bool
	refusing     bool
	// standing accepts connections all the while.
	standing bool
	// dropStartReplies executes starts but drops the answers.
	dropStartReplies bool
	// holdsUnanswered leaves renewals without an answer. clockOffset is added to the
	// worker's clock.
	holdsUnanswered bool
	clockOffset     int64
	// dropStops loses stops on their way.
	dropStops bool
	// stopTime is how long stops take; the runs in stopping are in neither list until the
	// clock shows the time given. dropStopReplies loses the answers to stops.
	stopTime        time.Duration
	stopping        map[yuccaworker.Key]int64
	dropStopReplies bool
	// leaseDecides makes starts late by the lease of all runs, not by their own deadline.
	leaseDecides bool
	// retryResult is the answer to starts of runs that are running, if it is set.
	retryResult yuccaworker.Result
	lostStarts  []yuccaworker.CallStart
	delivered   map[yuccaworker.Owner][]*yuccawire.Ended
	states      map[yuccaworker.Owner]*yuccawire.WorkerState
	stateCount  map[yuccaworker.Owner]int
	crashes     map[yuccaworker.Owner][]*yuccawire.Crash
	held        map[yuccaworker.Owner][]*yuccawire.HeldTasks
	released    []yuccaworker.Owner
	pendingHold *yuccaworker.CallHold
	// timedOut are the results of renewals that time out at the timeouts.
	timedOut []yuccaworker.HoldResult
	timeouts []time.Time
}

// takeOverTime is how long a new process takes to take over a worker without runs.
const takeOverTime = 70 * time.Millisecond

// maxLease is how long a worker may keep its runs for an earlier process of the side.
const maxLease = time.Second

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, now: startTime.Add(-maxLease - takeOverTime), incarnation: yuccaworker.Incarnation{ID: "w-1", StartedAtMS: 100},
		running: make(map[yuccaworker.Key]bool), latestRun: make(map[string]uint64), stopping: make(map[yuccaworker.Key]int64),
		delivered: make(map[yuccaworker.Owner][]*yuccawire.Ended), states: make(map[yuccaworker.Owner]*yuccawire.WorkerState),
		stateCount: make(map[yuccaworker.Owner]int), crashes: make(map[yuccaworker.Owner][]*yuccawire.Crash),
		held: make(map[yuccaworker.Owner][]*yuccawire.HeldTasks),
	}
	h.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.DiscardHandler)}, h.now)
	h.report(1, false)
	h.runActions()
	h.now = startTime
	h.core.HandleLinkUp(h.now, entry)
	h.core.HandleLinkUp(h.now, otherEntry)
	h.report(1, false)
	h.core.Tick(h.now)
	h.runActions()
	return h
}

// restartSide replaces the side by a new process, which remembers nothing.
func (h *harness) restartSide() {
	h.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New("next"), Logger: slog.New(slog.DiscardHandler)}, h.now)
	h.core.HandleLinkUp(h.now, entry)
}

func (h *harness) clock() int64 {
	return 5000 + h.clockOffset + h.now.Sub(startTime).Milliseconds()
}

func (h *harness) report(sequence int64, leaving bool) bool {
	report := h.newReport(sequence)
	report.Leaving = leaving
	return h.core.HandleReport(h.now, report)
}

func (h *harness) newReport(sequence int64) yuccaworker.Report {
	return yuccaworker.Report{
		ID: h.incarnation.ID, StartedAtMS: h.incarnation.StartedAtMS, Service: "belfry", CPUMilli: 16000, MemoryMB: 32768, ClockMS: h.clock(), Sequence: sequence,
	}
}

// runActions executes actions until none is left.
func (h *harness) runActions() {
	for {
		actions := h.core.Actions()
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			h.runAction(a)
		}
	}
}

func (h *harness) runAction(a yuccaworker.Action) {
	switch a := a.(type) {
	case yuccaworker.Send:
		if ends := a.Message.GetEnds(); ends != nil {
			h.checkEnded(ends.GetEnds())
			h.delivered[a.Owner] = append(h.delivered[a.Owner], ends.GetEnds()...)
			h.states[a.Owner] = ends.GetState()
		}
		if state := a.Message.GetWorkerState(); state != nil {
			h.states[a.Owner] = state
			h.stateCount[a.Owner]++
		}
		if list := a.Message.GetHeldTasks(); list != nil {
			h.held[a.Owner] = append(h.held[a.Owner], list)
		}
		h.crashes[a.Owner] = append(h.crashes[a.Owner], a.Message.GetCrashReport().GetCrashes()...)
	case yuccaworker.ReleaseLink:
		h.released = append(h.released, a.Owner)
	case yuccaworker.CallStart:
		h.start(a)
	case yuccaworker.CallStop:
		if h.unresponsive || h.refusing || h.dropStops {
			h.core.HandleStopReply(h.now, a.Incarnation, a.Key, false, 0)
			return
		}
		h.stop(a.Key)
		h.core.HandleStopReply(h.now, a.Incarnation, a.Key, !h.dropStopReplies, h.clock())
	case yuccaworker.CallHold:
		h.hold(a)
	case yuccaworker.CallConnect:
		h.core.HandleConnectReply(h.now, a, h.connect())
	}
}

func (h *harness) connect() yuccaworker.Result {
	switch {
	case h.refusing:
		return yuccaworker.ResultUnreachable
	case (h.unresponsive || h.silent) && !h.standing:
		return yuccaworker.ResultUnknown
	}
	return yuccaworker.ResultOK
}

func (h *harness) stop(key yuccaworker.Key) {
	h.latestRun[key.Task] = max(h.latestRun[key.Task], key.Run)
	switch {
	case h.running[key] && h.stopTime > 0:
		delete(h.running, key)
		h.stopping[key] = h.clock() + h.stopTime.Milliseconds()
	case h.running[key]:
		h.complete(key, yuccawire.RunEnd_RUN_END_STOPPED)
	}
}

// endStops lists the runs whose stop is over as completed.
func (h *harness) endStops() {
	for key, until := range h.stopping {
		if h.clock() >= until {
			delete(h.stopping, key)
			h.running[key] = true
			h.complete(key, yuccawire.RunEnd_RUN_END_STOPPED)
		}
	}
}

// callTime is how long a renewal takes.
const callTime = time.Microsecond

func (h *harness) start(a yuccaworker.CallStart) {
	switch {
	case h.refusing:
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultUnreachable, 0)
	case h.unresponsive:
		h.lostStarts = append(h.lostStarts, a)
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0)
	case a.Token < h.token:
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultFenced, h.clock())
	case h.running[a.Key] && h.retryResult != yuccaworker.ResultUnknown:
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, h.retryResult, h.clock())
	case h.running[a.Key]:
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultOK, h.clock())
	case a.Key.Run <= h.latestRun[a.Key.Task]:
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultOldRun, h.clock())
	case a.DeadlineMS <= h.clock() && !(h.leaseDecides && h.holdUntilMS > h.clock()):
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultExpired, h.clock())
	default:
		h.running[a.Key] = true
		h.holdUntilMS = max(h.holdUntilMS, min(a.DeadlineMS, h.clock()+1000))
		h.token = a.Token
		if h.dropStartReplies {
			h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0)
			return
		}
		h.core.HandleStartReply(h.now, a.Incarnation, a.Key, yuccaworker.ResultOK, h.clock())
	}
}

func (h *harness) hold(a yuccaworker.CallHold) {
	h.now = h.now.Add(callTime)
	result := yuccaworker.HoldResult{Incarnation: a.Incarnation, SentAt: a.SentAt, ClockMS: h.clock()}
	switch {
	case h.refusing:
		result.Result = yuccaworker.ResultUnreachable
	case h.silent:
		h.timeouts = append(h.timeouts, h.now.Add(a.Timeout))
		h.timedOut = append(h.timedOut, result)
		return
	case h.unresponsive, h.holdsUnanswered:
		return // no answer yet
	case a.Incarnation.ID != "" && a.Incarnation.ID != h.incarnation.ID:
		result.Result = yuccaworker.ResultOtherWorker
	case a.Token < h.token:
		result.Result = yuccaworker.ResultFenced
	case a.Incarnation != h.incarnation:
		h.token = a.Token
		h.holdUntilMS = max(h.holdUntilMS, min(a.DeadlineMS, h.clock()+1000))
		h.forgetCompletions(a.Cursor)
		result.Result = yuccaworker.ResultRestarted
	default:
		h.token = a.Token
		h.holdUntilMS = max(h.holdUntilMS, a.DeadlineMS)
		result.Result = yuccaworker.ResultOK
		h.forgetCompletions(a.Cursor)
		result.Completions = append(result.Completions, h.completions...)
		for key := range h.running {
			result.Running = append(result.Running, key)
		}
		if a.Wait > 0 && len(result.Completions) == 0 && h.now.Sub(a.SentAt) < a.Wait {
			h.pendingHold = &a
			return
		}
	}
	h.core.HandleHoldReply(h.now, result)
}

func (h *harness) forgetCompletions(cursor int64) {
	for len(h.completions) > 0 && h.completions[0].Number <= cursor {
		h.completions = h.completions[1:]
	}
}

func (h *harness) complete(key yuccaworker.Key, outcome yuccawire.RunEnd) {
	if !h.running[key] {
		h.t.Fatalf("%v does not run", key)
	}
	delete(h.running, key)
	h.lastNumber++
	h.latestRun[key.Task] = max(h.latestRun[key.Task], key.Run)
	h.completions = append(h.completions, yuccaworker.Completion{Number: h.lastNumber, Key: key, Outcome: outcome})
}

// advance advances the time in steps of 10 ms. The fake worker loses all runs
// when its hold expires.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.endStops()
		if h.clock() > h.holdUntilMS {
			for key := range h.running {
				h.complete(key, yuccawire.RunEnd_RUN_END_LOST)
			}
		}
		if h.refusing && h.pendingHold != nil {
			p := *h.pendingHold
			h.pendingHold = nil
			h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{Incarnation: p.Incarnation, SentAt: p.SentAt})
			h.runActions()
		}
		for len(h.timeouts) > 0 && !h.now.Before(h.timeouts[0]) {
			result := h.timedOut[0]
			h.timeouts, h.timedOut = h.timeouts[1:], h.timedOut[1:]
			h.core.HandleHoldReply(h.now, result)
			h.runActions()
		}
		if p := h.pendingHold; p != nil && !h.unresponsive && !h.silent && (len(h.completions) > 0 || h.now.Sub(p.SentAt) >= p.Wait) {
			h.pendingHold = nil
			h.hold(*p)
			h.runActions()
		}
		h.core.Tick(h.now)
		h.runActions()
	}
}

func (h *harness) order(from yuccaworker.Owner, lease time.Duration, tasks ...*yuccawire.TaskOrder) {
	h.handleOrder(from, lease, tasks...)
	h.runActions()
}

// handleOrder orders tasks without executing the actions that follow.
func (h *harness) handleOrder(from yuccaworker.Owner, lease time.Duration, tasks ...*yuccawire.TaskOrder) {
	h.core.HandleOrders(h.now, from, &yuccawire.Orders{
		UntilMs: h.core.Clock(h.now) + uint64(lease.Milliseconds()),
		Jobs: []*yuccawire.JobOrder{{
			Job: "j", Service: "belfry", RankMs: h.now.Sub(startTime).Milliseconds(), ExpiresMs: h.core.Clock(h.now) + 60_000, Tasks: tasks,
		}},
	})
}

func (h *harness) heartbeat(from yuccaworker.Owner) {
	h.core.HandleHeartbeat(h.now, from, &yuccawire.Beat{UntilMs: h.core.Clock(h.now) + uint64(yuccaworker.OwnerLease.Milliseconds())})
}

// advanceWithLease advances the time while the owner renews its lease.
func (h *harness) advanceWithLease(from yuccaworker.Owner, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		h.heartbeat(from)
		h.advance(100 * time.Millisecond)
	}
}

func task(name string, run uint64, cpu uint32) *yuccawire.TaskOrder {
	return &yuccawire.TaskOrder{Task: name, Run: run, CpuMilli: cpu, MemoryMb: 64, EstimateMs: 200}
}

func (h *harness) outcomeOf(owner yuccaworker.Owner, name string) *yuccawire.Ended {
	for _, e := range h.delivered[owner] {
		if e.GetRun().GetTask() == name {
			return e
		}
	}
	return nil
}

// checkEnded fails the test if a run is reported as ended while the worker executes it.
func (h *harness) checkEnded(ends []*yuccawire.Ended) {
	for _, e := range ends {
		if h.running[yuccaworker.Key{Task: e.GetRun().GetTask(), Run: e.GetRun().GetRun()}] {
			h.t.Errorf("%s was reported as %v %v while it runs", e.GetRun().GetTask(), e.GetEnd(), e.GetRefusal())
		}
	}
}

func (h *harness) expectOutcome(owner yuccaworker.Owner, name string, outcome yuccawire.RunEnd, refusal yuccawire.RunRefusal) {
	h.t.Helper()
	e := h.outcomeOf(owner, name)
	if e.GetEnd() != outcome || e.GetRefusal() != refusal {
		h.t.Errorf("%s ended %v %v, want %v %v", name, e.GetEnd(), e.GetRefusal(), outcome, refusal)
	}
}

// expectOutcomeNow executes the actions at hand and checks the outcome.
func (h *harness) expectOutcomeNow(owner yuccaworker.Owner, name string, outcome yuccawire.RunEnd) {
	h.t.Helper()
	h.runActions()
	h.expectOutcome(owner, name, outcome, 0)
}

const lease = yuccaworker.OwnerLease

func TestRunOutcomes(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.complete(yuccaworker.Key{Task: "b", Run: 1}, yuccawire.RunEnd_RUN_END_FAILED)
	h.advanceWithLease(entry, 400*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_FAILED, 0)
	if len(h.completions) != 0 {
		t.Errorf("%d completions were not acknowledged", len(h.completions))
	}
	if got := h.states[entry].GetFreeCpuMilli(); got != 16000 {
		t.Errorf("free CPU is %d after all runs have ended, want 16000", got)
	}
}

// Two owners that order runs independently must not exceed the capacity of the
// worker together.
func TestCapacityIsNeverExceeded(t *testing.T) {
	h := newHarness(t)
	for i := range 8 {
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1500))
		h.order(otherEntry, lease, task(fmt.Sprint("b", i), 1, 1500))
	}
	if len(h.running) != 10 {
		t.Errorf("%d runs of 1.5 cores on 16, want 10", len(h.running))
	}
	refused := 0
	for _, ends := range h.delivered {
		for _, e := range ends {
			if e.GetRefusal() == yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM {
				refused++
			}
		}
	}
	if refused != 4 {
		t.Errorf("%d orders refused, want 4, with two more queued", refused)
	}
	h.complete(yuccaworker.Key{Task: "a0", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(300 * time.Millisecond)
	if len(h.running) > 10 {
		t.Errorf("%d runs, want 10 at most", len(h.running))
	}
}

// A run whose owner sends no heartbeats must end with the owner lease.
func TestOwnerLeaseExpires(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.order(otherEntry, lease, task("b", 1, 1600))
	h.advanceWithLease(otherEntry, lease+200*time.Millisecond)
	if h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the run continues after the lease of its owner expired")
	}
	if !h.running[yuccaworker.Key{Task: "b", Run: 1}] {
		t.Error("the run of the other owner was stopped")
	}
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
}

// A heartbeat that is delayed on the network must not extend the lease, as its
// owner may have abandoned the run in the meantime.
func TestLateHeartbeatExtendsNothing(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	stale := &yuccawire.Beat{UntilMs: h.core.Clock(h.now) + uint64(lease.Milliseconds())}
	h.advance(lease - 50*time.Millisecond)
	h.core.HandleHeartbeat(h.now, entry, stale)
	h.advance(250 * time.Millisecond)
	if len(h.running) != 0 {
		t.Error("a delayed heartbeat kept the run alive")
	}
}

// A restarted owner has no record of the runs of its previous incarnation, so
// they must be stopped.
func TestNewOwnerIncarnationStopsOldRuns(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleLinkUp(h.now, yuccaworker.Owner{Name: "entry-1", Incarnation: 2})
	h.runActions()
	h.advance(50 * time.Millisecond)
	if len(h.running) != 0 {
		t.Error("the run of the previous incarnation continues")
	}
}

// If the side crashes, the worker ends all runs when the hold expires, so a
// renewal must not extend it beyond Hold.
func TestHoldIsBounded(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 500*time.Millisecond)
	if left := h.holdUntilMS - h.clock(); left > yuccaworker.Hold.Milliseconds() || left <= 0 {
		t.Errorf("the hold has %d ms left, want up to %d", left, yuccaworker.Hold.Milliseconds())
	}
}

// A task whose start is unanswered must not be reported as ended while it may
// still run.
func TestUnansweredStart(t *testing.T) {
	h := newHarness(t)
	h.dropStartReplies = true
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 300*time.Millisecond)
	if e := h.outcomeOf(entry, "a"); e != nil && h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Errorf("the task was reported as %v while it runs", e)
	}
	h.dropStartReplies = false
	if h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	}
	h.advanceWithLease(entry, 300*time.Millisecond)
	if h.outcomeOf(entry, "a") == nil {
		t.Error("the owner received no outcome of the task")
	}
}

// The runs of an unresponsive worker must be reported as lost, but only after its
// hold has expired: until then they may still be running.
func TestUnresponsiveWorker(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive = true
	unresponsiveSince, holdUntilMS := h.now, h.holdUntilMS
	for h.outcomeOf(entry, "a") == nil && h.now.Sub(unresponsiveSince) < 3*time.Second {
		h.advanceWithLease(entry, 100*time.Millisecond)
	}
	if h.outcomeOf(entry, "a") == nil {
		t.Fatal("no outcome of the run was reported")
	}
	if h.clock() <= holdUntilMS {
		t.Errorf("the outcome was reported %d ms before the hold expired", holdUntilMS-h.clock())
	}
	if h.states[entry].GetReady() {
		t.Error("an unresponsive worker is reported as ready")
	}
}

// The worker's process accepts connections and answers nothing. Its runs may be in progress for any time.
func TestRunOfAStandingWorkerIsNotReportedAsEnded(t *testing.T) {
	for _, silence := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600), task("b", 1, 16000))
		h.advanceWithLease(entry, 200*time.Millisecond)
		h.unresponsive, h.standing = true, true
		h.advanceWithLease(entry, silence)
		if e := h.outcomeOf(entry, "a"); e != nil || h.states[entry].GetReady() {
			t.Errorf("after %v: reported %v, ready %v, want neither", silence, e, h.states[entry].GetReady())
		}
		h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_NO_WORKER)
		h.unresponsive = false
		h.report(2, false)
		h.advanceWithLease(entry, 400*time.Millisecond)
		h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
		if !h.states[entry].GetReady() {
			t.Errorf("the worker is not used again after a silence of %v", silence)
		}
	}
}

func TestRunOfAStandingWorkerGoesOn(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive, h.standing = true, true
	h.holdUntilMS = h.clock() + time.Minute.Milliseconds()
	h.advanceWithLease(entry, 1500*time.Millisecond)
	h.unresponsive = false
	h.advanceWithLease(entry, 400*time.Millisecond)
	if !h.running[runA] || h.outcomeOf(entry, "a") != nil || !h.states[entry].GetReady() {
		t.Errorf("running %v, reported %v, want the run in progress and the worker in use", h.running, h.outcomeOf(entry, "a"))
	}
	h.complete(runA, yuccawire.RunEnd_RUN_END_DONE)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
}

// The task is under suspicion, and blamed for a crash only if the process ends.
func TestTaskThatHangsItsWorkerIsBlamed(t *testing.T) {
	for silence, want := range map[time.Duration]int{4 * time.Second: 0, 7 * time.Second: 1} {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advanceWithLease(entry, 200*time.Millisecond)
		h.unresponsive, h.standing = true, true
		h.advanceWithLease(entry, silence)
		if crashes := h.crashes[entry]; len(crashes) != want || h.outcomeOf(entry, "a") != nil {
			t.Errorf("after %v: crashes %v, reported %v, want %d crashes and no end", silence, crashes, h.outcomeOf(entry, "a"), want)
		}
		if want == 0 {
			continue
		}
		h.expectCrash(entry, 1, true)
		h.crash()
		h.advanceWithLease(entry, 300*time.Millisecond)
		h.expectCrash(entry, 2, false)
		h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
	}
}

// A worker whose process ends while it stands still refuses connections from then on.
func TestRunOfAStandingWorkerIsLostWithItsProcess(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive, h.standing = true, true
	h.advanceWithLease(entry, 1500*time.Millisecond)
	h.crash()
	h.advanceWithLease(entry, 300*time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
}

// A restarted side must stop the runs of its previous process, and fence that
// process with a higher token.
func TestTakeOver(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advance(100 * time.Millisecond)
	token := h.token
	h.restartSide()
	h.report(9, false)
	h.advance(200 * time.Millisecond)
	if len(h.running) != 0 {
		t.Error("a run of the previous process continues")
	}
	if h.token <= token {
		t.Errorf("the token is %d after %d, want a higher one", h.token, token)
	}
	if !h.states[entry].GetReady() {
		t.Error("the worker is not ready after the takeover")
	}
}

func TestNewIncarnationLosesRuns(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.incarnation.StartedAtMS = 200
	h.running = make(map[yuccaworker.Key]bool)
	h.token = 0
	if !h.report(1, false) {
		t.Fatal("the report of the new incarnation was ignored")
	}
	h.runActions()
	h.advance(50 * time.Millisecond)
	h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_CRASHED, 0)
	h.incarnation.StartedAtMS = 100
	if h.report(50, false) {
		t.Error("a late report of the previous incarnation was accepted")
	}
}

// A leaving worker gets no new runs and completes those in progress.
func TestLeavingWorker(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.report(2, true)
	h.runActions()
	h.order(entry, lease, task("b", 1, 1600))
	h.expectOutcome(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
	h.advanceWithLease(entry, 200*time.Millisecond)
	if !h.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the run in progress was stopped")
	}
}

// Two runs of a task must not overlap, even if different owners order them.
func TestOneRunPerTask(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.order(otherEntry, lease, task("a", 2, 1600))
	h.expectOutcome(otherEntry, "a", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_BUSY)
}

func TestWithdraw(t *testing.T) {
	h := newHarness(t)
	for i := range 12 {
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a0", Run: 1}, {Task: "a11", Run: 1}}})
	h.runActions()
	h.advance(50 * time.Millisecond)
	h.expectOutcome(entry, "a0", yuccawire.RunEnd_RUN_END_STOPPED, 0)
	h.expectOutcome(entry, "a11", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	if !h.running[yuccaworker.Key{Task: "a10", Run: 1}] {
		t.Error("the freed capacity is not used")
	}
}

// A worker whose runs make no progress becomes suspect after a few overdue runs,
// and then gets one run at a time until three in a row succeed.
func TestStalledWorker(t *testing.T) {
	h := newHarness(t)
	for i := range 5 {
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	h.advanceWithLease(entry, time.Second)
	if !h.states[entry].GetSuspect() || h.states[entry].GetReady() {
		t.Errorf("suspect %v, ready %v after a second without a completed run", h.states[entry].GetSuspect(), h.states[entry].GetReady())
	}
	for i := range 5 {
		h.expectOutcome(entry, fmt.Sprint("a", i), yuccawire.RunEnd_RUN_END_STOPPED, 0)
	}
	h.advanceWithLease(entry, time.Second)
	h.order(entry, lease, task("b", 1, 1600), task("c", 1, 1600))
	h.expectOutcome(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	for i, name := range []string{"b", "d", "e"} {
		if !h.states[entry].GetSuspect() {
			t.Errorf("no longer suspect after %d successful runs", i)
		}
		if i > 0 {
			h.order(entry, lease, task(name, 1, 1600))
		}
		h.complete(yuccaworker.Key{Task: name, Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
		h.advanceWithLease(entry, 200*time.Millisecond)
	}
	if h.states[entry].GetSuspect() {
		t.Error("still suspect after three runs succeeded")
	}
}

// A worker that fails all its runs becomes suspect. Runs of tasks that already
// failed on other workers don't count.
func TestFailingWorker(t *testing.T) {
	h := newHarness(t)
	for i := range 6 {
		order := task(fmt.Sprint("poison", i), 2, 1600)
		order.Failures = 1
		h.order(entry, lease, order)
		h.complete(yuccaworker.Key{Task: fmt.Sprint("poison", i), Run: 2}, yuccawire.RunEnd_RUN_END_FAILED)
		h.advanceWithLease(entry, 200*time.Millisecond)
	}
	if h.states[entry].GetSuspect() {
		t.Fatal("suspect because of tasks that fail on all workers")
	}
	for i := range 8 {
		if h.states[entry].GetSuspect() {
			t.Fatalf("suspect after %d first runs in a row failed", i)
		}
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
		h.complete(yuccaworker.Key{Task: fmt.Sprint("a", i), Run: 1}, yuccawire.RunEnd_RUN_END_FAILED)
		h.advanceWithLease(entry, 200*time.Millisecond)
	}
	if !h.states[entry].GetSuspect() {
		t.Error("not suspect after eight first runs in a row failed")
	}
}

// A suspension of the machine expires the leases of all owners, which may have
// abandoned their runs in the meantime.
func TestSuspension(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.core.HandleSuspension(h.now, 2*time.Second)
	h.runActions()
	h.advance(50 * time.Millisecond)
	if len(h.running) != 0 {
		t.Error("a run continues after the machine was suspended")
	}
}

// An owner that reconnects must receive the state of all its runs, including the
// outcomes of runs that ended while it was disconnected.
func TestOwnerReconnects(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
	h.core.HandleLinkDown(h.now, entry)
	h.complete(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	h.advance(200 * time.Millisecond)
	h.core.HandleLinkUp(h.now, entry)
	var message *yuccawire.Ends
	for _, a := range h.core.Actions() {
		if s, ok := a.(yuccaworker.Send); ok && s.Message.GetEnds().GetFull() {
			message = s.Message.GetEnds()
		}
	}
	if len(message.GetEnds()) != 1 || message.GetEnds()[0].GetRun().GetTask() != "a" || message.GetEnds()[0].GetEnd() != yuccawire.RunEnd_RUN_END_DONE {
		t.Errorf("ends %v, want a done", message.GetEnds())
	}
	if len(message.GetPresent()) != 1 || message.GetPresent()[0].GetTask() != "b" {
		t.Errorf("present %v, want b", message.GetPresent())
	}
}

// A worker whose lists don't arrive must not become suspect: its runs may have
// completed.
func TestNotSuspectWithoutLists(t *testing.T) {
	h := newHarness(t)
	for i := range 5 {
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	h.advanceWithLease(entry, 700*time.Millisecond)
	for i := range 5 {
		h.complete(yuccaworker.Key{Task: fmt.Sprint("a", i), Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	}
	h.unresponsive = true
	h.advanceWithLease(entry, 200*time.Millisecond)
	if h.states[entry].GetSuspect() {
		t.Error("suspect because of completions that were not received")
	}
}

// Runs that are withdrawn as stragglers, with no successful run in between, make
// the worker suspect.
func TestStragglersMakeWorkerSuspect(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	h.advanceWithLease(entry, 400*time.Millisecond)
	withdrawStraggler := func(name string) {
		h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Straggling: true, Runs: []*yuccawire.RunKey{{Task: name, Run: 1}}})
		h.runActions()
		h.advanceWithLease(entry, 40*time.Millisecond)
	}
	withdrawStraggler("a0")
	if h.states[entry].GetSuspect() {
		t.Error("suspect after one straggler")
	}
	if slowdown := h.states[entry].GetPacePercent(); slowdown <= 100 {
		t.Errorf("slowdown is %d%%, want above 100%%", slowdown)
	}
	withdrawStraggler("a1")
	if !h.states[entry].GetSuspect() {
		t.Error("not suspect after two stragglers in a row")
	}
}

// The first try of a start has a short timeout, later tries have longer ones.
func TestStartRetryTimeouts(t *testing.T) {
	h := newHarness(t)
	h.unresponsive = true
	h.order(entry, lease, task("a", 1, 1600))
	if len(h.lostStarts) < 3 {
		t.Fatalf("%d tries, want 3", len(h.lostStarts))
	}
	for i, want := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		if got := h.lostStarts[i].Timeout; got != want {
			t.Errorf("timeout of try %d is %v, want %v", i+1, got, want)
		}
	}
}

// The process ends after it has stood still for longer than the side asks for its lists.
func TestRunOfALongStandingWorkerIsLostWithItsProcess(t *testing.T) {
	for _, stands := range []time.Duration{4 * time.Second, 6 * time.Second} {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advanceWithLease(entry, 200*time.Millisecond)
		h.unresponsive, h.standing = true, true
		h.advanceWithLease(entry, stands)
		h.crash()
		h.advanceWithLease(entry, 10*time.Second)
		if h.outcomeOf(entry, "a") == nil || !h.core.Idle() {
			t.Errorf("stood still for %v: reported %v, idle %v, want the end of the run", stands, h.outcomeOf(entry, "a"), h.core.Idle())
		}
	}
}

// The wall clock of the machine was set back before the worker restarted after a long standstill.
func TestLongStandingWorkerIsUsedAgainAfterARestartWithAnEarlierStart(t *testing.T) {
	for _, stands := range []time.Duration{4 * time.Second, 6 * time.Second} {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		h.advanceWithLease(entry, 200*time.Millisecond)
		h.unresponsive, h.standing = true, true
		h.advanceWithLease(entry, stands)
		h.unresponsive = false
		h.restart(0)
		h.incarnation.StartedAtMS -= 150
		for n := range int64(20) {
			h.report(n+1, false)
			h.runActions()
			h.advanceWithLease(entry, time.Second)
		}
		if h.outcomeOf(entry, "a") == nil || !h.states[entry].GetReady() {
			t.Errorf("stood still for %v: reported %v, ready %v, want the end of the run and the worker in use", stands, h.outcomeOf(entry, "a"), h.states[entry].GetReady())
		}
	}
}

// The side has no file descriptor left, or the route to its worker is gone.
func TestFailingAttemptsToConnectAreSpaced(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.unresponsive = true
	connects := 0
	for range 100 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.heartbeat(entry)
		h.core.Tick(h.now)
		for _, a := range h.core.Actions() {
			if c, isConnect := a.(yuccaworker.CallConnect); isConnect {
				connects++
				h.core.HandleConnectReply(h.now, c, yuccaworker.ResultInvalid)
			}
		}
	}
	if connects > 20 {
		t.Errorf("%d attempts that fail at once in a second, want 20 at most", connects)
	}
}
