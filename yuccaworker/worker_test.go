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

var began = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

var (
	entry   = yuccaworker.Owner{Name: "entry-1", Incarnation: 1}
	another = yuccaworker.Owner{Name: "entry-2", Incarnation: 1}
)

// world plays a worker with its side: calls are answered at once unless a test
// holds them back.
type world struct {
	t       *testing.T
	now     time.Time
	core    *yuccaworker.Worker
	life    yuccaworker.Incarnation
	running map[yuccaworker.Key]bool
	seen    map[string]uint64
	ends    []yuccaworker.Completion
	number  int64
	token   int64
	holdTo  int64
	// deaf leaves calls unanswered; they are not carried out either.
	deaf bool
	// muteStarts carries starts out without an answer.
	muteStarts bool
	lost       []yuccaworker.CallStart
	told       map[yuccaworker.Owner][]*yuccawire.Ended
	state      map[yuccaworker.Owner]*yuccawire.WorkerState
	pending    *yuccaworker.CallHold
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, now: began, life: yuccaworker.Incarnation{ID: "w-1", StartedAtMS: 100},
		running: make(map[yuccaworker.Key]bool), seen: make(map[string]uint64),
		told: make(map[yuccaworker.Owner][]*yuccawire.Ended), state: make(map[yuccaworker.Owner]*yuccawire.WorkerState),
	}
	w.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.DiscardHandler)}, began)
	w.core.LinkUp(w.now, entry)
	w.core.LinkUp(w.now, another)
	w.report(1, false)
	w.settle()
	return w
}

func (w *world) clock() int64 { return 5000 + w.now.Sub(began).Milliseconds() }

func (w *world) report(sequence int64, leaving bool) bool {
	return w.core.Report(w.now, yuccaworker.Report{
		ID: w.life.ID, StartedAtMS: w.life.StartedAtMS, Service: "belfry", CPUMilli: 16000, MemoryMB: 32768, Leaving: leaving, ClockMS: w.clock(), Sequence: sequence,
	})
}

// settle carries out all actions.
func (w *world) settle() {
	for {
		actions := w.core.Actions()
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			w.carryOut(a)
		}
	}
}

func (w *world) carryOut(a yuccaworker.Action) {
	switch a := a.(type) {
	case yuccaworker.Send:
		if ends := a.Message.GetEnds(); ends != nil {
			w.told[a.Owner] = append(w.told[a.Owner], ends.GetEnds()...)
			w.state[a.Owner] = ends.GetState()
		}
		if state := a.Message.GetWorkerState(); state != nil {
			w.state[a.Owner] = state
		}
	case yuccaworker.CallStart:
		w.start(a)
	case yuccaworker.CallStop:
		if w.deaf {
			w.core.StopReply(w.now, a.Incarnation, a.Key, false, 0)
			return
		}
		w.seen[a.Key.Task] = max(w.seen[a.Key.Task], a.Key.Run)
		if w.running[a.Key] {
			w.end(a.Key, yuccawire.RunEnd_RUN_END_STOPPED)
		}
		w.core.StopReply(w.now, a.Incarnation, a.Key, true, w.clock())
	case yuccaworker.CallHold:
		w.hold(a)
	}
}

func (w *world) start(a yuccaworker.CallStart) {
	switch {
	case w.deaf:
		w.lost = append(w.lost, a)
		w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0)
	case a.Token < w.token:
		w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultFenced, w.clock())
	case w.running[a.Key]:
		w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultOK, w.clock())
	case a.Key.Run <= w.seen[a.Key.Task]:
		w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultOldRun, w.clock())
	default:
		w.running[a.Key] = true
		w.holdTo = max(w.holdTo, a.DeadlineMS)
		w.token = a.Token
		if w.muteStarts {
			w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0)
			return
		}
		w.core.StartReply(w.now, a.Incarnation, a.Key, yuccaworker.ResultOK, w.clock())
	}
}

