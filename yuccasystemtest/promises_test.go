package yuccasystemtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// memberSettleTime is how long an entry must have observed the members before it
// can exclude that a side was lost since a job was claimed.
const memberSettleTime = 12 * time.Second

// unleasedEntry is a link to a side from a simulated entry without a lease. It
// tests which starts the side refuses on its own.
type unleasedEntry struct {
	t        *testing.T
	link     yuccawire.Link
	side     *yuccawire.Node
	jobCount int
}

// dialUnleased opens a link to the side as a new unleasedEntry.
func (c *cluster) dialUnleased(n *node) *unleasedEntry { return c.dialUnleasedAs(n, "raw") }

func (c *cluster) dialUnleasedAs(n *node, name string) *unleasedEntry {
	link, err := c.fabric.Host(name).Dial(context.Background(), n.address())
	if err != nil {
		c.t.Fatal(err)
	}
	self := &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}
	peer, err := yuccawire.SayHello(context.Background(), link, self)
	if err != nil {
		c.t.Fatal(err)
	}
	return &unleasedEntry{t: c.t, link: link, side: peer}
}

// startTask starts a task at the side. It returns the reason of the refusal, or
// REFUSAL_UNSPECIFIED if the task ran.
func (e *unleasedEntry) startTask() yuccawire.Refusal {
	e.jobCount++
	job := &yuccawire.JobKey{Team: testTeam, Id: fmt.Sprintf("raw-%d", e.jobCount)}
	start := &yuccawire.Start{
		Key:   &yuccawire.TaskKey{Job: job, Task: "t", Attempt: 1},
		Owner: "raw", OwnerIncarnation: 1, SideIncarnation: e.side.GetIncarnation(), Service: testService,
		DeadlineMs: 3_600_000, Request: &yuccawire.Request{Method: "POST", Path: "/", Body: []byte("1ms")},
	}
	if err := e.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Start{Start: start}}); err != nil {
		e.t.Fatal(err)
	}
	for {
		m, err := e.link.Receive()
		if err != nil {
			e.t.Fatal(err)
		}
		if r := m.GetRefused(); r != nil {
			return r.GetReason()
		}
		if m.GetFinished() != nil {
			return yuccawire.Refusal_REFUSAL_UNSPECIFIED
		}
	}
}

// A side that is partitioned from the controls refuses all starts once its lease
// has expired, which must be within 4 s after its data centre was drained.
func TestIsolatedSideStopsStartingTasks(t *testing.T) {
	withCluster(t, 11, 3, 1, 1, func(t *testing.T, c *cluster) {
		side := c.sides[0]
		entry := c.dialUnleased(side)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Fatalf("before the partition the side refused a start: %s", r)
		}
		for _, control := range c.controls {
			c.fabric.Isolate(side.name, control.name)
		}
		c.setDrained(side.dataCentre, true)
		drainedAt := time.Now()
		for time.Since(drainedAt) < 10*time.Second {
			refusal := entry.startTask()
			if since := time.Since(drainedAt); refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED && since > 4*time.Second {
				t.Errorf("a task started %s after the data centre was drained, want at most 4 s", since)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_NO_LEASE {
			t.Errorf("after 10 s the side returned %s, want REFUSAL_NO_LEASE", r)
		}
		c.checkHistory(t)
	})
}

// A side that is connected to the controls applies a drain, or the end of one,
// within a second.
func TestReachableSideAppliesDrainWithinASecond(t *testing.T) {
	withCluster(t, 12, 3, 1, 1, func(t *testing.T, c *cluster) {
		entry := c.dialUnleased(c.sides[0])
		c.setDrained(c.sides[0].dataCentre, true)
		time.Sleep(time.Second)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT {
			t.Errorf("a second after the drain the side returned %s, want REFUSAL_DATA_CENTRE_OUT", r)
		}
		c.setDrained(c.sides[0].dataCentre, false)
		time.Sleep(time.Second)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Errorf("a second after the end of the drain the side refused a start: %s", r)
		}
	})
}

