package yuccamesh

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaroster"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options holds what a mesh needs. Replica, Sections and Listen may be left
// out.
type Options struct {
	Network yuccawire.Network
	Self    *yuccawire.Node
	// Listen accepts links at the address of Self.
	Listen bool
	// Replica is that of a process with a disk.
	Replica *yuccawire.ReplicaAddress
	// Seeds returns the addresses of the entries that the settings name now.
	Seeds func() []string
	// Sections returns what a new peer may go on with.
	Sections func() []*yuccawire.Section
	Metrics  *yuccametric.Set
	Logger   *slog.Logger
}

// dropper is a network that can forget a connection which went silent.
type connectionDropper interface{ Drop(address string) }

// Peer is one link with the process at its other end.
type Peer struct {
	link yuccawire.Link
	node *yuccawire.Node
	// address is what was dialled, empty for an accepted link.
	address string
	// heard is when the peer was last heard, in nanoseconds since the mesh began.
	lastReceived atomic.Int64
}

// Node is the process at the other end.
func (p *Peer) Node() *yuccawire.Node { return p.node }

// Send queues a message. A link that can't take it is closed and reported as
// down.
func (p *Peer) Send(m *yuccawire.Envelope) { _ = p.link.Send(m) }

// Close ends the link.
func (p *Peer) Close() { _ = p.link.Close() }

// Up tells that a link is open.
type LinkUp struct{ Peer *Peer }

// Down tells that a link has ended.
type LinkDown struct{ Peer *Peer }

// Received is a message that isn't the mesh's own.
type Received struct {
	Peer    *Peer
	Message *yuccawire.Envelope
}

// Sections is what a peer has in force.
type ReceivedSections struct{ Sections []*yuccawire.Section }

// Event is one of Up, Down, Received and Sections.
type Event any

// Mesh keeps the links of one process. It is a suture service.
type Mesh struct {
	options   Options
	events    chan Event
	wake      chan struct{}
	startedAt time.Time

	mu     sync.Mutex
	roster *yuccaroster.Roster
	peers  map[*Peer]struct{}
	// mark is that of the roster that was spread last, at fullAt.
	lastHash       uint64
	lastFullRoster time.Time
	dialers        map[string]context.CancelFunc
}

// New returns a mesh without links.
func New(options Options) *Mesh {
	return &Mesh{
		options:   options,
		events:    make(chan Event, eventQueueCapacity),
		wake:      make(chan struct{}, 1),
		startedAt: time.Now(),
		roster:    yuccaroster.New(options.Self, options.Replica),
		peers:     make(map[*Peer]struct{}),
		dialers:   make(map[string]context.CancelFunc),
	}
}

// Events returns what happens on the links, in order for each link.
func (m *Mesh) Events() <-chan Event { return m.events }

// Replicas returns the replicas of the other entries.
func (m *Mesh) Replicas() []*yuccawire.ReplicaAddress {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Replicas(time.Now())
}

// Nodes returns the other entries.
func (m *Mesh) Nodes() []*yuccawire.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Nodes(time.Now())
}

// Serve keeps the links until the context ends.
func (m *Mesh) Serve(ctx context.Context) error {
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
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		m.updateDialers(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
		case <-ticker.C:
			m.broadcastRoster()
		}
	}
}

