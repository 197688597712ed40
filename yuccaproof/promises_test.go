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
const settledTime = 12 * time.Second

// rawOwner opens a link to a side as an entry that has a lease nowhere, to see
// what the side alone refuses.
type rawOwner struct {
	t    *testing.T
	link yuccawire.Link
	side *yuccawire.Node
	next int
}

func (c *cluster) rawOwner(n *node) *rawOwner {
	link, err := c.fabric.Host("raw").Dial(context.Background(), n.address())
	if err != nil {
		c.t.Fatal(err)
	}
	self := &yuccawire.Node{Name: "raw", Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}
	peer, err := yuccawire.SayHello(context.Background(), link, self)
	if err != nil {
		c.t.Fatal(err)
	}
	return &rawOwner{t: c.t, link: link, side: peer}
}

// start sends one start and returns the side's refusal, or unspecified where
// it ran.
func (o *rawOwner) start() yuccawire.Refusal {
	o.next++
	job := &yuccawire.JobKey{Team: testTeam, Id: fmt.Sprintf("raw-%d", o.next)}
	start := &yuccawire.Start{
		Key:   &yuccawire.TaskKey{Job: job, Task: "t", Attempt: 1},
		Owner: "raw", OwnerIncarnation: 1, SideIncarnation: o.side.GetIncarnation(), Service: testService,
		DeadlineMs: 3_600_000, Request: &yuccawire.Request{Method: "POST", Path: "/", Body: []byte("1ms")},
	}
	if err := o.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Start{Start: start}}); err != nil {
		o.t.Fatal(err)
	}
	for {
		m, err := o.link.Receive()
		if err != nil {
			o.t.Fatal(err)
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
func TestCutOffSideStopsStarting(t *testing.T) {
	inCluster(t, 11, 3, 1, 1, func(t *testing.T, c *cluster) {
		side := c.sides[0]
		owner := c.rawOwner(side)
		if r := owner.start(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Fatalf("before the cut: %s", r)
		}
		for _, control := range c.controls {
			c.fabric.Isolate(side.name, control.name)
		}
		c.setDataCentre(side.dataCentre, true)
		committed := time.Now()
		for time.Since(committed) < 10*time.Second {
			refusal := owner.start()
			if since := time.Since(committed); refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED && since > 4*time.Second {
				t.Errorf("a task started %s after the data centre was taken out", since)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if r := owner.start(); r != yuccawire.Refusal_REFUSAL_NO_LEASE {
			t.Errorf("at the end the side answers %s, expected no lease", r)
		}
		c.check(t)
	})
}

// A side that control reaches stops within a second.
func TestReachableSideStopsWithinASecond(t *testing.T) {
	inCluster(t, 12, 3, 1, 1, func(t *testing.T, c *cluster) {
		owner := c.rawOwner(c.sides[0])
		c.setDataCentre(c.sides[0].dataCentre, true)
		time.Sleep(time.Second)
		if r := owner.start(); r != yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT {
			t.Errorf("a second after the change the side answers %s", r)
		}
		c.setDataCentre(c.sides[0].dataCentre, false)
		time.Sleep(time.Second)
		if r := owner.start(); r != yuccawire.Refusal_REFUSAL_UNSPECIFIED {
			t.Errorf("a second after it came back the side answers %s", r)
		}
	})
}

// An entry that dies leaves a job behind; a resubmission elsewhere takes it over
// and answers it whole, without a second start of any task.
func TestTakeOverFinishesTheJob(t *testing.T) {
	inCluster(t, 13, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(settledTime)
		spec := jobSpec{id: "chime", tasks: 24, run: 2 * time.Second, deadline: 30 * time.Second}
		c.submitLater(c.entries[0], spec)
		time.Sleep(time.Second)
		c.crash(c.entries[0])
		answer := c.submit(c.entries[1], spec)
		c.callers.Wait()
		if !answer.Outcome.GetComplete() {
			t.Errorf("the new owner answered %+v", answer)
		}
		if starts := c.count(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("%d starts of %d tasks", starts, spec.tasks)
		}
		c.check(t)
	})
}

// When a side dies with tasks of a dead owner, nobody can tell what became of
// them: the job is not answered complete, and nothing is started again.
func TestTakeOverTellsWhatIsUnknown(t *testing.T) {
	inCluster(t, 14, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(settledTime)
		spec := jobSpec{id: "chime", tasks: 16, run: time.Second, deadline: 30 * time.Second}
		c.submitLater(c.entries[0], spec)
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
		c.check(t)
	})
}

// An entry that control can't reach does not answer complete after its lease
// has run out, since another may own the job by then.
func TestEntryWithoutLeaseAnswersNothingForSure(t *testing.T) {
	inCluster(t, 15, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		cut := c.entries[0]
		spec := jobSpec{id: "slow", tasks: 2, run: 6 * time.Second, deadline: 20 * time.Second}
		var answer yuccadispatch.Answer
		c.callers.Go(func() { answer = c.submit(cut, spec) })
		time.Sleep(time.Second)
		for _, control := range c.controls {
			c.fabric.Isolate(cut.name, control.name)
		}
		c.callers.Wait()
		if answer.Outcome != nil || answer.Rejection != yuccadispatch.OutcomeUnknown {
			t.Errorf("the cut-off entry answered %+v", answer)
		}
		c.check(t)
	})
}

// Sides, entries and targets that stop in any order under load cut nothing.
func TestGracefulStopsCutNothing(t *testing.T) {
	inCluster(t, 16, 3, 3, 2, func(t *testing.T, c *cluster) {
		until := time.Now().Add(20 * time.Second)
		c.callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				c.submitLater(c.entries[2], jobSpec{id: fmt.Sprintf("g%d", i), tasks: 3, run: 700 * time.Millisecond, deadline: 20 * time.Second})
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
		c.check(t)
		if bad := c.count(yuccahistory.Answered, "") - c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); bad != 0 {
			t.Errorf("%d jobs were not complete", bad)
		}
	})
}

