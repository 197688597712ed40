package yuccamux

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all sessions of a network.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent is the number of bytes written to TCP connections.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received is the number of bytes read from TCP connections.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countingConn adds what it carries to the traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
	// held is the header of a frame whose body is written next.
	buffered []byte
}

// Read counts what it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}
