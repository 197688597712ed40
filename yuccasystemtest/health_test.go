package yuccasystemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

func (c *cluster) countStarts(n *node) int {
	starts := 0
	for _, e := range c.recorder.Events() {
		if e.Kind == yuccahistory.Started && e.Node == n.name {
			starts++
		}
	}
	return starts
}

// A worker that fails every task is ejected, so that repeatable jobs succeed
// elsewhere, and gets its share of tasks again after it has recovered.
func TestFailingWorkerIsEjected(t *testing.T) {
	withCluster(t, 31, 1, 1, 2, func(t *testing.T, c *cluster) {
		failing := c.sides[0]
		failing.failsTasks.Store(true)
		for i := range 300 {
			c.submit(c.entries[0], jobSpec{id: fmt.Sprintf("e%d", i), tasks: 1, runTime: 50 * time.Millisecond, deadline: 10 * time.Second, repeatable: true})
		}
		if complete := c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete); complete != 300 {
			t.Errorf("%d of 300 jobs completed, want all", complete)
		}
		// 300 jobs of 50 ms take some 17 s: five failures, then a probe each 5 s.
		if starts := c.countStarts(failing); starts > 12 {
			t.Errorf("the failing worker got %d of 300 tasks, want at most 12", starts)
		}
		failing.failsTasks.Store(false)
		time.Sleep(6 * time.Second)
		before := c.countStarts(failing)
		for i := range 100 {
			c.submit(c.entries[0], jobSpec{id: fmt.Sprintf("m%d", i), tasks: 1, runTime: 50 * time.Millisecond, deadline: 10 * time.Second})
		}
		if starts := c.countStarts(failing) - before; starts < 20 {
			t.Errorf("the recovered worker got %d of 100 tasks, want at least 20", starts)
		}
		c.checkHistory(t)
	})
}

// If jobs fail at all workers, no worker is ejected.
func TestJobsFailingEverywhereEjectNoWorker(t *testing.T) {
	withCluster(t, 32, 1, 1, 2, func(t *testing.T, c *cluster) {
		for _, n := range c.sides {
			n.failsTasks.Store(true)
		}
		for i := range 40 {
			c.submit(c.entries[0], jobSpec{id: fmt.Sprintf("f%d", i), tasks: 2, runTime: 10 * time.Millisecond, deadline: 10 * time.Second})
		}
		for _, n := range c.sides {
			n.failsTasks.Store(false)
		}
		answer := c.submit(c.entries[0], jobSpec{id: "all", tasks: len(c.sides) * testSlots, runTime: time.Second, deadline: 1900 * time.Millisecond})
		if !answer.Outcome.GetComplete() {
			t.Errorf("a job that needs every slot was answered %+v, want a complete outcome", answer)
		}
	})
}
