package yuccacontrol

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	operatorTimeout     = 5 * time.Second
	operatorHeader      = "Yucca-Operator"
	defaultHistoryLimit = 50
	maxHistoryLimit     = 10_000
)

// sectionBody is the response for a section.
type sectionBody struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// changeBody describes a change to a section in responses.
type changeBody struct {
	Section   string          `json:"section"`
	Version   uint64          `json:"version"`
	RequestID string          `json:"request_id"`
	Operator  string          `json:"operator"`
	At        time.Time       `json:"at"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// acceptedBody is the response to a committed change, or to a started removal of a
// replica, which may not be committed yet. Repeated is set if the same request was
// committed before.
type acceptedBody struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`
	Repeated bool   `json:"repeated"`
}

// conflictBody is the problem response to a change that conflicts with a committed
// one. It includes both changes.
type conflictBody struct {
	*yuccaproblem.Problem
	Submitted changeBody `json:"yours"`
	Current   changeBody `json:"winner"`
}

// dataCentreRequest drains a data centre or returns it to service.
type dataCentreRequest struct {
	Drained   bool   `json:"out"`
	RequestID string `json:"request_id"`
}

// jobBody is the response for the claim of a job.
type jobBody struct {
	Team        string    `json:"team"`
	ID          string    `json:"id"`
	Owner       string    `json:"owner"`
	Incarnation uint64    `json:"incarnation"`
	Finished    bool      `json:"finished"`
	Complete    bool      `json:"complete"`
	ClaimedAt   time.Time `json:"claimed_at"`
}

// Handler returns the HTTP API for operators. Requests time out after
// operatorTimeout plus one second.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", c.getStatus)
	mux.HandleFunc("GET /v1/sections/{section}", c.getSection)
	mux.HandleFunc("PUT /v1/sections/{section}", c.putSection)
	mux.HandleFunc("GET /v1/changes", c.getChanges)
	mux.HandleFunc("GET /v1/data-centres", c.getDataCentres)
	mux.HandleFunc("PUT /v1/data-centres/{name}", c.putDataCentre)
	mux.HandleFunc("GET /v1/jobs/{team}/{id}", c.getJob)
	mux.HandleFunc("DELETE /v1/replicas/{name}", c.deleteReplica)
	mux.HandleFunc("GET /healthz", health)
	return http.TimeoutHandler(mux, operatorTimeout+time.Second, "timed out")
}

func health(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), operatorTimeout)
}

func (c *Control) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	status, err := c.Status(ctx)
	c.respond(w, r, status, err)
}

func (c *Control) getSection(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	section, err := c.Section(ctx, r.PathValue("section"))
	if err == nil && section == nil {
		yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusNotFound, yuccaproblem.UnknownSection, "section %q was never applied", r.PathValue("section")))
		return
	}
	c.respond(w, r, sectionBody{Name: section.GetName(), Version: section.GetVersion(), Body: section.GetBody()}, err)
}

func (c *Control) putSection(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	baseVersion, err := strconv.ParseUint(r.URL.Query().Get("base_version"), 10, 64)
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusBadRequest, yuccaproblem.BadRequest, "base_version: is %q, expected the version that was seen, 0 for the first", r.URL.Query().Get("base_version")))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, yuccadocument.MaxSectionBytes))
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusRequestEntityTooLarge, yuccaproblem.TooLarge, "body: could not be read within %d bytes", yuccadocument.MaxSectionBytes))
		return
	}
	apply := &yuccawire.ApplySection{
		Section: r.PathValue("section"), BaseVersion: baseVersion, RequestId: requestIDOrNew(r.URL.Query().Get("request_id")),
		Body: body, Operator: r.Header.Get(operatorHeader), AtUnixMs: time.Now().UnixMilli(),
	}
	result, err := c.Apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: apply}})
	submitted := changeBody{Section: apply.GetSection(), Version: baseVersion, RequestID: apply.GetRequestId(), Operator: apply.GetOperator(), Body: body}
	c.respondChange(w, r, submitted, result, err)
}

// requestIDOrNew returns the requested id, or a random one if it is empty.
func requestIDOrNew(requested string) string {
	if requested != "" {
		return requested
	}
	return rand.Text()
}

func (c *Control) putDataCentre(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	var request dataCentreRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, yuccadocument.MaxSectionBytes))
	if err == nil {
		err = yuccajsonc.Decode("data-centre", data, &request).Err()
	}
	if err != nil {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusBadRequest, yuccaproblem.BadRequest, err.Error()))
		return
	}
	set := &yuccawire.SetDataCentre{
		DataCentre: r.PathValue("name"), Out: request.Drained, RequestId: requestIDOrNew(request.RequestID),
		Operator: r.Header.Get(operatorHeader), AtUnixMs: time.Now().UnixMilli(),
	}
	result, err := c.Apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: set}})
	submitted := changeBody{Section: yuccadocument.SectionDrainedDataCentres, RequestID: set.GetRequestId(), Operator: set.GetOperator()}
	c.respondChange(w, r, submitted, result, err)
}

func (c *Control) getChanges(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		limit = defaultHistoryLimit
	}
	changes, err := c.History(ctx, r.URL.Query().Get("section"), limit)
	bodies := make([]changeBody, len(changes))
	for i, change := range changes {
		bodies[i] = changeBodyOf(change)
	}
	c.respond(w, r, bodies, err)
}

