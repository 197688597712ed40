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
	// Sections returns the configuration sections that are sent to a new peer.
	Sections func() []*yuccawire.Section
	Metrics  *yuccametric.Set
	Logger   *slog.Logger
}

// connectionDropper is implemented by networks that share one connection among
// the links to an address. Drop closes that connection, so that the next dial
// opens a new one.
type connectionDropper interface{ Drop(address string) }

// Peer is a link and the process at its other end.
type Peer struct {
	link yuccawire.Link
	node *yuccawire.Node
	// address is the dialled address, empty for an accepted link.
	address string
	// lastReceived is the time of the last message of the peer, in nanoseconds
	// since the start of the mesh.
	lastReceived atomic.Int64
}

// Node returns the process at the other end of the link.
func (p *Peer) Node() *yuccawire.Node { return p.node }

// Send queues a message. A link whose queue is full is closed, which is reported
// as [LinkDown].
func (p *Peer) Send(m *yuccawire.Envelope) { _ = p.link.Send(m) }

// Close closes the link, which is reported as [LinkDown].
func (p *Peer) Close() { _ = p.link.Close() }

// LinkUp is the event of an opened link.
type LinkUp struct{ Peer *Peer }

// LinkDown is the event of a closed link.
type LinkDown struct{ Peer *Peer }

// Received is the event of a message other than a roster.
type Received struct {
	Peer    *Peer
	Message *yuccawire.Envelope
}

// ReceivedSections is the event of configuration sections sent by a peer.
type ReceivedSections struct{ Sections []*yuccawire.Section }

// Event is one of LinkUp, LinkDown, Received and ReceivedSections.
type Event any

// Mesh maintains the links of one process. It is a suture service.
type Mesh struct {
	options   Options
	events    chan Event
	wake      chan struct{}
	startedAt time.Time

	mu     sync.Mutex
	roster *yuccaroster.Roster
	peers  map[*Peer]struct{}
	// lastHash is the hash of the last full roster that was broadcast, at
	// lastFullRoster.
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

// Serve maintains the links until the context ends. It terminates the supervisor
// tree if the process can't listen on its address.
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

// updateDialers starts a dialer for each new address of a seed or member, and
// stops the dialers of addresses that are no longer either.
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

// nextRoster returns the roster to broadcast: the full one if its members have
// changed or fullRosterInterval has passed, otherwise an empty one as a
// heartbeat. The caller must hold m.mu.
func (m *Mesh) nextRoster(now time.Time) *yuccawire.Roster {
	hash := m.roster.Hash()
	if hash == m.lastHash && now.Sub(m.lastFullRoster) < fullRosterInterval {
		return &yuccawire.Roster{}
	}
	m.lastHash, m.lastFullRoster = hash, now
	return m.roster.ToWire(now)
}

// broadcastRoster sends the next roster to every peer and closes silent links.
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
			m.options.Logger.Warn("closing silent link", "peer", p.node.GetName(), "silent_ms", silentFor.Milliseconds())
			m.disconnect(p)
			continue
		}
		p.Send(envelope)
	}
}

// disconnect closes a link and, for a dialled one, its connection.
func (m *Mesh) disconnect(p *Peer) {
	p.Close()
	if d, ok := m.options.Network.(connectionDropper); ok && p.address != "" {
		d.Drop(p.address)
	}
}

// BroadcastSections sends configuration sections to all linked entries, some of
// which may have no configuration.
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

// initialRoster returns the first message of a new link: the full roster and the
// configuration sections.
func (m *Mesh) initialRoster(now time.Time) *yuccawire.Envelope {
	m.mu.Lock()
	roster := m.roster.ToWire(now)
	m.mu.Unlock()
	if m.options.Sections != nil {
		roster.Sections = m.options.Sections()
	}
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Roster{Roster: roster}}
}

// serveLink registers the peer and reads its link until that closes.
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

// wakeUp makes the loop update the dialers.
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
