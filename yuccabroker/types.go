package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Queue is what the configuration says of a queue.
type Queue struct {
	Name string
	// Service is what the workers of its tasks run.
	Service string
	// Priority orders queues, zero first.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed.
	MaxAttempts int
	// Stretch times the longest chain of a job's tasks, and TargetLatency more,
	// is the objective of its response time.
	Stretch       float64
	TargetLatency time.Duration
}

// Job is a decoded submission.
type Job struct {
	ID      string
	Queue   Queue
	Payload []byte
	Steps   []Step
	// Deadline is when its caller stops waiting.
	Deadline time.Time
	// Traceparent is the span of the job, empty where none is traced.
	Traceparent string
}

// Step is a number of equal tasks.
type Step struct {
	Count        int
	CPUMilli     int
	MemoryMB     int
	Accelerators int
	Estimate     time.Duration
	// After lists the steps that must be done first.
	After []int
	// Label is one that the worker must have, empty for none.
	Label string
	// NearRack is the label of the rack where its data is, empty for none.
	NearRack string
	// Spread is how many of its tasks may run on one worker, zero for any.
	Spread int
}

// State is how far a job is.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	// GivenUp: it was ended before it was done; tasks of it may have run.
	Abandoned
	// Rejected: nothing of it has run, and nothing will.
	Rejected
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "given_up", "rejected"}[s]
}

// Outcome is the answer to a job.
type Outcome struct {
	State State
	// Reason says why a job was not completed.
	Reason string
	// RetryAfter is when a rejected job may be served.
	RetryAfter time.Duration
}

// Answer is the action that ends the wait of one caller.
type Answer struct {
	Waiter  uint64
	Outcome Outcome
}

// Send is the action that passes a message to a side.
type Send struct {
	Side    string
	Message *yuccawire.Envelope
}

// Action is one of Answer and Send.
type Action any

// Side is a process beside a worker, as the mesh knows it.
type Side struct {
	Name        string
	Incarnation uint64
	DataCentre  string
}
