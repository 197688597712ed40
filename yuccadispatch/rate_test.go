package yuccadispatch

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaqueue"
)

// If the slots of a service are shared with another entry, its queue drains at
// half the rate that the slots allow. The expected wait must reflect that.
func TestExpectedWaitFollowsCompletionRate(t *testing.T) {
	now := time.Now()
	sv := &service{queue: yuccaqueue.New[string, *task](), slots: 80, meanRunTime: time.Second}
	for range 400 {
		sv.queue.Push("parishes", 1, &task{})
	}
	if wait := sv.expectedWait("parishes", 1, 0); wait != 5*time.Second {
		t.Errorf("wait without an observed rate: got %s, want 5s", wait)
	}
	for range 20 {
		sv.rate.tick(now)
		now = now.Add(rateInterval)
		sv.rate.finished += 20
	}
	if wait := sv.expectedWait("parishes", 1, 0); wait < 9500*time.Millisecond || wait > 10500*time.Millisecond {
		t.Errorf("wait for 400 tasks at 40 tasks/s: got %s, want 10s", wait)
	}
}

// The completions of an interval with an empty queue must not change the rate,
// because they do not show how many tasks could have finished.
func TestRateIgnoresIdleIntervals(t *testing.T) {
	now := time.Now()
	r := rate{perSecond: 100, intervalStart: now}
	r.idle = true
	r.finished = 1
	r.tick(now.Add(rateInterval))
	if r.perSecond != 100 || r.idle || r.finished != 0 {
		t.Errorf("after an idle interval: got %+v, want perSecond 100 and a new interval", r)
	}
}

// Without any completion for a minute, the wait overflowed: jobs that can't meet their
// deadline were admitted, and refused ones sent away for 292 years.
func TestExpectedWaitOfStandstill(t *testing.T) {
	for _, perSecond := range []float64{1e-9, 1e-12, 1e-300} {
		sv := &service{queue: yuccaqueue.New[string, *task](), slots: 1, meanRunTime: time.Second, rate: rate{perSecond: perSecond}}
		for range 20_000 {
			sv.queue.Push("parishes", 1, &task{})
		}
		if wait := sv.expectedWait("parishes", 1, 1); wait != time.Hour {
			t.Errorf("wait at %g tasks/s: got %s, want the maximum of an hour", perSecond, wait)
		}
	}
}
