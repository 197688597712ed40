package yuccabroker_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

var began = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

const full = 16000

// fixture is a broker with sides that a test speaks for.
type fixture struct {
	t       *testing.T
	now     time.Time
	broker  *yuccabroker.Broker
	orders  map[string][]*yuccawire.Orders
	stops   map[string][]*yuccawire.RunKey
	beats   map[string]int
	answers map[uint64]yuccabroker.Outcome
	seen    map[string]uint64
}

func newFixture(t *testing.T, sides ...string) *fixture {
	f := &fixture{
		t: t, now: began, orders: make(map[string][]*yuccawire.Orders), stops: make(map[string][]*yuccawire.RunKey),
		beats: make(map[string]int), answers: make(map[uint64]yuccabroker.Outcome), seen: make(map[string]uint64),
	}
	f.broker = yuccabroker.New(yuccabroker.Options{
		Name: "entry", Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.DiscardHandler),
	})
	for _, s := range sides {
		f.broker.LinkUp(f.now, yuccabroker.Side{Name: s, Incarnation: 1, DataCentre: "puno"})
		f.state(s, full)
	}
	return f
}

func (f *fixture) workerState(free int) *yuccawire.WorkerState {
	return &yuccawire.WorkerState{
		ClockMs: uint64(f.now.Sub(began).Milliseconds()) + 1000, Worker: "w", Service: "belfry", Ready: true, Taken: true,
		CpuMilli: full, MemoryMb: 32768, FreeCpuMilli: int32(free), FreeMemoryMb: 32768, PacePercent: 100, Labels: []string{"a"},
	}
}

func (f *fixture) state(side string, free int) {
	state := f.workerState(free)
	state.OrdersSeen = f.seen[side]
	f.broker.State(f.now, side, state)
}

func (f *fixture) settle() {
	f.broker.Place(f.now)
	for _, a := range f.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Answer:
			if o, again := f.answers[a.Waiter]; again {
				f.t.Errorf("waiter %d is answered twice: %v, %v", a.Waiter, o, a.Outcome)
			}
			f.answers[a.Waiter] = a.Outcome
		case yuccabroker.Send:
			if m := a.Message.GetOrders(); m != nil {
				f.orders[a.Side] = append(f.orders[a.Side], m)
				f.seen[a.Side] = m.GetNumber()
			}
			if m := a.Message.GetWithdraw(); m != nil {
				f.stops[a.Side] = append(f.stops[a.Side], m.GetRuns()...)
			}
			if a.Message.GetBeat() != nil {
				f.beats[a.Side]++
			}
		}
	}
}

func (f *fixture) pass(d time.Duration, alive ...string) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, s := range alive {
			f.state(s, full)
		}
		f.broker.Tick(f.now)
		f.settle()
	}
}

func job(id string, count int) yuccabroker.Job {
	return yuccabroker.Job{
		ID: id, Deadline: began.Add(3 * time.Second), Payload: []byte("p"),
		Queue: yuccabroker.Queue{Name: "q", Service: "belfry", Priority: 1, MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
		Steps: []yuccabroker.Step{{Count: count, CPUMilli: 1600, MemoryMB: 64, Estimate: 200 * time.Millisecond}},
	}
}

func (f *fixture) submit(j yuccabroker.Job, waiter uint64) {
	f.broker.Submit(f.now, j, waiter)
	f.settle()
}

// sent lists the runs that were ordered and the side of each.
func (f *fixture) sent() map[string]string {
	runs := make(map[string]string)
	for side, list := range f.orders {
		for _, m := range list {
			for _, j := range m.GetJobs() {
				for _, t := range j.GetTasks() {
					runs[fmt.Sprintf("%s/%d", t.GetTask(), t.GetRun())] = side
				}
			}
		}
	}
	return runs
}

func (f *fixture) end(side, task string, run uint64, end yuccawire.RunEnd, refusal yuccawire.RunRefusal) {
	state := f.workerState(full)
	state.OrdersSeen = f.seen[side]
	f.broker.Ends(f.now, side, &yuccawire.Ends{
		State: state, Ends: []*yuccawire.Ended{{Run: &yuccawire.RunKey{Task: task, Run: run}, End: end, Refusal: refusal}},
	})
	f.settle()
}

func (f *fixture) want(waiter uint64, state yuccabroker.State) {
	f.t.Helper()
	o, ok := f.answers[waiter]
	if !ok || o.State != state {
		f.t.Errorf("waiter %d has %v (answered %v), want %v", waiter, o, ok, state)
	}
}

const (
	done    = yuccawire.RunEnd_RUN_END_DONE
	failed  = yuccawire.RunEnd_RUN_END_FAILED
	refused = yuccawire.RunEnd_RUN_END_REFUSED
)

func TestJobCompletes(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 3), 1)
	if len(f.sent()) != 3 {
		t.Fatalf("sent %v, want three runs", f.sent())
	}
	for i := range 3 {
		f.end(f.sent()[fmt.Sprintf("a.0.0.%d/1", i)], fmt.Sprintf("a.0.0.%d", i), 1, done, 0)
	}
	f.want(1, yuccabroker.Completed)
}

