package yuccaproof

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

// settledTime is how long an entry has to have seen the members before it can
// tell that no side was lost since a job was claimed.
const memberSettleTime = 12 * time.Second

// rawOwner opens a link to a side as an entry that has a lease nowhere, to see
// what the side alone refuses.
type unleasedEntry struct {
	t        *testing.T
	link     yuccawire.Link
	side     *yuccawire.Node
	jobCount int
}

func (c *cluster) dialUnleased(n *node) *unleasedEntry {
	link, err := c.fabric.Host("raw").Dial(context.Background(), n.address())
	if err != nil {
		c.t.Fatal(err)
	}
	self := &yuccawire.Node{Name: "raw", Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}
	peer, err := yuccawire.SayHello(context.Background(), link, self)
	if err != nil {
		c.t.Fatal(err)
	}
	return &unleasedEntry{t: c.t, link: link, side: peer}
}

// start sends one start and returns the side's refusal, or unspecified where
// it ran.
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

// A side that control can't reach stops starting tasks when its lease runs out,
// whoever asks it to, and so within the bound after its data centre was taken
// out.
func TestIsolatedSideStopsStartingTasks(t *testing.T) {
	withCluster(t, 11, 3, 1, 1, func(t *testing.T, c *cluster) {
		side := c.sides[0]
		entry := c.dialUnleased(side)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Fatalf("before the cut: %s", r)
		}
		for _, control := range c.controls {
			c.fabric.Isolate(side.name, control.name)
		}
		c.setDrained(side.dataCentre, true)
		drainedAt := time.Now()
		for time.Since(drainedAt) < 10*time.Second {
			refusal := entry.startTask()
			if since := time.Since(drainedAt); refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED && since > 4*time.Second {
				t.Errorf("a task started %s after the data centre was taken out", since)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_NO_LEASE {
			t.Errorf("at the end the side answers %s, expected no lease", r)
		}
		c.checkHistory(t)
	})
}

// A side that control reaches stops within a second.
func TestReachableSideAppliesDrainWithinASecond(t *testing.T) {
	withCluster(t, 12, 3, 1, 1, func(t *testing.T, c *cluster) {
		entry := c.dialUnleased(c.sides[0])
		c.setDrained(c.sides[0].dataCentre, true)
		time.Sleep(time.Second)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT {
			t.Errorf("a second after the change the side answers %s", r)
		}
		c.setDrained(c.sides[0].dataCentre, false)
		time.Sleep(time.Second)
		if r := entry.startTask(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Errorf("a second after it came back the side answers %s", r)
		}
	})
}

// An entry that dies leaves a job behind; a resubmission elsewhere takes it over
// and answers it whole, without a second start of any task.
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
			t.Errorf("the new owner answered %+v", answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("%d starts of %d tasks", starts, spec.tasks)
		}
		c.checkHistory(t)
	})
}

// When a side dies with tasks of a dead owner, nobody can tell what became of
// them: the job is not answered complete, and nothing is started again.
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
			t.Errorf("the new owner answered %+v", answer)
		}
		unknown := 0
		for _, task := range answer.Outcome.GetTasks() {
			if task.GetState() == yuccawire.TaskState_TASK_UNKNOWN {
				unknown++
			}
		}
		if unknown == 0 {
			t.Errorf("no task is unknown: %+v", answer.Outcome)
		}
		c.checkHistory(t)
	})
}

// An entry that control can't reach does not answer complete after its lease
// has run out, since another may own the job by then.
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
			t.Errorf("the cut-off entry answered %+v", answer)
		}
		c.checkHistory(t)
	})
}

// Sides, entries and targets that stop in any order under load cut nothing.
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

// A target that says it is leaving gets nothing new, and its tasks still end.
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
		side.stopping.Store(true) // ends its announcements
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

// A job whose task hangs is answered by its deadline, with the truth.
func TestHangingTaskIsAnsweredByDeadline(t *testing.T) {
	withCluster(t, 18, 1, 1, 1, func(t *testing.T, c *cluster) {
		start := time.Now()
		answer := c.submit(c.entries[0], jobSpec{id: "hang", tasks: 2, runTime: time.Hour, deadline: 2 * time.Second})
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("answered after %s", took)
		}
		for _, task := range answer.Outcome.GetTasks() {
			if task.GetState() != yuccawire.TaskState_TASK_UNKNOWN {
				t.Errorf("task %s is %s", task.GetId(), task.GetState())
			}
		}
		if answer.Outcome.GetComplete() || answer.Outcome.GetNotRun() {
			t.Errorf("answered %+v", answer)
		}
	})
}

