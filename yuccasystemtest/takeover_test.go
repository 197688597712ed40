package yuccasystemtest

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
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
