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

// Options holds what a client needs. All fields but Logger are required.
type Options struct {
	Network yuccawire.Network
	// Self names the process; its incarnation is new for each run.
	Self *yuccawire.Node
	// Controls are the addresses of the control group. They may be left out
	// where Discover is given.
	Controls []string
	// Discover, if set, returns the addresses of the controls that are known now.
	Discover func() []string
	// Sections are the sections that the process wants.
	Sections []string
	// Random draws the jitter.
	Random *rand.Rand
	Logger *slog.Logger
}

// Update is one step of what control grants and spreads. A lease in it holds
// together with the view, members and fences of the same update.
type Update struct {
	// Incarnation is that of the process when it asked.
	Incarnation uint64
	// Lease is the lease in force.
	Lease Lease
	// View is the configuration in force.
	View *yuccadocument.View
	// Members is what changed among the members, or nil.
	Members *yuccawire.MembersDelta
	// Fences are the fences that are new, if any.
	Fences []*yuccawire.Fence
	// Claims are answers to claims, if any.
	Claims []*yuccawire.ClaimReply
	// Fenced is set when this incarnation may never hold a lease again. The
	// process gives up all that it owned and calls [Client.Restart].
	Fenced bool
	// Connected is set in the first update after a connection to the leader.
	Connected bool
}

// Client keeps the lease of one process. It is a suture service.
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
	nextControl    int
	leaderHint     string
	sessionNode    *yuccawire.Node
	lease          Lease
	view           *yuccadocument.View
	membersEpoch   uint64
	membersVersion uint64
	fencesVersion  uint64
	sequence       uint64

	leaderAddress atomic.Pointer[string]
}

// New returns a client that holds no lease until it is served.
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
	}
}

// Events returns the updates, in order.
func (c *Client) Updates() <-chan Update { return c.updates }

// Announce replaces the targets that the process makes known, and renews soon.
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

// Restart takes up a new incarnation of the process.
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

// Send passes a message to the leader. It returns false when the message was
// dropped because no leader takes it.
func (c *Client) Send(m *yuccawire.Envelope) bool {
	select {
	case c.outbox <- m:
		return true
	default:
		return false
	}
}

// Serve keeps the lease until the context ends.
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

// pause waits between half and the whole of the duration.
func (c *Client) sleepWithJitter(ctx context.Context, d time.Duration) {
	jitter := time.Duration(c.options.Random.Int64N(int64(d/2) + 1))
	timer := time.NewTimer(d/2 + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// address picks the leader if it is known, else the next control.
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
// nothing while no session is open.
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
