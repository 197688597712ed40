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
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

const fullCPU = 16000

// fixture is a broker with simulated sides. It records the actions of the broker.
type fixture struct {
	t          *testing.T
	now        time.Time
	broker     *yuccabroker.Broker
	sides      []string
	orders     map[string][]*yuccawire.Orders
	withdrawn  map[string][]*yuccawire.RunKey
	heartbeats map[string]int
	answers    map[uint64]yuccabroker.Outcome
	lastOrder  map[string]uint64
	// published are the lists of held tasks for the other entries.
	published []*yuccawire.HeldTasks
	// ended is the last list of ended jobs for them.
	ended *yuccawire.EndedJobs
}

func newFixture(t *testing.T, sides ...string) *fixture {
	return newScheduledFixture(t, yuccabroker.DefaultScheduling(), sides...)
}

func newScheduledFixture(t *testing.T, scheduling yuccabroker.Scheduling, sides ...string) *fixture {
	f := newFixtureWith(t, func(o *yuccabroker.Options) { o.Scheduling = scheduling })
	f.sides = sides
	for _, s := range sides {
		f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: s, Incarnation: 1, DataCentre: "puno"})
		f.report(s, fullCPU)
	}
	return f
}

// newFixtureWith returns a fixture without sides, with changed options.
func newFixtureWith(t *testing.T, change ...func(*yuccabroker.Options)) *fixture {
	f := &fixture{
		t: t, now: startTime, orders: make(map[string][]*yuccawire.Orders), withdrawn: make(map[string][]*yuccawire.RunKey),
		heartbeats: make(map[string]int), answers: make(map[uint64]yuccabroker.Outcome), lastOrder: make(map[string]uint64),
	}
	options := yuccabroker.Options{
		Name: "entry", Incarnation: 1, DataCentre: "puno", Scheduling: yuccabroker.DefaultScheduling(), Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.DiscardHandler),
	}
	for _, c := range change {
		c(&options)
	}
	f.broker = yuccabroker.New(options)
	return f
}

func (f *fixture) workerState(free int) *yuccawire.WorkerState {
	return &yuccawire.WorkerState{
		ClockMs: uint64(f.now.Sub(startTime).Milliseconds()) + 1000, Worker: "w", Service: "belfry", Ready: true, Taken: true,
		CpuMilli: fullCPU, MemoryMb: 32768, FreeCpuMilli: int32(free), FreeMemoryMb: 32768, PacePercent: 100, Labels: []string{"a"},
	}
}

func (f *fixture) report(side string, free int) {
	state := f.workerState(free)
	state.OrdersSeen = f.lastOrder[side]
	f.broker.HandleWorkerState(f.now, side, state)
}

func (f *fixture) flush() {
	f.broker.Place(f.now)
	for _, a := range f.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Answer:
			if o, answered := f.answers[a.Waiter]; answered {
				f.t.Errorf("waiter %d was answered twice: %v, %v", a.Waiter, o, a.Outcome)
			}
			f.answers[a.Waiter] = a.Outcome
		case yuccabroker.Send:
			if m := a.Message.GetOrders(); m != nil {
				f.orders[a.Side] = append(f.orders[a.Side], m)
				f.lastOrder[a.Side] = m.GetNumber()
			}
			if m := a.Message.GetWithdraw(); m != nil {
				f.withdrawn[a.Side] = append(f.withdrawn[a.Side], m.GetRuns()...)
			}
			if a.Message.GetBeat() != nil {
				f.heartbeats[a.Side]++
			}
		case yuccabroker.Publish:
			if m := a.Message.GetHeldTasks(); m != nil {
				f.published = append(f.published, m)
			}
			if m := a.Message.GetEndedJobs(); m != nil {
				f.ended = m
			}
		}
	}
}

func (f *fixture) advance(d time.Duration, reporting ...string) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, s := range reporting {
			f.report(s, fullCPU)
		}
		f.broker.Tick(f.now)
		f.flush()
	}
}

