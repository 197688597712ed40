// Package yuccaproblem writes and reads errors as application/problem+json
// (RFC 9457).
//
// # Usage
//
//	yuccaproblem.Write(w, yuccaproblem.New(http.StatusConflict, yuccaproblem.JobConflict, detail))
//	problem := yuccaproblem.Read(response)
package yuccaproblem

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

const maxProblemBytes = 1 << 20

// Type identifies a kind of problem to clients.
type Type string

// Types of problems. Clients match these values, so the meaning of a type must
// not change; new kinds of problems get new types.
const (
	BadRequest         Type = "bad-request"
	TooLarge           Type = "too-large"
	UnknownTeam        Type = "unknown-team"
	UnknownService     Type = "unknown-service"
	NotAllowed         Type = "not-allowed"
	PastDeadline       Type = "past-deadline"
	JobConflict        Type = "job-conflict"
	JobExpired         Type = "job-expired"
	JobUnknown         Type = "job-unknown"
	QueueFull          Type = "queue-full"
	NoTarget           Type = "no-target"
	Draining           Type = "draining"
	NoControl          Type = "no-control"
	OutcomeUnknown     Type = "outcome-unknown"
	TaskFailed         Type = "task-failed"
	Cancelled          Type = "cancelled"
	VersionConflict    Type = "version-conflict"
	RequestReused      Type = "request-reused"
	InvalidDocument    Type = "invalid-document"
	UnknownSection     Type = "unknown-section"
	UnknownDataCentre  Type = "unknown-data-centre"
	UnknownReplica     Type = "unknown-replica"
	MembershipChanging Type = "membership-changing"
)

// Problem is an error in the response to a caller or an operator.
type Problem struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// NotRun is true only if no part of the request was or will be run.
	NotRun bool `json:"not_run"`
	// Findings lists the errors in a document, each with its location.
	Findings []string `json:"findings,omitempty"`
	// RetryAfter is the delay before a retry may succeed. It is sent as the
	// Retry-After header, rounded up to seconds.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose NotRun is false: the request may have been run.
func New(status int, kind Type, detail string) *Problem {
	title := strings.ReplaceAll(string(kind), "-", " ")
	return &Problem{Type: kind, Title: title, Status: status, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(status int, kind Type, format string, args ...any) *Problem {
	return New(status, kind, fmt.Sprintf(format, args...))
}

// NotRunf is Newf for a request that was not run and never will be.
func NotRunf(status int, kind Type, format string, args ...any) *Problem {
	p := Newf(status, kind, format, args...)
	p.NotRun = true
	return p
}

// WithRetryAfter sets RetryAfter and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error returns the type and the detail, followed by one line for each finding.
func (p *Problem) Error() string {
	if len(p.Findings) > 0 {
		return fmt.Sprintf("%s: %s\n%s", p.Type, p.Detail, strings.Join(p.Findings, "\n"))
	}
	return fmt.Sprintf("%s: %s", p.Type, p.Detail)
}

// Write writes the problem as the response.
func Write(w http.ResponseWriter, p *Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // unreachable: all fields are strings, numbers and booleans
	}
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("X-Content-Type-Options", "nosniff")
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(body, '\n'))
}

// Read returns the problem in an error response. If the body is not a problem,
// the result is a BadRequest with the status and the body as its detail.
func Read(response *http.Response) *Problem {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	problem := new(Problem)
	if err != nil || json.Unmarshal(body, problem) != nil || problem.Type == "" {
		return Newf(response.StatusCode, BadRequest, "the server answered %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return problem
}
