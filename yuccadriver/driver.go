// Package yuccadriver runs the state machine of [yuccaworker.Worker], which drives
// the worker of a side: it feeds messages from entries and replies of the worker
// into the state machine and executes the actions that it returns.
//
// # Usage
//
//	driver := yuccadriver.New(yuccadriver.Options{...})
//	supervisor.Add(driver)
//	accepted, err := driver.Report(ctx, report)
//	stillRunning := driver.Drain(ctx) // before the process exits
package yuccadriver

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/yuccaturn/yuccaturn/yuccajsonpost"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

const (
	eventQueueCapacity = 1024
	tickInterval       = 20 * time.Millisecond
	drainPollInterval  = 20 * time.Millisecond
	// maxBatchedEvents limits the number of events that are handled before actions
	// are executed.
	maxBatchedEvents = 128
	// requestedLinkPeriod is how long a link is kept that an entry has requested. Its callers stop
	// waiting before, or it requests the link again.
	requestedLinkPeriod = 10 * time.Second
)

// WorkerClient calls the worker. Its methods are called concurrently. They return
// when the context ends or after the timeout of the call.
type WorkerClient interface {
	// Start starts a run. It returns the result, that of [ResultOfError] if there is
	// no answer, and the worker's clock in milliseconds.
	Start(ctx context.Context, c yuccaworker.CallStart) (yuccaworker.Result, int64)
	// Stop stops a run. It reports whether the worker confirmed the call, and
	// returns the worker's clock in milliseconds.
	Stop(ctx context.Context, c yuccaworker.CallStop) (bool, int64)
	// Hold renews the worker's lease and returns its running and completed runs. The
	// driver sets SentAt of the result.
	Hold(ctx context.Context, c yuccaworker.CallHold) yuccaworker.HoldResult
	// Connect finds out whether the worker's machine accepts connections, or has accepted one since
	// the time given. It returns that of [ResultOfConnect].
	Connect(ctx context.Context, c yuccaworker.CallConnect) yuccaworker.Result
}

// ResultOfError returns the result of a call that failed with an error of
// [yuccajsonpost.Client].
func ResultOfError(err error) yuccaworker.Result {
	if yuccajsonpost.IsRefused(err) {
		return yuccaworker.ResultUnreachable
	}
	return yuccaworker.ResultUnknown
}

// ResultOfConnect returns the result of a [yuccajsonpost.Client.Connect] that returned the error.
func ResultOfConnect(err error) yuccaworker.Result {
	var netError net.Error
	switch {
	case err == nil:
		return yuccaworker.ResultOK
	case yuccajsonpost.IsRefused(err):
		return yuccaworker.ResultUnreachable
	case errors.As(err, &netError) && netError.Timeout():
		return yuccaworker.ResultUnknown
	}
	return yuccaworker.ResultInvalid
}

// Options configures a Driver. Suspensions is optional.
type Options struct {
	// Name is the name of the side.
	Name   string
	Mesh   *yuccamesh.Mesh
	Client WorkerClient
	// Suspensions notices suspensions of the machine, after which the leases of
	// all owners are expired.
	Suspensions *yuccasuspend.Monitor
	Metrics     *yuccametric.Set
	Logger      *slog.Logger
}

// Driver is the event loop of a side that drives a worker. It is a suture service.
type Driver struct {
	options    Options
	worker     *yuccaworker.Worker
	events     chan event
	lifetime   *yuccaquery.Lifetime
	entryPeers map[string]*yuccamesh.Peer // the newest link of each entry, by name
	// suspensions are those that the worker knows of.
	suspensions yuccasuspend.Suspensions
}

// event is an input of the event loop: a startReply, a stopReply, a connectReply, a
// [yuccaworker.HoldResult] or a [yuccaquery.Query].
type event any

type startReply struct {
	call   yuccaworker.CallStart
	result yuccaworker.Result
	clock  int64
}

type stopReply struct {
	call      yuccaworker.CallStop
	confirmed bool
	clock     int64
}

type connectReply struct {
	call   yuccaworker.CallConnect
	result yuccaworker.Result
}

// New returns a driver without a worker. The first [Driver.Report] adds one.
func New(options Options) *Driver {
	worker := yuccaworker.New(yuccaworker.Options{Name: options.Name, Metrics: options.Metrics, Logger: options.Logger}, time.Now())
	return &Driver{
		options:    options,
		worker:     worker,
		events:     make(chan event, eventQueueCapacity),
		lifetime:   yuccaquery.NewLifetime(),
		entryPeers: make(map[string]*yuccamesh.Peer),

		suspensions: options.Suspensions.Check(),
	}
}