// When an entry crashes, a resubmission to another entry takes its job over. The
// job completes, and no task is started twice.
func TestTakeOverCompletesJob(t *testing.T) {
	withCluster(t, 13, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		spec := jobSpec{id: "chime", tasks: 24, runTime: 2 * time.Second, deadline: 30 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.crash(c.entries[0])
		answer := c.submit(c.entries[1], spec)
		c.callers.Wait()
		if !answer.Outcome.GetComplete() {
			t.Errorf("the new owner answered %+v, want a complete outcome", answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("got %d starts of %d tasks, want one each", starts, spec.tasks)
		}
		c.checkHistory(t)
	})
}

// When a side crashes together with the owner of its tasks, their outcome is
// unknown. The job is answered neither complete nor not run, and no task is
// started again.
func TestTakeOverReportsUnknownTasks(t *testing.T) {
	withCluster(t, 14, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		spec := jobSpec{id: "chime", tasks: 16, runTime: time.Second, deadline: 30 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(500 * time.Millisecond)
		c.crash(c.entries[0])
		c.crash(c.sides[0])
		answer := c.submit(c.entries[1], spec)
		c.callers.Wait()
		if answer.Outcome.GetComplete() || answer.Outcome.GetNotRun() {
			t.Errorf("the new owner answered %+v, want neither complete nor not run", answer)
		}
		unknown := 0
		for _, task := range answer.Outcome.GetTasks() {
			if task.GetState() == yuccawire.TaskState_TASK_UNKNOWN {
				unknown++
			}
		}
		if unknown == 0 {
			t.Errorf("no task has an unknown outcome: %+v", answer.Outcome)
		}
		c.checkHistory(t)
	})
}

// An entry that is partitioned from the controls reports an unknown outcome after
// its lease has expired, since another entry may own the job by then.
func TestEntryWithoutLeaseReportsUnknownOutcome(t *testing.T) {
	withCluster(t, 15, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		isolated := c.entries[0]
		spec := jobSpec{id: "slow", tasks: 2, runTime: 6 * time.Second, deadline: 20 * time.Second}
		var answer yuccadispatch.Answer
		c.callers.Go(func() { answer = c.submit(isolated, spec) })
		time.Sleep(time.Second)
		for _, control := range c.controls {
			c.fabric.Isolate(isolated.name, control.name)
		}
		c.callers.Wait()
		if answer.Outcome != nil || answer.Rejection != yuccadispatch.OutcomeUnknown {
			t.Errorf("the isolated entry answered %+v, want the rejection OutcomeUnknown", answer)
		}
		c.checkHistory(t)
	})
}

// Planned stops of sides and entries under load interrupt no task, and all jobs
// complete.
func TestGracefulStopsInterruptNoTask(t *testing.T) {
	withCluster(t, 16, 3, 3, 2, func(t *testing.T, c *cluster) {
		until := time.Now().Add(20 * time.Second)
		c.callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				c.submitAsync(c.entries[2], jobSpec{id: fmt.Sprintf("g%d", i), tasks: 3, runTime: 700 * time.Millisecond, deadline: 20 * time.Second})
				time.Sleep(150 * time.Millisecond)
			}
		})
		for _, n := range []*node{c.sides[0], c.entries[0], c.sides[3], c.entries[1]} {
			time.Sleep(time.Second)
			c.stop(n)
			time.Sleep(time.Second)
			c.start(n)
		}
		c.callers.Wait()
		c.checkHistory(t)
		if incomplete := c.countEvents(yuccahistory.Answered, "") - c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); incomplete != 0 {
			t.Errorf("%d jobs were not complete", incomplete)
		}
	})
}

