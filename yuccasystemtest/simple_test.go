package yuccasystemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

// Without faults, jobs of 1 to 20 tasks complete.
func TestJobsComplete(t *testing.T) {
	withCluster(t, 1, 3, 2, 2, func(t *testing.T, c *cluster) {
		for i := range 20 {
			c.submitAsync(c.entries[i%2], jobSpec{id: fmt.Sprintf("j%d", i), tasks: 1 + i, runTime: 100 * time.Millisecond, deadline: 20 * time.Second})
		}
		c.callers.Wait()
		c.checkHistory(t)
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 20 {
			t.Errorf("%d of 20 jobs completed, want all", complete)
		}
	})
}

// Resubmissions to any entry join the running job, whose tasks start only once.
func TestResubmissionJoinsJob(t *testing.T) {
	withCluster(t, 2, 3, 2, 2, func(t *testing.T, c *cluster) {
		spec := jobSpec{id: "toll", tasks: 3, runTime: time.Second, deadline: 20 * time.Second}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(200 * time.Millisecond)
		c.submitAsync(c.entries[1], spec)
		c.submitAsync(c.entries[0], spec)
		c.callers.Wait()
		c.submit(c.entries[1], spec)
		c.checkHistory(t)
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 4 {
			t.Errorf("%d of 4 callers received a complete outcome, want all", complete)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 3 {
			t.Errorf("got %d starts of 3 tasks, want one each", starts)
		}
	})
}