// Serve processes events until the context ends.
func (d *Driver) Serve(ctx context.Context) error {
	defer d.lifetime.End()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.checkSuspension()
			d.worker.Tick(time.Now())
		case m := <-d.options.Mesh.Events():
			d.checkSuspension()
			d.handleMeshEvent(m)
		case ev := <-d.events:
			d.checkSuspension()
			d.handleEvent(ev)
		}
		d.handleBatch()
		d.executeActions(ctx)
	}
}

// handleBatch handles up to maxBatchedEvents queued events, so that their actions
// are executed together.
func (d *Driver) handleBatch() {
	for range maxBatchedEvents {
		select {
		case m := <-d.options.Mesh.Events():
			d.checkSuspension()
			d.handleMeshEvent(m)
		case ev := <-d.events:
			d.checkSuspension()
			d.handleEvent(ev)
		default:
			return
		}
	}
}

// checkSuspension expires the leases of all owners if the machine was suspended.
func (d *Driver) checkSuspension() {
	suspensions := d.options.Suspensions.Check()
	if suspensions.Count == d.suspensions.Count {
		return
	}
	suspendedFor := suspensions.Total - d.suspensions.Total
	d.suspensions = suspensions
	d.worker.HandleSuspension(time.Now(), suspendedFor)
}

func (d *Driver) handleEvent(ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case startReply:
		d.worker.HandleStartReply(now, ev.call.Incarnation, ev.call.Key, ev.result, ev.clock)
	case stopReply:
		d.worker.HandleStopReply(now, ev.call.Incarnation, ev.call.Key, ev.confirmed, ev.clock)
	case connectReply:
		d.worker.HandleConnectReply(now, ev.call, ev.result)
	case yuccaworker.HoldResult:
		d.worker.HandleHoldReply(now, ev)
	case yuccaquery.Query[*Driver]:
		ev.Run(d)
	}
}

func ownerOf(p *yuccamesh.Peer) yuccaworker.Owner {
	return yuccaworker.Owner{Name: p.Node().GetName(), Incarnation: p.Node().GetIncarnation()}
}

func (d *Driver) handleMeshEvent(m yuccamesh.Event) {
	now := time.Now()
	switch m := m.(type) {
	case yuccamesh.LinkUp:
		if m.Peer.Node().GetRole() != yuccawire.Role_ROLE_ENTRY {
			return
		}
		if old := d.entryPeers[m.Peer.Node().GetName()]; old != nil {
			old.Close()
		}
		d.entryPeers[m.Peer.Node().GetName()] = m.Peer
		d.worker.HandleLinkUp(now, ownerOf(m.Peer))
	case yuccamesh.LinkDown:
		if d.entryPeers[m.Peer.Node().GetName()] == m.Peer {
			delete(d.entryPeers, m.Peer.Node().GetName())
			d.worker.HandleLinkDown(now, ownerOf(m.Peer))
		}
	case yuccamesh.LinkSurplus:
		if d.entryPeers[m.Peer.Node().GetName()] == m.Peer {
			d.worker.HandleLinkSurplus(now, ownerOf(m.Peer))
		}
	case yuccamesh.Received:
		if d.entryPeers[m.Peer.Node().GetName()] == m.Peer {
			d.handleMessage(now, ownerOf(m.Peer), m.Message)
		}
	}
}

func (d *Driver) handleMessage(now time.Time, from yuccaworker.Owner, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Orders:
		d.worker.HandleOrders(now, from, body.Orders)
	case *yuccawire.Envelope_Beat:
		d.worker.HandleHeartbeat(now, from, body.Beat)
	case *yuccawire.Envelope_Withdraw:
		d.worker.HandleWithdraw(now, from, body.Withdraw)
	case *yuccawire.Envelope_HeldSeen:
		d.worker.HandleHeldSeen(now, from, body.HeldSeen)
	case *yuccawire.Envelope_RunsQuery:
		d.worker.HandleRunsQuery(now, from, body.RunsQuery)
	case *yuccawire.Envelope_Placements:
		d.worker.HandlePlacements(now, from, body.Placements)
	case *yuccawire.Envelope_Forward:
		d.worker.HandleForward(body.Forward)
	case *yuccawire.Envelope_LinkRequest:
		d.options.Logger.Info("opening a link that an entry needs", "entry", body.LinkRequest.GetEntry(), "from", from.Name)
		d.options.Mesh.LinkTo(body.LinkRequest.GetEntry(), requestedLinkPeriod)
	}
}

