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
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"
)

const (
	shutdownTimeout   = 5 * time.Second
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
	refusesConnections  atomic.Bool
	httpServer          atomic.Pointer[http.Server]
}

// New returns a server that listens on the TCP address listen once Serve runs.
func New(listen string, handler http.Handler) *Server {
	return &Server{listen: listen, handler: handler, address: make(chan string, 1)}
}

// CloseAfterResponse closes each connection after its next response, so that
// clients with persistent connections send later requests to another process.
func (s *Server) CloseAfterResponse() { s.closesAfterResponse.Store(true) }

// RefuseConnections closes idle connections, and new ones before anything is read
// from them, so that their clients try another process. Requests in progress are
// not interrupted.
func (s *Server) RefuseConnections() {
	if s.refusesConnections.Swap(true) {
		return
	}
	if server := s.httpServer.Load(); server != nil {
		server.SetKeepAlivesEnabled(false)
	}
}

// CloseAfterResponseUnless makes the server also close connections after their next
// response while isReady returns false. It must be called before Serve.
func (s *Server) CloseAfterResponseUnless(isReady func() bool) *Server {
	s.isReady = isReady
	return s
}

// serveHTTP calls the handler, and closes the connection after the response if
// CloseAfterResponse was called or the server is not ready.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closesAfterResponse.Load() || s.isReady != nil && !s.isReady() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// refusingListener closes accepted connections after RefuseConnections.
type refusingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is not refused.
func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.server.refusesConnections.Load() {
			return conn, err
		}
		_ = conn.Close()
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

// Serve handles requests until the context ends. It then stops listening, and waits
// up to shutdownTimeout for the requests in progress. If it can't listen, the
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
	}
	s.httpServer.Store(server)
	closer := &closer{server: server, done: make(chan struct{})}
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

// closer shuts the server down when the context ends.
type closer struct {
	server *http.Server
	done   chan struct{}
}

func (c *closer) run(ctx context.Context) {
	defer close(c.done)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if c.server.Shutdown(shutdownCtx) != nil {
		_ = c.server.Close()
	}
}

// WithVars adds the expvar page /debug/vars to a handler.
func WithVars(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("/", handler)
	return mux
}