// A target that announces that it leaves gets no new tasks, and its running tasks
// still finish.
func TestLeavingTargetGetsNoNewTasks(t *testing.T) {
	withCluster(t, 17, 3, 1, 1, func(t *testing.T, c *cluster) {
		until := time.Now().Add(8 * time.Second)
		c.callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				c.submitAsync(c.entries[0], jobSpec{id: fmt.Sprintf("l%d", i), tasks: 2, runTime: 400 * time.Millisecond, deadline: 20 * time.Second})
				time.Sleep(200 * time.Millisecond)
			}
		})
		time.Sleep(2 * time.Second)
		side := c.sides[0]
		side.isStopping.Store(true) // stops the periodic announcements
		leaving := yuccaside.Announcement{Service: testService, Address: "http://127.0.0.1:1", Slots: testSlots, Connections: 64, Leaving: true}
		if err := side.side.Announce(side.ctx, leaving); err != nil {
			t.Fatal(err)
		}
		c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.TargetLeaving, Node: side.name})
		c.callers.Wait()
		c.checkHistory(t)
		if incomplete := c.countEvents(yuccahistory.Answered, "") - c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); incomplete != 0 {
			t.Errorf("%d jobs were not complete", incomplete)
		}
	})
}

// A job whose tasks hang is answered by its deadline, with the tasks unknown.
func TestHangingTaskIsAnsweredByDeadline(t *testing.T) {
	withCluster(t, 18, 1, 1, 1, func(t *testing.T, c *cluster) {
		start := time.Now()
		answer := c.submit(c.entries[0], jobSpec{id: "hang", tasks: 2, runTime: time.Hour, deadline: 2 * time.Second})
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("answered after %s, want at most 2 s", took)
		}
		for _, task := range answer.Outcome.GetTasks() {
			if task.GetState() != yuccawire.TaskState_TASK_UNKNOWN {
				t.Errorf("task %s is %s, want TASK_UNKNOWN", task.GetId(), task.GetState())
			}
		}
		if answer.Outcome.GetComplete() || answer.Outcome.GetNotRun() {
			t.Errorf("answered %+v, want neither complete nor not run", answer)
		}
	})
}

// Cancellations of many jobs at the same time are sent to each side in one
// message.
func TestCancellationsAreBatchedPerSide(t *testing.T) {
	withCluster(t, 19, 1, 1, 2, func(t *testing.T, c *cluster) {
		entry := c.entries[0]
		running := len(c.sides) * testSlots
		for i := range 40 {
			c.submitAsync(entry, jobSpec{id: fmt.Sprintf("w%d", i), tasks: 1, runTime: 5 * time.Second, deadline: time.Minute})
		}
		time.Sleep(time.Second)
		if starts := c.countEvents(yuccahistory.Started, ""); starts != running {
			t.Fatalf("%d tasks are running, want %d", starts, running)
		}
		for i := range 40 {
			c.callers.Go(func() {
				_, _ = entry.entry.Watch(entry.ctx, yuccadispatch.Key{Team: testTeam, ID: fmt.Sprintf("w%d", i)}, true)
			})
		}
		c.callers.Wait()
		if failed := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeFailed); failed != 40 {
			t.Errorf("%d of 40 cancelled jobs were answered failed, want all", failed)
		}
		// The first cancellation may be sent alone before the others arrive.
		if sent := entry.metrics.Value("cancel_messages"); sent > int64(len(c.sides)+1) {
			t.Errorf("sent %d cancel messages to %d sides for %d running jobs, want at most one per side and one more", sent, len(c.sides), running)
		}
		c.checkHistory(t)
	})
}

// A crash of the leader of the control group under load fails no job.
func TestControlFailOverUnderLoad(t *testing.T) {
	withCluster(t, 20, 3, 2, 2, func(t *testing.T, c *cluster) {
		for i := range 60 {
			c.submitAsync(c.entries[i%2], jobSpec{id: fmt.Sprintf("f%d", i), tasks: 2, runTime: 300 * time.Millisecond, deadline: 20 * time.Second})
			if i == 20 {
				c.crash(c.leader())
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.callers.Wait()
		c.checkHistory(t)
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 60 {
			t.Errorf("%d of 60 jobs completed, want all", complete)
		}
	})
}

// An entry that missed hundreds of changes applies the last one within a second
// of its restart.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	withCluster(t, 21, 3, 2, 1, func(t *testing.T, c *cluster) {
		restarted := c.entries[1]
		c.crash(restarted)
		for i := range 300 {
			c.apply(sectionCommand(yuccadocument.SectionLimits, uint64(i+1), fmt.Sprintf("n%d", i), limitsBody))
		}
		c.start(restarted)
		time.Sleep(time.Second)
		view, err := restarted.entry.View(restarted.ctx)
		if err != nil || view.Version(yuccadocument.SectionLimits) != 301 {
			t.Errorf("the entry has version %d a second after the restart, want 301: %v", view.Version(yuccadocument.SectionLimits), err)
		}
		c.checkHistory(t)
	})
}