func (d *Driver) executeActions(ctx context.Context) {
	for _, a := range d.worker.Actions() {
		switch a := a.(type) {
		case yuccaworker.Send:
			if p := d.entryPeers[a.Owner.Name]; p != nil && p.Node().GetIncarnation() == a.Owner.Incarnation {
				p.Send(a.Message)
			}
		case yuccaworker.ReleaseLink:
			if p := d.entryPeers[a.Owner.Name]; p != nil && p.Node().GetIncarnation() == a.Owner.Incarnation {
				d.options.Mesh.Release(p)
			}
		case yuccaworker.CallStart:
			c := &startCall{driver: d, call: a}
			go c.run(ctx)
		case yuccaworker.CallStop:
			c := &stopCall{driver: d, call: a}
			go c.run(ctx)
		case yuccaworker.CallHold:
			c := &holdCall{driver: d, call: a}
			go c.run(ctx)
		case yuccaworker.CallConnect:
			c := &connectCall{driver: d, call: a}
			go c.run(ctx)
		}
	}
}

func (d *Driver) post(ctx context.Context, ev event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// startCall is a call to the worker that starts a run.
type startCall struct {
	driver *Driver
	call   yuccaworker.CallStart
}

func (c *startCall) run(ctx context.Context) {
	ctx, span := yuccatrace.StartRemote(ctx, "side.start", c.call.Traceparent, trace.SpanKindClient)
	defer span.End()
	result, clock := c.driver.options.Client.Start(ctx, c.call)
	c.driver.post(ctx, startReply{call: c.call, result: result, clock: clock})
}

// stopCall is a call to the worker that stops a run.
type stopCall struct {
	driver *Driver
	call   yuccaworker.CallStop
}

func (c *stopCall) run(ctx context.Context) {
	confirmed, clock := c.driver.options.Client.Stop(ctx, c.call)
	c.driver.post(ctx, stopReply{call: c.call, confirmed: confirmed, clock: clock})
}

// holdCall is a call to the worker that renews its lease.
type holdCall struct {
	driver *Driver
	call   yuccaworker.CallHold
}

func (c *holdCall) run(ctx context.Context) {
	result := c.driver.options.Client.Hold(ctx, c.call)
	result.SentAt = c.call.SentAt
	c.driver.post(ctx, result)
}

// connectCall is an attempt to connect to the worker.
type connectCall struct {
	driver *Driver
	call   yuccaworker.CallConnect
}

func (c *connectCall) run(ctx context.Context) {
	c.driver.post(ctx, connectReply{call: c.call, result: c.driver.options.Client.Connect(ctx, c.call)})
}

func (d *Driver) postQuery(ctx context.Context, query yuccaquery.Query[*Driver]) (*yuccaquery.Lifetime, error) {
	return d.lifetime, yuccaquery.Post(ctx, d.lifetime, d.events, event(query))
}

// Report processes a report of the worker. It returns false and ignores the report
// if a later one was received before. The error is that of the context if it ends
// first.
func (d *Driver) Report(ctx context.Context, r yuccaworker.Report) (bool, error) {
	return yuccaquery.Do(ctx, d.postQuery, func(d *Driver) bool { return d.worker.HandleReport(time.Now(), r) })
}

// Deregister processes the announcement of a worker that it exits. Its runs count as active
// until they end. It ignores workers other than the one with the latest report.
func (d *Driver) Deregister(ctx context.Context, id string) error {
	_, err := yuccaquery.Do(ctx, d.postQuery, func(d *Driver) bool {
		d.worker.HandleDeregistration(time.Now(), id)
		return true
	})
	return err
}

// Links returns the links of this side to entries.
func (d *Driver) Links() []yuccamesh.LinkStatus { return d.options.Mesh.Links() }

// Drain refuses new orders and waits until no task is queued or running. It returns
// 0 on success, or 1 if the context ends first.
func (d *Driver) Drain(ctx context.Context) int {
	d.options.Logger.Info("draining")
	for {
		idle, err := yuccaquery.Do(ctx, d.postQuery, func(d *Driver) bool {
			d.worker.Stop(time.Now())
			return d.worker.Idle()
		})
		if err != nil {
			return 1
		}
		if idle {
			return 0
		}
		timer := time.NewTimer(drainPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 1
		}
	}
}
