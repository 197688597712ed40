// Package yuccajsonpost is an HTTP client that posts JSON to a process on the same
// host. It sends each request at most once: the automatic retry of net/http is
// disabled, because the requests are not idempotent.
//
// # Usage
//
//	client := yuccajsonpost.NewClient(yuccajsonpost.Options{MaxConnections: 4})
//	status, text, err := client.Post(ctx, "http://127.0.0.1:7471/v1/start", nil, body)
package yuccajsonpost

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

const (
	// dialTimeout limits how long opening a connection on the same host may take.
	dialTimeout = 100 * time.Millisecond
	// maxResponseBytes limits a response body, which may list some thousand
	// completed runs. A longer one is truncated.
	maxResponseBytes = 4 << 20
)

// Options configures a [Client].
type Options struct {
	// MaxConnections limits the connections to a host. Further requests wait until
	// one is free.
	MaxConnections int
}

// Client posts JSON over a limited number of persistent connections.
type Client struct{ http *http.Client }

// NewClient returns a client, which opens connections on demand.
func NewClient(options Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: options.MaxConnections, MaxConnsPerHost: options.MaxConnections,
		DisableCompression: true,
	}, CheckRedirect: returnRedirect}}
}

// returnRedirect makes a redirect the response. The failure of a second request would say
// nothing of the first.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// IsRefused reports whether an error of [Client.Post] means that no process listens
// at the address. The request was not sent then.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Connect opens a connection to the address, a host and port, and closes it. It uses none of
// the connections of a [Client], which may all wait for responses.
func Connect(ctx context.Context, address string, timeout time.Duration) error {
	dialer := &net.Dialer{Timeout: timeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// Post sends the body encoded as JSON and returns the status and the body of the
// response. An error means that no complete response was received; the request
// may have been processed nevertheless.
func (c *Client) Post(ctx context.Context, url string, header http.Header, body any) (status int, text []byte, err error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	// Without GetBody the transport can't resend the body after a connection error.
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
