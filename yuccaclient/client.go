// Package yuccaclient is a client for the HTTP interfaces of entries and controls.
//
// An error response is returned as a [yuccaproblem.Problem].
//
// # Usage
//
//	client := yuccaclient.New("127.0.0.1:7111", "maria")
//	status, err := client.Status(ctx)
//	var problem *yuccaproblem.Problem
//	if errors.As(err, &problem) { ... }
package yuccaclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// ErrUnreachable is returned if no complete response was received. The request may
// have been executed.
var ErrUnreachable = merry.Sentinel("no answer")

// Client calls one entry or control. It is safe for concurrent use.
type Client struct {
	address    string
	operator   string
	httpClient *http.Client
}

// New returns a client for the address, a host and port. The operator's name is
// recorded in the history of changes.
func New(address, operator string) *Client {
	return &Client{address: address, operator: operator, httpClient: &http.Client{}}
}

// call sends a request, decodes the response into result unless that is nil, and
// returns the text of the response.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prepend(err, "building the request")
	}
	request.Header.Set("Yucca-Operator", c.operator)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, merry.Prependf(ErrUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return readProblem(response)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, merry.Prependf(ErrUnreachable, "reading the answer: %v", err)
	}
	if result == nil {
		return text, nil
	}
	return text, merry.Prepend(json.Unmarshal(text, result), "reading the answer")
}

// readProblem returns the text of an error response, and the problem in it as the
// error.
func readProblem(response *http.Response) ([]byte, error) {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, merry.Prependf(ErrUnreachable, "reading the answer: %v", err)
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return text, yuccaproblem.Read(response)
}

// Status returns the status of a control.
func (c *Client) Status(ctx context.Context) (yuccacontrol.Status, error) {
	var status yuccacontrol.Status
	_, err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// DataCentres returns the status of all data centres in the document.
func (c *Client) DataCentres(ctx context.Context) ([]yuccacontrol.DataCentreStatus, error) {
	var dataCentres []yuccacontrol.DataCentreStatus
	_, err := c.call(ctx, http.MethodGet, "/v1/data-centres", nil, &dataCentres)
	return dataCentres, err
}

// ChangeResponse is the response to an accepted change. Repeated is set if the
// change had been made before, for example by an earlier attempt.
type ChangeResponse struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`
	Repeated bool   `json:"repeated"`
}

// SetDataCentre drains or restores a data centre through a control. A retry with
// the same request id has no further effect.
func (c *Client) SetDataCentre(ctx context.Context, name string, drained bool, requestID string) (ChangeResponse, error) {
	body, err := json.Marshal(struct {
		Drained   bool   `json:"out"`
		RequestID string `json:"request_id"`
	}{drained, requestID})
	if err != nil {
		return ChangeResponse{}, err
	}
	var response ChangeResponse
	_, err = c.call(ctx, http.MethodPut, "/v1/data-centres/"+url.PathEscape(name), body, &response)
	return response, err
}

// Section is the accepted version of a section of the configuration.
type Section struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// Section returns the accepted version of a section.
func (c *Client) Section(ctx context.Context, name string) (Section, error) {
	var section Section
	_, err := c.call(ctx, http.MethodGet, "/v1/sections/"+url.PathEscape(name), nil, &section)
	return section, err
}

// ApplySection replaces a section. It fails if the section is no longer at the
// base version. A retry with the same request id has no further effect.
func (c *Client) ApplySection(ctx context.Context, name string, base uint64, requestID string, body []byte) (ChangeResponse, error) {
	query := url.Values{"base_version": {strconv.FormatUint(base, 10)}, "request_id": {requestID}}
	var response ChangeResponse
	_, err := c.call(ctx, http.MethodPut, "/v1/sections/"+url.PathEscape(name)+"?"+query.Encode(), body, &response)
	return response, err
}

// Change is an accepted change in the history.
type Change struct {
	Section   string          `json:"section"`
	Version   uint64          `json:"version"`
	RequestID string          `json:"request_id"`
	Operator  string          `json:"operator"`
	At        string          `json:"at"`
	Body      json.RawMessage `json:"body"`
}

// Changes returns the latest changes of a section, the newest first.
func (c *Client) Changes(ctx context.Context, section string, limit int) ([]Change, error) {
	query := url.Values{"section": {section}, "limit": {strconv.Itoa(limit)}}
	var changes []Change
	_, err := c.call(ctx, http.MethodGet, "/v1/changes?"+query.Encode(), nil, &changes)
	return changes, err
}

// RemoveReplica removes a control from the control group.
func (c *Client) RemoveReplica(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/replicas/"+url.PathEscape(name), nil, nil)
	return err
}

// Job is the state of a job in a response of an entry.
type Job struct {
	Team   string `json:"team"`
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	NotRun bool   `json:"not_run"`
	Tasks  []Task `json:"tasks"`
}

// Task is the state of one task of a job. RunMS is its run time in milliseconds.
type Task struct {
	ID         string          `json:"id"`
	State      string          `json:"state"`
	Status     int             `json:"status"`
	Failure    string          `json:"failure"`
	RunMS      float64         `json:"run_ms"`
	Side       string          `json:"side"`
	Result     json.RawMessage `json:"result"`
	ResultText string          `json:"result_text"`
}

// IsComplete reports whether the job has succeeded as a whole. It is false for a
// job that runs, has failed or was cancelled.
func (j Job) IsComplete() bool { return j.State == "complete" }

// Submit submits a job and waits for its outcome. It also returns the text of the
// response. If the job failed, the job is returned with the problem as the error.
func (c *Client) Submit(ctx context.Context, body []byte) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodPost, "/v1/jobs", body, &job)
	if err != nil {
		return decodeFailedJob(text), text, err
	}
	return job, text, nil
}

// decodeFailedJob returns the job in an error response, or the zero value if there
// is none.
func decodeFailedJob(text []byte) Job {
	var failed struct {
		Job Job `json:"job"`
	}
	if json.Unmarshal(text, &failed) != nil {
		return Job{}
	}
	return failed.Job
}

// Job returns the state of a job and the text of the response.
func (c *Client) Job(ctx context.Context, team, id string) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodGet, jobPath(team, id), nil, &job)
	return job, text, err
}

// Cancel cancels a job. It returns the job's state and the text of the response.
func (c *Client) Cancel(ctx context.Context, team, id string) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodDelete, jobPath(team, id), nil, &job)
	return job, text, err
}

func jobPath(team, id string) string {
	return "/v1/jobs/" + url.PathEscape(team) + "/" + url.PathEscape(id)
}
