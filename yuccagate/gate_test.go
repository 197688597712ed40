package yuccagate_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccagate"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var (
	startTime   = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)
	jobDeadline = startTime.Add(time.Minute)
)

func newGate() *yuccagate.Gate {
	g := yuccagate.New(yuccagate.Options{Incarnation: 7, DataCentre: "cusco", Retention: time.Minute})
	g.SetLease(yuccalease.Lease{}.Extend(startTime, 3*time.Second))
	g.SetTarget("regulation", 2, false)
	return g
}

func key(task string, attempt uint32) *yuccawire.TaskKey {
	return &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Task: task, Attempt: attempt}
}

func newStart(task string, attempt uint32) *yuccawire.Start {
	return &yuccawire.Start{
		Key: key(task, attempt), Owner: "entry-1", OwnerIncarnation: 5, SideIncarnation: 7, Service: "regulation",
	}
}

func drainedView(t *testing.T, version uint64, drained ...string) *yuccadocument.View {
	t.Helper()
	view, err := yuccadocument.NewView().With(&yuccawire.Section{
		Name: yuccadocument.SectionDrainedDataCentres, Version: version, Body: yuccadocument.EncodeDrained(drained),
	})
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func TestRefusalIsPermanent(t *testing.T) {
	for _, c := range []struct {
		reason  yuccawire.Refusal
		prepare func(g *yuccagate.Gate, s *yuccawire.Start)
	}{
		{yuccawire.Refusal_REFUSAL_NO_LEASE, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.SetLease(yuccalease.Lease{}) }},
		{yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.SetView(drainedView(t, 1, "cusco")) }},
		{yuccawire.Refusal_REFUSAL_STALE_CONFIGURATION, func(_ *yuccagate.Gate, s *yuccawire.Start) { s.DataCentresVersion = 9 }},
		{yuccawire.Refusal_REFUSAL_FENCED, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.Fence("entry-1", 5) }},
		{yuccawire.Refusal_REFUSAL_LEAVING, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.SetTarget("regulation", 2, true) }},
		{yuccawire.Refusal_REFUSAL_NO_SLOT, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.SetTarget("regulation", 0, false) }},
		{yuccawire.Refusal_REFUSAL_SEEN_BEFORE, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.Start(startTime, jobDeadline, newStart("t", 1)) }},
		{yuccawire.Refusal_REFUSAL_PAST_DEADLINE, nil},
		{yuccawire.Refusal_REFUSAL_OTHER_INCARNATION, func(_ *yuccagate.Gate, s *yuccawire.Start) { s.SideIncarnation = 6 }},
		{yuccawire.Refusal_REFUSAL_NO_TARGET, func(g *yuccagate.Gate, _ *yuccawire.Start) { g.RemoveTarget("regulation") }},
		{yuccawire.Refusal_REFUSAL_CANCELLED, func(g *yuccagate.Gate, s *yuccawire.Start) { g.Cancel(startTime, s.GetKey().GetJob()) }},
		{yuccawire.Refusal_REFUSAL_NEVER_ARRIVED, func(g *yuccagate.Gate, s *yuccawire.Start) { g.Query(startTime, s.GetKey()) }},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			g, s, deadline := newGate(), newStart("t", 2), jobDeadline
			if c.prepare != nil {
				c.prepare(g, s)
			} else {
				deadline = startTime
			}
			if d := g.Start(startTime, deadline, s); d.Refusal() != c.reason {
				t.Fatalf("refusal is %s, expected %s", d.Refusal(), c.reason)
			}
			lifted := liftRefusals(g)
			if d := lifted.Start(startTime, jobDeadline, s); d.Admitted() {
				t.Errorf("the refused start was admitted later")
			}
		})
	}
}

// liftRefusals resets the lease, the configuration and the target of the gate, so
// that it would admit a start that was not recorded as refused.
func liftRefusals(g *yuccagate.Gate) *yuccagate.Gate {
	g.SetLease(yuccalease.Lease{}.Extend(startTime, 3*time.Second))
	g.SetView(yuccadocument.NewView())
	g.SetTarget("regulation", 100, false)
	return g
}

