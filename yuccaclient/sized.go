package yuccaclient

import (
	"context"
	"net/http"
	"net/url"
)

// SizedJob is a job whose tasks have sizes, as its caller sees it.
type SizedJob struct {
	Queue string `json:"queue"`
	ID    string `json:"id"`
	State string `json:"state"`
}

// SizedQueue is a queue of such jobs.
type SizedQueue struct {
	Queue string `json:"queue"`
	// Pending is the number of jobs that have not begun.
	Pending int `json:"pending"`
}

func sizedJobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// SubmitSized submits a job and waits for its answer.
func (c *Client) SubmitSized(ctx context.Context, queue, id string, body []byte) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodPost, sizedJobPath(queue, id), body, &job)
	return job, err
}

// SizedJob asks how far a job is.
func (c *Client) SizedJob(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodGet, sizedJobPath(queue, id), nil, &job)
	return job, err
}

// CancelSized ends a job.
func (c *Client) CancelSized(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodDelete, sizedJobPath(queue, id), nil, &job)
	return job, err
}

// SizedQueue asks for a queue.
func (c *Client) SizedQueue(ctx context.Context, queue string) (SizedQueue, error) {
	var response SizedQueue
	_, err := c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, &response)
	return response, err
}

// ApplyWhole puts a whole document in force if its version is the highest.
func (c *Client) ApplyDocument(ctx context.Context, text []byte) (ChangeResponse, error) {
	var response ChangeResponse
	_, err := c.call(ctx, http.MethodPut, "/v1/document", text, &response)
	return response, err
}

// WholeDocument asks for the text of the document in force.
func (c *Client) Document(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/document", nil, nil)
}

// SetOut takes a data centre out of the placing of sized jobs, or brings it back.
func (c *Client) SetDrained(ctx context.Context, dataCentre string, drained bool) (ChangeResponse, error) {
	method := http.MethodDelete
	if drained {
		method = http.MethodPut
	}
	var response ChangeResponse
	_, err := c.call(ctx, method, "/v1/data-centres/"+url.PathEscape(dataCentre)+"/out", nil, &response)
	return response, err
}
