// Package yuccaserver runs HTTP listeners as suture services that shut down
// gracefully.
//
// # Usage
//
//	server := yuccaserver.New("127.0.0.1:7000", handler)
//	supervisor.Add(server)
//	url := "http://" + server.Address() // once it listens
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

// Server is one HTTP listener.
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

// New returns a server that does not listen yet.
func New(listen string, handler http.Handler) *Server {
	return &Server{listen: listen, handler: handler, address: make(chan string, 1)}
}

// CloseAfterResponse closes each connection after its next answer, so that callers which
// keep theirs open reach another process with what they ask later.
func (s *Server) CloseAfterResponse() { s.closesAfterResponse.Store(true) }

// RefuseConnections closes every new connection before anything of it is read, so that its
// caller tries another process, and those on which nothing is asked. Requests in
// progress go on.
func (s *Server) RefuseConnections() {
	if s.refusesConnections.Swap(true) {
		return
	}
	if server := s.httpServer.Load(); server != nil {
		server.SetKeepAlivesEnabled(false)
	}
}

// CloseAfterResponseUnless makes the server act as after Leave whenever able says that it
// can't serve.
func (s *Server) CloseAfterResponseUnless(isReady func() bool) *Server {
	s.isReady = isReady
	return s
}

// leaving asks for the end of the connection while its server leaves.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closesAfterResponse.Load() || s.isReady != nil && !s.isReady() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// refusingListener closes what it accepts once its server refuses.
type refusingListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection that is to be served.
func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.server.refusesConnections.Load() {
			return conn, err
		}
		_ = conn.Close()
	}
}

// ListenAfter makes the server listen only once await has returned, so that
// callers of a process that has just started try another one meanwhile.
func (s *Server) ListenAfter(awaitReady func(ctx context.Context)) *Server {
	s.awaitReady = awaitReady
	return s
}

// Address waits for the server to listen and returns its address.
func (s *Server) Address(ctx context.Context) (string, error) {
	select {
	case address := <-s.address:
		s.address <- address
		return address, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Serve serves until the context ends, and then finishes what is in progress.
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

// WithVars adds /debug/vars to a handler.
func WithVars(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("/", handler)
	return mux
}
