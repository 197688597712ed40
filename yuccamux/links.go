package yuccamux

import (
	"net"
	"sync"
)

// sessionConn is the connection of a session. Whatever ends a session, yamux closes
// the connection right after it has marked the session as closed, and each stream
// only after it has waited for other goroutines. In between, reads and writes that
// find no data or no window spin unless their deadline has passed.
type sessionConn struct {
	net.Conn
	links *linkSet
}

// Close closes the links of the session and then the connection.
func (c *sessionConn) Close() error {
	c.links.close()
	return c.Conn.Close()
}

// linkSet holds the open links of a session.
type linkSet struct {
	mu     sync.Mutex
	closed bool
	links  map[*link]struct{}
}

// add adds a link, or closes it if the session has ended.
func (s *linkSet) add(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.links[l] = struct{}{}
}

func (s *linkSet) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// close closes all links, now and later, without waiting. Data that has arrived can
// still be read.
func (s *linkSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.links {
		_ = l.Close()
	}
	clear(s.links)
}
