package yuccaload

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

func workload() *yuccasettings.Workload {
	return &yuccasettings.Workload{
		Duration: 100 * time.Second, JobsPerSecond: 50, MinTasks: 1, MaxTasks: 8,
		MedianRun: 300 * time.Millisecond, RunSpread: 0.5, MaxRun: 5 * time.Second,
		Bursts: []yuccasettings.Burst{{At: 50 * time.Second, Jobs: 100}}, Deadline: time.Second,
	}
}

func TestScheduleIsRepeatable(t *testing.T) {
	a := newSchedule(workload(), rand.New(rand.NewPCG(1, 0)))
	b := newSchedule(workload(), rand.New(rand.NewPCG(1, 0)))
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed gave different schedules")
	}
	if len(a) < 4800 || len(a) > 5400 {
		t.Errorf("%d jobs, want about 5,100", len(a))
	}
	burst := 0
	for i, arrival := range a {
		if i > 0 && arrival.at < a[i-1].at {
			t.Fatal("the schedule is not sorted by time")
		}
		if arrival.at == 50*time.Second {
			burst++
		}
		for _, run := range arrival.tasks {
			if run <= 0 || run > 5*time.Second {
				t.Fatalf("task with a run time of %s, want 5s at most", run)
			}
		}
	}
	if burst != 100 {
		t.Errorf("%d jobs in the burst, want 100", burst)
	}
}

func TestReport(t *testing.T) {
	w := workload()
	w.DataCentres = []yuccasettings.DataCentreChange{{At: 10 * time.Second, Name: "cusco", Drained: true}}
	r := &Run{settings: w, startedAt: time.Now()}
	add := func(at time.Duration, res result) {
		res.due = r.startedAt.Add(at)
		r.results = append(r.results, res)
	}
	add(9*time.Second, result{elapsed: 600 * time.Millisecond, ideal: 300 * time.Millisecond, tasks: 3, outcome: "complete", complete: true, inTime: true})
	add(12*time.Second, result{elapsed: time.Second, ideal: time.Second, tasks: 1, outcome: "queue-full", notRun: true, inTime: true})
	add(30*time.Second, result{elapsed: 2 * time.Second, ideal: time.Second, tasks: 1, outcome: "complete", complete: true, partial: true})
	before := counters{"starts_sent": 10, "tasks_finished": 10}
	after := counters{"starts_sent": 16, "tasks_finished": 14, "starts_refused": 2}
	p, err := r.report(before, after)
	if err != nil {
		t.Fatal(err)
	}
	if p.Jobs != 3 || p.Complete != 2 || p.Partial != 1 || p.NotRun != 1 || p.Late != 1 || p.Tasks != 4 {
		t.Errorf("wrong counts in %+v", p)
	}
	if p.Ratio.P50 < 1.99 || p.Ratio.P50 > 2.01 {
		t.Errorf("median ratio %g, want 2", p.Ratio.P50)
	}
	if p.MessagesPerTask != 3 || p.WastedShare != 2.0/12 {
		t.Errorf("%g messages per task, %g wasted; want 3 and 1/6", p.MessagesPerTask, p.WastedShare)
	}
	if c := p.Changes[0]; c.Offered != 4 || c.Done != 3 {
		t.Errorf("change report %+v, want 3 of 4 tasks done", c)
	}
}
