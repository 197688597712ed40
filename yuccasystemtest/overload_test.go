package yuccasystemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

// A burst of jobs of one team does not delay another team, whose tasks wait for the
// next free slot, not for the end of the burst.
func TestBurstOfOneTeamDoesNotDelayOthers(t *testing.T) {
	withCluster(t, 41, 1, 1, 2, func(t *testing.T, c *cluster) {
		for i := range 50 {
			c.submitAsync(c.entries[0], jobSpec{team: "parishes", id: fmt.Sprintf("burst%d", i), tasks: 20, runTime: 200 * time.Millisecond, deadline: time.Minute})
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 20 {
			start := time.Now()
			answer := c.submit(c.entries[0], jobSpec{team: "councils", id: fmt.Sprintf("c%d", i), tasks: 1, runTime: 100 * time.Millisecond, deadline: 10 * time.Second})
			if took := time.Since(start); !answer.Outcome.GetComplete() || took > 350*time.Millisecond {
				t.Errorf("job %d took %s during the burst, want at most 350 ms and a complete outcome: %+v", i, took, answer.Rejection)
			}
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}

// The queue of a team is limited. Jobs above the limit are refused at once as not
// run.
func TestTeamQueueIsBounded(t *testing.T) {
	withCluster(t, 42, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.apply(sectionCommand(yuccadocument.SectionLimits, 1, "small", `{"teams": {"parishes": {"max_queued": 40, "max_running": 3}}}`))
		time.Sleep(time.Second)
		for i := range 100 {
			c.submitAsync(c.entries[0], jobSpec{id: fmt.Sprintf("q%d", i), tasks: 2, runTime: 200 * time.Millisecond, deadline: time.Minute})
			time.Sleep(time.Millisecond)
		}
		c.callers.Wait()
		c.checkHistory(t)
		refused := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeRefused)
		complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete)
		if refused+complete != 100 || complete < 20 || complete > 30 {
			t.Errorf("%d jobs completed and %d were refused, want 20 to 30 complete and 100 in total", complete, refused)
		}
		c.checkMaxRunning(t, 3)
	})
}

// checkMaxRunning checks that the number of concurrent tasks never exceeds the
// quota.
func (c *cluster) checkMaxRunning(t *testing.T, quota int) {
	t.Helper()
	running, maxRunning := 0, 0
	for _, e := range c.recorder.Events() {
		switch e.Kind {
		case yuccahistory.Started:
			running++
		case yuccahistory.Finished:
			running--
		}
		maxRunning = max(maxRunning, running)
	}
	if maxRunning > quota {
		t.Errorf("%d tasks ran at once, want at most %d", maxRunning, quota)
	}
}

// At a load of twice the capacity, refusals are in time and refused jobs do not
// run, and most accepted jobs complete.
func TestLoadAtTwiceTheCapacity(t *testing.T) {
	withCluster(t, 43, 1, 2, 2, func(t *testing.T, c *cluster) {
		// 16 slots run 32 tasks of 500 ms a second; 64 a second arrive.
		for i := range 400 {
			c.submitAsync(c.entries[i%2], jobSpec{id: fmt.Sprintf("o%d", i), tasks: 4, runTime: 500 * time.Millisecond, deadline: 5 * time.Second})
			time.Sleep(62500 * time.Microsecond)
		}
		c.callers.Wait()
		c.checkHistory(t)
		complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete)
		failed := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeFailed)
		if complete < 190 || failed > 20 {
			t.Errorf("%d jobs completed and %d failed, want at least 190 and at most 20", complete, failed)
		}
	})
}
