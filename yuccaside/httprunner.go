package yuccaside

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaheader"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// MaxResponseBytes is the maximum size of the body of a target's response. The
// outcome of an attempt with a larger response is unknown.
const MaxResponseBytes = 8 << 20

const (
	idleConnections = 64
	idleTimeout     = 30 * time.Second
)

// HTTPRunner forwards attempts to targets over HTTP. It sends each request at most
// once: it prevents the automatic retries of net/http and follows no redirects.
type HTTPRunner struct {
	client *http.Client
	// noKeepAlive opens a new connection for each request.
	noKeepAlive *http.Client
}

// dialFunc opens a connection to a target.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

var errMayNotStart = merry.Sentinel("was not sent: its side may start nothing any more")

// guardedConn is a connection to a target. It asks before the first bytes of a request
// whether the attempt may still start.
type guardedConn struct {
	net.Conn
	mayStart atomic.Pointer[func() bool]
}

// Write sends nothing and returns an error if the attempt may not start.
func (c *guardedConn) Write(content []byte) (int, error) {
	if mayStart := c.mayStart.Swap(nil); mayStart != nil && !(*mayStart)() {
		return 0, errMayNotStart
	}
	return c.Conn.Write(content)
}

// dial opens a guarded connection.
func (d dialFunc) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// withGuard makes the connection that a request of the context gets ask mayStart.
func withGuard(ctx context.Context, mayStart func() bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.mayStart.Store(&mayStart)
		}
	}})
}

// NewHTTPRunner returns a runner with its own connection pool.
func NewHTTPRunner() *HTTPRunner { return newHTTPRunner((&net.Dialer{}).DialContext) }

func newHTTPRunner(dial dialFunc) *HTTPRunner {
	transport := &http.Transport{
		DialContext:         dial.dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &HTTPRunner{
		client: &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		noKeepAlive: &http.Client{
			Transport:     &http.Transport{DialContext: dial.dial, DisableKeepAlives: true, DisableCompression: true},
			CheckRedirect: returnRedirect,
		},
	}
}

// returnRedirect makes the client return a redirect instead of following it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// singleUseBody is a request body that can't be rewound. [http.Transport] retries a
// request on another connection only if it has no body or its body can be
// rewound.
type singleUseBody struct{ io.Reader }

// Close is a no-op.
func (singleUseBody) Close() error { return nil }

// Run sends the attempt to the target and returns its response. If the request
// could not be built or sent, or its response is incomplete or larger than
// [MaxResponseBytes], the state of the result is TASK_UNKNOWN. mayStart is asked once
// the request has its connection.
func (h *HTTPRunner) Run(ctx context.Context, address string, start *yuccawire.Start, mayStart func() bool) *yuccawire.Finished {
	request, err := newRequest(withGuard(ctx, mayStart), address, start)
	if err != nil {
		return unknownResult(err)
	}
	response, err := h.clientFor(request).Do(request)
	if err != nil {
		return unknownResult(err)
	}
	defer response.Body.Close()
	body, err := readBody(response.Body)
	if err != nil {
		return unknownResult(err)
	}
	return &yuccawire.Finished{
		State:   yuccawire.TaskState_TASK_FINISHED,
		Status:  uint32(response.StatusCode),
		Headers: yuccaheader.ToWire(response.Header),
		Body:    body,
	}
}

// clientFor returns a client that does not retry the request. For an empty body
// with a method that usually has one, net/http would either retry the request
// (with http.NoBody) or send it chunked (with a body that can't be rewound). A new
// connection avoids both: net/http retries only on reused connections.
func (h *HTTPRunner) clientFor(request *http.Request) *http.Client {
	if request.ContentLength > 0 {
		return h.client
	}
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		request.Body = http.NoBody
		return h.noKeepAlive
	}
	return h.client
}

func newRequest(ctx context.Context, address string, start *yuccawire.Start) (*http.Request, error) {
	r := start.GetRequest()
	targetURL, err := url.Parse(address + r.GetPath())
	if err != nil {
		return nil, merry.Prepend(err, "building the target's URL")
	}
	targetURL.RawQuery = r.GetQuery()
	request, err := http.NewRequestWithContext(ctx, r.GetMethod(), targetURL.String(), http.NoBody)
	if err != nil {
		return nil, merry.Prepend(err, "building the target's request")
	}
	yuccaheader.Apply(r.GetHeaders(), request.Header)
	request.Body = singleUseBody{bytes.NewReader(r.GetBody())}
	request.ContentLength = int64(len(r.GetBody()))
	request.GetBody = nil
	key := start.GetKey()
	request.Header.Set(yuccaheader.Job, key.GetJob().GetTeam()+"/"+key.GetJob().GetId())
	request.Header.Set(yuccaheader.Task, key.GetTask())
	request.Header.Set(yuccaheader.Attempt, strconv.FormatUint(uint64(key.GetAttempt()), 10))
	yuccatrace.Inject(ctx, request.Header)
	return request, nil
}

func readBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "reading the target's answer")
	}
	if len(content) > MaxResponseBytes {
		return nil, fmt.Errorf("the target's answer is larger than %d bytes", MaxResponseBytes)
	}
	return content, nil
}

func unknownResult(err error) *yuccawire.Finished {
	return &yuccawire.Finished{State: yuccawire.TaskState_TASK_UNKNOWN, Failure: err.Error()}
}