// dialAll keeps one dialler for each address that is wanted.
func (m *Mesh) updateDialers(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, address := range m.options.Seeds() {
		wanted[address] = true
	}
	for _, node := range m.Nodes() {
		wanted[node.GetAddress()] = true
	}
	delete(wanted, m.options.Self.GetAddress())
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range wanted {
		if m.dialers[address] != nil {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		m.dialers[address] = cancel
		d := &dialer{mesh: m, address: address}
		go d.run(dialCtx)
	}
	for address, cancel := range m.dialers {
		if !wanted[address] {
			cancel()
			delete(m.dialers, address)
		}
	}
}

// news is what peers have to hear: the roster if it has changed or was not spread
// for a while, else nothing but that this process is there.
func (m *Mesh) nextRoster(now time.Time) *yuccawire.Roster {
	hash := m.roster.Hash()
	if hash == m.lastHash && now.Sub(m.lastFullRoster) < fullRosterInterval {
		return &yuccawire.Roster{}
	}
	m.lastHash, m.lastFullRoster = hash, now
	return m.roster.ToWire(now)
}

// spread sends the news to every peer and closes the links that are silent.
func (m *Mesh) broadcastRoster() {
	now := time.Now()
	m.mu.Lock()
	roster := m.nextRoster(now)
	peers := slices.Collect(maps.Keys(m.peers))
	m.mu.Unlock()
	envelope := &yuccawire.Envelope{Body: &yuccawire.Envelope_Roster{Roster: roster}}
	for _, p := range peers {
		if silentFor := now.Sub(m.startedAt) - time.Duration(p.lastReceived.Load()); silentFor > silenceTimeout {
			m.options.Metrics.Add("mesh_links_silent", 1)
			m.options.Logger.Warn("link is silent, closing it", "peer", p.node.GetName(), "silent_ms", silentFor.Milliseconds())
			m.disconnect(p)
			continue
		}
		p.Send(envelope)
	}
}

// cut closes a link and the connection under it.
func (m *Mesh) disconnect(p *Peer) {
	p.Close()
	if d, ok := m.options.Network.(connectionDropper); ok && p.address != "" {
		d.Drop(p.address)
	}
}

// Spread sends sections to the other entries, some of which may have none.
func (m *Mesh) BroadcastSections(sections []*yuccawire.Section) {
	m.mu.Lock()
	defer m.mu.Unlock()
	envelope := &yuccawire.Envelope{Body: &yuccawire.Envelope_Roster{Roster: &yuccawire.Roster{Sections: sections}}}
	for p := range m.peers {
		if p.node.GetRole() == yuccawire.Role_ROLE_ENTRY {
			p.Send(envelope)
		}
	}
}

func (m *Mesh) initialRoster(now time.Time) *yuccawire.Envelope {
	m.mu.Lock()
	roster := m.roster.ToWire(now)
	m.mu.Unlock()
	if m.options.Sections != nil {
		roster.Sections = m.options.Sections()
	}
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Roster{Roster: roster}}
}

// attach reads the link until it ends.
func (m *Mesh) serveLink(ctx context.Context, p *Peer) {
	stop := context.AfterFunc(ctx, p.Close)
	defer stop()
	defer m.disconnect(p)
	now := time.Now()
	p.lastReceived.Store(int64(now.Sub(m.startedAt)))
	m.mu.Lock()
	m.peers[p] = struct{}{}
	m.roster.RecordContact(now, p.node)
	m.mu.Unlock()
	m.options.Metrics.Add("mesh_links_opened", 1)
	p.Send(m.initialRoster(now))
	m.emit(ctx, LinkUp{Peer: p})
	for {
		message, err := p.link.Receive()
		if err != nil {
			break
		}
		m.receive(ctx, p, message)
	}
	m.mu.Lock()
	delete(m.peers, p)
	m.mu.Unlock()
	m.emit(ctx, LinkDown{Peer: p})
}

func (m *Mesh) receive(ctx context.Context, p *Peer, message *yuccawire.Envelope) {
	now := time.Now()
	p.lastReceived.Store(int64(now.Sub(m.startedAt)))
	roster := message.GetRoster()
	if roster == nil {
		m.emit(ctx, Received{Peer: p, Message: message})
		return
	}
	m.mu.Lock()
	knownNodes := len(m.roster.Nodes(now))
	m.roster.RecordContact(now, p.node)
	m.roster.Merge(now, roster)
	hasNewNodes := len(m.roster.Nodes(now)) != knownNodes
	m.mu.Unlock()
	if hasNewNodes {
		m.wakeUp()
	}
	if len(roster.GetSections()) > 0 {
		m.emit(ctx, ReceivedSections{Sections: roster.GetSections()})
	}
}

func (m *Mesh) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mesh) emit(ctx context.Context, e Event) {
	select {
	case m.events <- e:
	case <-ctx.Done():
	}
}
