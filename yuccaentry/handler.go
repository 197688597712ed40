package yuccaentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
)

// Limits of callers' requests.
const (
	// MaxTasks limits the number of tasks of one job.
	MaxTasks = 10_000
	// MaxJobBytes limits the size of the body of a job.
	MaxJobBytes = 16 << 20
	// MaxRequestBytes limits the size of the body of a single request.
	MaxRequestBytes = 8 << 20
	// MaxHeaderBytes limits the size of the headers of any request.
	MaxHeaderBytes = 64 << 10
	// MaxDeadline limits the deadline of a job, counted from the arrival of the
	// request.
	MaxDeadline = yuccadocument.MaxDeadline

	defaultDeadline = 30 * time.Second
	maxNameBytes    = 200
	// answerGrace is how long a request may wait for its answer after the deadline
	// of the job.
	answerGrace = 5 * time.Second
	// watchTimeout limits the wait for the state of a job or of the entry.
	watchTimeout = 5 * time.Second
)

// Handler returns the HTTP handler for callers and for the probes of the load
// balancer.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", e.postJob)
	mux.HandleFunc("GET /v1/jobs/{team}/{id}", e.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{team}/{id}", e.deleteJob)
	mux.HandleFunc("/v1/services/{service}/{path...}", e.serveRequest)
	mux.HandleFunc("GET /healthz", e.getHealth)
	mux.HandleFunc("GET /readyz", e.getReadiness)
	return mux
}

func (e *Entry) getHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (e *Entry) getReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	p := yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoControl, "this entry holds no lease")
	if e.draining.Load() {
		p = yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.Draining, "this entry is shutting down")
	}
	yuccaproblem.Write(w, p)
}

// answerProblem returns the problem for a rejected job.
func answerProblem(s yuccadispatch.Submission, a yuccadispatch.Answer) *yuccaproblem.Problem {
	p := rejectionProblem(a.Rejection)
	if a.Rejection == yuccadispatch.DeadlineTooLong {
		p = deadlineProblem(s, a.MaxDeadline)
	}
	p.NotRun = a.Rejection.NotRun()
	p.RetryAfter = a.RetryAfter
	return p
}

// deadlineProblem returns the problem for a deadline that is longer than claims are kept.
func deadlineProblem(s yuccadispatch.Submission, limit time.Duration) *yuccaproblem.Problem {
	place := "deadline"
	if s.Passthrough {
		place = "header " + headerTimeout + " with " + headerIdempotencyKey
	}
	return yuccaproblem.Newf(http.StatusBadRequest, yuccaproblem.BadRequest,
		"%s: is too long, expected at most %s, as long as claims are kept (limits.claims_kept)", place, limit)
}

func rejectionProblem(r yuccadispatch.Rejection) *yuccaproblem.Problem {
	switch r {
	case yuccadispatch.UnknownTeam:
		return yuccaproblem.New(http.StatusForbidden, yuccaproblem.UnknownTeam, "team: is not in section limits")
	case yuccadispatch.UnknownService:
		return yuccaproblem.New(http.StatusNotFound, yuccaproblem.UnknownService, "service: is not in section services")
	case yuccadispatch.NotAllowed:
		return yuccaproblem.New(http.StatusForbidden, yuccaproblem.NotAllowed, "service: the team's quota does not list it")
	case yuccadispatch.QueueFull:
		return yuccaproblem.New(http.StatusTooManyRequests, yuccaproblem.QueueFull, "the team has too many tasks waiting")
	case yuccadispatch.CannotMeetDeadline:
		return yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.PastDeadline, "deadline: can't be met")
	case yuccadispatch.NoTarget:
		return yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoTarget, "service: has no target now")
	case yuccadispatch.NoLease:
		return yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoControl,
			"this entry holds no lease; this request was not run, an earlier one of the same id may have been")
	case yuccadispatch.Draining:
		return yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.Draining, "this entry is shutting down")
	case yuccadispatch.Conflict:
		return yuccaproblem.New(http.StatusConflict, yuccaproblem.JobConflict, "id: belongs to a job with other tasks")
	case yuccadispatch.Expired:
		return yuccaproblem.New(http.StatusGone, yuccaproblem.JobExpired, "id: the job was run before, and its answer is no longer kept")
	case yuccadispatch.TooOld:
		return yuccaproblem.New(http.StatusGone, yuccaproblem.JobExpired, "submitted_at: is too long ago to tell whether the job was run")
	case yuccadispatch.OutcomeUnknown, yuccadispatch.NotRejected:
	}
	return yuccaproblem.New(http.StatusGatewayTimeout, yuccaproblem.OutcomeUnknown,
		"the outcome is not known; submit the same job again to learn it")
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusInternalServerError, yuccaproblem.OutcomeUnknown, "encoding the answer: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}

// Status is the operational summary of an entry, as GET /v1/status returns it.
type Status struct {
	Name      string `json:"name"`
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"draining"`
	LeaseMs   int64  `json:"lease_ms"`
	Sides     int    `json:"sides_linked"`
	Unsettled int    `json:"jobs_unsettled"`
	Queued    int    `json:"tasks_queued"`
}

// OperatorHandler returns the HTTP handler for operators.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", e.getStatus)
	mux.HandleFunc("GET /healthz", e.getHealth)
	mux.HandleFunc("GET /readyz", e.getReadiness)
	return mux
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout)
	defer cancel()
	status, err := yuccaquery.Do(ctx, e.postQuery, (*Entry).status)
	if err != nil {
		yuccaproblem.Write(w, rejectionProblem(yuccadispatch.OutcomeUnknown))
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (e *Entry) status() Status {
	return Status{
		Name:      e.options.Self.GetName(),
		Ready:     e.Ready(),
		Draining:  e.draining.Load(),
		LeaseMs:   max(time.Until(e.dispatcher.Lease().Expires()), 0).Milliseconds(),
		Sides:     e.dispatcher.LinkedSides(),
		Unsettled: e.dispatcher.UnsettledJobs(),
		Queued:    e.dispatcher.QueuedTasks(),
	}
}
