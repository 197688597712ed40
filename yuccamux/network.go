// Package yuccamux carries envelopes between processes over TCP. It opens one yamux
// session for each dialled address and one stream for each link.
//
// # Usage
//
//	network := yuccamux.New(yuccamux.Options{})
//	defer network.Close()
//	listener, err := network.Listen("127.0.0.1:7000")
//	link, err := network.Dial(ctx, "127.0.0.1:7000")
package yuccamux

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	defaultMaxMessageBytes = 32 << 20
	defaultMaxPendingBytes = 64 << 20
	keepAliveInterval      = 2 * time.Second
	writeTimeout           = 3 * time.Second
	streamWindowBytes      = 1 << 20
	acceptBacklog          = 64
)

// Options sets the limits and timeouts of a network. Zero fields get defaults.
type Options struct {
	// MaxMessageBytes is the maximum encoded size of a received envelope.
	MaxMessageBytes int64
	// MaxPendingBytes is the encoded size of all unsent envelopes on a link from which on
	// it is closed if another one is sent.
	MaxPendingBytes int64
	// KeepAlive is the interval between pings of a session. Negative values
	// disable pings, for users that detect silent links themselves.
	KeepAlive time.Duration
	// WriteTimeout is the time after which a ping or a write fails.
	WriteTimeout time.Duration
}

// Network dials and accepts links over TCP. Its methods may be called concurrently.
type Network struct {
	options  Options
	traffic  *Traffic
	mu       sync.Mutex
	sessions map[string]*session
}

// New returns a network with no sessions.
func New(options Options) *Network {
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = defaultMaxMessageBytes
	}
	if options.MaxPendingBytes == 0 {
		options.MaxPendingBytes = defaultMaxPendingBytes
	}
	if options.KeepAlive == 0 {
		options.KeepAlive = keepAliveInterval
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = writeTimeout
	}
	return &Network{options: options, traffic: new(Traffic), sessions: make(map[string]*session)}
}

// Traffic returns the byte counters of all dialled and accepted sessions.
func (n *Network) Traffic() *Traffic { return n.traffic }

// Dial opens a link to the process at the address. All links to an address share
// one session.
func (n *Network) Dial(ctx context.Context, address string) (yuccawire.Link, error) {
	session, err := n.session(ctx, address)
	if err != nil {
		return nil, err
	}
	link, err := session.openLink()
	if err != nil {
		_ = session.Close()
		return nil, merry.Prependf(err, "opening a stream to %s", address)
	}
	return link, nil
}

func (n *Network) session(ctx context.Context, address string) (*session, error) {
	if s := n.cachedSession(address); s != nil {
		return s, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "dialling %s", address)
	}
	opened, err := newSession(yamux.Client, conn, n.traffic, n.options)
	if err != nil {
		return nil, merry.Prependf(err, "opening a session to %s", address)
	}
	return n.storeSession(address, opened), nil
}

func (n *Network) cachedSession(address string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sessions[address]
	if s == nil || s.IsClosed() {
		delete(n.sessions, address)
		return nil
	}
	return s
}

// storeSession stores the session and returns it. If a concurrent dial was faster,
// it closes the given session and returns the one stored by that dial.
func (n *Network) storeSession(address string, opened *session) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if first := n.sessions[address]; first != nil && !first.IsClosed() {
		_ = opened.Close()
		return first
	}
	n.sessions[address] = opened
	return opened
}

// Drop closes the session to the address, so that the next Dial opens a new
// connection. It is meant for peers that have become unresponsive.
func (n *Network) Drop(address string) {
	n.mu.Lock()
	s := n.sessions[address]
	delete(n.sessions, address)
	n.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Close closes all sessions opened by Dial, but no listeners.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, s := range n.sessions {
		_ = s.Close()
		delete(n.sessions, address)
	}
}

// Listen listens on the TCP address.
func (n *Network) Listen(address string) (yuccawire.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listening on %s", address)
	}
	return n.serve(l), nil
}

// serve accepts the connections of the listener.
func (n *Network) serve(l net.Listener) *acceptor {
	a := &acceptor{
		listener: l,
		options:  n.options,
		traffic:  n.traffic,
		links:    make(chan yuccawire.Link, acceptBacklog),
		closed:   make(chan struct{}),
		sessions: make(map[*session]struct{}),
	}
	go a.run()
	return a
}