// A wave of cancellations costs each side one message, however many jobs it
// ends there.
func TestCancellationsAreBatchedPerSide(t *testing.T) {
	withCluster(t, 19, 1, 1, 2, func(t *testing.T, c *cluster) {
		entry := c.entries[0]
		running := len(c.sides) * testSlots
		for i := range 40 {
			c.submitAsync(entry, jobSpec{id: fmt.Sprintf("w%d", i), tasks: 1, runTime: 5 * time.Second, deadline: time.Minute})
		}
		time.Sleep(time.Second)
		if starts := c.countEvents(yuccahistory.Started, ""); starts != running {
			t.Fatalf("%d tasks run, expected %d", starts, running)
		}
		for i := range 40 {
			c.callers.Go(func() {
				_, _ = entry.entry.Watch(entry.ctx, yuccadispatch.Key{Team: testTeam, ID: fmt.Sprintf("w%d", i)}, true)
			})
		}
		c.callers.Wait()
		if failed := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeFailed); failed != 40 {
			t.Errorf("%d of 40 cancelled jobs were answered failed", failed)
		}
		// The first cancellation may leave on its own before the others come.
		if sent := entry.metrics.Value("cancel_messages"); sent > int64(len(c.sides)+1) {
			t.Errorf("%d cancel messages to %d sides for %d running jobs", sent, len(c.sides), running)
		}
		c.checkHistory(t)
	})
}

// The leader of the control group dies under load, and no job notices.
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
			t.Errorf("%d of 60 jobs are complete", complete)
		}
	})
}

// A process that was away for hundreds of changes comes back to the last one.
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
			t.Errorf("version %d is in force a second after the start, expected 301: %v", view.Version(yuccadocument.SectionLimits), err)
		}
		c.checkHistory(t)
	})
}