func TestStepsWaitForOthers(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Steps = append(j.Steps, yuccabroker.Step{Count: 2, CPUMilli: 100, Estimate: 50 * time.Millisecond, After: []int{0}})
	f.submit(j, 1)
	if len(f.sent()) != 1 {
		t.Fatalf("sent %v before the first step is done", f.sent())
	}
	f.end("s1", "a.0.0.0", 1, done, 0)
	if len(f.sent()) != 3 {
		t.Errorf("sent %v, want the second step too", f.sent())
	}
}

// A task that fails is tried again elsewhere, up to the limit.
func TestAttempts(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	first := f.sent()["a.0.0.0/1"]
	f.end(first, "a.0.0.0", 1, failed, 0)
	second := f.sent()["a.0.0.0/2"]
	if second == first || second == "" {
		t.Errorf("tried again at %q after %q", second, first)
	}
	f.end(second, "a.0.0.0", 2, failed, 0)
	f.want(1, yuccabroker.Failed)
}

// A silent side's runs are placed again only when its leases have surely run
// out.
func TestSilentSide(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.LinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1})
	least := yuccaworker.OwnerLease + yuccaworker.Hold
	f.pass(least, "s2")
	if len(f.sent()) != 1 {
		t.Fatalf("placed again %v after the last word, the leases hold for %v", f.now.Sub(began), least)
	}
	f.pass(400*time.Millisecond, "s2")
	if f.sent()["a.0.0.0/2"] != "s2" {
		t.Errorf("sent %v, want the task at the other side", f.sent())
	}
}

// A side that has started again names none of its predecessor's runs. They are
// over only when it has taken its worker over.
func TestSideStartsAgain(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.LinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 2})
	state := f.workerState(full)
	state.Taken, state.Ready = false, false
	f.broker.Ends(f.now, "s1", &yuccawire.Ends{Full: true, State: state})
	f.settle()
	if len(f.sent()) != 1 {
		t.Fatal("placed again before the worker was taken over")
	}
	f.state("s1", full)
	f.settle()
	if f.sent()["a.0.0.0/2"] != "s1" {
		t.Errorf("sent %v, want the second run", f.sent())
	}
	f.pass(3*time.Second, "s1")
	f.want(1, yuccabroker.GivenUp)
}

// Orders that a link lost never arrived, and the task is placed again at once.
func TestOrdersLostWithLink(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 2), 1)
	f.broker.LinkDown(f.now, "s1")
	f.broker.LinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1})
	f.broker.Ends(f.now, "s1", &yuccawire.Ends{
		Full: true, State: f.workerState(full), Present: []*yuccawire.RunKey{{Task: "a.0.0.0", Run: 1}},
	})
	f.settle()
	if f.sent()["a.0.0.1/2"] == "" || f.sent()["a.0.0.0/2"] != "" {
		t.Errorf("sent %v, want only the second task again", f.sent())
	}
}

// A refusal that says not run is true: a job is rejected only if no run of it
// may have started.
func TestRejectedOnlyIfNotRun(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.submit(job("b", 1), 2)
	f.end("s1", "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	f.state("s1", 0)
	for range 160 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.state("s1", -full)
		f.broker.Tick(f.now)
		f.settle()
	}
	f.want(1, yuccabroker.Rejected)
	f.want(2, yuccabroker.GivenUp)
	if len(f.stops["s1"]) == 0 {
		t.Error("the run of the second job was not withdrawn")
	}
}

// The caller that leaves takes its job along.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 2), 1)
	f.broker.Left(f.now, "a", 1)
	f.settle()
	if len(f.stops["s1"]) != 2 {
		t.Errorf("withdrew %v, want both runs", f.stops["s1"])
	}
	// The same job comes again: its runs get higher numbers.
	f.submit(job("a", 2), 2)
	if f.sent()["a.0.0.0/2"] == "" {
		t.Errorf("sent %v, want second runs", f.sent())
	}
}

func TestResend(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.submit(job("a", 1), 2)
	if len(f.sent()) != 1 {
		t.Errorf("sent %v, want one run for both", f.sent())
	}
	f.end("s1", "a.0.0.0", 1, done, 0)
	f.want(1, yuccabroker.Completed)
	f.want(2, yuccabroker.Completed)
	f.submit(job("a", 1), 3)
	f.want(3, yuccabroker.Completed)
	if len(f.sent()) != 1 {
		t.Error("a late resend ran the job again")
	}
}

