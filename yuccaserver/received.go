package yuccaserver

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// ReceivedAt returns when the last data of a request reached this machine, by its context. A handler that has read
// the body knows by it how long the request has waited in the socket. It returns the current time if that is not
// known, as for a request of another server.
func ReceivedAt(ctx context.Context) time.Time {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return time.Now()
	}
	return time.Now().Add(-c.sinceLastData())
}

// HasClientLeft reports whether the client of a request has closed the connection, by the context of the request. One that
// has waited in the socket may have been sent again elsewhere. It returns false for a request of another server.
func HasClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.hasEnded()
}

// sinceLastData returns how long ago the kernel has received data on the connection, zero if it doesn't say.
func (c *conn) sinceLastData() time.Duration {
	var info *unix.TCPInfo
	var err error
	controlErr := c.raw.Control(func(descriptor uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
