// Package yuccamemnet is an in-memory network for tests that delays messages and
// injects partitions and link failures.
//
// It only waits on timers and channels, so it can be used under
// testing/synctest. A partition delays messages as TCP does: they arrive after
// the partition is healed, or are lost if the link is closed first.
//
// # Usage
//
//	fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
//	a, b := fabric.Host("a"), fabric.Host("b")
//	listener, err := b.Listen("b:1")
//	link, err := a.Dial(ctx, "b:1")
//	fabric.Partition("a", "b") // from a to b only
//	fabric.Heal("a", "b")
package yuccamemnet

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	acceptBacklog = 256
	dialTimeout   = time.Second
)

// ErrRefused is returned by Dial if nothing listens on the address.
var ErrRefused = merry.Sentinel("connection refused")

// ErrUnreachable is returned by Dial if the hosts are partitioned.
var ErrUnreachable = merry.Sentinel("host is unreachable")

// Options configures the message delays of a [Fabric].
type Options struct {
	// Delay is the one-way delay between two hosts.
	Delay time.Duration
	// Jitter is the upper bound of a uniformly distributed extra delay.
	Jitter time.Duration
	// Seed seeds the jitter, so that a test can repeat it.
	Seed uint64
	// BytesPerSecond is the rate at which a link delivers, zero for no limit.
	BytesPerSecond int
	// MaxPendingBytes is the encoded size of the undelivered messages on a link from which on
	// it is closed if another one is sent. Zero is for no limit.
	MaxPendingBytes int64
}

type direction struct{ from, to string }

// Fabric is the network between the hosts of one test. It is safe for
// concurrent use.
type Fabric struct {
	options      Options
	mu           sync.Mutex
	random       *rand.Rand
	listeners    map[string]*listener
	partitions   map[direction]chan struct{}
	links        map[*link]struct{}
	messageCount int
}

// New returns a Fabric without links or listeners.
func New(options Options) *Fabric {
	return &Fabric{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		listeners:  make(map[string]*listener),
		partitions: make(map[direction]chan struct{}),
		links:      make(map[*link]struct{}),
	}
}

// Host returns the network interface of the named host. Addresses have the form
// host:port.
func (f *Fabric) Host(name string) yuccawire.Network {
	return &host{fabric: f, name: name}
}

// MessageCount returns the number of messages sent so far; a dial counts as one.
func (f *Fabric) MessageCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messageCount
}

// Partition delays all messages from one host to another until [Fabric.Heal] is
// called. Links stay open, so that neither end notices.
func (f *Fabric) Partition(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := direction{from, to}
	if f.partitions[d] == nil {
		f.partitions[d] = make(chan struct{})
	}
}

// Heal ends a partition and delivers the delayed messages of that direction.
func (f *Fabric) Heal(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := direction{from, to}
	if healed := f.partitions[d]; healed != nil {
		close(healed)
		delete(f.partitions, d)
	}
}

// Isolate partitions the host from the others in both directions.
func (f *Fabric) Isolate(name string, others ...string) {
	for _, other := range others {
		f.Partition(name, other)
		f.Partition(other, name)
	}
}

// Rejoin reverts Isolate.
func (f *Fabric) Rejoin(name string, others ...string) {
	for _, other := range others {
		f.Heal(name, other)
		f.Heal(other, name)
	}
}

// CloseLinks closes all links between two hosts. Messages in flight are lost.
func (f *Fabric) CloseLinks(a, b string) {
	for _, l := range f.linksBetween(a, b) {
		_ = l.Close()
	}
}

// Crash closes all links and listeners of the host.
func (f *Fabric) Crash(name string) {
	for _, l := range f.linksBetween(name, "") {
		_ = l.Close()
	}
	for _, l := range f.listenersOf(name) {
		_ = l.Close()
	}
}

func (f *Fabric) linksBetween(a, b string) []*link {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*link
	for l := range f.links {
		d := l.direction
		if d.from == a && (b == "" || d.to == b) || d.to == a && (b == "" || d.from == b) {
			found = append(found, l)
		}
	}
	return found
}

func (f *Fabric) listenersOf(name string) []*listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*listener
	for address, l := range f.listeners {
		if hostOf(address) == name {
			found = append(found, l)
		}
	}
	return found
}

// healSignal returns a channel that is closed when the direction is healed, or
// nil if it is not partitioned.
func (f *Fabric) healSignal(d direction) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitions[d]
}

// nextDelay counts a message and returns its random delay.
func (f *Fabric) nextDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messageCount++
	if f.options.Jitter <= 0 {
		return f.options.Delay
	}
	return f.options.Delay + time.Duration(f.random.Int64N(int64(f.options.Jitter)))
}

func hostOf(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}

// host is the network interface of one host.
type host struct {
	fabric *Fabric
	name   string
}

// Dial opens a link to the listener at the address. It fails with
// [ErrUnreachable] after a second if either direction is partitioned.
func (h *host) Dial(ctx context.Context, address string) (yuccawire.Link, error) {
	f := h.fabric
	to := hostOf(address)
	for _, d := range []direction{{h.name, to}, {to, h.name}} {
		if f.healSignal(d) == nil {
			continue
		}
		if err := sleep(ctx, dialTimeout); err != nil {
			return nil, err
		}
		return nil, merry.Prependf(ErrUnreachable, "dialling %s", address)
	}
	if err := sleep(ctx, 2*f.nextDelay()); err != nil {
		return nil, err
	}
	f.mu.Lock()
	l := f.listeners[address]
	f.mu.Unlock()
	if l == nil {
		return nil, merry.Prependf(ErrRefused, "dialling %s", address)
	}
	near, far := f.newLinkPair(h.name, to)
	select {
	case l.links <- far:
		return near, nil
	case <-l.closed:
		return nil, merry.Prependf(ErrRefused, "dialling %s", address)
	}
}

// Listen opens a listener at the address, whose host must be this one.
func (h *host) Listen(address string) (yuccawire.Listener, error) {
	f := h.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if hostOf(address) != h.name {
		return nil, merry.Errorf("address %q does not belong to host %q", address, h.name)
	}
	if f.listeners[address] != nil {
		return nil, merry.Errorf("address %q is in use", address)
	}
	l := &listener{fabric: f, address: address, links: make(chan yuccawire.Link, acceptBacklog), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