// A data centre that is out gets nothing.
func TestDataCentreOut(t *testing.T) {
	f := newFixture(t, "s1")
	f.broker.SetOut([]string{"puno"})
	f.submit(job("a", 1), 1)
	if len(f.sent()) != 0 {
		t.Errorf("sent %v to a data centre that is out", f.sent())
	}
	f.broker.SetOut(nil)
	f.settle()
	if len(f.sent()) != 1 {
		t.Error("nothing is sent after the data centre is back")
	}
}

// A side that wasn't heard lately gets no orders.
func TestStaleSide(t *testing.T) {
	f := newFixture(t, "s1")
	f.now = f.now.Add(time.Second)
	f.submit(job("a", 1), 1)
	if len(f.sent()) != 0 {
		t.Errorf("sent %v on a stamp a second old", f.sent())
	}
}

func TestLabelAndSpread(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 4)
	j.Steps[0].Spread = 1
	f.submit(j, 1)
	if got := f.sent(); len(got) != 2 || got["a.0.0.0/1"] == got["a.0.0.1/1"] {
		t.Errorf("sent %v, want one task at each side", got)
	}
	j = job("b", 1)
	j.Steps[0].Label = "z"
	f.submit(j, 2)
	f.want(2, yuccabroker.Failed)
}

// Urgent tasks go first, and are not kept out by what waits at a side.
func TestUrgentFirst(t *testing.T) {
	f := newFixture(t, "s1")
	busy := f.workerState(0)
	busy.QueuedCpuMilli = []int32{0, 4000, 0}
	f.broker.State(f.now, "s1", busy)
	f.submit(job("plain", 1), 1)
	urgent := job("urgent", 1)
	urgent.Queue.Priority = 0
	f.submit(urgent, 2)
	if got := f.sent(); len(got) != 1 || got["urgent.0.0.0/1"] == "" {
		t.Errorf("sent %v, want the urgent task only", got)
	}
}

// Before an entry stops it answers everything, and takes nothing that can't end.
func TestStopAt(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.StopAt(f.now, f.now.Add(500*time.Millisecond))
	f.pass(200*time.Millisecond, "s1")
	f.submit(job("b", 1), 2)
	f.want(2, yuccabroker.Rejected)
	f.pass(400*time.Millisecond, "s1")
	f.want(1, yuccabroker.GivenUp)
	if f.broker.Jobs() != 0 {
		t.Errorf("%d jobs are open", f.broker.Jobs())
	}
}

// After a suspension nothing of the jobs that were known starts any more.
func TestSuspended(t *testing.T) {
	f := newFixture(t, "s1")
	f.state("s1", -full)
	f.submit(job("a", 1), 1)
	f.broker.Suspended(f.now, 3*time.Second)
	f.settle()
	f.want(1, yuccabroker.Rejected)
	f.state("s1", full)
	f.settle()
	if len(f.sent()) != 0 {
		t.Errorf("sent %v after the suspension", f.sent())
	}
}

func TestNoWorker(t *testing.T) {
	f := newFixture(t)
	f.submit(job("a", 1), 1)
	f.want(1, yuccabroker.Rejected)
	if f.answers[1].RetryAfter <= 0 {
		t.Error("the refusal does not say when to come back")
	}
}

// A side that is gone for long is forgotten, and with it the size of its worker.
func TestForgetsSides(t *testing.T) {
	f := newFixture(t, "s1")
	f.broker.LinkDown(f.now, "s1")
	f.pass(61 * time.Second)
	j := job("a", 1)
	j.Deadline = f.now.Add(2 * time.Second)
	f.submit(j, 1)
	f.want(1, yuccabroker.Rejected)
	f.broker.LinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 2})
	f.state("s1", full)
	f.submit(j, 2)
	if f.sent()["a.0.0.0/1"] != "s1" {
		t.Errorf("sent %v, want the task at the side that is back", f.sent())
	}
}

// ended speaks for a side about one run that has taken some time.
func (f *fixture) ended(side, task string, run uint64, end yuccawire.RunEnd, ran time.Duration) {
	state := f.workerState(full)
	state.OrdersSeen = f.seen[side]
	f.broker.Ends(f.now, side, &yuccawire.Ends{State: state, Ends: []*yuccawire.Ended{{
		Run: &yuccawire.RunKey{Task: task, Run: run}, End: end, RanMs: uint32(ran.Milliseconds()),
	}}})
	f.settle()
}