// A target that says it is leaving gets nothing new, and its tasks still end.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	inCluster(t, 17, 3, 1, 1, func(t *testing.T, c *cluster) {
		until := time.Now().Add(8 * time.Second)
		c.callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				c.submitLater(c.entries[0], jobSpec{id: fmt.Sprintf("l%d", i), tasks: 2, run: 400 * time.Millisecond, deadline: 20 * time.Second})
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
		c.check(t)
		if bad := c.count(yuccahistory.Answered, "") - c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); bad != 0 {
			t.Errorf("%d jobs were not complete", bad)
		}
	})
}

// A job whose task hangs is answered by its deadline, with the truth.
func TestHangingTaskIsAnsweredByItsDeadline(t *testing.T) {
	inCluster(t, 18, 1, 1, 1, func(t *testing.T, c *cluster) {
		began := time.Now()
		answer := c.submit(c.entries[0], jobSpec{id: "hang", tasks: 2, run: time.Hour, deadline: 2 * time.Second})
		if took := time.Since(began); took > 2*time.Second {
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
func TestCancellationWaveIsOneMessagePerSide(t *testing.T) {
	inCluster(t, 19, 1, 1, 2, func(t *testing.T, c *cluster) {
		entry := c.entries[0]
		running := len(c.sides) * testSlots
		for i := range 40 {
			c.submitLater(entry, jobSpec{id: fmt.Sprintf("w%d", i), tasks: 1, run: 5 * time.Second, deadline: time.Minute})
		}
		time.Sleep(time.Second)
		if starts := c.count(yuccahistory.Started, ""); starts != running {
			t.Fatalf("%d tasks run, expected %d", starts, running)
		}
		for i := range 40 {
			c.callers.Go(func() {
				_, _ = entry.entry.Watch(entry.ctx, yuccadispatch.Key{Team: testTeam, ID: fmt.Sprintf("w%d", i)}, true)
			})
		}
		c.callers.Wait()
		if failed := c.count(yuccahistory.Answered, yuccahistory.OutcomeFailed); failed != 40 {
			t.Errorf("%d of 40 cancelled jobs were answered failed", failed)
		}
		// The first cancellation may leave on its own before the others come.
		if sent := entry.metrics.Value("cancel_messages"); sent > int64(len(c.sides)+1) {
			t.Errorf("%d cancel messages to %d sides for %d running jobs", sent, len(c.sides), running)
		}
		c.check(t)
	})
}

// The leader of the control group dies under load, and no job notices.
func TestControlFailOverUnderLoad(t *testing.T) {
	inCluster(t, 20, 3, 2, 2, func(t *testing.T, c *cluster) {
		for i := range 60 {
			c.submitLater(c.entries[i%2], jobSpec{id: fmt.Sprintf("f%d", i), tasks: 2, run: 300 * time.Millisecond, deadline: 20 * time.Second})
			if i == 20 {
				c.crash(c.leader())
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.callers.Wait()
		c.check(t)
		if complete := c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 60 {
			t.Errorf("%d of 60 jobs are complete", complete)
		}
	})
}

// A process that was away for hundreds of changes comes back to the last one.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	inCluster(t, 21, 3, 2, 1, func(t *testing.T, c *cluster) {
		away := c.entries[1]
		c.crash(away)
		for i := range 300 {
			c.apply(sectionCommand(yuccadocument.SectionLimits, uint64(i+1), fmt.Sprintf("n%d", i), limitsBody))
		}
		c.start(away)
		time.Sleep(time.Second)
		view, err := away.entry.View(away.ctx)
		if err != nil || view.Version(yuccadocument.SectionLimits) != 301 {
			t.Errorf("version %d is in force a second after the start, expected 301: %v", view.Version(yuccadocument.SectionLimits), err)
		}
		c.check(t)
	})
}

// While no target is there requests wait for the service's recovery time, then
// fail with a true "not run".
func TestRecoveryWait(t *testing.T) {
	inCluster(t, 22, 1, 1, 1, func(t *testing.T, c *cluster) {
		for _, n := range c.sides {
			c.crash(n)
		}
		time.Sleep(4 * time.Second)
		late := c.submit(c.entries[0], jobSpec{id: "never", tasks: 1, run: time.Millisecond, deadline: 30 * time.Second})
		if !late.Outcome.GetNotRun() {
			t.Errorf("without targets the answer is %+v", late)
		}
		spec := jobSpec{id: "held", tasks: 1, run: time.Millisecond, deadline: 30 * time.Second}
		c.submitLater(c.entries[0], spec)
		time.Sleep(time.Second)
		c.start(c.sides[0])
		c.callers.Wait()
		if complete := c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 1 {
			t.Errorf("%d held jobs are complete, expected 1", complete)
		}
		c.check(t)
	})
}

// A job that was answered failed and not run stays so: after its owner has
// died, a resubmission elsewhere does not run it.
func TestWhatWasSaidNotToBeRunStaysSo(t *testing.T) {
	inCluster(t, 23, 3, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		full := jobSpec{id: "full", tasks: len(c.sides) * testSlots, run: 4 * time.Second, deadline: 20 * time.Second}
		c.submitLater(c.entries[0], full)
		time.Sleep(200 * time.Millisecond)
		spec := jobSpec{id: "discount", tasks: 1, run: time.Millisecond, deadline: time.Second}
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
		c.check(t)
	})
}

// A job that was first submitted longer ago than claims are surely kept is not
// run, and its caller is told that nobody knows whether it was.
func TestOldSubmissionIsNotRun(t *testing.T) {
	inCluster(t, 24, 1, 1, 1, func(t *testing.T, c *cluster) {
		spec := jobSpec{id: "yesterday", tasks: 1, run: time.Millisecond, deadline: 5 * time.Second, submittedAgo: 31 * time.Minute}
		answer := c.submit(c.entries[0], spec)
		if answer.Rejection != yuccadispatch.TooOld || answer.Rejection.NotRun() {
			t.Errorf("answered %+v", answer)
		}
		spec.id, spec.submittedAgo = "today", 29*time.Minute
		if answer := c.submit(c.entries[0], spec); !answer.Outcome.GetComplete() {
			t.Errorf("answered %+v", answer)
		}
		if starts := c.count(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("%d starts, expected 1", starts)
		}
	})
}

// A refusal says when another try may help.
func TestRefusalsSayWhenToTryAgain(t *testing.T) {
	inCluster(t, 25, 1, 2, 1, func(t *testing.T, c *cluster) {
		draining := c.entries[0]
		c.submitLater(draining, jobSpec{id: "long", tasks: 1, run: 5 * time.Second, deadline: 20 * time.Second})
		time.Sleep(time.Second)
		c.callers.Go(func() { draining.entry.Drain(draining.ctx) })
		time.Sleep(100 * time.Millisecond)
		answer := c.submit(draining, jobSpec{id: "new", tasks: 1, run: time.Millisecond, deadline: 5 * time.Second})
		if answer.Rejection != yuccadispatch.Draining || answer.RetryAfter < time.Second {
			t.Errorf("answered %+v", answer)
		}
		c.callers.Wait()
		c.check(t)
	})
}

// A data centre that is out costs no more messages than one that is in.
func TestDataCentreThatIsOutIsQuiet(t *testing.T) {
	inCluster(t, 26, 1, 2, 2, func(t *testing.T, c *cluster) {
		idle := func() int {
			time.Sleep(2 * time.Second)
			before := c.fabric.Messages()
			time.Sleep(10 * time.Second)
			return c.fabric.Messages() - before
		}
		in := idle()
		c.setDataCentre(testCentres[0], true)
		if out := idle(); out > in+in/10 {
			t.Errorf("%d messages in 10 s while a data centre is out, %d while all are in", out, in)
		}
	})
}

// A drain that is ended early returns at once, and says what is cut.
func TestDrainEndsWithItsContext(t *testing.T) {
	inCluster(t, 27, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.submitLater(c.entries[0], jobSpec{id: "long", tasks: 2, run: 20 * time.Second, deadline: 30 * time.Second})
		time.Sleep(time.Second)
		for _, n := range c.sides {
			ctx, cancel := context.WithCancel(n.ctx)
			time.AfterFunc(time.Second, cancel)
			began := time.Now()
			running := len(c.runningAt(n))
			if cut := n.side.Drain(ctx); cut != running || time.Since(began) > 2*time.Second {
				t.Errorf("%s: %d of %d cut after %s", n.name, cut, running, time.Since(began))
			}
		}
		ctx, cancel := context.WithTimeout(c.entries[0].ctx, time.Second)
		defer cancel()
		if cut := c.entries[0].entry.Drain(ctx); cut != 1 {
			t.Errorf("the entry says that %d jobs are cut, expected 1", cut)
		}
	})
}

// runningAt lists the tasks that were started at the node and have not finished.
func (c *cluster) runningAt(n *node) []string {
	var running []string
	for _, e := range c.recorder.Events() {
		if e.Node == n.name && e.Kind == yuccahistory.Started {
			running = append(running, e.Task)
		}
	}
	return running
}

// An entry whose jobs were taken over while it was cut off serves callers again
// once it is back, with the configuration that it had.
func TestFencedEntryServesAgain(t *testing.T) {
	inCluster(t, 28, 3, 2, 1, func(t *testing.T, c *cluster) {
		cut := c.entries[0]
		spec := jobSpec{id: "fenced", tasks: 1, run: time.Second, deadline: 15 * time.Second}
		c.submitLater(cut, spec)
		time.Sleep(200 * time.Millisecond)
		c.fabric.Isolate(cut.name, c.names()...)
		c.submit(c.entries[1], spec)
		if cut.entry.Ready() {
			t.Fatal("the cut-off entry still has a lease")
		}
		c.healAll()
		time.Sleep(5 * time.Second)
		if answer := c.submit(cut, jobSpec{id: "again", tasks: 1, run: time.Millisecond, deadline: 5 * time.Second}); !answer.Outcome.GetComplete() {
			t.Errorf("after the cut the entry answered %+v", answer)
		}
		if restarts := cut.metrics.Value("restarts_fenced"); restarts != 1 {
			t.Errorf("the entry took up %d new incarnations, expected 1", restarts)
		}
		c.callers.Wait()
		c.check(t)
	})
}

// A task that was started once and waits to be started again was not "not run".
func TestRepeatedTaskIsNotSaidNotToBeRun(t *testing.T) {
	inCluster(t, 29, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.callers.Go(func() {
			time.Sleep(500 * time.Millisecond)
			for _, n := range c.sides {
				c.crash(n)
			}
		})
		answer := c.submit(c.entries[0], jobSpec{id: "again", tasks: 1, run: 2 * time.Second, deadline: 8 * time.Second, repeatable: true})
		c.callers.Wait()
		if answer.Outcome == nil || answer.Outcome.GetNotRun() {
			t.Errorf("answered %+v", answer)
		}
		c.check(t)
	})
}
