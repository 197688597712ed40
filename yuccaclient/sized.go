package yuccaclient

import (
	"context"
	"net/http"
	"net/url"
)

// SizedJob is the state of a sized job, a job whose tasks declare the resources
// they need.
type SizedJob struct {
	Queue string `json:"queue"`
	ID    string `json:"id"`
	State string `json:"state"`
}

// SizedQueue is the state of a queue of sized jobs.
type SizedQueue struct {
	Queue string `json:"queue"`
	// Pending is the number of jobs that have not started.
	Pending int `json:"pending"`
}

func sizedJobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// SubmitSized submits a sized job and waits for its outcome.
func (c *Client) SubmitSized(ctx context.Context, queue, id string, body []byte) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodPost, sizedJobPath(queue, id), body, &job)
	return job, err
}

// SizedJob returns the state of a sized job.
func (c *Client) SizedJob(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodGet, sizedJobPath(queue, id), nil, &job)
	return job, err
}

// CancelSized cancels a sized job.
func (c *Client) CancelSized(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodDelete, sizedJobPath(queue, id), nil, &job)
	return job, err
}

// SizedQueue returns the state of a queue of sized jobs.
func (c *Client) SizedQueue(ctx context.Context, queue string) (SizedQueue, error) {
	var response SizedQueue
	_, err := c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, &response)
	return response, err
}

// ApplyDocument replaces the configuration document for sized jobs, if the version
// of the new document is higher.
func (c *Client) ApplyDocument(ctx context.Context, document []byte) (ChangeResponse, error) {
	var response ChangeResponse
	_, err := c.call(ctx, http.MethodPut, "/v1/document", document, &response)
	return response, err
}

// Document returns the text of the configuration document for sized jobs.
func (c *Client) Document(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/document", nil, nil)
}

// SetDrained drains a data centre, so that no sized jobs are placed there, or
// restores it. The client must call an entry for sized jobs; at a control,
// [Client.SetDataCentre] does the same.
func (c *Client) SetDrained(ctx context.Context, dataCentre string, drained bool) (ChangeResponse, error) {
	method := http.MethodDelete
	if drained {
		method = http.MethodPut
	}
	var response ChangeResponse
	_, err := c.call(ctx, method, "/v1/data-centres/"+url.PathEscape(dataCentre)+"/out", nil, &response)
	return response, err
}

// Link is an open link of an entry or a side. Times are in milliseconds.
type Link struct {
	// Peer, Role ("entry" or "side") and DataCentre are those of the other end.
	Peer       string `json:"peer"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Dialled is set if the called process has opened the link.
	Dialled bool `json:"dialled"`
	// Surplus is set if the link is to be closed.
	Surplus bool `json:"surplus,omitempty"`
	// SilentMS is the time since the last message, MaxSilentMS that after which the
	// link is closed.
	SilentMS    int64 `json:"silent_ms"`
	MaxSilentMS int64 `json:"max_silent_ms"`
}

// Links returns the links of an entry or a side for sized jobs, sorted by peer.
func (c *Client) Links(ctx context.Context) ([]Link, error) {
	var response struct {
		Links []Link `json:"links"`
	}
	_, err := c.call(ctx, http.MethodGet, "/v1/links", nil, &response)
	return response.Links, err
}

// RunTimes is what an entry for sized jobs has learned of run times.
type RunTimes struct {
	Queues  []QueueRunTimes `json:"queues"`
	Workers []WorkerSpeed   `json:"workers"`
}

// QueueRunTimes holds the ratios of run time to estimate of a queue, at percentiles.
type QueueRunTimes struct {
	Queue  string  `json:"queue"`
	Runs   int     `json:"runs"`
	P25    float64 `json:"p25"`
	Median float64 `json:"median"`
	P75    float64 `json:"p75"`
	P99    float64 `json:"p99"`
	// RemoteRuns are the runs outside the rack of their data, which take RackFactor
	// times as long; that is zero until it is learned.
	RemoteRuns int     `json:"remote_runs"`
	RackFactor float64 `json:"rack_factor"`
	IdleMS     int64   `json:"idle_ms"`
}

// WorkerSpeed is the speed of a side's worker as a multiple of the usual one.
type WorkerSpeed struct {
	Side   string  `json:"side"`
	Speed  float64 `json:"speed"`
	Runs   int     `json:"runs"`
	IdleMS int64   `json:"idle_ms"`
}

// RunTimes returns the run times and speeds that an entry for sized jobs has learned.
func (c *Client) RunTimes(ctx context.Context) (RunTimes, error) {
	var response RunTimes
	_, err := c.call(ctx, http.MethodGet, "/v1/run-times", nil, &response)
	return response, err
}