// While a service has no target, jobs wait for its recovery_wait and are then
// answered not run. They complete if a target returns in time.
func TestRecoveryWait(t *testing.T) {
	withCluster(t, 22, 1, 1, 1, func(t *testing.T, c *cluster) {
		for _, n := range c.sides {
			c.crash(n)
		}
		time.Sleep(4 * time.Second)
		answer := c.submit(c.entries[0], jobSpec{id: "never", tasks: 1, runTime: time.Millisecond, deadline: 30 * time.Second})
		if !answer.Outcome.GetNotRun() {
			t.Errorf("without targets the job was answered %+v, want not run", answer)
		}
		spec := jobSpec{id: "held", tasks: 1, runTime: time.Millisecond, deadline: 30 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.start(c.sides[0])
		c.callers.Wait()
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 1 {
			t.Errorf("%d waiting jobs completed, want 1", complete)
		}
		c.checkHistory(t)
	})
}

// A job that was answered not run is not run after its owner has crashed, even if
// it is resubmitted to another entry.
func TestNotRunAnswerHoldsAfterTakeOver(t *testing.T) {
	withCluster(t, 23, 3, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		full := jobSpec{id: "full", tasks: len(c.sides) * testSlots, runTime: 4 * time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], full)
		time.Sleep(200 * time.Millisecond)
		spec := jobSpec{id: "discount", tasks: 1, runTime: time.Millisecond, deadline: time.Second}
		first := c.submit(c.entries[0], spec)
		if !first.Outcome.GetNotRun() {
			t.Fatalf("the first answer is %+v, want not run", first)
		}
		c.crash(c.entries[0])
		time.Sleep(6 * time.Second)
		spec.deadline = 10 * time.Second
		if second := c.submit(c.entries[1], spec); second.Outcome.GetComplete() {
			t.Errorf("the second answer is %+v, want an outcome that is not complete", second)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// A job whose first submission is older than the guaranteed retention of claims
// (30 minutes) is not run. It is rejected as too old and not reported as not run,
// because an earlier submission may have run.
func TestOldSubmissionIsNotRun(t *testing.T) {
	withCluster(t, 24, 1, 1, 1, func(t *testing.T, c *cluster) {
		spec := jobSpec{id: "yesterday", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second, submittedAgo: 31 * time.Minute}
		answer := c.submit(c.entries[0], spec)
		if answer.Rejection != yuccadispatch.TooOld || answer.Rejection.NotRun() {
			t.Errorf("answered %+v, want the rejection TooOld, which does not report not run", answer)
		}
		spec.id, spec.submittedAgo = "today", 29*time.Minute
		if answer := c.submit(c.entries[0], spec); !answer.Outcome.GetComplete() {
			t.Errorf("answered %+v, want a complete outcome", answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("got %d starts, want 1", starts)
		}
	})
}

// The rejection of a draining entry carries a retry delay of at least a second.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	withCluster(t, 25, 1, 2, 1, func(t *testing.T, c *cluster) {
		draining := c.entries[0]
		c.submitAsync(draining, jobSpec{id: "long", tasks: 1, runTime: 5 * time.Second, deadline: 20 * time.Second})
		time.Sleep(time.Second)
		c.callers.Go(func() { draining.entry.Drain(draining.ctx) })
		time.Sleep(100 * time.Millisecond)
		answer := c.submit(draining, jobSpec{id: "new", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second})
		if answer.Rejection != yuccadispatch.Draining || answer.RetryAfter < time.Second {
			t.Errorf("answered %+v, want the rejection Draining with a retry delay of at least 1 s", answer)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// An idle system sends no more messages while a data centre is drained than
// before, with a tolerance of 10 %.
func TestDrainedDataCentreAddsNoTraffic(t *testing.T) {
	withCluster(t, 26, 1, 2, 2, func(t *testing.T, c *cluster) {
		countIdleMessages := func() int {
			time.Sleep(2 * time.Second)
			before := c.fabric.MessageCount()
			time.Sleep(10 * time.Second)
			return c.fabric.MessageCount() - before
		}
		baseline := countIdleMessages()
		c.setDrained(testDataCentres[0], true)
		if drained := countIdleMessages(); drained > baseline+baseline/10 {
			t.Errorf("%d messages in 10 s while a data centre is drained, %d before", drained, baseline)
		}
	})
}

// Drain returns at once when its context ends, with the number of tasks or jobs
// that are still running.
func TestDrainStopsWithContext(t *testing.T) {
	withCluster(t, 27, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.submitAsync(c.entries[0], jobSpec{id: "long", tasks: 2, runTime: 20 * time.Second, deadline: 30 * time.Second})
		time.Sleep(time.Second)
		for _, n := range c.sides {
			ctx, cancel := context.WithCancel(n.ctx)
			time.AfterFunc(time.Second, cancel)
			start := time.Now()
			running := len(c.startedTasks(n))
			if interrupted := n.side.Drain(ctx); interrupted != running || time.Since(start) > 2*time.Second {
				t.Errorf("%s: Drain returned %d of %d running tasks after %s", n.name, interrupted, running, time.Since(start))
			}
		}
		ctx, cancel := context.WithTimeout(c.entries[0].ctx, time.Second)
		defer cancel()
		if interrupted := c.entries[0].entry.Drain(ctx); interrupted != 1 {
			t.Errorf("Drain of the entry returned %d open jobs, want 1", interrupted)
		}
	})
}

// startedTasks returns the IDs of the tasks that were started at the node.
func (c *cluster) startedTasks(n *node) []string {
	var started []string
	for _, e := range c.recorder.Events() {
		if e.Node == n.name && e.Kind == yuccahistory.Started {
			started = append(started, e.Task)
		}
	}
	return started
}

// An entry whose jobs were taken over while it was isolated is fenced. Once it is
// reconnected, it takes a new incarnation, retains its configuration and serves
// callers again.
func TestFencedEntryRecovers(t *testing.T) {
	withCluster(t, 28, 3, 2, 1, func(t *testing.T, c *cluster) {
		isolated := c.entries[0]
		spec := jobSpec{id: "fenced", tasks: 1, runTime: time.Second, deadline: 15 * time.Second}
		c.submitAsync(isolated, spec)
		time.Sleep(200 * time.Millisecond)
		c.fabric.Isolate(isolated.name, c.nodeNames()...)
		c.submit(c.entries[1], spec)
		if isolated.entry.Ready() {
			t.Fatal("the isolated entry still holds a lease")
		}
		c.healAll()
		time.Sleep(5 * time.Second)
		if answer := c.submit(isolated, jobSpec{id: "again", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second}); !answer.Outcome.GetComplete() {
			t.Errorf("after the partition the entry answered %+v, want a complete outcome", answer)
		}
		if restarts := isolated.metrics.Value("restarts_fenced"); restarts != 1 {
			t.Errorf("the entry took %d new incarnations, want 1", restarts)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// A job with a task that was started once and waits for another start is not
// answered as not run.
func TestStartedTaskIsNotReportedAsNotRun(t *testing.T) {
	withCluster(t, 29, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.callers.Go(func() {
			time.Sleep(500 * time.Millisecond)
			for _, n := range c.sides {
				c.crash(n)
			}
		})
		answer := c.submit(c.entries[0], jobSpec{id: "again", tasks: 1, runTime: 2 * time.Second, deadline: 8 * time.Second, repeatable: true})
		c.callers.Wait()
		if answer.Outcome == nil || answer.Outcome.GetNotRun() {
			t.Errorf("answered %+v, want an outcome that is not reported as not run", answer)
		}
		c.checkHistory(t)
	})
}