func changeBodyOf(change *yuccawire.Change) changeBody {
	return changeBody{
		Section: change.GetSection(), Version: change.GetVersion(), RequestID: change.GetRequestId(),
		Operator: change.GetOperator(), At: time.UnixMilli(change.GetAtUnixMs()).UTC(), Body: change.GetBody(),
	}
}

func (c *Control) getDataCentres(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	dataCentres, err := c.DataCentres(ctx)
	c.respond(w, r, dataCentres, err)
}

func (c *Control) getJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	key := &yuccawire.JobKey{Team: r.PathValue("team"), Id: r.PathValue("id")}
	record, err := c.Job(ctx, key)
	if err == nil && record == nil {
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusNotFound, yuccaproblem.JobUnknown, "no claim of the job is kept"))
		return
	}
	c.respond(w, r, jobBody{
		Team: key.GetTeam(), ID: key.GetId(), Owner: record.GetOwner(), Incarnation: record.GetIncarnation(),
		Finished: record.GetFinished(), Complete: record.GetComplete(), ClaimedAt: time.UnixMilli(record.GetAtUnixMs()).UTC(),
	}, err)
}

func (c *Control) deleteReplica(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	c.respond(w, r, acceptedBody{Section: "replicas"}, c.RemoveReplica(ctx, r.PathValue("name")))
}

// respond writes the value as JSON, or the error as a problem.
func (c *Control) respond(w http.ResponseWriter, r *http.Request, value any, err error) {
	if err != nil {
		c.respondError(w, r, err)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		c.respondError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// respondError writes the error as a problem. For ErrNotLeader it redirects to the
// leader if there is one.
func (c *Control) respondError(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, ErrNotLeader):
		c.redirect(w, r)
	case errors.Is(err, ErrNotUTF8):
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusBadRequest, yuccaproblem.BadRequest, "%s", err))
	case errors.Is(err, ErrUnknownOutcome), errors.Is(err, context.DeadlineExceeded):
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusGatewayTimeout, yuccaproblem.OutcomeUnknown, ErrUnknownOutcome.Error()))
	case errors.Is(err, yuccareplica.ErrUnknownReplica):
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusNotFound, yuccaproblem.UnknownReplica, err.Error()))
	case errors.Is(err, yuccareplica.ErrMembershipChanging), errors.Is(err, yuccareplica.ErrLastVoter):
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusConflict, yuccaproblem.MembershipChanging, err.Error()))
	default:
		yuccaproblem.Write(w, yuccaproblem.New(http.StatusInternalServerError, yuccaproblem.OutcomeUnknown, err.Error()))
	}
}

func (c *Control) redirect(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(r)
	defer cancel()
	status, err := c.Status(ctx)
	if err != nil || status.LeaderAddress == "" || status.Leader == c.self.GetName() {
		yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.NoControl, "the control group has no leader now").WithRetryAfter(time.Second))
		return
	}
	http.Redirect(w, r, "http://"+status.LeaderAddress+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

func (c *Control) respondChange(w http.ResponseWriter, r *http.Request, submitted changeBody, result *yuccastate.ChangeResult, err error) {
	if err != nil {
		c.respondError(w, r, err)
		return
	}
	switch result.Outcome {
	case yuccastate.Accepted, yuccastate.Repeated:
		c.metrics.Add("changes_accepted", 1)
		c.respond(w, r, acceptedBody{Section: result.Section, Version: result.Version, Repeated: result.Outcome == yuccastate.Repeated}, nil)
	case yuccastate.Conflict:
		c.metrics.Add("changes_conflicting", 1)
		p := yuccaproblem.NotRunf(http.StatusConflict, yuccaproblem.VersionConflict, "section %s is at version %d%s; request %s by %s was based on version %d",
			result.Section, result.Version, describeWinner(result.Current), submitted.RequestID, submitted.Operator, submitted.Version)
		writeConflict(w, conflictBody{Problem: p, Submitted: submitted, Current: changeBodyOf(result.Current)})
	case yuccastate.RequestReused:
		c.metrics.Add("changes_conflicting", 1)
		p := yuccaproblem.NotRunf(http.StatusConflict, yuccaproblem.RequestReused, "request id %q belongs to another change", submitted.RequestID)
		writeConflict(w, conflictBody{Problem: p, Submitted: submitted, Current: changeBodyOf(result.Current)})
	case yuccastate.Invalid:
		c.metrics.Add("changes_invalid", 1)
		yuccaproblem.Write(w, invalidProblem(result))
	}
}

// describeWinner returns the request, operator and time of the committed change
// for the detail of a conflict, or an empty string if there is none.
func describeWinner(winner *yuccawire.Change) string {
	if winner == nil {
		return ""
	}
	at := time.UnixMilli(winner.GetAtUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf(" (request %s by %s at %s)", winner.GetRequestId(), winner.GetOperator(), at)
}

func invalidProblem(result *yuccastate.ChangeResult) *yuccaproblem.Problem {
	p := yuccaproblem.NotRunf(http.StatusUnprocessableEntity, yuccaproblem.InvalidDocument, "section %s would make the document wrong", result.Section)
	var findings yuccajsonc.Findings
	if errors.As(result.Findings, &findings) {
		for _, f := range findings {
			p.Findings = append(p.Findings, f.String())
		}
	}
	return p
}

func writeConflict(w http.ResponseWriter, body conflictBody) {
	data, err := json.Marshal(body)
	if err != nil {
		yuccaproblem.Write(w, body.Problem)
		return
	}
	w.Header().Set("Content-Type", yuccaproblem.ContentType)
	w.WriteHeader(body.Status)
	_, _ = w.Write(append(data, '\n'))
}
