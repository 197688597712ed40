package yuccamux

import (
	"net"
	"testing"
)

// recordingConn is a connection that records each write.
type recordingConn struct {
	net.Conn
	writes []string
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

// A header and its body are written together. Frames without a body are written
// immediately.
func TestHeaderAndBodyShareWrite(t *testing.T) {
	data := string([]byte{0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 5})
	empty := string([]byte{0, 0, 0, 1, 0, 0, 0, 3, 0, 0, 0, 0})
	window := string([]byte{0, 1, 0, 0, 0, 0, 0, 3, 0, 0, 1, 0})
	conn := &recordingConn{}
	c := &countingConn{Conn: conn, traffic: &Traffic{}}
	for _, text := range []string{data, "hello", window, data, "again", empty} {
		if n, err := c.Write([]byte(text)); n != len(text) || err != nil {
			t.Errorf("Write(%q) = %d, %v", text, n, err)
		}
	}
	want := []string{data + "hello", window, data + "again", empty}
	if len(conn.writes) != len(want) {
		t.Fatalf("%d writes %q, want %q", len(conn.writes), conn.writes, want)
	}
	for i := range want {
		if conn.writes[i] != want[i] {
			t.Errorf("write %d is %q, want %q", i, conn.writes[i], want[i])
		}
	}
	if sent := c.traffic.Sent(); sent != int64(len(data)*2+10+len(window)+len(empty)) {
		t.Errorf("Sent() = %d, not the number of bytes written", sent)
	}
}