func job(id string, count int) yuccabroker.Job {
	return yuccabroker.Job{
		ID: id, Deadline: startTime.Add(3 * time.Second), Payload: []byte("p"),
		Queue: yuccabroker.Queue{Name: "q", Service: "belfry", Priority: 1, MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
		Steps: []yuccabroker.Step{{Count: count, CPUMilli: 1600, MemoryMB: 64, Estimate: 200 * time.Millisecond}},
	}
}

func (f *fixture) submit(j yuccabroker.Job, waiter uint64) {
	f.broker.Submit(f.now, j, waiter)
	f.flush()
}

// sentRuns returns the side of each run that was ordered, by task and run number.
func (f *fixture) sentRuns() map[string]string {
	runs := make(map[string]string)
	for side, orders := range f.orders {
		for _, m := range orders {
			for _, j := range m.GetJobs() {
				for _, t := range j.GetTasks() {
					runs[fmt.Sprintf("%s/%d", t.GetTask(), t.GetRun())] = side
				}
			}
		}
	}
	return runs
}

func (f *fixture) endRun(side, task string, run uint64, end yuccawire.RunEnd, refusal yuccawire.RunRefusal) {
	state := f.workerState(fullCPU)
	state.OrdersSeen = f.lastOrder[side]
	f.broker.HandleEnds(f.now, side, &yuccawire.Ends{
		State: state, Ends: []*yuccawire.Ended{{Run: &yuccawire.RunKey{Task: task, Run: run}, End: end, Refusal: refusal}},
	})
	f.flush()
}

func (f *fixture) wantState(waiter uint64, state yuccabroker.State) {
	f.t.Helper()
	o, ok := f.answers[waiter]
	if !ok || o.State != state {
		f.t.Errorf("waiter %d got %v (answered: %v), want %v", waiter, o, ok, state)
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
	if len(f.sentRuns()) != 3 {
		t.Fatalf("sent %v, want three runs", f.sentRuns())
	}
	for i := range 3 {
		f.endRun(f.sentRuns()[fmt.Sprintf("a.0.0.%d/1", i)], fmt.Sprintf("a.0.0.%d", i), 1, done, 0)
	}
	f.wantState(1, yuccabroker.Completed)
}

func TestStepDependencies(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Steps = append(j.Steps, yuccabroker.Step{Count: 2, CPUMilli: 100, Estimate: 50 * time.Millisecond, After: []int{0}})
	f.submit(j, 1)
	if len(f.sentRuns()) != 1 {
		t.Fatalf("sent %v before the first step is done", f.sentRuns())
	}
	f.endRun("s1", "a.0.0.0", 1, done, 0)
	if len(f.sentRuns()) != 3 {
		t.Errorf("sent %v, want the runs of the second step too", f.sentRuns())
	}
}

// A failed task is retried at another side until its queue's limit is reached.
func TestRetries(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	first := f.sentRuns()["a.0.0.0/1"]
	f.endRun(first, "a.0.0.0", 1, failed, 0)
	second := f.sentRuns()["a.0.0.0/2"]
	if second == first || second == "" {
		t.Errorf("retried at %q after a failure at %q, want another side", second, first)
	}
	f.endRun(second, "a.0.0.0", 2, failed, 0)
	f.wantState(1, yuccabroker.Failed)
}

// The leases at s1 have expired long ago, its machine may stand still.
func TestRunOfASilentSideIsNotPlacedAgainBeforeItsEnd(t *testing.T) {
	stopped := func(f *fixture) { f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0) }
	for name, test := range map[string]struct {
		happens func(f *fixture)
		placed  bool
	}{
		"nothing":                        {func(*fixture) {}, false},
		"its side answers":               {func(f *fixture) { f.report("s1", fullCPU) }, false},
		"its side lists it":              {func(f *fixture) { f.relink("s1", f.sideClock(), firstRun) }, false},
		"its side reports the end":       {stopped, true},
		"its side restarts":              {func(f *fixture) { f.restartSideWithoutWorker("s1") }, false},
		"its side takes the worker over": {func(f *fixture) { f.restartSide("s1") }, true},
		"… after a while":                {func(f *fixture) { f.restartSideWithoutWorker("s1"); f.advance(time.Second, "s2"); f.report("s1", 0) }, true},
		"its link is closed":             {func(f *fixture) { f.broker.HandleLinkDown(f.now, "s1") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			j := job("a", 1)
			j.Deadline = startTime.Add(8 * time.Second)
			f.submit(j, 1)
			f.report("s1", fullCPU)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1})
			f.advance(4*time.Second, "s2")
			if len(f.sentRuns()) != 1 {
				t.Fatalf("sent %v while the side is silent, want the first run only", f.sentRuns())
			}
			test.happens(f)
			f.advance(40*time.Millisecond, "s2")
			if isPlaced := f.sentRuns()["a.0.0.0/2"] != ""; isPlaced != test.placed {
				t.Errorf("sent %v, want a second run: %v", f.sentRuns(), test.placed)
			}
		})
	}
}

