package yuccalease

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	dialTimeout      = time.Second
	replyTimeout     = 2 * time.Second
	minRedialDelay   = 20 * time.Millisecond
	maxRedialDelay   = 200 * time.Millisecond
	updatesCapacity  = 1024
	outboxCapacity   = 1024
	minRenewInterval = 20 * time.Millisecond
)

// Options configures a Client. Logger, Discover and Sections are optional;
// Controls is required unless Discover is set.
type Options struct {
	Network yuccawire.Network
	// Self identifies the process. Its incarnation changes with each start.
	Self *yuccawire.Node
	// Controls are the addresses of the control group. Discover overrides
	// them.
	Controls []string
	// Discover, if set, returns the currently known addresses of controls.
	Discover func() []string
	// Sections are the names of the sections to receive.
	Sections []string
	// Pending returns the pending jobs of an entry, by queue. Optional.
	Pending func() []*yuccawire.QueueCount
	// Random is the source of jitter for renewals and redials.
	Random *rand.Rand
	Logger *slog.Logger
	// Suspensions notices suspensions of the machine, after which the lease has
	// expired. Optional.
	Suspensions *yuccasuspend.Monitor
}

// Update is a change received from control. The lease must only be used
// together with the view, members and fences of the same update.
type Update struct {
	// Incarnation is the incarnation of the process that opened the session.
	Incarnation uint64
	// Lease is the current lease.
	Lease Lease
	// Suspensions is the number of suspensions of the machine before the lease was
	// requested. The lease must not be used after a later one.
	Suspensions int
	// View is the current configuration.
	View *yuccadocument.View
	// Incomplete is set while View lacks a section that control has sent, since it can't be
	// decoded. The lease then confirms nothing about that section.
	Incomplete bool
	// Members is the change of the members, or nil.
	Members *yuccawire.MembersDelta
	// Fences are the new fences, if any.
	Fences []*yuccawire.Fence
	// Claims are replies to claims, if any.
	Claims []*yuccawire.ClaimReply
	// Pending are the pending jobs of the other entries, by queue, as control knew them
	// at PendingAt or later. PendingAt is zero if the update brings none.
	Pending   []*yuccawire.QueueCount
	PendingAt time.Time
	// Proposal is the reply to a proposal, or nil.
	Proposal *yuccawire.ProposalReply
	// Fenced is set if this incarnation can never hold a lease again. The
	// process must abandon everything it owns and call [Client.Restart].
	Fenced bool
	// Connected is set in the first update of each session with the leader.
	Connected bool
}

// Client maintains the lease of one process. It is a suture service.
type Client struct {
	options  Options
	updates  chan Update
	outbox   chan *yuccawire.Envelope
	renewNow chan struct{}

	mu      sync.Mutex
	node    *yuccawire.Node
	targets []*yuccawire.Target
	leaving bool

	// Owned by Serve.
	nextControl int
	leaderHint  string
	sessionNode *yuccawire.Node
	lease       Lease
	suspensions int
	view        *yuccadocument.View
	// undecodable holds the latest version of each section that can't be decoded.
	undecodable    map[string]uint64
	membersEpoch   uint64
	membersVersion uint64
	fencesVersion  uint64
	sequence       uint64

	leaderAddress atomic.Pointer[string]
}

// New returns a client. It obtains no lease until Serve runs.
func New(options Options) *Client {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Client{
		options:  options,
		node:     options.Self,
		updates:  make(chan Update, updatesCapacity),
		outbox:   make(chan *yuccawire.Envelope, outboxCapacity),
		renewNow: make(chan struct{}, 1),
		view:     yuccadocument.NewView(),

		undecodable: make(map[string]uint64),
	}
}

// Updates returns the channel of updates, in the order received.
func (c *Client) Updates() <-chan Update { return c.updates }

// Announce replaces the targets to report to control and whether the process is
// leaving, and triggers a renewal.
func (c *Client) Announce(targets []*yuccawire.Target, leaving bool) {
	c.mu.Lock()
	c.targets = slices.Clone(targets)
	c.leaving = leaving
	c.mu.Unlock()
	select {
	case c.renewNow <- struct{}{}:
	default:
	}
}

// Restart continues as a new incarnation of the process, from the next session
// on.
func (c *Client) Restart(self *yuccawire.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node = self
}

func (c *Client) currentNode() *yuccawire.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node
}

// Send queues a message to the leader. It returns false if the message was
// dropped because the queue is full.
func (c *Client) Send(m *yuccawire.Envelope) bool {
	select {
	case c.outbox <- m:
		return true
	default:
		return false
	}
}

// Serve connects to control and renews the lease until the context is done. It
// returns the context's error.
func (c *Client) Serve(ctx context.Context) error {
	delay := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := c.runSession(ctx)
		if time.Since(started) > replyTimeout {
			delay = minRedialDelay
		}
		c.options.Logger.Debug("control session ended", "error", err)
		c.sleepWithJitter(ctx, delay)
		delay = min(2*delay, maxRedialDelay)
	}
	return ctx.Err()
}

// sleepWithJitter waits for between half and all of the duration, or until the
// context is done.
func (c *Client) sleepWithJitter(ctx context.Context, d time.Duration) {
	jitter := time.Duration(c.options.Random.Int64N(int64(d/2) + 1))
	timer := time.NewTimer(d/2 + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextAddress returns the address of the leader if the last control named one,
// and otherwise rotates through the controls. It returns an empty string if no
// control is known.
func (c *Client) nextAddress() string {
	if c.leaderHint != "" {
		address := c.leaderHint
		c.leaderHint = ""
		return address
	}
	controls := c.options.Controls
	if c.options.Discover != nil {
		controls = c.options.Discover()
	}
	if len(controls) == 0 {
		return ""
	}
	c.nextControl++
	return controls[c.nextControl%len(controls)]
}

// Leader returns the address of the control that granted the last renewal, or
// an empty string if there is no session with a leader.
func (c *Client) Leader() string {
	if address := c.leaderAddress.Load(); address != nil {
		return *address
	}
	return ""
}

func (c *Client) runSession(ctx context.Context) error {
	address := c.nextAddress()
	if address == "" {
		return errNoControl
	}
	defer c.leaderAddress.Store(nil)
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := c.options.Network.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	defer link.Close()
	s := newSession(c, link)
	s.address = address
	if _, err := yuccawire.SayHello(ctx, link, s.self); err != nil {
		return merry.Prependf(err, "opening a session with control at %s", address)
	}
	return s.serve(ctx)
}