// While no target is there requests wait for the service's recovery time, then
// fail with a true "not run".
func TestRecoveryWait(t *testing.T) {
	withCluster(t, 22, 1, 1, 1, func(t *testing.T, c *cluster) {
		for _, n := range c.sides {
			c.crash(n)
		}
		time.Sleep(4 * time.Second)
		answer := c.submit(c.entries[0], jobSpec{id: "never", tasks: 1, runTime: time.Millisecond, deadline: 30 * time.Second})
		if !answer.Outcome.GetNotRun() {
			t.Errorf("without targets the answer is %+v", answer)
		}
		spec := jobSpec{id: "held", tasks: 1, runTime: time.Millisecond, deadline: 30 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.start(c.sides[0])
		c.callers.Wait()
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 1 {
			t.Errorf("%d held jobs are complete, expected 1", complete)
		}
		c.checkHistory(t)
	})
}

// A job that was answered failed and not run stays so: after its owner has
// died, a resubmission elsewhere does not run it.
func TestNotRunAnswerHoldsAfterTakeOver(t *testing.T) {
	withCluster(t, 23, 3, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		full := jobSpec{id: "full", tasks: len(c.sides) * testSlots, runTime: 4 * time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], full)
		time.Sleep(200 * time.Millisecond)
		spec := jobSpec{id: "discount", tasks: 1, runTime: time.Millisecond, deadline: time.Second}
		first := c.submit(c.entries[0], spec)
		if !first.Outcome.GetNotRun() {
			t.Fatalf("the first answer is %+v", first)
		}
		c.crash(c.entries[0])
		time.Sleep(6 * time.Second)
		spec.deadline = 10 * time.Second
		if second := c.submit(c.entries[1], spec); second.Outcome.GetComplete() {
			t.Errorf("the second answer is %+v", second)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// A job that was first submitted longer ago than claims are surely kept is not
// run, and its caller is told that nobody knows whether it was.
func TestOldSubmissionIsNotRun(t *testing.T) {
	withCluster(t, 24, 1, 1, 1, func(t *testing.T, c *cluster) {
		spec := jobSpec{id: "yesterday", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second, submittedAgo: 31 * time.Minute}
		answer := c.submit(c.entries[0], spec)
		if answer.Rejection != yuccadispatch.TooOld || answer.Rejection.NotRun() {
			t.Errorf("answered %+v", answer)
		}
		spec.id, spec.submittedAgo = "today", 29*time.Minute
		if answer := c.submit(c.entries[0], spec); !answer.Outcome.GetComplete() {
			t.Errorf("answered %+v", answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("%d starts, expected 1", starts)
		}
	})
}

// A refusal says when another try may help.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	withCluster(t, 25, 1, 2, 1, func(t *testing.T, c *cluster) {
		draining := c.entries[0]
		c.submitAsync(draining, jobSpec{id: "long", tasks: 1, runTime: 5 * time.Second, deadline: 20 * time.Second})
		time.Sleep(time.Second)
		c.callers.Go(func() { draining.entry.Drain(draining.ctx) })
		time.Sleep(100 * time.Millisecond)
		answer := c.submit(draining, jobSpec{id: "new", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second})
		if answer.Rejection != yuccadispatch.Draining || answer.RetryAfter < time.Second {
			t.Errorf("answered %+v", answer)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// A data centre that is out costs no more messages than one that is in.
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
			t.Errorf("%d messages in 10 s while a data centre is out, %d while all are in", drained, baseline)
		}
	})
}

// A drain that is ended early returns at once, and says what is cut.
func TestDrainStopsWithContext(t *testing.T) {
	withCluster(t, 27, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.submitAsync(c.entries[0], jobSpec{id: "long", tasks: 2, runTime: 20 * time.Second, deadline: 30 * time.Second})
		time.Sleep(time.Second)
		for _, n := range c.sides {
			ctx, cancel := context.WithCancel(n.ctx)
			time.AfterFunc(time.Second, cancel)
			start := time.Now()
			running := len(c.startedAt(n))
			if interrupted := n.side.Drain(ctx); interrupted != running || time.Since(start) > 2*time.Second {
				t.Errorf("%s: %d of %d cut after %s", n.name, interrupted, running, time.Since(start))
			}
		}
		ctx, cancel := context.WithTimeout(c.entries[0].ctx, time.Second)
		defer cancel()
		if interrupted := c.entries[0].entry.Drain(ctx); interrupted != 1 {
			t.Errorf("the entry says that %d jobs are cut, expected 1", interrupted)
		}
	})
}

// runningAt lists the tasks that were started at the node and have not finished.
func (c *cluster) startedAt(n *node) []string {
	var started []string
	for _, e := range c.recorder.Events() {
		if e.Node == n.name && e.Kind == yuccahistory.Started {
			started = append(started, e.Task)
		}
	}
	return started
}

// An entry whose jobs were taken over while it was cut off serves callers again
// once it is back, with the configuration that it had.
func TestFencedEntryRecovers(t *testing.T) {
	withCluster(t, 28, 3, 2, 1, func(t *testing.T, c *cluster) {
		isolated := c.entries[0]
		spec := jobSpec{id: "fenced", tasks: 1, runTime: time.Second, deadline: 15 * time.Second}
		c.submitAsync(isolated, spec)
		time.Sleep(200 * time.Millisecond)
		c.fabric.Isolate(isolated.name, c.nodeNames()...)
		c.submit(c.entries[1], spec)
		if isolated.entry.Ready() {
			t.Fatal("the cut-off entry still has a lease")
		}
		c.healAll()
		time.Sleep(5 * time.Second)
		if answer := c.submit(isolated, jobSpec{id: "again", tasks: 1, runTime: time.Millisecond, deadline: 5 * time.Second}); !answer.Outcome.GetComplete() {
			t.Errorf("after the cut the entry answered %+v", answer)
		}
		if restarts := isolated.metrics.Value("restarts_fenced"); restarts != 1 {
			t.Errorf("the entry took up %d new incarnations, expected 1", restarts)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// A task that was started once and waits to be started again was not "not run".
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
			t.Errorf("answered %+v", answer)
		}
		c.checkHistory(t)
	})
}
