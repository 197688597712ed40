package yuccamux

import "encoding/binary"

// Layout of a yamux frame header: version (1 byte), type (1), flags (2), stream id
// (4) and length of the body (4), big-endian. typeData is the type of data frames.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

// isDataHeader reports whether p is the header of a data frame with a body, which
// yamux passes to the next Write.
func isDataHeader(p []byte) bool {
	return len(p) == headerSize && p[0] == 0 && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0
}

// Write writes to the connection and counts the bytes. Yamux writes the header of a
// frame and its body one after the other from a single goroutine. Write buffers
// the header and writes it together with the body, which saves a system call and a
// packet for each message.
func (c *countingConn) Write(p []byte) (int, error) {
	if len(c.buffered) == 0 && isDataHeader(p) {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	if len(c.buffered) == 0 {
		return c.send(p)
	}
	header := len(c.buffered)
	c.buffered = append(c.buffered, p...)
	n, err := c.send(c.buffered)
	c.buffered = c.buffered[:0]
	return max(n-header, 0), err
}

func (c *countingConn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