// A run that takes far longer than others of its step is withdrawn, and runs
// elsewhere once it has provably ended; a second time it is let run.
func TestStraggler(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	first := f.sent()
	slow := first["j.0.0.0/1"]
	f.pass(120*time.Millisecond, "s1", "s2")
	f.ended(first["j.0.0.1/1"], "j.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 120*time.Millisecond)
	f.pass(280*time.Millisecond, "s1", "s2")
	if len(f.stops) > 0 {
		t.Fatalf("withdrawn after %v: %v", f.now.Sub(began), f.stops)
	}
	f.pass(60*time.Millisecond, "s1", "s2")
	if runs := f.stops[slow]; len(runs) != 1 || runs[0].GetTask() != "j.0.0.0" {
		t.Fatalf("after %v withdrawn: %v, want j.0.0.0 at %s", f.now.Sub(began), f.stops, slow)
	}
	if _, again := f.sent()["j.0.0.0/2"]; again {
		t.Fatal("it runs again before its end is known")
	}
	f.ended(slow, "j.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 450*time.Millisecond)
	if side := f.sent()["j.0.0.0/2"]; side == "" || side == slow {
		t.Fatalf("its next run is at %q, want the other side than %s", side, slow)
	}
	f.pass(900*time.Millisecond, "s1", "s2")
	if len(f.stops[slow])+len(f.stops[f.sent()["j.0.0.0/2"]]) != 1 {
		t.Errorf("it was moved twice: %v", f.stops)
	}
}

// Tasks that all take long are no stragglers, and none is moved where no other
// worker has room.
func TestNoStraggler(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	f.pass(1200*time.Millisecond, "s1", "s2")
	if len(f.stops) > 0 {
		t.Errorf("tasks of a long job are withdrawn: %v", f.stops)
	}
	f = newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	first := f.sent()
	slow := first["j.0.0.0/1"]
	f.ended(first["j.0.0.1/1"], "j.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 100*time.Millisecond)
	for range 30 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, s := range []string{"s1", "s2"} {
			free := 0
			if s == slow {
				free = full
			}
			f.state(s, free)
		}
		f.broker.Tick(f.now)
		f.settle()
	}
	if len(f.stops) > 0 {
		t.Errorf("withdrawn with no room elsewhere: %v", f.stops)
	}
}

// A worker that is slow gets a task only where no other has room.
func TestSlowWorkerIsLast(t *testing.T) {
	f := newFixture(t, "s1", "s2", "s3")
	state := f.workerState(full)
	state.PacePercent = 450
	f.broker.State(f.now, "s2", state)
	f.broker.Tick(f.now)
	for i := range 9 {
		f.submit(job(fmt.Sprint("j", i), 2), uint64(i+1))
	}
	for run, side := range f.sent() {
		if side == "s2" {
			t.Errorf("%s went to the slow worker", run)
		}
	}
}

// noRoom is the room of a worker at whose side nothing may wait either.
const noRoom = -full

// A job of which nothing could be sent out is refused, as not run, once it can't
// be answered while that is worth something; its caller doesn't wait in vain.
func TestRefusedInVain(t *testing.T) {
	f := newFixture(t, "s1")
	f.state("s1", noRoom)
	f.submit(job("j", 2), 1)
	objective := 380 * time.Millisecond
	for f.now.Sub(began) < 3*objective-200*time.Millisecond-20*time.Millisecond {
		if len(f.answers) > 0 {
			t.Fatalf("answered %v after %v", f.answers[1], f.now.Sub(began))
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.state("s1", noRoom)
		f.broker.Tick(f.now)
		f.settle()
	}
	f.now = f.now.Add(40 * time.Millisecond)
	f.state("s1", noRoom)
	f.broker.Tick(f.now)
	f.settle()
	if o, answered := f.answers[1]; !answered || o.State != yuccabroker.Rejected || o.RetryAfter <= 0 {
		t.Errorf("after %v answered %v %v, want rejected with a time to come back", f.now.Sub(began), answered, o)
	}
}

// A task goes to the rack of its data while there is room, and then elsewhere.
func TestNearRack(t *testing.T) {
	f := newFixture(t, "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	near := f.workerState(full)
	near.Labels = []string{"a", "r2-1"}
	f.broker.State(f.now, "s6", near)
	j := job("j", 8)
	j.Steps[0].NearRack = "r2-1"
	f.submit(j, 1)
	at := make(map[string]int)
	for _, side := range f.sent() {
		at[side]++
	}
	if at["s6"] < 6 {
		t.Errorf("of 8 tasks %d are near their data: %v", at["s6"], at)
	}
	j = job("k", 12)
	j.Steps[0].NearRack = "r2-1"
	f.submit(j, 2)
	if sent := len(f.sent()); sent != 20 {
		t.Errorf("%d tasks are sent, want all 20", sent)
	}
}
