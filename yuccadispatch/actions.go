package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Action is one thing that the owner of a dispatcher has to carry out.
type Action any

// SendControl passes a message to the leading control.
type SendControl struct{ Message *yuccawire.Envelope }

// SendSide passes a message to a side or another entry. A message for a link
// that has ended is dropped.
type SendSide struct {
	Name    string
	Message *yuccawire.Envelope
}

// SendStart passes a start to a side. Its deadline field is to be set to the
// time from the hello of the link to the deadline.
type SendStart struct {
	Name     string
	Start    *yuccawire.Start
	Deadline time.Time
}

// OpenLink asks for a link to a side or another entry, until CloseLink.
type OpenLink struct{ Node *yuccawire.Node }

// CloseLink ends the link to a process that is gone.
type CloseLink struct{ Name string }

// Answer gives the callers of a job its outcome, or the reason why there is
// none.
type Answer struct {
	Key       Key
	Outcome   *yuccawire.Outcome
	Rejection Rejection
	// RetryAfter is when another try may help, or zero.
	RetryAfter time.Duration
}

// Found answers a watch.
type WatchResult struct {
	Key   Key
	Known bool
	// Outcome is nil while the job runs.
	Outcome *yuccawire.Outcome
}

// Rejection tells why a job gets no outcome here.
type Rejection int

// Rejections.
const (
	// NotRejected: the job has an outcome.
	NotRejected Rejection = iota
	// UnknownTeam: not run.
	UnknownTeam
	// UnknownService: not run.
	UnknownService
	// NotAllowed: the team may not call the service; not run.
	NotAllowed
	// QueueFull: the team has too many tasks waiting; not run.
	QueueFull
	// Late: the deadline can't be met; not run.
	CannotMeetDeadline
	// NoTarget: no target of the service is there; not run.
	NoTarget
	// NoLease: this entry may not own jobs now, and can't tell whether an
	// earlier submission was run.
	NoLease
	// Draining: this entry is shutting down; not run.
	Draining
	// Conflict: the id belongs to a job with other tasks; not run.
	Conflict
	// Expired: the job has ended and its outcome is no longer kept.
	Expired
	// TooOld: the job was first submitted too long ago to tell whether it was
	// run.
	TooOld
	// OutcomeUnknown: the owner could not be reached before the deadline.
	OutcomeUnknown
)

// NotRun tells whether a job with this rejection was certainly not run.
func (r Rejection) NotRun() bool {
	switch r {
	case UnknownTeam, UnknownService, NotAllowed, QueueFull, CannotMeetDeadline, NoTarget, Draining, Conflict:
		return true
	case NotRejected, NoLease, Expired, TooOld, OutcomeUnknown:
	}
	return false
}

// Admission is the answer to a submission.
type Admission struct {
	Rejection Rejection
	// RetryAfter is when another try may help, or zero.
	RetryAfter time.Duration
	// Ended is set when the job already has its answer.
	Answer *Answer
}
