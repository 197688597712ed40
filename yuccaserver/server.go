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
	listen  string
	handler http.Handler
	bound   chan string
	await   func(ctx context.Context)
	able    func() bool
	leaves  atomic.Bool
	refuses atomic.Bool
	http    atomic.Pointer[http.Server]
}

// New returns a server that does not listen yet.
func New(listen string, handler http.Handler) *Server {
	return &Server{listen: listen, handler: handler, bound: make(chan string, 1)}
}

// Leave closes each connection after its next answer, so that callers which
// keep theirs open reach another process with what they ask later.
func (s *Server) Leave() { s.leaves.Store(true) }

// Refuse closes every new connection before anything of it is read, so that its
// caller tries another process, and those on which nothing is asked. Requests in
// progress go on.
func (s *Server) Refuse() {
	if s.refuses.Swap(true) {
		return
	}
	if server := s.http.Load(); server != nil {
		server.SetKeepAlivesEnabled(false)
	}
}

// LeaveUnless makes the server act as after Leave whenever able says that it
// can't serve.
func (s *Server) LeaveUnless(able func() bool) *Server {
	s.able = able
	return s
}

// leaving asks for the end of the connection while its server leaves.
func (s *Server) leaving(w http.ResponseWriter, r *http.Request) {
	if s.leaves.Load() || s.able != nil && !s.able() {
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
		if err != nil || !l.server.refuses.Load() {
			return conn, err
		}
		_ = conn.Close()
	}
}

// ListenAfter makes the server listen only once await has returned, so that
// callers of a process that has just started try another one meanwhile.
func (s *Server) ListenAfter(await func(ctx context.Context)) *Server {
	s.await = await
	return s
}

// Address waits for the server to listen and returns its address.
func (s *Server) Address(ctx context.Context) (string, error) {
	select {
	case address := <-s.bound:
		s.bound <- address
		return address, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Serve serves until the context ends, and then finishes what is in progress.
func (s *Server) Serve(ctx context.Context) error {
	if s.await != nil {
		s.await(ctx)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, merry.Prependf(err, "listening on %s", s.listen))
	}
	s.tellBound(listener.Addr().String())
	server := &http.Server{
		Handler:           http.HandlerFunc(s.leaving),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.http.Store(server)
	closer := &closer{server: server, done: make(chan struct{})}
	go closer.run(ctx)
	if err := server.Serve(&refusingListener{Listener: listener, server: s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-closer.done
	return ctx.Err()
}

func (s *Server) tellBound(address string) {
	select {
	case <-s.bound:
	default:
	}
	s.bound <- address
}

// closer shuts the server down when the context ends.
type closer struct {
	server *http.Server
	done   chan struct{}
}

func (c *closer) run(ctx context.Context) {
	defer close(c.done)
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if c.server.Shutdown(bounded) != nil {
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
