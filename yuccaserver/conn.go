package yuccaserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// phase is how far a connection is with its current request.
type phase int

const (
	// accepted connections have not sent a byte yet.
	accepted phase = iota
	// idle connections have had a response and not sent a byte since.
	idle
	readingHeader
	handling
	readingBody
	// refused connections have got a refusal. What they still send is discarded.
	refused
	closed
)

// errRefused is returned to a handler that reads the body of a refused request.
var errRefused = errors.New("the process ends before the request was read")

// ErrClientLeft is returned to a handler at the end of the body of a request whose client has
// closed the connection.
var ErrClientLeft = errors.New("the client closed the connection before its request was handled")

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// conn is an accepted connection that knows its phase.
type conn struct {
	*net.TCPConn
	raw        syscall.RawConn
	server     *Server
	acceptedAt time.Time

	mu    sync.Mutex
	phase phase
	// readNow as a function, and the arguments and results of its call: there is one
	// Read at a time, and none of them has to be allocated then.
	read    func(descriptor uintptr) bool
	buffer  []byte
	readN   int
	readErr error
}

func newConn(c *net.TCPConn, s *Server) (*conn, error) {
	raw, err := c.SyscallConn()
	tracked := &conn{TCPConn: c, raw: raw, server: s, acceptedAt: time.Now()}
	tracked.read = tracked.readNow
	return tracked, err
}

func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }

// Read reads and takes note of it in one step, so that no connection is closed as unused
// that has been read from.
func (c *conn) Read(p []byte) (int, error) {
	c.buffer = p
	waitErr := c.raw.Read(c.read)
	n, err := c.readN, c.readErr
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads what is there, and returns false if that is nothing. It discards what a
// refused connection sends, as closing it with unread data would take the refusal back.
func (c *conn) readNow(descriptor uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		c.readN, c.readErr = 0, net.ErrClosed
		return true
	}
	for {
		c.readN, c.readErr = syscall.Read(int(descriptor), c.buffer)
		isRead := c.readErr == nil && c.readN > 0
		switch {
		case errors.Is(c.readErr, syscall.EINTR) || isRead && c.phase == refused:
			continue
		case isRead && (c.phase == accepted || c.phase == idle):
			c.phase = readingHeader
		}
		return !errors.Is(c.readErr, syscall.EAGAIN)
	}
}

// SetReadDeadline does not move the deadline of a refused connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == refused {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close closes the connection. It must not hold the mutex meanwhile, as it waits for Read.
func (c *conn) Close() error {
	c.mu.Lock()
	c.phase = closed
	c.mu.Unlock()
	c.server.forget(c)
	return c.TCPConn.Close()
}

// enter enters the next phase, unless the connection was refused or closed.
func (c *conn) enter(next phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= refused {
		return false
	}
	c.phase = next
	return true
}

// closeUnused closes the connection if it has no request.
func (c *conn) closeUnused(acceptedBefore time.Time) {
	c.mu.Lock()
	isUnused := (c.phase == idle || c.phase == accepted && c.acceptedAt.Before(acceptedBefore)) && !c.hasUnreadBytes()
	if isUnused {
		c.phase = closed
	}
	c.mu.Unlock()
	if isUnused {
		_ = c.Close()
	}
}

// hasUnreadBytes reports whether the client has sent bytes that Read has yet to return.
func (c *conn) hasUnreadBytes() bool {
	n, _ := c.peek()
	return n > 0
}

// hasEnded reports whether the client has closed the connection, and all that it sent was read.
func (c *conn) hasEnded() bool {
	n, err := c.peek()
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek returns how many bytes, at most one, are there to be read. If the client has closed the
// connection, there are none and no error.
func (c *conn) peek() (n int, err error) {
	controlErr := c.raw.Control(func(descriptor uintptr) {
		n, _, err = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(controlErr, err)
}

// refuseUnread refuses a request that has not been read to its end, so that its handler
// has passed nothing on. It reports whether there is one.
func (c *conn) refuseUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasBegun := c.phase == readingHeader || c.phase == readingBody
	if !hasBegun && (c.phase > idle || !c.hasUnreadBytes()) {
		return false
	}
	c.phase = refused
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.Write(refusal)
	_ = c.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	return true
}

// refusal is the response to a request that was not read to its end.
var refusal = encodeRefusal(yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.Draining, "%v", errRefused))

func encodeRefusal(p *yuccaproblem.Problem) []byte {
	text, err := json.Marshal(p)
	if err != nil {
		panic(err) // unreachable: all fields are strings, numbers and booleans
	}
	response := &http.Response{
		StatusCode: p.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(text)), Body: io.NopCloser(bytes.NewReader(text)),
		Header: http.Header{"Content-Type": {yuccaproblem.ContentType}, "Retry-After": {strconv.Itoa(refusalRetryAfter)}},
	}
	var encoded bytes.Buffer
	_ = response.Write(&encoded)
	return encoded.Bytes()
}

// body tells the connection when the handler waits for the rest of a request. Its end is an
// error if the client has closed the connection: a request that waited in the socket may have been
// sent again elsewhere.
type body struct {
	io.ReadCloser
	conn *conn
}

func (b *body) Read(p []byte) (int, error) {
	if !b.conn.enter(readingBody) {
		return 0, errRefused
	}
	n, err := b.ReadCloser.Read(p)
	if !b.conn.enter(handling) {
		return 0, errRefused
	}
	if errors.Is(err, io.EOF) && b.conn.hasEnded() {
		return n, ErrClientLeft
	}
	return n, err
}