func (w *world) hold(a yuccaworker.CallHold) {
	result := yuccaworker.HoldResult{Incarnation: a.Incarnation, SentAt: a.SentAt, ClockMS: w.clock()}
	switch {
	case w.deaf:
		return // no answer yet
	case a.Incarnation != w.life:
		result.Result = yuccaworker.ResultOtherIncarnation
	case a.Token < w.token:
		result.Result = yuccaworker.ResultFenced
	default:
		w.token = a.Token
		w.holdTo = max(w.holdTo, a.DeadlineMS)
		result.Result = yuccaworker.ResultOK
		for len(w.ends) > 0 && w.ends[0].Number <= a.Cursor {
			w.ends = w.ends[1:]
		}
		result.Completions = append(result.Completions, w.ends...)
		for key := range w.running {
			result.Running = append(result.Running, key)
		}
		if a.Wait > 0 && len(result.Completions) == 0 && w.now.Sub(a.SentAt) < a.Wait {
			w.pending = &a
			return
		}
	}
	w.core.HoldReply(w.now, result)
}

func (w *world) end(key yuccaworker.Key, how yuccawire.RunEnd) {
	if !w.running[key] {
		w.t.Fatalf("%v does not run", key)
	}
	delete(w.running, key)
	w.number++
	w.seen[key.Task] = max(w.seen[key.Task], key.Run)
	w.ends = append(w.ends, yuccaworker.Completion{Number: w.number, Key: key, Outcome: how})
}

// pass lets time pass; the worker ends all runs whose hold has run out.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		if w.clock() > w.holdTo {
			for key := range w.running {
				w.end(key, yuccawire.RunEnd_RUN_END_LOST)
			}
		}
		if p := w.pending; p != nil && !w.deaf && (len(w.ends) > 0 || w.now.Sub(p.SentAt) >= p.Wait) {
			w.pending = nil
			w.hold(*p)
			w.settle()
		}
		w.core.Tick(w.now)
		w.settle()
	}
}

func (w *world) order(from yuccaworker.Owner, lease time.Duration, tasks ...*yuccawire.TaskOrder) {
	w.core.Orders(w.now, from, &yuccawire.Orders{
		UntilMs: w.core.Clock(w.now) + uint64(lease.Milliseconds()),
		Jobs: []*yuccawire.JobOrder{{
			Job: "j", Service: "belfry", RankMs: w.now.Sub(began).Milliseconds(), ExpiresMs: w.core.Clock(w.now) + 60_000, Tasks: tasks,
		}},
	})
	w.settle()
}

func (w *world) beat(from yuccaworker.Owner) {
	w.core.Heartbeat(w.now, from, &yuccawire.Beat{UntilMs: w.core.Clock(w.now) + uint64(yuccaworker.OwnerLease.Milliseconds())})
}

// keep lets time pass while the owner renews its lease.
func (w *world) keep(from yuccaworker.Owner, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.beat(from)
		w.pass(100 * time.Millisecond)
	}
}

func task(name string, run uint64, cpu uint32) *yuccawire.TaskOrder {
	return &yuccawire.TaskOrder{Task: name, Run: run, CpuMilli: cpu, MemoryMb: 64, EstimateMs: 200}
}

func (w *world) endOf(owner yuccaworker.Owner, name string) *yuccawire.Ended {
	for _, e := range w.told[owner] {
		if e.GetRun().GetTask() == name {
			return e
		}
	}
	return nil
}

func (w *world) wantEnd(owner yuccaworker.Owner, name string, end yuccawire.RunEnd, refusal yuccawire.RunRefusal) {
	w.t.Helper()
	e := w.endOf(owner, name)
	if e.GetEnd() != end || e.GetRefusal() != refusal {
		w.t.Errorf("%s ended %v %v, want %v %v", name, e.GetEnd(), e.GetRefusal(), end, refusal)
	}
}

const lease = yuccaworker.OwnerLease