// A restarted side reports none of its predecessor's runs. They count as lost only
// once it has taken over the worker.
func TestSideRestart(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.report("s1", fullCPU)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 2})
	state := f.workerState(fullCPU)
	state.Taken, state.Ready = false, false
	f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Full: true, State: state})
	f.flush()
	if len(f.sentRuns()) != 1 {
		t.Fatal("placed again before the worker was taken over")
	}
	f.report("s1", fullCPU)
	f.flush()
	if f.sentRuns()["a.0.0.0/2"] != "s1" {
		t.Errorf("sent %v, want the second run", f.sentRuns())
	}
	f.advance(3*time.Second, "s1")
	f.wantState(1, yuccabroker.Abandoned)
}

// Orders lost with a link are missing from the side's list on the next link, and
// their tasks are placed again at once.
func TestOrdersLostWithLink(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 2), 1)
	f.broker.HandleLinkDown(f.now, "s1")
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1})
	f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{
		Full: true, State: f.workerState(fullCPU), Present: []*yuccawire.RunKey{{Task: "a.0.0.0", Run: 1}},
	})
	f.flush()
	if f.sentRuns()["a.0.0.1/2"] == "" || f.sentRuns()["a.0.0.0/2"] != "" {
		t.Errorf("sent %v, want a second run of a.0.0.1 only", f.sentRuns())
	}
}

// Rejected means that the job has not run: a job is rejected only if none of its
// runs may have started.
func TestRejectedOnlyIfNotRun(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.submit(job("b", 1), 2)
	f.endRun("s1", "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
	f.report("s1", 0)
	for range 160 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.report("s1", -fullCPU)
		f.broker.Tick(f.now)
		f.flush()
	}
	f.wantState(1, yuccabroker.Rejected)
	f.wantState(2, yuccabroker.Abandoned)
	if len(f.withdrawn["s1"]) == 0 {
		t.Error("the run of the second job was not withdrawn")
	}
}

// A job whose only caller leaves is cancelled, and its runs are withdrawn.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 2), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.flush()
	if len(f.withdrawn["s1"]) != 2 {
		t.Errorf("withdrew %v, want both runs", f.withdrawn["s1"])
	}
	// When the job is submitted again, its runs get higher numbers, and wait for the earlier ones.
	f.submit(job("a", 2), 2)
	if len(f.sentRuns()) != 2 {
		t.Errorf("sent %v while the withdrawn runs may be alive", f.sentRuns())
	}
	f.endRun("s1", "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	if f.sentRuns()["a.0.0.0/2"] == "" {
		t.Errorf("sent %v, want runs with number 2", f.sentRuns())
	}
}

func TestResend(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.submit(job("a", 1), 2)
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run for both", f.sentRuns())
	}
	f.endRun("s1", "a.0.0.0", 1, done, 0)
	f.wantState(1, yuccabroker.Completed)
	f.wantState(2, yuccabroker.Completed)
	f.submit(job("a", 1), 3)
	f.wantState(3, yuccabroker.Completed)
	if len(f.sentRuns()) != 1 {
		t.Error("a late resend ran the job again")
	}
}

// A drained data centre gets no orders.
func TestDrainedDataCentre(t *testing.T) {
	f := newFixture(t, "s1")
	f.broker.SetDrained(1, []string{"puno"})
	f.submit(job("a", 1), 1)
	if len(f.sentRuns()) != 0 {
		t.Errorf("sent %v to a drained data centre", f.sentRuns())
	}
	f.broker.SetDrained(2, nil)
	f.flush()
	if len(f.sentRuns()) != 1 {
		t.Error("no run was sent after the data centre was enabled again")
	}
}

// A side whose last report is too old gets no orders.
func TestStaleReport(t *testing.T) {
	f := newFixture(t, "s1")
	f.now = f.now.Add(time.Second)
	f.submit(job("a", 1), 1)
	if len(f.sentRuns()) != 0 {
		t.Errorf("sent %v based on a report that is a second old", f.sentRuns())
	}
}

func TestLabelAndSpread(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 4)
	j.Steps[0].Spread = 1
	f.submit(j, 1)
	if got := f.sentRuns(); len(got) != 2 || got["a.0.0.0/1"] == got["a.0.0.1/1"] {
		t.Errorf("sent %v, want one task at each side", got)
	}
	j = job("b", 1)
	j.Steps[0].Label = "z"
	f.submit(j, 2)
	f.wantState(2, yuccabroker.Failed)
}

