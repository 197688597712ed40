package yuccasized

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

// Callers serves the HTTP interface through which callers submit, query and
// cancel jobs at an entry.
type Callers struct {
	edge    *yuccaedge.Edge
	metrics *yuccametric.Set
	logger  *slog.Logger
}

// NewCallers returns the handler for callers, and for the readiness checks of
// the load balancer.
func NewCallers(edge *yuccaedge.Edge, metrics *yuccametric.Set, logger *slog.Logger) http.Handler {
	c := &Callers{edge: edge, metrics: metrics, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/jobs/{id}", c.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", c.jobState)
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", c.cancel)
	mux.HandleFunc("GET /v1/queues/{queue}", c.pendingJobs)
	mux.HandleFunc("GET /readyz", c.ready)
	return mux
}

// jobResponse is the response to a submission, a query or a cancellation of a
// job.
type jobResponse struct {
	Queue string `json:"queue"`
	ID    string `json:"id"`
	State string `json:"state"`
}

type queueResponse struct {
	Queue string `json:"queue"`
	// Pending is the number of jobs that have not started.
	Pending int `json:"pending"`
}

func (c *Callers) ready(w http.ResponseWriter, _ *http.Request) {
	if !c.edge.Ready() {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoTarget, "this entry can't serve jobs now"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// matchRoute returns the route of the queue in the request's path. If there is
// none, it writes the error response and returns false.
func (c *Callers) matchRoute(w http.ResponseWriter, r *http.Request) (yuccacatalog.Route, bool) {
	catalog := c.edge.Catalog()
	if catalog == nil {
		c.refuse(w, r, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.NoControl, "%s", yuccaedge.ErrNoConfiguration).WithRetryAfter(retryAfter))
		return yuccacatalog.Route{}, false
	}
	route, _, ok := catalog.Match("", queuePrefix(r.PathValue("queue")))
	if !ok {
		c.refuse(w, r, yuccaproblem.NotRunf(http.StatusNotFound, yuccaproblem.UnknownService, "queue: %q is not in the document", r.PathValue("queue")))
	}
	return route, ok
}

func (c *Callers) submit(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	route, ok := c.matchRoute(w, r)
	if !ok {
		return
	}
	id := r.PathValue("id")
	if problem, expected := checkName(id); problem != "" {
		c.refuse(w, r, yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "id: %s, expected %s", problem, expected))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxJobBytes))
	if err != nil {
		c.refuse(w, r, bodyReadProblem(err))
		return
	}
	job, timeout, err := decodeJob(body)
	if err != nil {
		c.refuse(w, r, invalidBodyProblem(err))
		return
	}
	if timeout == 0 {
		timeout = route.Timeout
	}
	job.ReceivedAt = yuccaserver.ReceivedAt(r.Context())
	job.ID, job.Queue, job.Deadline = id, route.Queue, job.ReceivedAt.Add(timeout)
	outcome, err := c.edge.Submit(yuccatrace.Extract(r.Context(), r.Header), job)
	if err != nil {
		return
	}
	c.metrics.Observe("response_"+outcome.State.String(), time.Since(received))
	c.writeOutcome(w, job, outcome)
}

func (c *Callers) writeOutcome(w http.ResponseWriter, job yuccabroker.Job, outcome yuccabroker.Outcome) {
	switch outcome.State {
	case yuccabroker.Completed:
		writeJSON(w, jobResponse{Queue: job.Queue.Name, ID: job.ID, State: outcome.State.String()})
	case yuccabroker.Failed:
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusBadGateway, yuccaproblem.TaskFailed, outcome.Reason))
	case yuccabroker.Rejected:
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.PastDeadline, "%s", outcome.Reason).WithRetryAfter(outcome.RetryAfter))
	default:
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusGatewayTimeout, yuccaproblem.OutcomeUnknown, outcome.Reason))
	}
}

func (c *Callers) jobState(w http.ResponseWriter, r *http.Request) {
	route, ok := c.matchRoute(w, r)
	if !ok {
		return
	}
	if problem, _ := checkName(r.PathValue("id")); problem != "" {
		c.writeLookup(w, r, route, lookup{missingVerb: "knows"}, nil)
		return
	}
	state, found, err := c.edge.JobState(r.Context(), route.Queue.Name, r.PathValue("id"))
	c.writeLookup(w, r, route, lookup{state: state.String(), found: found, missingVerb: "knows"}, err)
}

func (c *Callers) cancel(w http.ResponseWriter, r *http.Request) {
	route, ok := c.matchRoute(w, r)
	if !ok {
		return
	}
	if problem, _ := checkName(r.PathValue("id")); problem != "" {
		c.writeLookup(w, r, route, lookup{missingVerb: "has an open"}, nil)
		return
	}
	found, err := c.edge.Cancel(r.Context(), route.Queue.Name, r.PathValue("id"))
	c.writeLookup(w, r, route, lookup{state: "cancelled", found: found, missingVerb: "has an open"}, err)
}

// lookup is the result of querying all entries for a job. If the job was not found,
// missingVerb completes the detail of the response: "no entry <verb> job".
type lookup struct {
	state       string
	found       bool
	missingVerb string
}

func (c *Callers) writeLookup(w http.ResponseWriter, r *http.Request, route yuccacatalog.Route, result lookup, err error) {
	id := r.PathValue("id")
	switch {
	case err != nil:
		c.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, err.Error()).WithRetryAfter(retryAfter))
	case !result.found:
		c.refuse(w, r, yuccaproblem.Newf(http.StatusNotFound, yuccaproblem.JobUnknown, "id: no entry %s job %q of queue %q", result.missingVerb, id, route.Queue.Name))
	default:
		writeJSON(w, jobResponse{Queue: route.Queue.Name, ID: id, State: result.state})
	}
}

func (c *Callers) pendingJobs(w http.ResponseWriter, r *http.Request) {
	route, ok := c.matchRoute(w, r)
	if !ok {
		return
	}
	n, err := c.edge.Pending(r.Context(), route.Queue.Name)
	if err != nil {
		c.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, err.Error()).WithRetryAfter(retryAfter))
		return
	}
	writeJSON(w, queueResponse{Queue: route.Queue.Name, Pending: n})
}

func (c *Callers) refuse(w http.ResponseWriter, r *http.Request, p *yuccaproblem.Problem) {
	c.metrics.Add("requests_refused", 1)
	c.logger.Info("request refused", "method", r.Method, "path", r.URL.Path, "status", p.Status, "reason", p.Error(), "not_run", p.NotRun)
	yuccaproblem.Write(w, p)
}

// bodyReadProblem returns the problem for a body that could not be read.
func bodyReadProblem(err error) *yuccaproblem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return yuccaproblem.NotRunf(http.StatusRequestEntityTooLarge, yuccaproblem.TooLarge, "body: is longer than %d bytes", tooLarge.Limit)
	}
	return yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "body: %v", err)
}

// invalidBodyProblem returns the problem for a body that does not decode or
// validate. Each finding has its position in the body.
func invalidBodyProblem(err error) *yuccaproblem.Problem {
	var findings yuccajsonc.Findings
	if !errors.As(err, &findings) {
		return yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "body: %v", err)
	}
	p := yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "body: %s", plural(len(findings), "fault"))
	for _, f := range findings {
		p.Findings = append(p.Findings, f.String())
	}
	return p
}

func plural(n int, noun string) string {
	if n == 1 {
		return "one " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func writeJSON(w http.ResponseWriter, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusInternalServerError, yuccaproblem.OutcomeUnknown, "encoding the answer: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(encoded, '\n'))
}
