package yuccabroker

import (
	"math"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Queue is the configuration of a queue.
type Queue struct {
	Name string
	// Service is the service that runs its tasks.
	Service string
	// Priority is zero for the most urgent queues; higher values are less urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// The objective for the response time of a job is Stretch times its critical
	// path plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
}

// objective returns the objective of a job with that critical path, from its arrival.
func (q *Queue) objective(path time.Duration) time.Duration {
	return span(q.Stretch*float64(path)) + span(float64(q.TargetLatency))
}

// Job is a decoded submission.
type Job struct {
	ID      string
	Queue   Queue
	Payload []byte
	Steps   []Step
	// ReceivedAt is when the request reached this machine, if that was before it was submitted.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Traceparent identifies the span of the job, empty if it is not traced.
	Traceparent string
}

// MaxSize is the largest number of thousandths of a processor, of megabytes and of
// accelerators of a task: messages hold 32 bits, free capacities signed ones.
const MaxSize = math.MaxInt32

const (
	// maxEstimate, maxPriority and maxSpan limit what is computed with: larger values
	// count as these. Sums over the steps of a job don't overflow then.
	maxEstimate = time.Hour
	maxPriority = 1_000_000
	maxSpan     = 10 * 365 * 24 * time.Hour
)

// span converts nanoseconds to a duration from zero to maxSpan. Without limits, the result
// for large values depends on the processor.
func span(nanoseconds float64) time.Duration {
	return time.Duration(min(max(nanoseconds, 0), float64(maxSpan)))
}

// Step is a part of a job with a number of equal tasks.
type Step struct {
	Count        int
	CPUMilli     int
	MemoryMB     int
	Accelerators int
	Estimate     time.Duration
	// After holds the indices of the steps that it depends on.
	After []int
	// Label is required of the worker, empty for none.
	Label string
	// NearRack is the label of the rack that holds its data, empty for none.
	NearRack string
	// Spread is the maximum number of its tasks on one worker, zero for no limit.
	Spread int
}

// State is the state of a job.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	// Abandoned jobs were ended before completion; some of their tasks may have run.
	Abandoned
	// Rejected jobs have not run at all, and won't.
	Rejected
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "given_up", "rejected"}[s]
}

// Outcome is the answer to a job.
type Outcome struct {
	State State
	// Reason explains why a job was not completed.
	Reason string
	// RetryAfter is the suggested delay before a rejected job is submitted again.
	RetryAfter time.Duration
}

// Answer is the action that returns the outcome of a job to one waiter: the
// caller's request with the number that was passed to [Broker.Submit].
type Answer struct {
	Waiter  uint64
	Outcome Outcome
}

// Send is the action that sends a message to a side.
type Send struct {
	Side    string
	Message *yuccawire.Envelope
}

// Publish is the action that sends a message to the linked entries named in To, or to all if that is nil.
type Publish struct {
	Message *yuccawire.Envelope
	To      []string
}

// Action is an [Answer], a [Send] or a [Publish].
type Action any

// Side identifies an incarnation of a side, the process beside a worker.
type Side struct {
	Name        string
	Incarnation uint64
	DataCentre  string
}
