package yuccasystemtest

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// sideRetentionTime is longer than sides retain the records of a job after its
// deadline.
const sideRetentionTime = 7 * time.Minute

// A job that completed long ago is not run again if its owner has restarted since.
func TestCompletedJobIsNotRunAgain(t *testing.T) {
	withCluster(t, 30, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		spec := jobSpec{id: "toll", tasks: 4, runTime: 100 * time.Millisecond, deadline: 10 * time.Second}
		if answer := c.submit(c.entries[0], spec); !answer.Outcome.GetComplete() {
			t.Fatalf("answered %+v, want a complete outcome", answer)
		}
		time.Sleep(sideRetentionTime)
		c.stop(c.entries[0])
		c.start(c.entries[0])
		time.Sleep(time.Second)
		answer := c.submit(c.entries[1], spec)
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("got %d starts of %d tasks, want one each; answered %+v", starts, spec.tasks, answer)
		}
		c.checkHistory(t)
	})
}

// A job whose owner crashed is not run again once the sides have dropped their
// records of it.
func TestForgottenTasksAreNotStartedAgain(t *testing.T) {
	withCluster(t, 31, 3, 2, 2, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		spec := jobSpec{id: "toll", tasks: 4, runTime: time.Second, deadline: 10 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(500 * time.Millisecond)
		c.crash(c.entries[0])
		time.Sleep(sideRetentionTime)
		answer := c.submit(c.entries[1], spec)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("got %d starts of %d tasks, want one each; answered %+v", starts, spec.tasks, answer)
		}
		if answer.Outcome.GetComplete() || answer.Outcome.GetNotRun() {
			t.Errorf("answered %+v, want neither complete nor not run", answer)
		}
		c.checkHistory(t)
	})
}

// An entry that was cut off from the controls does not know a side that joined and
// was lost meanwhile. Tasks that this side started are not started again.
func TestTakeOverAfterUnseenSideWasLost(t *testing.T) {
	withCluster(t, 32, 3, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(2 * memberSettleTime)
		cutOff := c.entries[1]
		for _, control := range c.controls {
			c.fabric.Isolate(cutOff.name, control.name)
		}
		time.Sleep(4 * time.Second)
		unseen := &node{name: "side-cusco-9", dataCentre: "cusco"}
		c.sides = append(c.sides, unseen)
		c.start(unseen)
		c.awaitReady(c.entries[0])
		spec := jobSpec{id: "toll", tasks: len(c.sides) * testSlots, runTime: 2 * time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(500 * time.Millisecond)
		c.crash(c.entries[0])
		c.crash(unseen)
		time.Sleep(4 * time.Second)
		c.healAll()
		time.Sleep(2 * time.Second)
		answer := c.submit(cutOff, spec)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("got %d starts of %d tasks, want one each; answered %+v", starts, spec.tasks, answer)
		}
		c.checkHistory(t)
	})
}

// A cancellation by the former owner, which doesn't know yet that it is fenced, does not
// end what the next owner has started.
func TestFencedOwnerCancelsNothing(t *testing.T) {
	withCluster(t, 33, 1, 1, 1, func(t *testing.T, c *cluster) {
		former, next := c.dialUnleasedAs(c.sides[0], "former"), c.dialUnleasedAs(c.sides[0], "next")
		job := &yuccawire.JobKey{Team: testTeam, Id: "toll"}
		fence := &yuccawire.Fence{Owner: "former", Incarnation: 1}
		start := &yuccawire.Start{
			Key: &yuccawire.TaskKey{Job: job, Task: "t", Attempt: 1}, Owner: "next", OwnerIncarnation: 1,
			SideIncarnation: next.side.GetIncarnation(), Service: testService, DeadlineMs: 60_000,
			Request: &yuccawire.Request{Method: "POST", Path: "/", Body: []byte("1s")},
		}
		_ = next.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Gather{Gather: &yuccawire.Gather{Job: job, Fence: fence}}})
		_ = next.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Start{Start: start}})
		time.Sleep(100 * time.Millisecond)
		_ = former.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Cancel{Cancel: &yuccawire.Cancel{Jobs: []*yuccawire.JobKey{job}}}})
		for {
			m, err := next.link.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if f := m.GetFinished(); f != nil {
				if f.GetState() != yuccawire.TaskState_TASK_FINISHED {
					t.Errorf("the task of the next owner ended with %s, want TASK_FINISHED", f.GetState())
				}
				return
			}
		}
	})
}

