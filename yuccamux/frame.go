package yuccamux

import "encoding/binary"

// The header of a yamux frame, as its specification has it: version, type, two
// bytes of flags, four of the stream and four of the length of the body.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

// bodyFollows tells whether what is written is the header of a frame whose body
// comes with the next write.
func isDataHeader(p []byte) bool {
	return len(p) == headerSize && p[0] == 0 && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0
}

// Write sends and counts. Yamux writes the header of a frame and its body one
// after the other from one goroutine; they leave together, which saves a system
// call and a packet for each message.
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