func TestDuplicateStartReturnsSameResult(t *testing.T) {
	g := newGate()
	if !g.Start(startTime, jobDeadline, newStart("t", 1)).Admitted() {
		t.Fatal("first start was not admitted")
	}
	if d := g.Start(startTime, jobDeadline, newStart("t", 1)); !d.Duplicate() || d.Result() != nil {
		t.Errorf("repeated start of a running attempt: %+v", d)
	}
	g.Finish(&yuccawire.Finished{Key: key("t", 1), State: yuccawire.TaskState_TASK_FINISHED, Status: 200})
	if d := g.Start(startTime, jobDeadline, newStart("t", 1)); !d.Duplicate() || d.Result().GetStatus() != 200 {
		t.Errorf("repeated start of a finished attempt: %+v", d)
	}
}

func TestRepeatableTaskStartsAgain(t *testing.T) {
	g := newGate()
	g.Start(startTime, jobDeadline, newStart("t", 1))
	g.Finish(&yuccawire.Finished{Key: key("t", 1), State: yuccawire.TaskState_TASK_UNKNOWN})
	s := newStart("t", 2)
	s.Repeatable = true
	if !g.Start(startTime, jobDeadline, s).Admitted() {
		t.Error("the second attempt was not admitted")
	}
}

func TestRetainedResultsAreBounded(t *testing.T) {
	g := yuccagate.New(yuccagate.Options{Incarnation: 7, DataCentre: "cusco", MaxResultBytes: 100})
	g.SetLease(yuccalease.Lease{}.Extend(startTime, 3*time.Second))
	g.SetTarget("regulation", 100, false)
	for _, task := range []string{"a", "b", "c"} {
		g.Start(startTime, jobDeadline, newStart(task, 1))
		g.Finish(&yuccawire.Finished{Key: key(task, 1), State: yuccawire.TaskState_TASK_FINISHED, Body: make([]byte, 40)})
	}
	if g.RetainedBytes() > 100 {
		t.Errorf("%d bytes are retained, expected 100 at most", g.RetainedBytes())
	}
	gathered := g.Gather(key("", 0).GetJob())
	states := make(map[string]yuccawire.TaskState)
	for _, f := range gathered.GetFinished() {
		states[f.GetKey().GetTask()] = f.GetState()
	}
	if states["a"] != yuccawire.TaskState_TASK_UNKNOWN || states["c"] != yuccawire.TaskState_TASK_FINISHED {
		t.Errorf("gathered states are %v", states)
	}
}

func TestRecordsExpireAfterRetention(t *testing.T) {
	g := newGate()
	g.SetTarget("regulation", 0, false)
	g.Start(startTime, jobDeadline, newStart("t", 1))
	g.Sweep(jobDeadline.Add(59 * time.Second))
	if g.RecordCount() != 1 {
		t.Error("the record was removed before its retention expired")
	}
	g.Sweep(jobDeadline.Add(time.Minute))
	if g.RecordCount() != 0 {
		t.Error("the record was not removed after its retention expired")
	}
}

// For any sequence of starts, completions and queries, each task that is not
// repeatable starts at most once, and no more tasks run than there are slots.
func TestTaskStartsAtMostOnce(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 300, MaxSize: 80, Workers: 1, Rng: seededRandom()})
	properties.Property("starts at most once", prop.ForAll(func(steps []uint8) bool {
		g := newGate()
		starts := make(map[string]int)
		for _, step := range steps {
			task, attempt := string('a'+rune(step%3)), uint32(step/3%4)+1
			switch step / 12 % 5 {
			case 0, 1, 2:
				if g.Start(startTime, jobDeadline, newStart(task, attempt)).Admitted() {
					starts[task]++
				}
			case 3:
				g.Finish(&yuccawire.Finished{Key: key(task, attempt), State: yuccawire.TaskState_TASK_FINISHED})
			case 4:
				g.Query(startTime, key(task, attempt))
			}
			if starts[task] > 1 || g.RunningCount() > 2 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

// A gate without a Retention option must still retain its records, or delayed
// starts of cancelled or queried attempts would be admitted.
func TestDefaultRetention(t *testing.T) {
	g := yuccagate.New(yuccagate.Options{Incarnation: 7, DataCentre: "cusco"})
	g.SetTarget("regulation", 2, false)
	g.Cancel(startTime, key("t", 1).GetJob())
	g.Query(startTime, key("u", 1))
	g.Sweep(startTime.Add(4 * time.Minute))
	late := startTime.Add(4 * time.Minute)
	g.SetLease(yuccalease.Lease{}.Extend(late, 3*time.Second))
	for _, task := range []string{"t", "u"} {
		if d := g.Start(late, late.Add(time.Minute), newStart(task, 1)); d.Admitted() {
			t.Errorf("task %s was admitted four minutes later", task)
		}
	}
}
