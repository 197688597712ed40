package yuccamux

import (
	"net"
	"testing"
)

// packets is a connection that keeps what is written, write by write.
type packets struct {
	net.Conn
	written []string
}

func (p *packets) Write(b []byte) (int, error) {
	p.written = append(p.written, string(b))
	return len(b), nil
}

// The header of a frame leaves with its body, and what has none at once.
func TestFrameInOneWrite(t *testing.T) {
	data := string([]byte{0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 5})
	empty := string([]byte{0, 0, 0, 1, 0, 0, 0, 3, 0, 0, 0, 0})
	window := string([]byte{0, 1, 0, 0, 0, 0, 0, 3, 0, 0, 1, 0})
	p := &packets{}
	c := &countingConn{Conn: p, traffic: &Traffic{}}
	for _, text := range []string{data, "hello", window, data, "again", empty} {
		if n, err := c.Write([]byte(text)); n != len(text) || err != nil {
			t.Errorf("writing %q gives %d %v", text, n, err)
		}
	}
	want := []string{data + "hello", window, data + "again", empty}
	if len(p.written) != len(want) {
		t.Fatalf("%d writes %q, want %q", len(p.written), p.written, want)
	}
	for i := range want {
		if p.written[i] != want[i] {
			t.Errorf("write %d is %q, want %q", i, p.written[i], want[i])
		}
	}
	if sent := c.traffic.Sent(); sent != int64(len(data)*2+10+len(window)+len(empty)) {
		t.Errorf("counted %d bytes", sent)
	}
}
