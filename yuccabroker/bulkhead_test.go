package yuccabroker_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// crashOf returns the crash of the worker of a side, with two runs of the crashing queue
// and two of another one.
func crashOf(side, task string) *yuccawire.Crash {
	c := &yuccawire.Crash{Side: side, Worker: "w", StartedUnixMs: 1, Service: "belfry", Runs: []*yuccawire.CrashedRun{
		{Task: task, Queue: "crashing", RanMs: 10, CpuMilli: 1600}, {Task: "c" + side, Queue: "crashing", RanMs: 50, CpuMilli: 1600},
	}}
	for i := range 2 {
		c.Runs = append(c.Runs, &yuccawire.CrashedRun{Task: fmt.Sprint(side, ".0.0.", i), Queue: "q", RanMs: 100, CpuMilli: 1600})
	}
	return c
}

// crashWorkers makes a task crash the workers of the sides, which report themselves as
// not ready, after a job of another queue. The others have little free capacity.
func (f *fixture) crashWorkers(task string, sides ...string) {
	f.submit(job("other", 1), 99)
	f.reportOthers(1000, sides)
	for _, side := range sides {
		f.reportDown(side)
		f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{crashOf(side, task)}})
	}
	f.reportOthers(fullCPU, sides)
	f.flush()
}

// reportOthers reports the free capacity of all sides but some.
func (f *fixture) reportOthers(free int, sides []string) {
	for _, side := range f.sides {
		if !slices.Contains(sides, side) {
			f.report(side, free)
		}
	}
}

func (f *fixture) reportDown(side string) {
	state := f.workerState(0)
	state.Ready = false
	f.broker.HandleWorkerState(f.now, side, state)
}

func crashingJob(id string) yuccabroker.Job {
	j := job(id, 2)
	j.Queue.Name = "crashing"
	j.Queue.Priority = 0
	return j
}

func sideNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
	}
	return names
}

// sidesOf returns the sides that runs of a job were sent to.
func (f *fixture) sidesOf(id string) []string {
	var sides []string
	for run, side := range f.sentRuns() {
		if strings.HasPrefix(run, id+".") && !slices.Contains(sides, side) {
			sides = append(sides, side)
		}
	}
	return sides
}

// sidesOfRun returns the side of each run of a job's tasks with the number.
func (f *fixture) sidesOfRun(id string, run uint64) []string {
	var sides []string
	for key, side := range f.sentRuns() {
		if strings.HasPrefix(key, id+".") && strings.HasSuffix(key, fmt.Sprint("/", run)) {
			sides = append(sides, side)
		}
	}
	return sides
}

func TestQueueThatCrashesWorkersIsConfined(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", "s0", "s1", "s2")
	members := make(map[string]bool)
	for i := range 30 {
		id := fmt.Sprint("c", i)
		f.submit(crashingJob(id), uint64(i))
		for _, side := range f.sidesOf(id) {
			members[side] = true
		}
		f.now = f.now.Add(time.Millisecond)
	}
	if len(members) == 0 || len(members) > 3 {
		t.Fatalf("jobs of the confined queue went to %v, want at most three of eight", members)
	}
	for i := range 30 {
		id := fmt.Sprint("q", i)
		f.submit(job(id, 1), uint64(100+i))
		for _, side := range f.sidesOf(id) {
			if members[side] {
				t.Errorf("a job of another queue went to %s, a member", side)
			}
		}
	}
	if queued := f.broker.Pending("q"); queued > 0 {
		t.Errorf("%d jobs of the other queue wait", queued)
	}
}

// A queue is released once it has had a worker for five seconds without a crash.
func TestConfinedQueueIsReleased(t *testing.T) {
	sides := sideNames(4)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", sides...)
	for range 8 {
		f.now = f.now.Add(time.Second)
		for _, side := range sides {
			f.reportDown(side)
		}
		f.broker.Tick(f.now)
		f.flush()
	}
	f.submit(crashingJob("a"), 1)
	f.wantState(1, yuccabroker.Rejected)
	f.advance(4*time.Second, sides...)
	if n := len(f.broker.RecentCrashes(f.now).GetConfined()); n != 1 {
		t.Errorf("%d queues are confined 4 s after the workers are back, want one", n)
	}
	f.advance(2*time.Second, sides...)
	if n := len(f.broker.RecentCrashes(f.now).GetConfined()); n != 0 {
		t.Errorf("%d queues are confined 6 s after the workers are back, want none", n)
	}
}

// While all workers of a confined queue are down, its jobs are rejected at once, and
// callers are told when a worker is expected back.
func TestConfinedQueueWithoutWorkerRejects(t *testing.T) {
	sides := sideNames(4)
	f := newFixture(t, sides...)
	f.submit(crashingJob("a"), 1)
	f.crashWorkers("x.0.0.0", sides...)
	f.submit(crashingJob("b"), 2)
	f.wantState(2, yuccabroker.Rejected)
	if after := f.answers[2].RetryAfter; after < 2*time.Second || after > 4*time.Second {
		t.Errorf("callers are told to retry after %v, want about 3s", after)
	}
	if f.sentRuns()["b.0.0.0/1"] != "" {
		t.Error("a task of the rejected job was sent")
	}
}

// An entry that has just started confines the queues that the others have confined.
func TestConfinedQueueIsAdopted(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", "s0", "s1", "s2")
	other := newFixture(t, sides...)
	other.broker.HandleCrashReport(other.now, f.broker.RecentCrashes(f.now))
	confined := other.broker.RecentCrashes(other.now).GetConfined()
	if len(confined) != 1 || confined[0].GetQueue() != "crashing" {
		t.Errorf("confined %v, want the queue that the other entry has confined", confined)
	}
	quiet := &yuccawire.CrashReport{Confined: []*yuccawire.ConfinedQueue{{Queue: "old", Service: "belfry", SharePermille: 250, QuietMs: 9000}}}
	other.broker.HandleCrashReport(other.now, quiet)
	if n := len(other.broker.RecentCrashes(other.now).GetConfined()); n != 1 {
		t.Errorf("%d queues are confined, want no queue that has been quiet for 9 s", n)
	}
}

