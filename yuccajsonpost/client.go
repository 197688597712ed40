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
	"sync/atomic"
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

// Client posts JSON to a host over a limited number of persistent connections.
type Client struct {
	http   *http.Client
	dialer *net.Dialer
	// connectedAt is when a connection was last opened.
	connectedAt atomic.Pointer[time.Time]
}

// NewClient returns a client, which opens connections on demand.
func NewClient(options Options) *Client {
	c := &Client{dialer: &net.Dialer{Timeout: dialTimeout}}
	c.connectedAt.Store(new(time.Time))
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: c.dial, MaxIdleConnsPerHost: options.MaxConnections, MaxConnsPerHost: options.MaxConnections,
		DisableCompression: true,
	}, CheckRedirect: returnRedirect}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := c.dialer.DialContext(ctx, network, address)
	if err == nil {
		now := time.Now()
		c.connectedAt.Store(&now)
	}
	return connection, err
}

// returnRedirect makes a redirect the response. The failure of a second request would say
// nothing of the first.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// IsRefused reports whether an error of [Client.Post] means that no process listens
// at the address. The request was not sent then.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Connect finds out whether the host accepts connections: it returns nil if one was opened after
// since, and otherwise opens one more to the address, a host and port, and closes it. A process that
// stands still has few connections accepted for it, which those of [Client.Post] may take up.
func (c *Client) Connect(ctx context.Context, address string, since time.Time, timeout time.Duration) error {
	if c.connectedAt.Load().After(since) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connection, err := c.dial(ctx, "tcp", address)
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