func TestOrderDoesNotNameTheLabel(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Steps[0].Label = "a"
	f.submit(j, 1)
	if order := f.orders["s1"][0].GetJobs()[0].GetTasks()[0]; order.GetLabel() != "a" {
		t.Errorf("the order is %v, want the label for the side to check", order)
	}
}

// Urgent tasks are placed first, regardless of less urgent ones queued at the side.
func TestUrgentFirst(t *testing.T) {
	f := newFixture(t, "s1")
	busy := f.workerState(0)
	busy.QueuedCpuMilli = []int32{0, 4000, 0}
	f.broker.HandleWorkerState(f.now, "s1", busy)
	f.submit(job("plain", 1), 1)
	urgent := job("urgent", 1)
	urgent.Queue.Priority = 0
	f.submit(urgent, 2)
	if got := f.sentRuns(); len(got) != 1 || got["urgent.0.0.0/1"] == "" {
		t.Errorf("sent %v, want the urgent task only", got)
	}
}

// A stopping entry answers all jobs before the stop, and rejects new ones that
// can't complete by then.
func TestStopAt(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.StopAt(f.now, f.now.Add(500*time.Millisecond))
	f.advance(200*time.Millisecond, "s1")
	f.submit(job("b", 1), 2)
	f.wantState(2, yuccabroker.Rejected)
	f.advance(400*time.Millisecond, "s1")
	f.wantState(1, yuccabroker.Abandoned)
	if f.broker.OpenJobs() != 0 {
		t.Errorf("%d jobs are open after the stop", f.broker.OpenJobs())
	}
}

// After a suspension, no task of an earlier job may start.
func TestSuspension(t *testing.T) {
	f := newFixture(t, "s1")
	f.report("s1", -fullCPU)
	f.submit(job("a", 1), 1)
	f.broker.HandleSuspension(f.now, 3*time.Second)
	f.flush()
	f.wantState(1, yuccabroker.Rejected)
	f.report("s1", fullCPU)
	f.flush()
	if len(f.sentRuns()) != 0 {
		t.Errorf("sent %v after the suspension", f.sentRuns())
	}
}

func TestNoWorker(t *testing.T) {
	f := newFixture(t)
	f.submit(job("a", 1), 1)
	f.wantState(1, yuccabroker.Rejected)
	if f.answers[1].RetryAfter <= 0 {
		t.Error("the rejection has no RetryAfter")
	}
}

// A side that stays unlinked is evicted, together with the size of its worker.
func TestSideEviction(t *testing.T) {
	f := newFixture(t, "s1")
	f.broker.HandleLinkDown(f.now, "s1")
	f.advance(61 * time.Second)
	j := job("a", 1)
	j.Deadline = f.now.Add(2 * time.Second)
	f.submit(j, 1)
	f.wantState(1, yuccabroker.Rejected)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 2})
	f.report("s1", fullCPU)
	f.submit(j, 2)
	if f.sentRuns()["a.0.0.0/1"] != "s1" {
		t.Errorf("sent %v, want the task at the relinked side", f.sentRuns())
	}
}

// endRunAfter reports the end of a run with its run time.
func (f *fixture) endRunAfter(side, task string, run uint64, end yuccawire.RunEnd, ran time.Duration) {
	state := f.workerState(fullCPU)
	state.OrdersSeen = f.lastOrder[side]
	f.broker.HandleEnds(f.now, side, &yuccawire.Ends{State: state, Ends: []*yuccawire.Ended{{
		Run: &yuccawire.RunKey{Task: task, Run: run}, End: end, RanMs: uint32(ran.Milliseconds()),
	}}})
	f.flush()
}

