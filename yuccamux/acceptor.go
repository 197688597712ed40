package yuccamux

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// acceptRetryDelay is the time between an error of the listener and the next attempt.
const acceptRetryDelay = 100 * time.Millisecond

// acceptor accepts TCP connections and returns the streams of their sessions as
// links.
type acceptor struct {
	listener net.Listener
	options  Options
	traffic  *Traffic
	links    chan yuccawire.Link
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// Accept returns the next link of any session.
func (a *acceptor) Accept() (yuccawire.Link, error) {
	select {
	case link := <-a.links:
		return link, nil
	case <-a.closed:
		return nil, yuccawire.ErrLinkClosed
	}
}

// Address returns the address that the acceptor listens on.
func (a *acceptor) Address() string { return a.listener.Addr().String() }

// Close closes the listener and all accepted sessions.
func (a *acceptor) Close() error {
	var err error
	a.once.Do(func() {
		close(a.closed)
		err = a.listener.Close()
		a.closeSessions()
	})
	return err
}

func (a *acceptor) closeSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		_ = s.Close()
	}
}

// run accepts connections until the acceptor is closed. Other errors pass: the process
// is out of descriptors, for example.
func (a *acceptor) run() {
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			_ = a.Close()
			return
		}
		if err != nil {
			slog.Warn("accepting a connection failed", "address", a.Address(), "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		session, err := newSession(yamux.Server, conn, a.traffic, a.options)
		if err != nil {
			continue
		}
		accepted := &acceptedSession{acceptor: a, session: session}
		go accepted.run()
	}
}

// add registers a session, or returns false if the acceptor is closed.
func (a *acceptor) add(s *session) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.closed:
		return false
	default:
	}
	a.sessions[s] = struct{}{}
	return true
}

func (a *acceptor) remove(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
}

// acceptedSession passes the streams of one accepted connection to the acceptor.
type acceptedSession struct {
	acceptor *acceptor
	session  *session
}

func (s *acceptedSession) run() {
	defer s.session.Close()
	if !s.acceptor.add(s.session) {
		return
	}
	defer s.acceptor.remove(s.session)
	for {
		link, err := s.session.acceptLink()
		if err != nil {
			return
		}
		select {
		case s.acceptor.links <- link:
		case <-s.acceptor.closed:
			return
		}
	}
}