func TestRunEnds(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
	w.keep(entry, 300*time.Millisecond)
	w.end(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	w.end(yuccaworker.Key{Task: "b", Run: 1}, yuccawire.RunEnd_RUN_END_FAILED)
	w.keep(entry, 400*time.Millisecond)
	w.wantEnd(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
	w.wantEnd(entry, "b", yuccawire.RunEnd_RUN_END_FAILED, 0)
	if len(w.ends) != 0 {
		t.Errorf("%d ends were not taken note of", len(w.ends))
	}
	if got := w.state[entry].GetFreeCpuMilli(); got != 16000 {
		t.Errorf("free is %d after all has ended, want 16000", got)
	}
}

// The worker is never given more than it has, also not by two owners.
func TestNeverOverCapacity(t *testing.T) {
	w := newWorld(t)
	for i := range 8 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1500))
		w.order(another, lease, task(fmt.Sprint("b", i), 1, 1500))
	}
	if len(w.running) != 10 {
		t.Errorf("%d runs of 1.5 cores on 16, want 10", len(w.running))
	}
	refused := 0
	for _, ends := range w.told {
		for _, e := range ends {
			if e.GetRefusal() == yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM {
				refused++
			}
		}
	}
	if refused != 4 {
		t.Errorf("%d orders are refused, want 4: two more wait", refused)
	}
	w.end(yuccaworker.Key{Task: "a0", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	w.pass(300 * time.Millisecond)
	if len(w.running) > 10 {
		t.Errorf("%d runs, want 10 at most", len(w.running))
	}
}

// Without word of its owner a run ends within the lease, whatever becomes of
// the owner, and its room is free again.
func TestOwnerLeaseRunsOut(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.order(another, lease, task("b", 1, 1600))
	w.keep(another, lease+200*time.Millisecond)
	if w.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the run goes on without its owner")
	}
	if !w.running[yuccaworker.Key{Task: "b", Run: 1}] {
		t.Error("the run of the other owner was stopped")
	}
	w.wantEnd(entry, "a", yuccawire.RunEnd_RUN_END_STOPPED, 0)
}

// A renewal that was held up on its way extends nothing.
func TestLateBeatExtendsNothing(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	stale := &yuccawire.Beat{UntilMs: w.core.Clock(w.now) + uint64(lease.Milliseconds())}
	w.pass(lease - 50*time.Millisecond)
	w.core.Heartbeat(w.now, entry, stale)
	w.pass(250 * time.Millisecond)
	if len(w.running) != 0 {
		t.Error("a renewal that arrived late kept the run alive")
	}
}

// A new incarnation of an owner ends what the old one began.
func TestOwnerComesBackAnew(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.core.LinkUp(w.now, yuccaworker.Owner{Name: "entry-1", Incarnation: 2})
	w.settle()
	w.pass(50 * time.Millisecond)
	if len(w.running) != 0 {
		t.Error("the run of the former incarnation goes on")
	}
}

// When the side ends, the worker ends all by itself within the hold.
func TestHoldIsShort(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.keep(entry, 500*time.Millisecond)
	if left := w.holdTo - w.clock(); left > yuccaworker.Hold.Milliseconds() || left <= 0 {
		t.Errorf("the hold has %d ms left, want up to %d", left, yuccaworker.Hold.Milliseconds())
	}
}

// A task whose start has no answer is not given back before it is sure that it
// never runs.
func TestUnansweredStart(t *testing.T) {
	w := newWorld(t)
	w.muteStarts = true
	w.order(entry, lease, task("a", 1, 1600))
	w.keep(entry, 300*time.Millisecond)
	if e := w.endOf(entry, "a"); e != nil && w.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Errorf("the task was given back as %v while it runs", e)
	}
	w.muteStarts = false
	if w.running[yuccaworker.Key{Task: "a", Run: 1}] {
		w.end(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	}
	w.keep(entry, 300*time.Millisecond)
	if w.endOf(entry, "a") == nil {
		t.Error("the owner hears nothing of the task")
	}
}

