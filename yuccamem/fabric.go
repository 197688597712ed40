// Package yuccamem is a network in memory that delays, cuts and breaks links.
//
// All its waiting is on the runtime's clock, so that the processes which it
// joins run under testing/synctest. A cut holds messages back as TCP does: they
// arrive after the cut is healed, or never when the link is closed first.
//
// # Usage
//
//	fabric := yuccamem.New(yuccamem.Options{Delay: time.Millisecond, Seed: 1})
//	a, b := fabric.Host("a"), fabric.Host("b")
//	listener, err := b.Listen("b:1")
//	link, err := a.Dial(ctx, "b:1")
//	fabric.Cut("a", "b") // from a to b only
//	fabric.Heal("a", "b")
package yuccamem

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

// ErrRefused is returned for an address that nothing listens on.
var ErrRefused = merry.Sentinel("connection refused")

// ErrUnreachable is returned when a cut keeps a dial from being answered.
var ErrUnreachable = merry.Sentinel("host is unreachable")

// Options sets the time that messages take.
type Options struct {
	// Delay is the time one way between two hosts.
	Delay time.Duration
	// Jitter is added to the delay, evenly distributed from zero.
	Jitter time.Duration
	// Seed makes the jitter repeatable.
	Seed uint64
}

type direction struct{ from, to string }

// Fabric joins the hosts of one test.
type Fabric struct {
	options      Options
	mu           sync.Mutex
	random       *rand.Rand
	listeners    map[string]*listener
	partitions   map[direction]chan struct{}
	links        map[*link]struct{}
	messageCount int
}

// New returns a fabric without hosts.
func New(options Options) *Fabric {
	return &Fabric{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		listeners:  make(map[string]*listener),
		partitions: make(map[direction]chan struct{}),
		links:      make(map[*link]struct{}),
	}
}

// Host returns the network as the named host sees it. Its addresses have the
// form host:port.
func (f *Fabric) Host(name string) yuccawire.Network {
	return &host{fabric: f, name: name}
}

// Messages is the number of messages sent so far.
func (f *Fabric) MessageCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messageCount
}

// Cut silently holds all messages from one host to another.
func (f *Fabric) Partition(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := direction{from, to}
	if f.partitions[d] == nil {
		f.partitions[d] = make(chan struct{})
	}
}

// Heal lets the held messages of that direction through.
func (f *Fabric) Heal(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := direction{from, to}
	if healed := f.partitions[d]; healed != nil {
		close(healed)
		delete(f.partitions, d)
	}
}

// Isolate cuts the host off from the others in both directions.
func (f *Fabric) Isolate(name string, others ...string) {
	for _, other := range others {
		f.Partition(name, other)
		f.Partition(other, name)
	}
}

// Rejoin heals what Isolate cut.
func (f *Fabric) Rejoin(name string, others ...string) {
	for _, other := range others {
		f.Heal(name, other)
		f.Heal(other, name)
	}
}

// Break closes all links between the two hosts; what they carried is lost.
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

// cut returns a channel that is closed when the direction heals, or nil.
func (f *Fabric) partition(d direction) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitions[d]
}

// delay draws the time that one message takes.
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

// host is the fabric as one host sees it.
type host struct {
	fabric *Fabric
	name   string
}

// Dial opens a link to the host that listens on the address.
func (h *host) Dial(ctx context.Context, address string) (yuccawire.Link, error) {
	f := h.fabric
	to := hostOf(address)
	for _, d := range []direction{{h.name, to}, {to, h.name}} {
		if f.partition(d) == nil {
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

// Listen accepts links at the address, which must belong to the host.
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