// A run that takes much longer than others of its step is withdrawn, and its task
// is placed at another side once the run has provably ended. It is moved only once.
func TestStraggler(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	first := f.sentRuns()
	slow := first["j.0.0.0/1"]
	f.advance(120*time.Millisecond, "s1", "s2")
	f.endRunAfter(first["j.0.0.1/1"], "j.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 120*time.Millisecond)
	f.advance(280*time.Millisecond, "s1", "s2")
	if len(f.withdrawn) > 0 {
		t.Fatalf("withdrew runs after %v: %v", f.now.Sub(startTime), f.withdrawn)
	}
	f.advance(60*time.Millisecond, "s1", "s2")
	if runs := f.withdrawn[slow]; len(runs) != 1 || runs[0].GetTask() != "j.0.0.0" {
		t.Fatalf("after %v withdrew %v, want j.0.0.0 at %s", f.now.Sub(startTime), f.withdrawn, slow)
	}
	if _, again := f.sentRuns()["j.0.0.0/2"]; again {
		t.Fatal("the second run was sent before the end of the first is known")
	}
	f.endRunAfter(slow, "j.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 450*time.Millisecond)
	if side := f.sentRuns()["j.0.0.0/2"]; side == "" || side == slow {
		t.Fatalf("the second run is at %q, want another side than %s", side, slow)
	}
	f.advance(900*time.Millisecond, "s1", "s2")
	if len(f.withdrawn[slow])+len(f.withdrawn[f.sentRuns()["j.0.0.0/2"]]) != 1 {
		t.Errorf("the task was moved twice: %v", f.withdrawn)
	}
}

// Tasks of a step that are all slow are not stragglers, and a straggler is not
// moved if no other worker has capacity.
func TestNotStraggling(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	f.advance(1200*time.Millisecond, "s1", "s2")
	if len(f.withdrawn) > 0 {
		t.Errorf("withdrew runs of a job whose tasks are all slow: %v", f.withdrawn)
	}
	f = newFixture(t, "s1", "s2")
	f.submit(job("j", 2), 1)
	first := f.sentRuns()
	slow := first["j.0.0.0/1"]
	f.endRunAfter(first["j.0.0.1/1"], "j.0.0.1", 1, yuccawire.RunEnd_RUN_END_DONE, 100*time.Millisecond)
	for range 30 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, s := range []string{"s1", "s2"} {
			free := 0
			if s == slow {
				free = fullCPU
			}
			f.report(s, free)
		}
		f.broker.Tick(f.now)
		f.flush()
	}
	if len(f.withdrawn) > 0 {
		t.Errorf("withdrew runs without capacity elsewhere: %v", f.withdrawn)
	}
}

// A slow worker gets a task only if no other worker has capacity.
func TestSlowWorkerIsLast(t *testing.T) {
	f := newFixture(t, "s1", "s2", "s3")
	state := f.workerState(fullCPU)
	state.PacePercent = 450
	f.broker.HandleWorkerState(f.now, "s2", state)
	f.broker.Tick(f.now)
	for i := range 9 {
		f.submit(job(fmt.Sprint("j", i), 2), uint64(i+1))
	}
	for run, side := range f.sentRuns() {
		if side == "s2" {
			t.Errorf("%s was sent to the slow worker", run)
		}
	}
}

// noCapacity is the free CPU of a worker that is so overcommitted that no task may be
// queued at its side either.
const noCapacity = -fullCPU

// A job of which no task could be sent is rejected as soon as it can't be answered
// within three times its objective, long before its deadline.
func TestUnplacedJobIsRejected(t *testing.T) {
	f := newFixture(t, "s1")
	f.report("s1", noCapacity)
	f.submit(job("j", 2), 1)
	objective := 380 * time.Millisecond
	for f.now.Sub(startTime) < 3*objective-200*time.Millisecond-20*time.Millisecond {
		if len(f.answers) > 0 {
			t.Fatalf("answered %v after %v, too early", f.answers[1], f.now.Sub(startTime))
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.report("s1", noCapacity)
		f.broker.Tick(f.now)
		f.flush()
	}
	f.now = f.now.Add(40 * time.Millisecond)
	f.report("s1", noCapacity)
	f.broker.Tick(f.now)
	f.flush()
	if o, answered := f.answers[1]; !answered || o.State != yuccabroker.Rejected || o.RetryAfter <= 0 {
		t.Errorf("after %v answered: %v, %v, want rejected with RetryAfter", f.now.Sub(startTime), answered, o)
	}
}

// Tasks are placed in the rack of their data while it has capacity, then elsewhere.
func TestNearRack(t *testing.T) {
	f := newFixture(t, "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	near := f.workerState(fullCPU)
	near.Labels = []string{"a", "r2-1"}
	f.broker.HandleWorkerState(f.now, "s6", near)
	j := job("j", 8)
	j.Steps[0].NearRack = "r2-1"
	f.submit(j, 1)
	perSide := make(map[string]int)
	for _, side := range f.sentRuns() {
		perSide[side]++
	}
	if perSide["s6"] < 6 {
		t.Errorf("%d of 8 tasks are in the rack of their data: %v, want at least 6", perSide["s6"], perSide)
	}
	j = job("k", 12)
	j.Steps[0].NearRack = "r2-1"
	f.submit(j, 2)
	if sent := len(f.sentRuns()); sent != 20 {
		t.Errorf("sent %d tasks, want all 20", sent)
	}
}
