package yuccasystemtest

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

// limitClaims applies a retention of claims of one minute, and waits for it.
func (c *cluster) limitClaims() {
	command := sectionCommand("limits", 1, "l2", `{"claims_kept": "1m", "teams": {"parishes": {"weight": 2}, "councils": {}}}`)
	command.GetApplySection().AtUnixMs = time.Now().UnixMilli()
	c.apply(command)
	time.Sleep(2 * time.Second)
}

func (c *cluster) allowLongRuns() {
	c.apply(sectionCommand("services", 1, "s2", `{"regulation": {"objective": "work_done", "max_run": "10m"}}`))
}

// Jobs that were admitted under the limits before are still running.
func TestShorterRetentionKeepsClaimsOfRunningJobs(t *testing.T) {
	withCluster(t, 38, 3, 2, 1, func(t *testing.T, c *cluster) {
		c.allowLongRuns()
		time.Sleep(2 * time.Second)
		spec := jobSpec{id: "key", tasks: 1, runTime: 9 * time.Minute, deadline: 10 * time.Minute}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.limitClaims()
		time.Sleep(8 * time.Minute)
		again := spec
		again.deadline = 20 * time.Second
		c.submit(c.entries[1], again)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("got %d starts of one task", starts)
		}
		c.checkHistory(t)
	})
}

// Another entry takes the job over shortly before its claim is dropped, for a caller who
// waits for longer than that.
func TestJobThatWasTakenOverEndsBeforeItsClaim(t *testing.T) {
	withCluster(t, 39, 1, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		c.allowLongRuns()
		c.limitClaims()
		spec := jobSpec{id: "key", tasks: 3 * testSlots, runTime: 45 * time.Second, deadline: time.Minute}
		submitted := time.Now()
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.crash(c.entries[0])
		time.Sleep(40 * time.Second)
		answer := c.submit(c.entries[1], spec)
		if age := time.Since(submitted); age > time.Minute {
			t.Errorf("the job ended %s after its claim: %+v", age, answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts <= 2*testSlots {
			t.Errorf("got %d starts, want some by the new owner", starts)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}
