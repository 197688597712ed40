package yuccaentry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// jobResponse is the body of a response about a job.
type jobResponse struct {
	Team      string         `json:"team"`
	ID        string         `json:"id"`
	State     string         `json:"state"`
	Reason    string         `json:"reason,omitempty"`
	NotRun    bool           `json:"not_run"`
	Cancelled bool           `json:"cancelled,omitempty"`
	Tasks     []taskResponse `json:"tasks,omitempty"`
}

// taskResponse is a task of a jobResponse. At most one of the result fields is
// set, depending on whether the result is JSON, other text or binary.
type taskResponse struct {
	ID           string          `json:"id"`
	State        string          `json:"state"`
	Status       uint32          `json:"status,omitempty"`
	Failure      string          `json:"failure,omitempty"`
	RunMs        float64         `json:"run_ms,omitempty"`
	Side         string          `json:"side,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
	ResultText   string          `json:"result_text,omitempty"`
	ResultBase64 []byte          `json:"result_base64,omitempty"`
}

// failedJobProblem is the body of the response for a failed job: the problem and
// the state of the job's tasks.
type failedJobProblem struct {
	*yuccaproblem.Problem
	Job jobResponse `json:"job"`
}

const (
	stateComplete = "complete"
	stateFailed   = "failed"
	stateRunning  = "running"
	stateUnknown  = "unknown"
	microsPerMs   = 1000
)

func (e *Entry) postJob(w http.ResponseWriter, r *http.Request) {
	body, problem := readBody(w, r, MaxJobBytes)
	if problem != nil {
		e.refuse(w, problem)
		return
	}
	now := time.Now()
	submission, err := decodeJob(now, body)
	if err != nil {
		e.refuse(w, invalidJob(err))
		return
	}
	if e.refuseAheadOfClock(w, now, "submitted_at", submission) {
		return
	}
	e.submitAndWrite(w, r, "entry.job", submission, func(o *yuccawire.Outcome) { writeOutcome(w, submission.Key, o) })
}

// refuseAheadOfClock refuses a submission from the future, whose time is in the field, and
// reports whether it did. An entry with another clock may have run the job, so this is not
// "not run".
func (e *Entry) refuseAheadOfClock(w http.ResponseWriter, now time.Time, field string, s yuccadispatch.Submission) bool {
	if !s.SubmittedAt.After(now.Add(maxClockSkew)) {
		return false
	}
	e.metrics.Add("requests_refused", 1)
	yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusBadRequest, yuccaproblem.BadRequest,
		"%s: is %s, expected a time that is not in the future", field, s.SubmittedAt.Format(time.RFC3339)))
	return true
}

// submitAndWrite submits a job of a caller under a span, and writes its outcome or
// its rejection.
func (e *Entry) submitAndWrite(w http.ResponseWriter, r *http.Request, spanName string, s yuccadispatch.Submission, write func(o *yuccawire.Outcome)) {
	ctx, span := yuccatrace.Start(yuccatrace.Extract(r.Context(), r.Header), spanName)
	defer span.End()
	s.Traceparent = yuccatrace.Traceparent(ctx)
	ctx, cancel := context.WithDeadline(ctx, s.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := e.Submit(ctx, s)
	switch {
	case err != nil:
		yuccaproblem.Write(w, rejectionProblem(yuccadispatch.OutcomeUnknown))
	case answer.Rejection != yuccadispatch.NotRejected:
		yuccaproblem.Write(w, answerProblem(s, answer))
	default:
		write(answer.Outcome)
	}
}

// refuse answers an invalid request, which was not run.
func (e *Entry) refuse(w http.ResponseWriter, p *yuccaproblem.Problem) {
	e.metrics.Add("requests_refused", 1)
	p.NotRun = true
	yuccaproblem.Write(w, p)
}

func invalidJob(err error) *yuccaproblem.Problem {
	p := yuccaproblem.New(http.StatusBadRequest, yuccaproblem.BadRequest, "the job can't be read")
	var findings yuccajsonc.Findings
	if errors.As(err, &findings) {
		for _, f := range findings {
			p.Findings = append(p.Findings, f.String())
		}
	}
	return p
}

// readBody reads a whole body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *yuccaproblem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, yuccaproblem.Newf(http.StatusRequestEntityTooLarge, yuccaproblem.TooLarge, "body: has more than %d bytes", limit)
	case err != nil:
		return nil, yuccaproblem.Newf(http.StatusBadRequest, yuccaproblem.BadRequest, "body: was cut off after %d bytes", len(body))
	}
	return body, nil
}

func writeOutcome(w http.ResponseWriter, key yuccadispatch.Key, o *yuccawire.Outcome) {
	body := newJobResponse(key, o)
	if o.GetComplete() {
		writeJSON(w, http.StatusOK, body)
		return
	}
	p := outcomeProblem(o)
	w.Header().Set("Content-Type", yuccaproblem.ContentType)
	encoded, err := json.Marshal(failedJobProblem{Problem: p, Job: body})
	if err != nil {
		yuccaproblem.Write(w, p)
		return
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(encoded, '\n'))
}

// outcomeProblem returns the problem for the outcome of a failed job.
func outcomeProblem(o *yuccawire.Outcome) *yuccaproblem.Problem {
	p := yuccaproblem.New(http.StatusBadGateway, yuccaproblem.TaskFailed, o.GetReason())
	switch {
	case o.GetUndetermined():
		p = yuccaproblem.New(http.StatusGatewayTimeout, yuccaproblem.OutcomeUnknown, o.GetReason())
	case o.GetCancelled():
		p = yuccaproblem.New(http.StatusConflict, yuccaproblem.Cancelled, o.GetReason())
	}
	p.NotRun = o.GetNotRun()
	return p
}

func newJobResponse(key yuccadispatch.Key, o *yuccawire.Outcome) jobResponse {
	body := jobResponse{
		Team: key.Team, ID: key.ID, State: stateFailed, Reason: o.GetReason(),
		NotRun: o.GetNotRun(), Cancelled: o.GetCancelled(), Tasks: make([]taskResponse, len(o.GetTasks())),
	}
	switch {
	case o.GetComplete():
		body.State = stateComplete
	case o.GetUndetermined():
		body.State = stateUnknown
	}
	for i, t := range o.GetTasks() {
		body.Tasks[i] = newTaskResponse(t)
	}
	return body
}

func newTaskResponse(t *yuccawire.TaskOutcome) taskResponse {
	response := taskResponse{
		ID: t.GetId(), State: taskStateName(t.GetState()), Status: t.GetStatus(), Failure: t.GetFailure(),
		RunMs: float64(t.GetRunUs()) / microsPerMs, Side: t.GetSide(),
	}
	switch body := t.GetBody(); {
	case len(body) == 0:
	case json.Valid(body):
		response.Result = body
	case utf8.Valid(body):
		response.ResultText = string(body)
	default:
		response.ResultBase64 = body
	}
	return response
}

func taskStateName(s yuccawire.TaskState) string {
	switch s {
	case yuccawire.TaskState_TASK_NOT_STARTED:
		return "not_started"
	case yuccawire.TaskState_TASK_FINISHED:
		return "finished"
	case yuccawire.TaskState_TASK_RUNNING:
		return "running"
	case yuccawire.TaskState_TASK_UNKNOWN, yuccawire.TaskState_TASK_UNSPECIFIED:
	}
	return "unknown"
}

func (e *Entry) getJob(w http.ResponseWriter, r *http.Request) { e.watchJob(w, r, false) }

func (e *Entry) deleteJob(w http.ResponseWriter, r *http.Request) { e.watchJob(w, r, true) }

// watchJob cancels the job if cancelJob is set, and writes its state.
func (e *Entry) watchJob(w http.ResponseWriter, r *http.Request, cancelJob bool) {
	key := yuccadispatch.Key{Team: r.PathValue("team"), ID: r.PathValue("id")}
	if !utf8.ValidString(key.Team) || !utf8.ValidString(key.ID) {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusNotFound, yuccaproblem.JobUnknown, "no job has a name that is not in UTF-8"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout)
	defer cancel()
	result, err := e.Watch(ctx, key, cancelJob)
	switch {
	case err != nil:
		yuccaproblem.Write(w, rejectionProblem(yuccadispatch.OutcomeUnknown))
	case result.Undetermined:
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusGatewayTimeout, yuccaproblem.OutcomeUnknown,
			"control, or the entry that may have the job, gives no answer"))
	case !result.Known:
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusNotFound, yuccaproblem.JobUnknown, "no entry that can be reached has the job"))
	case result.Outcome == nil:
		writeJSON(w, http.StatusAccepted, jobResponse{Team: key.Team, ID: key.ID, State: stateRunning})
	default:
		writeJSON(w, http.StatusOK, newJobResponse(key, result.Outcome))
	}
}
