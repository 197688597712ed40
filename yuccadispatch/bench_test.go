package yuccadispatch_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	workers        = 1100
	slotsPerWorker = 8
)

// newDispatcher returns a dispatcher linked to all workers.
func newDispatcher(tb testing.TB, now time.Time) *yuccadispatch.Dispatcher {
	tb.Helper()
	view := yuccadocument.NewView()
	for _, s := range []struct{ name, body string }{
		{yuccadocument.SectionDataCentres, `{"cusco": {"region": "sierra"}}`},
		{yuccadocument.SectionServices, `{"regulation": {"objective": "work_done", "max_run": "10s"}}`},
		{yuccadocument.SectionLimits, `{"teams": {"parishes": {"max_queued": 1000000}}}`},
	} {
		next, err := view.With(&yuccawire.Section{Name: s.name, Version: 1, Body: []byte(s.body)})
		if err != nil {
			tb.Fatal(err)
		}
		view = next
	}
	d := yuccadispatch.New(yuccadispatch.Options{
		Self: &yuccawire.Node{Name: "entry-1", DataCentre: "cusco", Incarnation: 1}, View: view,
		Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
	})
	delta := &yuccawire.MembersDelta{Epoch: 1, Version: 1, Full: true}
	for i := range workers {
		delta.Changed = append(delta.Changed, &yuccawire.Member{
			Node:    &yuccawire.Node{Name: fmt.Sprintf("side-%d", i), Role: yuccawire.Role_ROLE_SIDE, DataCentre: "cusco", Incarnation: 1},
			Targets: []*yuccawire.Target{{Service: "regulation", Slots: slotsPerWorker, Connections: 64}},
		})
	}
	lease := yuccalease.Lease{}.Extend(now, time.Hour)
	d.HandleControlUpdate(now, yuccalease.Update{Lease: lease, View: view, Members: delta})
	for i := range workers {
		d.HandleLinkUp(now, fmt.Sprintf("side-%d", i))
	}
	d.Actions()
	return d
}

func submission(now time.Time, n, tasks int) yuccadispatch.Submission {
	s := yuccadispatch.Submission{
		Key: yuccadispatch.Key{Team: "parishes", ID: fmt.Sprint(n)}, Service: "regulation",
		Digest: []byte{1}, Deadline: now.Add(time.Minute), Unnamed: true,
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, yuccadispatch.TaskRequest{ID: fmt.Sprint(i), Request: &yuccawire.Request{Method: "POST", Path: "/"}})
	}
	return s
}

// finishStarts completes every start sent since the last call, as if the tasks
// took no time, and returns their number.
func finishStarts(now time.Time, d *yuccadispatch.Dispatcher, startsSeen map[string]uint32) int {
	finished := 0
	for _, action := range d.Actions() {
		start, ok := action.(yuccadispatch.SendStart)
		if !ok {
			continue
		}
		finished++
		startsSeen[start.Name]++
		d.HandleFinished(now, start.Name, &yuccawire.Finished{
			Key: start.Start.GetKey(), State: yuccawire.TaskState_TASK_FINISHED, Status: 200,
			Service: "regulation", FreeSlots: slotsPerWorker, StartsSeen: startsSeen[start.Name], Body: make([]byte, 100),
		})
	}
	return finished
}

// BenchmarkDispatch measures the cost of a task from submission to answer, in
// jobs of 100 tasks with 1,100 workers.
func BenchmarkDispatch(b *testing.B) {
	now := time.Now()
	d := newDispatcher(b, now)
	startsSeen := make(map[string]uint32)
	tasks, n := 0, 0
	for b.Loop() {
		n++
		d.Submit(now, submission(now, n, 100))
		for finished := finishStarts(now, d, startsSeen); finished > 0; finished = finishStarts(now, d, startsSeen) {
			tasks += finished
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tasks), "ns/task")
	runtime.KeepAlive(d)
}

// BenchmarkTickFull measures a tick with 20,000 queued tasks and no free slot.
func BenchmarkTickFull(b *testing.B) {
	now := time.Now()
	d := newDispatcher(b, now)
	for n := range 200 {
		d.Submit(now, submission(now, n, (workers*slotsPerWorker+20_000)/200))
	}
	d.Actions()
	if d.QueuedTasks() == 0 {
		b.Fatal("no task is queued")
	}
	for b.Loop() {
		d.Tick(now)
		d.Actions()
	}
}

// BenchmarkRetainedOutcome measures the heap size of a retained outcome: a job
// of three tasks, each with a result of 100 bytes.
func BenchmarkRetainedOutcome(b *testing.B) {
	now := time.Now()
	d := newDispatcher(b, now)
	startsSeen := make(map[string]uint32)
	before := heapBytes()
	n := 0
	for b.Loop() {
		n++
		s := submission(now, n, 3)
		s.Unnamed = false
		d.Submit(now, s)
		grantClaims(now, d)
		finishStarts(now, d, startsSeen)
		d.Actions()
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/job")
	runtime.KeepAlive(d)
}

// grantClaims grants all claims sent since the last call.
func grantClaims(now time.Time, d *yuccadispatch.Dispatcher) {
	u := yuccalease.Update{Lease: d.Lease(), View: d.View()}
	for _, action := range d.Actions() {
		send, ok := action.(yuccadispatch.SendControl)
		if !ok {
			continue
		}
		for _, c := range send.Message.GetClaimBatch().GetClaims() {
			u.Claims = append(u.Claims, &yuccawire.ClaimReply{Job: c.GetJob(), Nonce: c.GetNonce(), Result: yuccawire.ClaimResult_CLAIM_GRANTED})
		}
	}
	d.HandleControlUpdate(now, u)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
