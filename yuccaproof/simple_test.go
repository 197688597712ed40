package yuccaproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

func TestJobsAreAnsweredWhole(t *testing.T) {
	inCluster(t, 1, 3, 2, 2, func(t *testing.T, c *cluster) {
		for i := range 20 {
			c.submitLater(c.entries[i%2], jobSpec{id: fmt.Sprintf("j%d", i), tasks: 1 + i, run: 100 * time.Millisecond, deadline: 20 * time.Second})
		}
		c.callers.Wait()
		c.check(t)
		if complete := c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 20 {
			t.Errorf("%d of 20 jobs are complete", complete)
		}
	})
}

func TestResubmissionJoinsTheJob(t *testing.T) {
	inCluster(t, 2, 3, 2, 2, func(t *testing.T, c *cluster) {
		spec := jobSpec{id: "toll", tasks: 3, run: time.Second, deadline: 20 * time.Second}
		c.submitLater(c.entries[0], spec)
		time.Sleep(200 * time.Millisecond)
		c.submitLater(c.entries[1], spec)
		c.submitLater(c.entries[0], spec)
		c.callers.Wait()
		c.submit(c.entries[1], spec)
		c.check(t)
		if complete := c.count(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 4 {
			t.Errorf("%d of 4 callers heard that the job is complete", complete)
		}
		if starts := c.count(yuccahistory.Started, ""); starts != 3 {
			t.Errorf("%d starts of 3 tasks", starts)
		}
	})
}
