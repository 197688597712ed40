package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Report is what a worker says of itself.
type Report struct {
	// ID names the worker and Born one life of it, in milliseconds since 1970.
	ID          string
	StartedAtMS int64
	// Service is what it runs.
	Service string
	// CPUMilli, MemoryMB and Accelerators are its size.
	CPUMilli     int
	MemoryMB     int
	Accelerators int
	Labels       []string
	// Leaving tells that it takes no new work.
	Leaving bool
	// ClockMS is its steady clock.
	ClockMS int64
	// Sequence grows with each report of one life.
	Sequence int64
}

// sameShape tells whether what seldom changes is equal.
func (r Report) sameSpec(other Report) bool {
	return r.ID == other.ID && r.Service == other.Service && r.CPUMilli == other.CPUMilli && r.MemoryMB == other.MemoryMB &&
		r.Accelerators == other.Accelerators && slices.Equal(r.Labels, other.Labels)
}

// Key names one run of a task.
type Key struct {
	Task string
	Run  uint64
}

// Owner is one incarnation of an entry.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Incarnation names one life of a worker.
type Incarnation struct {
	ID          string
	StartedAtMS int64
}

// Result tells what became of a start.
type Result int

// Results of a start.
const (
	// StartUnknown: no answer came; it may have been carried out, or may be yet.
	ResultUnknown Result = iota
	// Started: the run is there.
	ResultOK
	// StartNoRoom, StartLate, StartOld and StartUnhealthy: it was not started.
	ResultNoCapacity
	ResultExpired
	ResultOldRun
	ResultUnhealthy
	// StartFenced: a later holder has used a higher token.
	ResultFenced
	// OtherLife: the worker there is another one.
	ResultOtherIncarnation
	// StartInvalid: the worker can't read the start.
	ResultInvalid
)

// HoldResult is the answer to a renewal of the hold.
type HoldResult struct {
	Incarnation Incarnation
	// Result is Started where the worker has answered, StartUnknown, StartFenced
	// or OtherLife.
	Result Result
	// SentAt is when the renewal left.
	SentAt      time.Time
	ClockMS     int64
	Running     []Key
	Completions []Completion
}

// Completion is one entry of the worker's list of ends.
type Completion struct {
	Number int64
	Key    Key
	// End is how it ended.
	Outcome yuccawire.RunEnd
}

// Action is what the owner of a core has to carry out: one of CallStart,
// CallStop, CallHold and Send.
type Action any

// CallStart starts a run at the worker.
type CallStart struct {
	Incarnation Incarnation
	Key         Key
	Payload     []byte
	DeadlineMS  int64
	Token       int64
	// Timeout is when the start counts as unanswered.
	Timeout time.Duration
	// Traceparent is the span of the job, empty where none is traced.
	Traceparent string
}

// CallStop stops a run at the worker.
type CallStop struct {
	Incarnation Incarnation
	Key         Key
	Token       int64
	// Timeout is when the stop counts as unanswered.
	Timeout time.Duration
}

// CallHold renews the hold and asks for what runs and what has ended.
type CallHold struct {
	Incarnation Incarnation
	DeadlineMS  int64
	Token       int64
	// Cursor is the number up to which ends were taken note of.
	Cursor int64
	Wait   time.Duration
	// Timeout is when the renewal counts as lost.
	Timeout time.Duration
	// SentAt names the renewal; it is part of the answer.
	SentAt time.Time
}

// Send passes a message to an owner.
type Send struct {
	Owner   Owner
	Message *yuccawire.Envelope
}
