package yuccamesh

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaroster"
	"github.com/yuccaturn/yuccaturn/yuccatopology"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options configures a mesh. Replica, Sections and Listen are optional.
type Options struct {
	Network yuccawire.Network
	Self    *yuccawire.Node
	// Listen makes the mesh accept links at the address of Self.
	Listen bool
	// Replica is the address of the control replica of this process, or nil.
	Replica *yuccawire.ReplicaAddress
	// Seeds returns the current seed addresses of entries.
	Seeds func() []string
	// Sections returns the current configuration sections, to be sent to entries that
	// lack them. Only entries have sections.
	Sections func() []*yuccawire.Section
	Metrics  *yuccametric.Set
	Logger   *slog.Logger
}

// connectionDropper is implemented by networks that share one connection among
// the links to an address. Drop closes that connection, so that the next dial
// opens a new one.
type connectionDropper interface{ Drop(address string) }

// LinkUp is the event of an opened link.
type LinkUp struct{ Peer *Peer }

// LinkDown is the event of a closed link.
type LinkDown struct{ Peer *Peer }

// LinkSurplus is the event of a link that a side no longer wants. The receiver
// calls [Mesh.Release] once the link is not in use.
type LinkSurplus struct{ Peer *Peer }

// EntryGone is the event of an entry whose machine refuses connections, as its process has ended. Node
// is the process.
type EntryGone struct{ Node *yuccawire.Node }

// Received is the event of a message other than a roster or heartbeat.
type Received struct {
	Peer    *Peer
	Message *yuccawire.Envelope
}

// ReceivedSections is the event of configuration sections sent by a peer.
type ReceivedSections struct{ Sections []*yuccawire.Section }

// Event is one of LinkUp, LinkDown, LinkSurplus, EntryGone, Received and ReceivedSections.
type Event any

// Mesh maintains the links of one process. It is a suture service.
type Mesh struct {
	options Options
	events  chan Event
	wake    chan struct{}
	// stopped is closed when Serve ends.
	stopped   chan struct{}
	stopOnce  sync.Once
	startedAt time.Time
	traffic   *traffic

	mu       sync.Mutex
	roster   *yuccaroster.Roster
	topology *yuccatopology.Topology
	peers    map[*Peer]struct{}
	// requested holds the latest requests for sections, by name.
	requested map[string]sectionRequest

	// The fields below are owned by loop.

	dialers   map[string]*dialer
	syncCount int
}

// New returns a mesh without links.
func New(options Options) *Mesh {
	return &Mesh{
		options:   options,
		events:    make(chan Event, eventQueueCapacity),
		wake:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		startedAt: time.Now(),
		traffic:   newTraffic(options.Metrics),
		roster:    yuccaroster.New(options.Self, options.Replica),
		topology:  yuccatopology.New(options.Self),
		peers:     make(map[*Peer]struct{}),
		requested: make(map[string]sectionRequest),
		dialers:   make(map[string]*dialer),
	}
}

// Events returns the channel of events. The events of one link are in order.
func (m *Mesh) Events() <-chan Event { return m.events }

// Replicas returns the control replicas of the other entries, sorted by name.
func (m *Mesh) Replicas() []*yuccawire.ReplicaAddress {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Replicas(time.Now())
}

// Nodes returns the other entries, sorted by name.
func (m *Mesh) Nodes() []*yuccawire.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Nodes(time.Now())
}

// RecentNodes returns the other entries that any process has had contact with
// within the given time, sorted by name.
func (m *Mesh) RecentNodes(within time.Duration) []*yuccawire.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.RecentNodes(time.Now(), within)
}

// LinkAll opens links to all entries, and keeps them for the given time.
func (m *Mesh) LinkAll(d time.Duration) {
	m.mu.Lock()
	m.topology.WantAll(time.Now().Add(d))
	m.mu.Unlock()
	m.wakeUp()
}

// LinkTo opens a link to the named entry, and keeps it for the given time.
func (m *Mesh) LinkTo(entry string, d time.Duration) {
	m.mu.Lock()
	m.topology.Want(time.Now(), entry, d)
	m.mu.Unlock()
	m.wakeUp()
}

// Release closes a surplus link.
func (m *Mesh) Release(p *Peer) {
	m.options.Logger.Info("closing surplus link", "peer", p.node.GetName(), "known_entries", len(m.Nodes()))
	m.options.Metrics.Add("mesh_links_released", 1)
	p.Close()
}

// Serve maintains the links until the context ends, and can be called once. It
// terminates the supervisor tree if the process can't listen on its address.
func (m *Mesh) Serve(ctx context.Context) error {
	defer m.stop()
	if m.options.Listen {
		listener, err := m.options.Network.Listen(m.options.Self.GetAddress())
		if err != nil {
			return errors.Join(suture.ErrTerminateSupervisorTree, err)
		}
		defer listener.Close()
		a := &acceptor{mesh: m, listener: listener}
		go a.run(ctx)
	}
	return m.loop(ctx)
}

func (m *Mesh) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextSync := time.Now().Add(m.firstSyncDelay())
	for {
		m.updateDialers(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
			continue
		case <-ticker.C:
		}
		now := time.Now()
		m.maintainLinks(now)
		if now.After(nextSync) {
			nextSync = now.Add(m.syncInterval())
			m.syncRoster()
		}
	}
}

// updateDialers starts a dialer for each new target, and stops those without a
// link that are no longer targets. It closes the surplus links of an entry, and
// reports those of a side.
func (m *Mesh) updateDialers(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.topology.SetMembers(m.roster.Nodes(now), m.options.Seeds())
	targets := m.topology.Targets(now)
	linked := make(map[string]*Peer)
	for p := range m.peers {
		if p.isDialled() {
			linked[p.address] = p
		}
	}
	surplus := m.topology.Surplus(now, slices.Collect(maps.Keys(linked)))
	m.options.Metrics.Gauge("mesh_links", int64(len(m.peers)))
	m.mu.Unlock()
	for _, address := range targets {
		if m.dialers[address] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			d := &dialer{mesh: m, address: address, cancel: cancel}
			m.dialers[address] = d
			go d.run(dialCtx)
		}
	}
	for address, d := range m.dialers {
		if linked[address] == nil && !slices.Contains(targets, address) {
			d.cancel()
			delete(m.dialers, address)
		}
	}
	for _, address := range surplus {
		m.dropSurplus(linked[address])
	}
}

// dropSurplus closes a surplus link of an entry. That of a side may carry runs, so
// the owner of the events decides when to release it.
func (m *Mesh) dropSurplus(p *Peer) {
	m.mu.Lock()
	reported := p.isSurplus
	p.isSurplus = true
	m.mu.Unlock()
	switch {
	case reported:
	case m.options.Self.GetRole() == yuccawire.Role_ROLE_SIDE:
		m.emit(LinkSurplus{Peer: p})
	default:
		m.Release(p)
	}
}

// stop ends the delivery of events. A mesh can't be served again.
func (m *Mesh) stop() { m.stopOnce.Do(func() { close(m.stopped) }) }

func (m *Mesh) peerList() []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.peers))
}

// wakeUp makes the loop update the dialers.
func (m *Mesh) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
