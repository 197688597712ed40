// Package yuccapost sends one JSON body to a process on the same host, once: what
// it asks for may not be repeated by a transport that means well.
//
// # Usage
//
//	client := yuccapost.NewClient(yuccapost.Options{MaxConnections: 4})
//	status, text, err := client.Post(ctx, "http://127.0.0.1:7471/v1/start", nil, body)
package yuccapost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

const (
	// dialTimeout bounds the opening of a connection on the same host.
	dialTimeout = 100 * time.Millisecond
	// maxReplyBytes bounds an answer: lists of some thousand ends.
	maxResponseBytes = 4 << 20
)

// Options holds what a client needs.
type Options struct {
	// MaxConnections are kept to a host; what comes beyond waits.
	MaxConnections int
}

// Client sends bodies.
type Client struct{ http *http.Client }

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: options.MaxConnections, MaxConnsPerHost: options.MaxConnections,
		DisableCompression: true,
	}}}
}

// Post sends the body and returns the status and the text of the answer. An
// error means that none came whole: the request may have been carried out.
func (c *Client) Post(ctx context.Context, url string, header http.Header, body any) (status int, text []byte, err error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	// Without it the transport can't send the body a second time by itself.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	yuccatrace.Inject(ctx, request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, text, err
}
