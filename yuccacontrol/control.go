package yuccacontrol

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccaregistry"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	eventQueueCapacity   = 4096
	tickInterval         = 25 * time.Millisecond
	pushInterval         = 50 * time.Millisecond
	expireInterval       = 10 * time.Second
	defaultMaxLogEntries = 20_000
	defaultMaxLogBytes   = 64 << 20
	defaultMaxLinkBytes  = 64 << 20
	// linkShare is the part of what a link takes unsent that entries in flight may
	// use, next to heartbeats and to a larger entry or a snapshot.
	linkShare        = 4
	maxBatchedEvents = 2048
)

// Errors returned by the methods of Control.
var (
	// ErrNotLeader means that nothing was proposed; the request can be sent to
	// the leader.
	ErrNotLeader = merry.Sentinel("this control is not the leader")
	// ErrNotUTF8 means that a text of the command can't be encoded, and that nothing was
	// proposed.
	ErrNotUTF8 = merry.Sentinel("the path, the request id or the operator is not in UTF-8")
	// ErrUnknownOutcome means that the command was proposed or may have been, and
	// that it may still be committed. Resending the same request is idempotent.
	ErrUnknownOutcome = merry.Sentinel("the leadership ended before the outcome was known; send the same request again")
)

// Options configures a control. Fields are required unless their comment names a
// default or says that they are optional.
type Options struct {
	Network yuccawire.Network
	Storage Storage
	// Self holds the name and addresses of this replica. Its id is Storage.ID.
	Self *yuccawire.ReplicaAddress
	// DataCentre is the data centre of this replica.
	DataCentre string
	// ConfiguredReplicas lists the replicas of the group as the settings give
	// them, without ids. It is not used if Discover is set.
	ConfiguredReplicas []*yuccawire.ReplicaAddress
	// Discover returns the other replicas discovered so far, for deployments
	// without a configured list. Any of them may join the group. Optional.
	Discover func() []*yuccawire.ReplicaAddress
	// CanFormGroup reports whether this replica is allowed to form a new group
	// now, and whether that group may have fewer replicas than Voters. It is
	// used only with Discover; if it is nil, this replica forms no group.
	CanFormGroup func() (allowed, undersized bool)
	// SectionPushes is the number of processes that a new section is pushed to. The
	// others must get it from these, or with their next renewal. Zero means all.
	SectionPushes int
	// Voters is the number of voters in the group; the other replicas stay
	// learners. Zero makes every replica a voter.
	Voters int
	// OnRecovered receives the sections restored from the disk, before a leader
	// is known. Optional.
	OnRecovered func(sections []*yuccawire.Section)
	// Suspensions notices suspensions of the machine. Optional.
	Suspensions *yuccasuspend.Monitor
	// MaxLogEntries is the number of log entries at which the log is compacted
	// into a snapshot. Zero means the default of 20,000.
	MaxLogEntries int
	// MaxLogBytes is the size of the commands in the log at which it is compacted,
	// however few entries they are. The disk needs room for it and two snapshots.
	// Zero means the default of 64 MB.
	MaxLogBytes int
	// MaxLinkBytes is the size of the unsent messages at which a link of Network is
	// closed. Zero means the default of 64 MB, which is that of yuccamux.
	MaxLinkBytes int
	Random       *rand.Rand
	Metrics      *yuccametric.Set
	// Logger defaults to one that discards everything.
	Logger *slog.Logger
}

// Control runs one replica of the control group. It implements suture.Service.
type Control struct {
	options  Options
	self     *yuccawire.ReplicaAddress
	node     *yuccawire.Node
	metrics  *yuccametric.Set
	events   chan event
	lifetime *yuccaquery.Lifetime
	disk     *writer
	writes   writeQueue

	// The fields below are owned by the goroutine that runs loop.
	//
	// core is nil until this replica joins a group; formation is nil afterwards.
	core      *yuccareplica.Core
	formation *yuccareplica.Formation
	state     *yuccastate.State
	// registry is nil unless this replica is the leader.
	registry *yuccaregistry.Registry
	// leadingTerm is the term that this replica leads, or zero.
	leadingTerm uint64
	// peers holds the outgoing connections by address.
	peers map[string]*peer
	// replyLinks holds, by replica id, the link of the last message received.
	replyLinks map[uint64]*conn
	sessions   map[*session]struct{}
	// waiters holds the callbacks of proposed entries by log index.
	waiters map[uint64]waiter
	claims  []pendingClaims
	// pushedVersion is the registry version last sent to the entries.
	pushedVersion uint64
	nextPush      time.Time
	nextProbe     time.Time
	nextExpiry    time.Time
	nextBalance   time.Time
	nextLagCheck  time.Time
	// lags are the replicas that lack entries, by id, while this one leads.
	lags map[uint64]*lag
	// stateBytes is the size of the state when it was last encoded.
	stateBytes int
	diskErr    error
	// suspensions are those after which this replica has stepped down.
	suspensions yuccasuspend.Suspensions
	// leaderLastSeen is when this replica last had a leader.
	leaderLastSeen time.Time
}