// A queue with all the work isn't confined: there is none to protect.
func TestOnlyQueueIsNotConfined(t *testing.T) {
	sides := sideNames(4)
	f := newFixture(t, sides...)
	for _, side := range sides[:2] {
		c := crashOf(side, "x.0.0.0")
		c.Runs = c.GetRuns()[:2]
		f.reportDown(side)
		f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{c}})
	}
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) > 0 {
		t.Errorf("confined %v, want none", confined)
	}
}

// Crashes under tasks of several queues, as after a loss of power, confine none.
func TestRandomCrashesConfineNoQueue(t *testing.T) {
	sides := sideNames(4)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", sides[0])
	f.crashWorkers("y.0.0.0", sides[1])
	f.crashWorkers("z.0.0.0", sides[2])
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) > 0 {
		t.Errorf("confined %v, want none", confined)
	}
}

// The queue of a task that was beside the cause twice is not confined if another queue
// accounts for more of the crashes.
func TestQueueBesideTheCulpritIsNotConfined(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.submit(job("other", 1), 99)
	f.reportOthers(1000, nil)
	for i, side := range sides[:4] {
		c := crashOf(side, fmt.Sprint("x", i, ".0.0.0"))
		if i < 2 {
			c.Runs = append(c.Runs, &yuccawire.CrashedRun{Task: "b.0.0.0", Queue: "beside", RanMs: 300, CpuMilli: 1600})
		}
		f.reportDown(side)
		f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{c}})
	}
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) > 0 {
		t.Errorf("confined %v, want none until a task of the queue at fault is found", confined)
	}
	f.reportDown("s4")
	f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{crashOf("s4", "x0.0.0.0")}})
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) != 1 || confined[0].GetQueue() != "crashing" {
		t.Errorf("confined %v, want the queue at fault", confined)
	}
}

// Crashes of the workers that a queue is confined to are not put down to tasks of other
// queues that ran there.
func TestCrashOfMemberIsPutDownToConfinedQueue(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", sides[:7]...)
	var members []string
	for i := range 12 {
		f.now = f.now.Add(200 * time.Millisecond)
		for _, side := range sides {
			f.report(side, 4000)
		}
		f.broker.Tick(f.now)
		f.submit(crashingJob(fmt.Sprint("c", i)), uint64(100+i))
	}
	for run, side := range f.sentRuns() {
		if strings.HasPrefix(run, "c") && !slices.Contains(members, side) {
			members = append(members, side)
		}
	}
	if len(members) == 0 || len(members) > 4 {
		t.Fatalf("members %v, want half of the sides at most", members)
	}
	j := job("b", 1)
	j.Deadline = f.now.Add(3 * time.Second)
	f.submit(j, 2)
	for i := range 2 {
		c := crashOf(members[0], fmt.Sprint("y", i, ".0.0.0"))
		c.StartedUnixMs = int64(i + 10)
		c.Runs = append(c.Runs, &yuccawire.CrashedRun{Task: "b.0.0.0", Queue: "q", RanMs: 50, CpuMilli: 1600})
		f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{c}})
	}
	if o, answered := f.answers[2]; answered {
		t.Errorf("the job of the other queue is answered %v", o)
	}
}

// While much of the other workers is free, there is nothing to protect.
func TestQueueIsNotConfinedWhileCapacityIsFree(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.submit(job("other", 1), 99)
	for _, side := range sides[:3] {
		f.reportDown(side)
		f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{crashOf(side, "x.0.0.0")}})
	}
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) > 0 {
		t.Errorf("confined %v, want none", confined)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportOthers(1000, sides[:3])
	f.broker.Tick(f.now)
	if confined := f.broker.RecentCrashes(f.now).GetConfined(); len(confined) != 1 {
		t.Errorf("confined %v, want the queue once little is free", confined)
	}
}

// A confined task under which a worker crashed is not repeated once its answer is of no
// use any more: workers for its queue are scarce.
func TestLateConfinedTaskIsRepeated(t *testing.T) {
	for _, confined := range []bool{false, true} {
		sides := sideNames(8)
		f := newFixture(t, sides...)
		f.submit(crashingJob("a"), 1)
		run := f.sentRuns()["a.0.0.0/1"]
		if confined {
			f.crashWorkers("x.0.0.0", "s0", "s1", "s2", "s3")
		}
		f.now = f.now.Add(1300 * time.Millisecond)
		f.endRunAfter(run, "a.0.0.0", 1, crashed, 10*time.Millisecond)
		if _, answered := f.answers[1]; answered != confined {
			t.Errorf("confined: %v, answered: %v", confined, answered)
		}
	}
}

func TestConfinedJobsAreRefusedWhileOtherWorkersAreIdle(t *testing.T) {
	sides := sideNames(8)
	f := newFixture(t, sides...)
	f.crashWorkers("x.0.0.0", "s0", "s1", "s2")
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportOthers(fullCPU, sides[:3])
	f.broker.Tick(f.now)
	used := make(map[string]bool)
	for i := range 30 {
		id := fmt.Sprint("c", i)
		f.submit(crashingJob(id), uint64(i))
		for _, side := range f.sidesOf(id) {
			used[side] = true
		}
	}
	if len(used) < 4 || len(used) > 6 {
		t.Errorf("jobs of the confined queue went to %v, want four to six while the others are idle", used)
	}
}
