// Package yuccaserver runs HTTP servers as suture services with graceful shutdown.
//
// # Usage
//
//	server := yuccaserver.New("127.0.0.1:7000", handler)
//	supervisor.Add(server)
//	address, err := server.Address(ctx) // waits until it listens
package yuccaserver

import (
	"context"
	"errors"
	"expvar"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"
)

const (
	shutdownTimeout = 5 * time.Second
	// lingerTimeout is how long a refused connection may take to read its refusal, and
	// the handlers still running to end.
	lingerTimeout = 500 * time.Millisecond
	// firstByteTimeout is how long a connection that is accepted shortly before
	// RefuseConnections has for the first byte of its request.
	firstByteTimeout  = 200 * time.Millisecond
	refusalRetryAfter = 1
	pollInterval      = 10 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Server is an HTTP server with one listener.
type Server struct {
	listen              string
	handler             http.Handler
	address             chan string
	awaitReady          func(ctx context.Context)
	isReady             func() bool
	closesAfterResponse atomic.Bool

	mu                 sync.Mutex
	conns              map[*conn]struct{}
	refusesConnections bool
	finished           bool
}

// New returns a server that listens on the TCP address listen once Serve runs.
func New(listen string, handler http.Handler) *Server {
	return &Server{listen: listen, handler: handler, address: make(chan string, 1), conns: make(map[*conn]struct{})}
}

// CloseAfterResponse closes each connection after its next response, so that
// clients with persistent connections send later requests to another process.
func (s *Server) CloseAfterResponse() { s.closesAfterResponse.Store(true) }

// RefuseConnections closes connections without a request, and new ones before anything
// is read from them, so that their clients try another process. Requests that are being
// read or handled are not interrupted.
func (s *Server) RefuseConnections() {
	s.closesAfterResponse.Store(true)
	s.mu.Lock()
	s.refusesConnections = true
	s.mu.Unlock()
	s.closeUnused(time.Now().Add(-firstByteTimeout))
}

// Finish refuses connections and waits until all requests are answered. If the context
// ends first, it refuses those that have not been read to their end with a 503, and
// waits up to lingerTimeout for the others. It returns the number of refused requests.
func (s *Server) Finish(ctx context.Context) int {
	s.RefuseConnections()
	refusals := 0
	if !s.awaitRequests(ctx) {
		for _, c := range s.connections() {
			if c.refuseUnread() {
				refusals++
			}
		}
		lingerCtx, cancel := context.WithTimeout(context.Background(), lingerTimeout)
		defer cancel()
		s.awaitRequests(lingerCtx)
	}
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	return refusals
}

// awaitRequests waits until no connection is left, and returns false if the context ends
// first.
func (s *Server) awaitRequests(ctx context.Context) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.closeUnused(time.Now().Add(-firstByteTimeout))
		if len(s.connections()) == 0 {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) closeUnused(acceptedBefore time.Time) {
	for _, c := range s.connections() {
		c.closeUnused(acceptedBefore)
	}
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// track returns the connection with its phase, or nil if connections are refused.
func (s *Server) track(accepted net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesConnections {
		return nil
	}
	c, err := newConn(accepted.(*net.TCPConn), s)
	if err != nil {
		return nil
	}
	s.conns[c] = struct{}{}
	return c
}

// CloseAfterResponseUnless makes the server also close connections after their next
// response while isReady returns false. It must be called before Serve.
func (s *Server) CloseAfterResponseUnless(isReady func() bool) *Server {
	s.isReady = isReady
	return s
}

// serveHTTP calls the handler, unless the request was refused.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if !c.enter(handling) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler) // the refusal is the response
	}
	if r.Body != http.NoBody {
		// The server closes the connection by the body of its own request.
		request := *r
		request.Body = &body{ReadCloser: r.Body, conn: c}
		r = &request
	}
	response := &response{ResponseWriter: w, server: s}
	s.handler.ServeHTTP(response, r)
	if !response.wroteHeader {
		response.WriteHeader(http.StatusOK)
	}
}

// response closes the connection after the response if CloseAfterResponse was called
// before its header is written, or the server is not ready.
type response struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader writes the header.
func (w *response) WriteHeader(status int) {
	w.wroteHeader = true
	if s := w.server; s.closesAfterResponse.Load() || s.isReady != nil && !s.isReady() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the header, if that is missing, and a part of the body.
func (w *response) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// refusingListener closes accepted connections after RefuseConnections.
type refusingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is not refused.
func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.track(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// ListenAfter makes Serve call awaitReady before it listens, so that clients try
// another process while this one starts. It must be called before Serve.
func (s *Server) ListenAfter(awaitReady func(ctx context.Context)) *Server {
	s.awaitReady = awaitReady
	return s
}

// Address waits until the server listens and returns its address.
func (s *Server) Address(ctx context.Context) (string, error) {
	select {
	case address := <-s.address:
		s.address <- address
		return address, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Serve handles requests until the context ends. It then refuses connections,
// and waits up to shutdownTimeout for the requests in progress, unless Finish did. If it can't listen, the
// returned error terminates the supervisor tree.
func (s *Server) Serve(ctx context.Context) error {
	if s.awaitReady != nil {
		s.awaitReady(ctx)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, merry.Prependf(err, "listening on %s", s.listen))
	}
	s.publishAddress(listener.Addr().String())
	server := &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*conn).enter(idle)
			}
		},
	}
	closer := &closer{server: s, httpServer: server, done: make(chan struct{})}
	go closer.run(ctx)
	if err := server.Serve(&refusingListener{Listener: listener, server: s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-closer.done
	return ctx.Err()
}

// publishAddress replaces the address of an earlier Serve.
func (s *Server) publishAddress(address string) {
	select {
	case <-s.address:
	default:
	}
	s.address <- address
}

// closer closes the server when the context ends.
type closer struct {
	server     *Server
	httpServer *http.Server
	done       chan struct{}
}

func (c *closer) run(ctx context.Context) {
	defer close(c.done)
	<-ctx.Done()
	// Shutdown would cut off requests whose header is being read.
	if !c.server.hasFinished() {
		finishCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		c.server.Finish(finishCtx)
	}
	_ = c.httpServer.Close()
}

func (s *Server) hasFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished
}

// WithVars adds the expvar page /debug/vars to a handler.
func WithVars(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("/", handler)
	return mux
}
