package yuccadispatch

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaqueue"
)

// A service whose slots are shared with another entry drains at half of what its
// slots could do, and the expected wait must tell so.
func TestExpectedWaitFollowsCompletionRate(t *testing.T) {
	now := time.Now()
	sv := &service{queue: yuccaqueue.New[string, *task](), slots: 80, meanRunTime: time.Second}
	for range 400 {
		sv.queue.Push("parishes", 1, &task{})
	}
	if wait := sv.expectedWait("parishes", 1, 0); wait != 5*time.Second {
		t.Errorf("before any rate is known the wait is %s, expected 5s", wait)
	}
	for range 20 {
		sv.rate.tick(now)
		now = now.Add(rateInterval)
		sv.rate.finished += 20
	}
	if wait := sv.expectedWait("parishes", 1, 0); wait < 9500*time.Millisecond || wait > 10500*time.Millisecond {
		t.Errorf("at 40 tasks a second the wait for 400 is %s, expected 10s", wait)
	}
}

// What finishes while nothing waits says nothing of what could finish.
func TestRateIgnoresIdleIntervals(t *testing.T) {
	now := time.Now()
	r := rate{perSecond: 100, intervalStart: now}
	r.idle = true
	r.finished = 1
	r.tick(now.Add(rateInterval))
	if r.perSecond != 100 || r.idle || r.finished != 0 {
		t.Errorf("the rate is %+v", r)
	}
}