// waiter is the callback of a proposed entry. If another term's entry is committed
// at the same index, the outcome is unknown.
type waiter struct {
	term uint64
	done func(result yuccastate.Result, err error)
}

// New returns a control with the log and state read from its storage. It fails if
// the stored snapshot can't be decoded, or if a link takes too little for replication.
func New(options Options) (*Control, error) {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.MaxLogEntries == 0 {
		options.MaxLogEntries = defaultMaxLogEntries
	}
	if options.MaxLogBytes == 0 {
		options.MaxLogBytes = defaultMaxLogBytes
	}
	if options.MaxLinkBytes == 0 {
		options.MaxLinkBytes = defaultMaxLinkBytes
	}
	if least := linkShare * yuccareplica.MinInflightBytes; options.MaxLinkBytes < least {
		return nil, merry.Errorf("links that are closed at %d unsent bytes can't bring a replica up to date, expected %d or more", options.MaxLinkBytes, least)
	}
	self := &yuccawire.ReplicaAddress{
		Name: options.Self.GetName(), Address: options.Self.GetAddress(),
		OperatorAddress: options.Self.GetOperatorAddress(), Id: options.Storage.ID(),
	}
	c := &Control{
		options: options,
		self:    self,
		node: &yuccawire.Node{
			Name: self.GetName(), Role: yuccawire.Role_ROLE_CONTROL, DataCentre: options.DataCentre,
			Address: self.GetAddress(), Incarnation: self.GetId(),
		},
		metrics:    options.Metrics,
		events:     make(chan event, eventQueueCapacity),
		lifetime:   yuccaquery.NewLifetime(),
		state:      yuccastate.New(),
		peers:      make(map[string]*peer),
		replyLinks: make(map[uint64]*conn),
		sessions:   make(map[*session]struct{}),
		waiters:    make(map[uint64]waiter),
		lags:       make(map[uint64]*lag),

		suspensions: options.Suspensions.Check(),
	}
	c.disk = newWriter(options.Storage)
	stored := options.Storage.Stored()
	if stored.Snapshot == nil {
		c.formation = yuccareplica.NewFormation(self, options.ConfiguredReplicas)
		return c, nil
	}
	return c, c.startCore(stored)
}

// startCore starts replication from the stored snapshot and log.
func (c *Control) startCore(stored yuccareplica.Stored) error {
	state, err := yuccastate.Decode(stored.Snapshot.GetState())
	if err != nil {
		return err
	}
	c.state = state
	options := yuccareplica.Options{ID: c.self.GetId(), Random: c.options.Random, Voters: c.options.Voters, MaxInflightBytes: c.options.MaxLinkBytes / linkShare}
	c.core = yuccareplica.New(options, stored, time.Now())
	c.formation = nil
	return nil
}

// Serve runs the control until the context ends or the disk fails. A disk or
// listen error includes suture.ErrTerminateSupervisorTree.
func (c *Control) Serve(ctx context.Context) error {
	listener, err := c.options.Network.Listen(c.self.GetAddress())
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer listener.Close()
	a := &acceptor{control: c, listener: listener}
	go a.run(ctx)
	// Wait for a write in progress before the caller can reopen the disk.
	var writing sync.WaitGroup
	writing.Go(func() { c.disk.run(ctx) })
	defer writing.Wait()
	defer cancel()
	return c.loop(ctx)
}

// acceptor starts a handshake for each accepted link.
type acceptor struct {
	control  *Control
	listener yuccawire.Listener
}

func (a *acceptor) run(ctx context.Context) {
	yuccawire.AcceptAll(ctx, a.listener, func(link yuccawire.Link) {
		h := &handshake{control: a.control, link: link}
		go h.run(ctx)
	})
}

// Apply commits an operator's change and returns its result. It returns
// ErrNotLeader, ErrNotUTF8 or ErrUnknownOutcome if the result isn't available.
func (c *Control) Apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	replies := make(chan changeReply, 1)
	if yuccaquery.Post(ctx, c.lifetime, c.events, event(changeRequest{command: command, replies: replies})) != nil {
		return nil, ErrNotLeader
	}
	reply, err := yuccaquery.Await(ctx, c.lifetime, replies)
	if err != nil {
		return nil, ErrUnknownOutcome
	}
	return reply.result, reply.err
}

func (c *Control) postQuery(ctx context.Context, query yuccaquery.Query[*Control]) (*yuccaquery.Lifetime, error) {
	return c.lifetime, yuccaquery.Post(ctx, c.lifetime, c.events, event(query))
}

// fatalError logs a disk error and returns an error that terminates the
// supervisor tree. The contents of the disk are unknown after a failed sync, so
// this process must not vote or acknowledge entries any more.
func (c *Control) fatalError(err error) error {
	c.options.Logger.Error("data folder failed, stopping the control", "error", err)
	return errors.Join(suture.ErrTerminateSupervisorTree, merry.Prepend(err, "data folder"))
}

// Address returns the address on which entries, sides and other replicas connect.
func (c *Control) Address() string { return c.self.GetAddress() }