// The runs of a worker that answers nothing are given back only after its hold
// has run out.
func TestDeafWorker(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.keep(entry, 200*time.Millisecond)
	w.deaf = true
	deafSince, holdTo := w.now, w.holdTo
	for w.endOf(entry, "a") == nil && w.now.Sub(deafSince) < 3*time.Second {
		w.keep(entry, 100*time.Millisecond)
	}
	if w.endOf(entry, "a") == nil {
		t.Fatal("the run is never given back")
	}
	if w.clock() <= holdTo {
		t.Errorf("given back %d ms before the hold ran out", holdTo-w.clock())
	}
	if w.state[entry].GetReady() {
		t.Error("a worker that does not answer is shown as ready")
	}
}

// A side that takes a worker over stops what an earlier process of it began,
// and uses a higher token.
func TestTakeOver(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.pass(100 * time.Millisecond)
	token := w.token
	w.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New("next"), Logger: slog.New(slog.DiscardHandler)}, w.now)
	w.core.LinkUp(w.now, entry)
	w.report(9, false)
	w.pass(200 * time.Millisecond)
	if len(w.running) != 0 {
		t.Error("a run of the former process goes on")
	}
	if w.token <= token {
		t.Errorf("the token is %d after %d, want a higher one", w.token, token)
	}
	if !w.state[entry].GetReady() {
		t.Error("the worker is not ready after it was taken over")
	}
}

func TestNewLifeLosesRuns(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.life.StartedAtMS = 200
	w.running = make(map[yuccaworker.Key]bool)
	w.token = 0
	if !w.report(1, false) {
		t.Fatal("the report of the new life is ignored")
	}
	w.settle()
	w.pass(50 * time.Millisecond)
	w.wantEnd(entry, "a", yuccawire.RunEnd_RUN_END_LOST, 0)
	w.life.StartedAtMS = 100
	if w.report(50, false) {
		t.Error("a late report of the former life is taken")
	}
}

// A worker that leaves gets nothing more, and ends what it has.
func TestLeavingWorker(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.report(2, true)
	w.settle()
	w.order(entry, lease, task("b", 1, 1600))
	w.wantEnd(entry, "b", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_LEAVING)
	w.keep(entry, 200*time.Millisecond)
	if !w.running[yuccaworker.Key{Task: "a", Run: 1}] {
		t.Error("the run that was there is stopped")
	}
}

// Two runs of one task are never here at the same time, whoever sends them.
func TestOneRunOfATask(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.order(another, lease, task("a", 2, 1600))
	w.wantEnd(another, "a", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_BUSY)
}

