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

func sizedPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// SubmitSized submits a job and waits for its answer.
func (c *Client) SubmitSized(ctx context.Context, queue, id string, body []byte) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodPost, sizedPath(queue, id), body, &job)
	return job, err
}

// SizedJob asks how far a job is.
func (c *Client) SizedJob(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodGet, sizedPath(queue, id), nil, &job)
	return job, err
}

// CancelSized ends a job.
func (c *Client) CancelSized(ctx context.Context, queue, id string) (SizedJob, error) {
	var job SizedJob
	_, err := c.call(ctx, http.MethodDelete, sizedPath(queue, id), nil, &job)
	return job, err
}

// SizedQueue asks for a queue.
func (c *Client) SizedQueue(ctx context.Context, queue string) (SizedQueue, error) {
	var answer SizedQueue
	_, err := c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, &answer)
	return answer, err
}

// ApplyWhole puts a whole document in force if its version is the highest.
func (c *Client) ApplyWhole(ctx context.Context, text []byte) (Accepted, error) {
	var accepted Accepted
	_, err := c.call(ctx, http.MethodPut, "/v1/document", text, &accepted)
	return accepted, err
}

// WholeDocument asks for the text of the document in force.
func (c *Client) WholeDocument(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/document", nil, nil)
}

// SetOut takes a data centre out of the placing of sized jobs, or brings it back.
func (c *Client) SetOut(ctx context.Context, dataCentre string, out bool) (Accepted, error) {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	var accepted Accepted
	_, err := c.call(ctx, method, "/v1/data-centres/"+url.PathEscape(dataCentre)+"/out", nil, &accepted)
	return accepted, err
}
