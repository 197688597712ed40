package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Report is the self-description that a worker sends at regular intervals.
type Report struct {
	// ID identifies the worker. StartedAtMS, in milliseconds since 1970,
	// identifies its incarnation.
	ID          string
	StartedAtMS int64
	// Service is the service whose tasks the worker runs.
	Service string
	// CPUMilli, MemoryMB and Accelerators are the capacity of the worker.
	CPUMilli     int
	MemoryMB     int
	Accelerators int
	Labels       []string
	// Leaving is set while the worker drains: it accepts no new runs.
	Leaving bool
	// Remaining is how long a leaving worker has at least, zero if it has not said so.
	Remaining time.Duration
	// ClockMS is the worker's monotonic clock in milliseconds.
	ClockMS int64
	// Sequence increases with each report of an incarnation.
	Sequence int64
}

func (r Report) capacity() resources {
	return resources{cpuMilli: r.CPUMilli, memoryMB: r.MemoryMB, accelerators: r.Accelerators}
}

// suits reports whether the worker is of the service and has the label that a run needs.
func (r Report) suits(run *run) bool {
	return run.service == r.Service && (run.label == "" || slices.Contains(r.Labels, run.label))
}

// sameSpec reports whether both reports agree in the fields that seldom change.
func (r Report) sameSpec(other Report) bool {
	return r.ID == other.ID && r.Service == other.Service && r.CPUMilli == other.CPUMilli && r.MemoryMB == other.MemoryMB &&
		r.Accelerators == other.Accelerators && slices.Equal(r.Labels, other.Labels)
}

// Key identifies one run of a task. Later runs of a task have higher numbers.
type Key struct {
	Task string
	Run  uint64
}

// Owner identifies one incarnation of an entry.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Incarnation identifies one start of a worker process.
type Incarnation struct {
	ID          string
	StartedAtMS int64
}

// Result is the outcome of a call to the worker.
type Result int

// Results of calls. All but ResultUnknown and ResultUnreachable are answers of the
// worker.
const (
	// ResultUnknown means that no answer was received. The worker may have executed
	// the call, or may still execute it.
	ResultUnknown Result = iota
	// ResultUnreachable means that no process listens at the worker's address. The
	// call was not executed.
	ResultUnreachable
	// ResultOK means that the call succeeded. A run is running after a start.
	ResultOK
	// ResultNoCapacity, ResultExpired, ResultOldRun and ResultUnhealthy mean that
	// the run was not started.
	ResultNoCapacity
	ResultExpired
	ResultOldRun
	ResultUnhealthy
	// ResultFenced means that another process has used a higher token.
	ResultFenced
	// ResultOtherIncarnation means that the address belongs to another incarnation
	// or another worker, ResultRestarted and ResultOtherWorker to which of them.
	ResultOtherIncarnation
	ResultRestarted
	ResultOtherWorker
	// ResultInvalid means that the worker can't decode the call.
	ResultInvalid
)

// HoldResult is the answer to a renewal of the hold.
type HoldResult struct {
	Incarnation Incarnation
	// Result is ResultOK, ResultUnknown, ResultUnreachable, ResultFenced,
	// ResultOtherIncarnation, ResultRestarted or ResultOtherWorker.
	Result Result
	// SentAt is when the renewal was sent, from [CallHold].
	SentAt      time.Time
	ClockMS     int64
	Running     []Key
	Completions []Completion
}

// Completion is one entry of the worker's list of completed runs.
type Completion struct {
	Number int64
	Key    Key
	// Outcome is how the run ended.
	Outcome yuccawire.RunEnd
}

// Action is a side effect that the embedding process has to execute: one of
// CallStart, CallStop, CallHold, CallConnect, Send and ReleaseLink.
type Action any

// CallStart starts a run at the worker.
type CallStart struct {
	Incarnation Incarnation
	Key         Key
	Payload     []byte
	DeadlineMS  int64
	Token       int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Traceparent is the trace context of the job, empty if the job is not traced.
	Traceparent string
}

// CallStop stops a run at the worker.
type CallStop struct {
	Incarnation Incarnation
	Key         Key
	Token       int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// CallHold renews the hold and queries the running and completed runs.
type CallHold struct {
	// Incarnation is zero if any may execute the call.
	Incarnation Incarnation
	DeadlineMS  int64
	Token       int64
	// Cursor is the number of the last completion that was processed. The worker
	// may discard completions up to it.
	Cursor int64
	// Wait is how long the worker may delay its answer until a run completes.
	Wait time.Duration
	// Timeout is when the renewal counts as lost.
	Timeout time.Duration
	// SentAt identifies the renewal; it is returned with the answer.
	SentAt time.Time
}

// CallConnect finds out whether the worker's machine accepts connections.
type CallConnect struct {
	Incarnation Incarnation
	// Since is when the worker last answered. A connection that was accepted later is enough.
	Since time.Time
	// Timeout is how long to wait for the connection.
	Timeout time.Duration
	// SentAt identifies the call; it is returned with the result.
	SentAt time.Time
}

// Send sends a message to an owner.
type Send struct {
	Owner   Owner
	Message *yuccawire.Envelope
}

// ReleaseLink closes the surplus link of an owner that has no runs.
type ReleaseLink struct{ Owner Owner }
