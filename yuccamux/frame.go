package yuccamux

import "encoding/binary"

// The header of a yamux frame, as its specification has it: version, type, two
// bytes of flags, four of the stream and four of the length of the body.
const (
	headerBytes  = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// bodyFollows tells whether what is written is the header of a frame whose body
// comes with the next write.
func bodyFollows(p []byte) bool {
	return len(p) == headerBytes && p[0] == 0 && p[headerType] == typeData && binary.BigEndian.Uint32(p[headerLength:]) > 0
}

// Write sends and counts. Yamux writes the header of a frame and its body one
// after the other from one goroutine; they leave together, which saves a system
// call and a packet for each message.
func (c *countingConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && bodyFollows(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.send(p)
	}
	header := len(c.held)
	c.held = append(c.held, p...)
	n, err := c.send(c.held)
	c.held = c.held[:0]
	return max(n-header, 0), err
}

func (c *countingConn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
