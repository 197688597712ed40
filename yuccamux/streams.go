package yuccamux

import (
	"net"
	"sync"
	"time"
)

// sessionConn is the connection of a session. Whatever ends a session, yamux closes
// the connection right after it has marked the session as closed, and each stream
// only after it has waited for other goroutines. In between, reads and writes that
// find no data or no window spin unless their deadline has passed.
type sessionConn struct {
	net.Conn
	streams *streamSet
}

// Close interrupts the streams of the session and closes the connection.
func (c *sessionConn) Close() error {
	c.streams.interrupt()
	return c.Conn.Close()
}

// streamSet holds the streams of a session whose links are open.
type streamSet struct {
	mu          sync.Mutex
	interrupted bool
	streams     map[net.Conn]struct{}
}

// add adds a stream, or interrupts it if the session has ended.
func (s *streamSet) add(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted {
		_ = stream.SetDeadline(time.Now())
		return
	}
	s.streams[stream] = struct{}{}
}

func (s *streamSet) remove(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// interrupt ends all reads and writes that wait for the peer, now and later. Data
// that has arrived can still be read.
func (s *streamSet) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	for stream := range s.streams {
		_ = stream.SetDeadline(time.Now())
	}
	clear(s.streams)
}
