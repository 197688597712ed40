package yuccamux

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all sessions of a network, including the framing of
// yamux.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written to TCP connections.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes read from TCP connections.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countingConn counts the bytes of a connection, and joins the header of a frame
// and its body into one write.
type countingConn struct {
	net.Conn
	traffic *Traffic
	// buffered holds the header of a frame until its body is written.
	buffered []byte
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}
