package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Action is an operation that the caller of [Dispatcher.Actions] has to execute.
// It is one of the types below.
type Action any

// SendControl sends a message to the leader of the controls.
type SendControl struct{ Message *yuccawire.Envelope }

// SendSide sends a message to a side or another entry. The message is dropped
// if the link is closed.
type SendSide struct {
	Name    string
	Message *yuccawire.Envelope
}

// SendStart sends a start order to a side. Before sending, set the deadline
// field of the message to the time between the hello of the link and Deadline.
type SendStart struct {
	Name     string
	Start    *yuccawire.Start
	Deadline time.Time
}

// OpenLink opens a link to a side or another entry and keeps it open until
// [CloseLink].
type OpenLink struct{ Node *yuccawire.Node }

// CloseLink closes the link to a process that left the member list.
type CloseLink struct{ Name string }

// Answer delivers the outcome of a job to its callers, or the rejection if it
// has none.
type Answer struct {
	Key       Key
	Outcome   *yuccawire.Outcome
	Rejection Rejection
	// RetryAfter is the delay after which a retry may succeed, or zero.
	RetryAfter time.Duration
	// MaxDeadline is the longest deadline, set with [DeadlineTooLong].
	MaxDeadline time.Duration
}

// WatchResult is the answer to [Dispatcher.Watch].
type WatchResult struct {
	Key   Key
	Known bool
	// Undetermined is set if the job may be known to an entry that gave no answer.
	Undetermined bool
	// Outcome is nil until the job is settled.
	Outcome *yuccawire.Outcome
}

// Rejection is the reason why a job has no outcome at this entry.
type Rejection int

// Rejections. "Not run" means that no task of the job was started.
const (
	// NotRejected: the job was admitted or has an outcome.
	NotRejected Rejection = iota
	// UnknownTeam: the team is not configured; not run.
	UnknownTeam
	// UnknownService: the service is not configured; not run.
	UnknownService
	// NotAllowed: the team is not permitted to call the service; not run.
	NotAllowed
	// QueueFull: the team has too many queued tasks; not run.
	QueueFull
	// CannotMeetDeadline: the deadline has passed, or the expected wait exceeds
	// it; not run.
	CannotMeetDeadline
	// NoTarget: the service has no target; not run.
	NoTarget
	// NoLease: this entry has no valid lease to own jobs, and cannot determine
	// whether an earlier submission was run.
	NoLease
	// Draining: this entry is shutting down; not run.
	Draining
	// Conflict: the ID belongs to a job with different tasks; not run.
	Conflict
	// Expired: the job has completed and its outcome is no longer retained.
	Expired
	// TooOld: the job was first submitted too long ago to determine whether it
	// was run.
	TooOld
	// OutcomeUnknown: the outcome could not be determined, for example because
	// the owner could not be reached before the deadline.
	OutcomeUnknown
	// DeadlineTooLong: the deadline is longer than the claim of the job would be
	// kept; not run.
	DeadlineTooLong
)

// NotRun reports whether a job with this rejection is known not to have run.
func (r Rejection) NotRun() bool {
	switch r {
	case UnknownTeam, UnknownService, NotAllowed, QueueFull, CannotMeetDeadline, NoTarget, Draining, Conflict, DeadlineTooLong:
		return true
	case NotRejected, NoLease, Expired, TooOld, OutcomeUnknown:
	}
	return false
}

// Admission is the immediate result of [Dispatcher.Submit].
type Admission struct {
	Rejection Rejection
	// RetryAfter is the delay after which a retry may succeed, or zero.
	RetryAfter time.Duration
	// MaxDeadline is the longest deadline, set with [DeadlineTooLong].
	MaxDeadline time.Duration
	// Answer is set if the job was settled by an earlier submission.
	Answer *Answer
}
