package yuccamux

import (
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
)

// session is a yamux session on one connection. Its streams are links.
type session struct {
	*yamux.Session
	options Options
	links   *linkSet
}

// opener is yamux.Client or yamux.Server.
type opener func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

// newSession opens a session on the connection, or closes the connection on error.
func newSession(open opener, conn net.Conn, traffic *Traffic, options Options) (*session, error) {
	links := &linkSet{links: make(map[*link]struct{})}
	counting := &countingConn{Conn: conn, traffic: traffic}
	mux, err := open(&sessionConn{Conn: counting, links: links}, muxConfig(options))
	if err != nil {
		_ = conn.Close()
		return nil, merry.Wrap(err)
	}
	return &session{Session: mux, options: options, links: links}, nil
}

// openLink opens a stream to the peer.
func (s *session) openLink() (*link, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return s.newLink(stream), nil
}

// acceptLink waits for a stream that the peer opens.
func (s *session) acceptLink() (*link, error) {
	stream, err := s.AcceptStream()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return s.newLink(stream), nil
}

func (s *session) newLink(stream net.Conn) *link { return newLink(stream, s.links, s.options) }

func muxConfig(options Options) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = options.KeepAlive > 0
	config.KeepAliveInterval = max(options.KeepAlive, time.Millisecond)
	config.ConnectionWriteTimeout = options.WriteTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.LogOutput = io.Discard
	return config
}
