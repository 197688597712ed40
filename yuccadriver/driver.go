// Package yuccadriver runs a side whose worker is driven by orders: it carries
// the decisions of [yuccaworker.Worker] to the worker and to the entries.
//
// # Usage
//
//	driver := yuccadriver.New(yuccadriver.Options{...})
//	supervisor.Add(driver)
//	ok, err := driver.Report(ctx, report)
package yuccadriver

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

const (
	eventsCapacity    = 1024
	tickInterval      = 20 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// maxBatchedEvents are handled before the actions are carried out.
	maxEventBatch = 128
)

// Caller calls the worker.
type WorkerClient interface {
	// Start returns what became of the start, and the worker's clock.
	Start(ctx context.Context, c yuccaworker.CallStart) (yuccaworker.Result, int64)
	// Stop tells whether the worker has answered, and its clock.
	Stop(ctx context.Context, c yuccaworker.CallStop) (bool, int64)
	// Hold returns the worker's lists; the time of sending is the caller's.
	Hold(ctx context.Context, c yuccaworker.CallHold) yuccaworker.HoldResult
}

// Options holds what a driver needs.
type Options struct {
	Mesh         *yuccamesh.Mesh
	Client       WorkerClient
	SuspendWatch *yuccasuspend.Watch
	Metrics      *yuccametric.Set
	Logger       *slog.Logger
}

// Driver is one side. It is a suture service.
type Driver struct {
	options Options
	worker  *yuccaworker.Worker
	events  chan event
	peers   map[string]*yuccamesh.Peer
}

type event any

type startReply struct {
	call   yuccaworker.CallStart
	result yuccaworker.Result
	clock  int64
}

type stopReply struct {
	call     yuccaworker.CallStop
	answered bool
	clock    int64
}

// New returns a driver that knows no worker yet.
func New(options Options) *Driver {
	worker := yuccaworker.New(yuccaworker.Options{Metrics: options.Metrics, Logger: options.Logger}, time.Now())
	return &Driver{
		options: options,
		worker:  worker,
		events:  make(chan event, eventsCapacity),
		peers:   make(map[string]*yuccamesh.Peer),
	}
}

// Serve runs the driver until the context ends.
func (d *Driver) Serve(ctx context.Context) error {
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
		d.handlePending()
		d.executeActions(ctx)
	}
}

func (d *Driver) handlePending() {
	for range maxEventBatch {
		select {
		case m := <-d.options.Mesh.Events():
			d.handleMeshEvent(m)
		case ev := <-d.events:
			d.handleEvent(ev)
		default:
			return
		}
	}
}

func (d *Driver) checkSuspension() {
	if d.options.SuspendWatch == nil {
		return
	}
	if suspended := d.options.SuspendWatch.SuspendedFor(); suspended > 0 {
		d.worker.Suspended(time.Now(), suspended)
	}
}

func (d *Driver) handleEvent(ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case startReply:
		d.worker.StartReply(now, ev.call.Incarnation, ev.call.Key, ev.result, ev.clock)
	case stopReply:
		d.worker.StopReply(now, ev.call.Incarnation, ev.call.Key, ev.answered, ev.clock)
	case yuccaworker.HoldResult:
		d.worker.HoldReply(now, ev)
	case yuccaask.Query[*Driver]:
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
		if old := d.peers[m.Peer.Node().GetName()]; old != nil {
			old.Close()
		}
		d.peers[m.Peer.Node().GetName()] = m.Peer
		d.worker.LinkUp(now, ownerOf(m.Peer))
	case yuccamesh.LinkDown:
		if d.peers[m.Peer.Node().GetName()] == m.Peer {
			delete(d.peers, m.Peer.Node().GetName())
			d.worker.LinkDown(ownerOf(m.Peer))
		}
	case yuccamesh.Received:
		if d.peers[m.Peer.Node().GetName()] == m.Peer {
			d.handleMessage(now, ownerOf(m.Peer), m.Message)
		}
	}
}

func (d *Driver) handleMessage(now time.Time, from yuccaworker.Owner, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Orders:
		d.worker.Orders(now, from, body.Orders)
	case *yuccawire.Envelope_Beat:
		d.worker.Heartbeat(now, from, body.Beat)
	case *yuccawire.Envelope_Withdraw:
		d.worker.Withdraw(now, from, body.Withdraw)
	}
}

func (d *Driver) executeActions(ctx context.Context) {
	for _, a := range d.worker.Actions() {
		switch a := a.(type) {
		case yuccaworker.Send:
			if p := d.peers[a.Owner.Name]; p != nil && p.Node().GetIncarnation() == a.Owner.Incarnation {
				p.Send(a.Message)
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
		}
	}
}

func (d *Driver) post(ctx context.Context, ev event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// startCall, stopCall and holdCall are single calls to the worker.
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

type stopCall struct {
	driver *Driver
	call   yuccaworker.CallStop
}

func (c *stopCall) run(ctx context.Context) {
	answered, clock := c.driver.options.Client.Stop(ctx, c.call)
	c.driver.post(ctx, stopReply{call: c.call, answered: answered, clock: clock})
}

type holdCall struct {
	driver *Driver
	call   yuccaworker.CallHold
}

func (c *holdCall) run(ctx context.Context) {
	result := c.driver.options.Client.Hold(ctx, c.call)
	result.SentAt = c.call.SentAt
	c.driver.post(ctx, result)
}

func (d *Driver) postQuery(ctx context.Context, query yuccaask.Query[*Driver]) error {
	select {
	case d.events <- query:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report takes in what the worker says of itself. It returns false for a report
// that was overtaken.
func (d *Driver) Report(ctx context.Context, r yuccaworker.Report) (bool, error) {
	return yuccaask.Do(ctx, d.postQuery, func(d *Driver) bool { return d.worker.Report(time.Now(), r) })
}

// Gone takes in that the worker has left.
func (d *Driver) Deregister(ctx context.Context, id string) error {
	_, err := yuccaask.Do(ctx, d.postQuery, func(d *Driver) bool {
		d.worker.Deregister(time.Now(), id)
		return true
	})
	return err
}

// Drain refuses new orders and waits until nothing runs. It returns 1 if
// something still does at the end of the context.
func (d *Driver) Drain(ctx context.Context) int {
	d.options.Logger.Info("draining")
	for {
		idle, err := yuccaask.Do(ctx, d.postQuery, func(d *Driver) bool {
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
