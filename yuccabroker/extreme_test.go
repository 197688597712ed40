package yuccabroker_test

import (
	"math"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// An estimate of 2^32 + 5 ms reached the side as one of 5 ms, by which the run was overdue.
func TestLongEstimateIsNotCut(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Steps[0].Estimate = (1<<32 + 5) * time.Millisecond
	j.Deadline = f.now.Add(1 << 62)
	f.submit(j, 1)
	if got := f.orders["s1"][0].GetJobs()[0].GetTasks()[0].GetEstimateMs(); got < uint32(time.Hour.Milliseconds()) {
		t.Errorf("the side gets an estimate of %d ms", got)
	}
}

// The side took an order that expires in 292 years for one that has expired, and refused it.
func TestDistantDeadlineFitsTheClockOfTheSide(t *testing.T) {
	f := newFixture(t, "s1")
	j := job("a", 1)
	j.Deadline = f.now.Add(math.MaxInt64)
	f.submit(j, 1)
	f.submit(j, 2)
	j.ID = "b"
	f.submit(j, 3)
	for _, orders := range f.orders["s1"] {
		if expires := orders.GetJobs()[0].GetExpiresMs(); expires > uint64(math.MaxInt64/time.Millisecond) {
			t.Errorf("the order expires at %d ms", expires)
		}
	}
}

// Each of these queues is readable. The objective and the rank of their jobs overflowed:
// the jobs counted as late, were refused, or went before all others.
func TestExtremeQueues(t *testing.T) {
	for name, queue := range map[string]yuccabroker.Queue{
		"stretch":             {Priority: 1, Stretch: math.MaxFloat64},
		"target latency":      {Priority: 1, Stretch: 1.6, TargetLatency: math.MaxInt64},
		"target latency 2^62": {Priority: 1, Stretch: 1.6, TargetLatency: 1 << 62},
		"both":                {Priority: 1, Stretch: math.MaxFloat64, TargetLatency: math.MaxInt64, MaxAttempts: math.MaxInt},
		"priority":            {Priority: math.MaxInt, Stretch: 1.6, TargetLatency: time.Second},
		"priority 2^38":       {Priority: 1 << 38, Stretch: 1.6, TargetLatency: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			queue.Name, queue.Service = "odd", "belfry"
			odd, usual := job("odd", 1), job("usual", 1)
			odd.Queue = queue
			f.submit(usual, 1)
			f.submit(odd, 2)
			first, second := f.orders["s1"][0].GetJobs()[0], f.orders["s1"][1].GetJobs()[0]
			if second.GetTier() != 1 || second.GetRankMs() <= first.GetRankMs() {
				t.Errorf("the job has tier %d and rank %d ms, the usual one rank %d ms", second.GetTier(), second.GetRankMs(), first.GetRankMs())
			}
			f.report("s1", 0)
			odd.ID, odd.Steps[0].CPUMilli = "waiting", fullCPU
			f.submit(odd, 3)
			f.advance(200 * time.Millisecond)
			if o, answered := f.answers[3]; answered {
				t.Errorf("the waiting job was answered with %v", o)
			}
		})
	}
}
