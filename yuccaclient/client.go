// Package yuccaclient calls the HTTP interfaces of entries and controls.
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

// ErrUnreachable is returned when no answer came.
var ErrUnreachable = merry.Sentinel("no answer")

// Client calls one entry or control.
type Client struct {
	address    string
	operator   string
	httpClient *http.Client
}

// New returns a client for the address, a host and port. The operator's name
// goes into the history of changes.
func New(address, operator string) *Client {
	return &Client{address: address, operator: operator, httpClient: &http.Client{}}
}

// call sends the request and decodes its answer into the value, or keeps the
// text where the value is nil.
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

// readProblem returns the text of the answer together with the problem in it.
func readProblem(response *http.Response) ([]byte, error) {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, merry.Prependf(ErrUnreachable, "reading the answer: %v", err)
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return text, yuccaproblem.Read(response)
}

// Status asks a control for its status.
func (c *Client) Status(ctx context.Context) (yuccacontrol.Status, error) {
	var status yuccacontrol.Status
	_, err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// DataCentres asks for the data centres of the document.
func (c *Client) DataCentres(ctx context.Context) ([]yuccacontrol.DataCentreStatus, error) {
	var dataCentres []yuccacontrol.DataCentreStatus
	_, err := c.call(ctx, http.MethodGet, "/v1/data-centres", nil, &dataCentres)
	return dataCentres, err
}

// Accepted answers a change.
type ChangeResponse struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`
	Repeated bool   `json:"repeated"`
}

// SetDataCentre takes a data centre out or brings it back.
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

// Section is one section as it is accepted.
type Section struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// Section asks for a section.
func (c *Client) Section(ctx context.Context, name string) (Section, error) {
	var section Section
	_, err := c.call(ctx, http.MethodGet, "/v1/sections/"+url.PathEscape(name), nil, &section)
	return section, err
}

// ApplySection replaces a section that is at the base version.
func (c *Client) ApplySection(ctx context.Context, name string, base uint64, requestID string, body []byte) (ChangeResponse, error) {
	query := url.Values{"base_version": {strconv.FormatUint(base, 10)}, "request_id": {requestID}}
	var response ChangeResponse
	_, err := c.call(ctx, http.MethodPut, "/v1/sections/"+url.PathEscape(name)+"?"+query.Encode(), body, &response)
	return response, err
}

// Change is one accepted change.
type Change struct {
	Section   string          `json:"section"`
	Version   uint64          `json:"version"`
	RequestID string          `json:"request_id"`
	Operator  string          `json:"operator"`
	At        string          `json:"at"`
	Body      json.RawMessage `json:"body"`
}

// Changes asks for the history, the newest change first.
func (c *Client) Changes(ctx context.Context, section string, limit int) ([]Change, error) {
	query := url.Values{"section": {section}, "limit": {strconv.Itoa(limit)}}
	var changes []Change
	_, err := c.call(ctx, http.MethodGet, "/v1/changes?"+query.Encode(), nil, &changes)
	return changes, err
}

// RemoveReplica takes a control out of the group.
func (c *Client) RemoveReplica(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/replicas/"+url.PathEscape(name), nil, nil)
	return err
}

// Job is a job as callers see it.
type Job struct {
	Team   string `json:"team"`
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	NotRun bool   `json:"not_run"`
	Tasks  []Task `json:"tasks"`
}

// Task is one task of a job.
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

// Complete tells whether the job was answered whole.
func (j Job) IsComplete() bool { return j.State == "complete" }

// Submit submits a job and waits for its answer. A failed job comes with the
// problem that it is.
func (c *Client) Submit(ctx context.Context, body []byte) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodPost, "/v1/jobs", body, &job)
	if err != nil {
		return decodeFailedJob(text), text, err
	}
	return job, text, nil
}

func decodeFailedJob(text []byte) Job {
	var failed struct {
		Job Job `json:"job"`
	}
	if json.Unmarshal(text, &failed) != nil {
		return Job{}
	}
	return failed.Job
}

// Job asks an entry for the state of a job.
func (c *Client) Job(ctx context.Context, team, id string) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodGet, jobPath(team, id), nil, &job)
	return job, text, err
}

// Cancel asks an entry to end a job.
func (c *Client) Cancel(ctx context.Context, team, id string) (Job, []byte, error) {
	var job Job
	text, err := c.call(ctx, http.MethodDelete, jobPath(team, id), nil, &job)
	return job, text, err
}

func jobPath(team, id string) string {
	return "/v1/jobs/" + url.PathEscape(team) + "/" + url.PathEscape(id)
}