func TestWithdraw(t *testing.T) {
	w := newWorld(t)
	for i := range 12 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	w.core.Withdraw(w.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a0", Run: 1}, {Task: "a11", Run: 1}}})
	w.settle()
	w.pass(50 * time.Millisecond)
	w.wantEnd(entry, "a0", yuccawire.RunEnd_RUN_END_STOPPED, 0)
	w.wantEnd(entry, "a11", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	if !w.running[yuccaworker.Key{Task: "a10", Run: 1}] {
		t.Error("the room that became free is not used")
	}
}

// A worker on which everything stands still is found out after a few runs, and
// gets one at a time after that.
func TestStandStill(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	w.keep(entry, time.Second)
	if !w.state[entry].GetSuspect() || w.state[entry].GetReady() {
		t.Errorf("suspect %v, ready %v after a second without any end", w.state[entry].GetSuspect(), w.state[entry].GetReady())
	}
	for i := range 5 {
		w.wantEnd(entry, fmt.Sprint("a", i), yuccawire.RunEnd_RUN_END_STOPPED, 0)
	}
	w.keep(entry, time.Second)
	w.order(entry, lease, task("b", 1, 1600), task("c", 1, 1600))
	w.wantEnd(entry, "c", yuccawire.RunEnd_RUN_END_REFUSED, yuccawire.RunRefusal_RUN_REFUSAL_UNHEALTHY)
	w.end(yuccaworker.Key{Task: "b", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	w.keep(entry, 200*time.Millisecond)
	if w.state[entry].GetSuspect() {
		t.Error("still suspect after a run has ended well")
	}
}

// A worker that fails everything is found out; tasks that failed elsewhere don't
// count against it.
func TestFailsAll(t *testing.T) {
	w := newWorld(t)
	for i := range 6 {
		order := task(fmt.Sprint("poison", i), 2, 1600)
		order.Failures = 1
		w.order(entry, lease, order)
		w.end(yuccaworker.Key{Task: fmt.Sprint("poison", i), Run: 2}, yuccawire.RunEnd_RUN_END_FAILED)
		w.keep(entry, 200*time.Millisecond)
	}
	if w.state[entry].GetSuspect() {
		t.Fatal("suspect for tasks that fail everywhere")
	}
	for i := range 4 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
		w.end(yuccaworker.Key{Task: fmt.Sprint("a", i), Run: 1}, yuccawire.RunEnd_RUN_END_FAILED)
		w.keep(entry, 200*time.Millisecond)
	}
	if !w.state[entry].GetSuspect() {
		t.Error("not suspect after four first runs in a row have failed")
	}
}

// After a suspension every lease counts as run out.
func TestSuspended(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600))
	w.core.Suspended(w.now, 2*time.Second)
	w.settle()
	w.pass(50 * time.Millisecond)
	if len(w.running) != 0 {
		t.Error("a run goes on after the machine stood still")
	}
}

// An owner that is linked again hears of all its runs.
func TestLinkedAgain(t *testing.T) {
	w := newWorld(t)
	w.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
	w.core.LinkDown(entry)
	w.end(yuccaworker.Key{Task: "a", Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	w.pass(200 * time.Millisecond)
	w.core.LinkUp(w.now, entry)
	var full *yuccawire.Ends
	for _, a := range w.core.Actions() {
		if s, ok := a.(yuccaworker.Send); ok && s.Message.GetEnds().GetFull() {
			full = s.Message.GetEnds()
		}
	}
	if len(full.GetEnds()) != 1 || full.GetEnds()[0].GetRun().GetTask() != "a" || full.GetEnds()[0].GetEnd() != yuccawire.RunEnd_RUN_END_DONE {
		t.Errorf("ends %v, want a done", full.GetEnds())
	}
	if len(full.GetPresent()) != 1 || full.GetPresent()[0].GetTask() != "b" {
		t.Errorf("present %v, want b", full.GetPresent())
	}
}

// While the worker's lists don't come through, nobody can tell whether its runs
// stand still.
func TestNoJudgementWithoutLists(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	w.keep(entry, 700*time.Millisecond)
	for i := range 5 {
		w.end(yuccaworker.Key{Task: fmt.Sprint("a", i), Run: 1}, yuccawire.RunEnd_RUN_END_DONE)
	}
	w.deaf = true
	w.keep(entry, 200*time.Millisecond)
	if w.state[entry].GetSuspect() {
		t.Error("suspect for ends that were not seen")
	}
}

// Runs that are withdrawn because they straggle speak against the worker: with
// none ending well in between it is suspected.
func TestStragglersSuspect(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.order(entry, lease, task(fmt.Sprint("a", i), 1, 1600))
	}
	w.keep(entry, 400*time.Millisecond)
	straggling := func(name string) {
		w.core.Withdraw(w.now, entry, &yuccawire.Withdraw{Straggling: true, Runs: []*yuccawire.RunKey{{Task: name, Run: 1}}})
		w.settle()
		w.keep(entry, 40*time.Millisecond)
	}
	straggling("a0")
	if w.state[entry].GetSuspect() {
		t.Error("suspect after one straggler")
	}
	if pace := w.state[entry].GetPacePercent(); pace <= 100 {
		t.Errorf("the pace is %d%%, want it above the plain one", pace)
	}
	straggling("a1")
	if !w.state[entry].GetSuspect() {
		t.Error("not suspect after two stragglers in a row")
	}
}

// The first try of a start is short, later ones are longer.
func TestStartTries(t *testing.T) {
	w := newWorld(t)
	w.deaf = true
	w.order(entry, lease, task("a", 1, 1600))
	if len(w.lost) < 3 {
		t.Fatalf("%d tries, want 3", len(w.lost))
	}
	for i, want := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		if got := w.lost[i].Timeout; got != want {
			t.Errorf("try %d may take %v, want %v", i+1, got, want)
		}
	}
}
