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

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccametric"
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
	maxBatchedEvents     = 2048
)

// Errors that callers of a control tell apart.
var (
	// ErrNotLeader: nothing was recorded; the leader may take the request.
	ErrNotLeader = merry.Sentinel("this control does not lead")
	// ErrUnknownOutcome: the leadership ended before the result was known.
	ErrUnknownOutcome = merry.Sentinel("the leadership ended before the outcome was known; send the same request again")
)

// Options holds what a control needs. All fields but CompactEntries and Logger
// are required.
type Options struct {
	Network yuccawire.Network
	Storage Storage
	// Self is this replica; its id is the storage's.
	Self *yuccawire.ReplicaAddress
	// DataCentre is where the control runs.
	DataCentre string
	// Listed are the replicas of the settings, whose ids aren't known.
	ConfiguredReplicas []*yuccawire.ReplicaAddress
	// Discover, if set, returns the other replicas that are known now, for
	// deployments that list none. Any of them may join the group.
	Discover func() []*yuccawire.ReplicaAddress
	// MayForm, if set, tells whether this replica has the licence to form a new
	// group now, and whether that group may be smaller than Voters.
	CanFormGroup func() (allowed, undersized bool)
	// Voters is the number of voters that the group keeps, zero for all.
	Voters int
	// Recovered, if set, is given the sections that the disk holds as committed,
	// before a leader is known.
	OnRecovered func(sections []*yuccawire.Section)
	// Watch notices that the machine stood still; nil notices nothing.
	SuspendWatch *yuccasuspend.Watch
	// CompactEntries is the length of the log at which a snapshot replaces it;
	// zero means the default.
	MaxLogEntries int
	Random        *rand.Rand
	Metrics       *yuccametric.Set
	Logger        *slog.Logger
}

// Control is one replica. It is a suture service.
type Control struct {
	options Options
	self    *yuccawire.ReplicaAddress
	node    *yuccawire.Node
	metrics *yuccametric.Set
	events  chan event
	disk    *writer
	writes  writeQueue

	// Owned by the loop.
	core        *yuccareplica.Core
	formation   *yuccareplica.Formation
	state       *yuccastate.State
	registry    *yuccaregistry.Registry
	leadingTerm uint64
	peers       map[string]*peer
	// heard holds the last link that brought a message of each replica.
	replyLinks    map[uint64]*conn
	sessions      map[*session]struct{}
	waiters       map[uint64]waiter
	claims        []pendingClaims
	pushedVersion uint64
	nextPush      time.Time
	nextProbe     time.Time
	nextExpiry    time.Time
	nextPromotion time.Time
	diskErr       error
	// leaderSeen is when a leader was last known.
	leaderLastSeen time.Time
}

// waiter learns the result of the entry that it proposed.
type waiter struct {
	term uint64
	done func(result yuccastate.Result, err error)
}

// New returns a control with what its storage holds.
func New(options Options) (*Control, error) {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.MaxLogEntries == 0 {
		options.MaxLogEntries = defaultMaxLogEntries
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
		state:      yuccastate.New(),
		peers:      make(map[string]*peer),
		replyLinks: make(map[uint64]*conn),
		sessions:   make(map[*session]struct{}),
		waiters:    make(map[uint64]waiter),
	}
	c.disk = newWriter(options.Storage)
	stored := options.Storage.Stored()
	if stored.Snapshot == nil {
		c.formation = yuccareplica.NewFormation(self, options.ConfiguredReplicas)
		return c, nil
	}
	return c, c.startCore(stored)
}

// start takes up the log of a formed replica.
func (c *Control) startCore(stored yuccareplica.Stored) error {
	state, err := yuccastate.Decode(stored.Snapshot.GetState())
	if err != nil {
		return err
	}
	c.state = state
	options := yuccareplica.Options{ID: c.self.GetId(), Random: c.options.Random, Voters: c.options.Voters}
	c.core = yuccareplica.New(options, stored, time.Now())
	c.formation = nil
	return nil
}

// Serve runs the control until the context ends or its disk fails.
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
	// A write in progress must end before the disk may be opened again.
	var writing sync.WaitGroup
	writing.Go(func() { c.disk.run(ctx) })
	defer writing.Wait()
	defer cancel()
	return c.loop(ctx)
}

// acceptor greets the processes that dial this control.
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

// Apply commits an operator's change and returns its result.
func (c *Control) Apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	done := make(chan changeReply, 1)
	select {
	case c.events <- changeRequest{command: command, done: done}:
	case <-ctx.Done():
		return nil, ErrNotLeader
	}
	select {
	case reply := <-done:
		return reply.result, reply.err
	case <-ctx.Done():
		return nil, ErrUnknownOutcome
	}
}

func (c *Control) postQuery(ctx context.Context, query yuccaask.Question[*Control]) error {
	select {
	case c.events <- query:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fatal ends the whole process: after a failed sync it isn't known what the
// disk holds, so this run must not vote or acknowledge any more.
func (c *Control) fatalError(err error) error {
	c.options.Logger.Error("the data folder failed; this control stops", "error", err)
	return errors.Join(suture.ErrTerminateSupervisorTree, merry.Prepend(err, "data folder"))
}

// Address is the address for the system's own processes.
func (c *Control) Address() string { return c.self.GetAddress() }