// A request with a key and without a submission time has no age. Its claim is dropped by its
// age alone.
func TestClaimIsDroppedWhileItsJobRuns(t *testing.T) {
	withCluster(t, 35, 1, 2, 1, func(t *testing.T, c *cluster) {
		c.apply(sectionCommand("services", 1, "s2", `{"regulation": {"objective": "work_done", "max_run": "10m"}}`))
		c.apply(sectionCommand("limits", 1, "l2", `{"claims_kept": "1m", "teams": {"parishes": {"weight": 2}, "councils": {}}}`))
		time.Sleep(2 * time.Second)
		spec := jobSpec{id: "key", tasks: 1, runTime: 4 * time.Minute, deadline: 8 * time.Minute}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(2 * time.Minute)
		c.submitAsync(c.entries[1], spec)
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// An entry that gets no updates for a moment, and keeps its lease, sees only the second
// incarnation of a side that joins and restarts meanwhile. Tasks that the first one started
// are not started again.
func TestTakeOverAfterUnseenIncarnationWasLost(t *testing.T) {
	withCluster(t, 34, 1, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(2 * memberSettleTime)
		cutOff := c.entries[1]
		c.fabric.Isolate(cutOff.name, c.controls[0].name)
		unseen := &node{name: "side-cusco-9", dataCentre: "cusco"}
		c.sides = append(c.sides, unseen)
		c.start(unseen)
		time.Sleep(300 * time.Millisecond)
		spec := jobSpec{id: "toll", tasks: len(c.sides) * testSlots, runTime: 2 * time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(200 * time.Millisecond)
		c.crash(c.entries[0])
		c.crash(unseen)
		c.start(unseen)
		time.Sleep(300 * time.Millisecond)
		c.fabric.CloseLinks(cutOff.name, c.controls[0].name)
		c.healAll()
		time.Sleep(5 * time.Second)
		answer := c.submit(cutOff, spec)
		c.callers.Wait()
		want := spec.tasks - testSlots // the unseen one is sent no tasks, since cutOff doesn't know it
		if starts := c.countEvents(yuccahistory.Started, ""); starts != want {
			t.Errorf("got %d starts, want %d; answered %+v", starts, want, answer)
		}
		c.checkHistory(t)
	})
}

// An entry that keeps its lease never hears of a side that came and went with the leader.
func TestTakeOverAfterSideOfFormerLeaderWasLost(t *testing.T) {
	withCluster(t, 41, 3, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(2 * memberSettleTime)
		cutOff, former := c.entries[1], c.leader()
		c.fabric.Isolate(cutOff.name, former.name)
		unseen := &node{name: "side-cusco-9", dataCentre: "cusco"}
		c.sides = append(c.sides, unseen)
		c.start(unseen)
		time.Sleep(150 * time.Millisecond)
		spec := jobSpec{id: "toll", tasks: len(c.sides) * testSlots, runTime: 2 * time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(100 * time.Millisecond)
		c.crash(c.entries[0])
		c.crash(unseen)
		c.crash(former)
		c.fabric.CloseLinks(cutOff.name, former.name)
		c.healAll()
		time.Sleep(8 * time.Second)
		answer := c.submit(cutOff, spec)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != spec.tasks {
			t.Errorf("got %d starts of %d tasks, want one each; answered %+v", starts, spec.tasks, answer)
		}
		c.checkHistory(t)
	})
}
