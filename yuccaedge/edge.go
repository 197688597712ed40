package yuccaedge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Errors that callers of an edge tell apart.
var (
	// ErrNoConfiguration: nothing is known yet.
	ErrNoConfiguration = merry.Sentinel("no configuration is known yet")
	// ErrStale: a newer configuration may have been acknowledged.
	ErrStaleConfiguration = merry.Sentinel("control was not heard lately, a newer configuration may be in force")
)

// Options holds what an edge needs. Replica is nil without a disk.
type Options struct {
	Mesh   *yuccamesh.Mesh
	Lease  *yuccalease.Client
	Broker *yuccabroker.Broker
	// Replica is the control in this process, or nil.
	Replica *Replica
	// Decode reads the text of a whole document.
	Decode func(text []byte) (*yuccacatalog.Catalog, error)
	// FreshFor is how old a configuration may be that is shown as the newest.
	MaxConfigurationAge time.Duration
	// Watch notices that the machine stood still; nil notices nothing.
	SuspendWatch *yuccasuspend.Watch
	Metrics      *yuccametric.Set
	Logger       *slog.Logger
}

// config is what is in force here. It is immutable.
type config struct {
	view    *yuccadocument.View
	catalog *yuccacatalog.Catalog
	// asOf is when control was last known to have nothing newer.
	confirmedAt time.Time
}

// Edge is one entry. It is a suture service.
type Edge struct {
	options    Options
	metrics    *yuccametric.Set
	broker     *yuccabroker.Broker
	events     chan event
	config     atomic.Pointer[config]
	readySides atomic.Int64
	draining   atomic.Bool

	// Owned by the loop.
	sidePeers map[string]*yuccamesh.Peer
	waiters   map[uint64]chan<- yuccabroker.Outcome
	lastID    uint64
	// entries are the links with other entries, inquiries what was asked on them.
	entryPeers map[*yuccamesh.Peer]struct{}
	inquiries  map[uint64]*inquiry
}

// event is one thing that the loop reacts to.
type event any

type submitRequest struct {
	job      yuccabroker.Job
	outcome  chan yuccabroker.Outcome
	waiterID chan uint64
}

// recovered brings what the disk of this process holds as committed.
type recoveredSections struct{ sections []*yuccawire.Section }

type callerLeft struct {
	jobID    string
	waiterID uint64
}

// New returns an edge that knows nothing yet.
func New(options Options) *Edge {
	e := &Edge{
		options:   options,
		metrics:   options.Metrics,
		broker:    options.Broker,
		events:    make(chan event, eventQueueCapacity),
		sidePeers: make(map[string]*yuccamesh.Peer),
		waiters:   make(map[uint64]chan<- yuccabroker.Outcome),

		entryPeers: make(map[*yuccamesh.Peer]struct{}),
		inquiries:  make(map[uint64]*inquiry),
	}
	e.config.Store(&config{view: yuccadocument.NewView()})
	return e
}

// Serve runs the edge until the context ends.
func (e *Edge) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.checkSuspension(now)
			e.broker.Tick(time.Now())
			e.expireInquiries(time.Now())
		case m := <-e.options.Mesh.Events():
			e.checkSuspension(time.Now())
			e.handleMeshEvent(m)
			e.handleBatch()
		case u := <-e.options.Lease.Updates():
			e.handleLeaseUpdate(u)
		case ev := <-e.events:
			e.checkSuspension(time.Now())
			e.handle(ev)
			e.handleBatch()
		}
		e.broker.Place(time.Now())
		e.executeActions()
	}
}

// batch handles the events that wait, so that their tasks are placed together.
func (e *Edge) handleBatch() {
	for range maxBatchedEvents {
		select {
		case m := <-e.options.Mesh.Events():
			e.handleMeshEvent(m)
		case ev := <-e.events:
			e.handle(ev)
		default:
			return
		}
	}
}

func (e *Edge) checkSuspension(now time.Time) {
	if e.options.SuspendWatch == nil {
		return
	}
	if suspendedFor := e.options.SuspendWatch.SuspendedFor(); suspendedFor > 0 {
		c := *e.config.Load()
		c.confirmedAt = time.Time{}
		e.config.Store(&c)
		e.broker.HandleSuspension(now, suspendedFor)
	}
}

func (e *Edge) handle(ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case submitRequest:
		e.lastID++
		e.waiters[e.lastID] = ev.outcome
		ev.waiterID <- e.lastID
		e.broker.Submit(now, ev.job, e.lastID)
	case recoveredSections:
		e.applySections(ev.sections, time.Time{}, "the data folder")
		e.options.Mesh.BroadcastSections(e.Sections())
	case callerLeft:
		delete(e.waiters, ev.waiterID)
		e.broker.HandleDisconnect(now, ev.jobID, ev.waiterID)
	case inquiryRequest:
		e.startInquiry(now, ev)
	case yuccaask.Query[*Edge]:
		ev.Run(e)
	}
}

func (e *Edge) handleMeshEvent(m yuccamesh.Event) {
	now := time.Now()
	switch m := m.(type) {
	case yuccamesh.LinkUp:
		e.handleLinkUp(now, m.Peer)
	case yuccamesh.LinkDown:
		e.handleEntryDown(m.Peer)
		if e.isCurrent(m.Peer) {
			delete(e.sidePeers, m.Peer.Node().GetName())
			e.broker.HandleLinkDown(now, m.Peer.Node().GetName())
		}
	case yuccamesh.Received:
		if _, isEntry := e.entryPeers[m.Peer]; isEntry {
			e.handleEntryMessage(now, m.Peer, m.Message)
		}
		if !e.isCurrent(m.Peer) {
			return
		}
		name := m.Peer.Node().GetName()
		switch body := m.Message.GetBody().(type) {
		case *yuccawire.Envelope_WorkerState:
			e.broker.HandleWorkerState(now, name, body.WorkerState)
		case *yuccawire.Envelope_Ends:
			e.broker.HandleEnds(now, name, body.Ends)
		}
	case yuccamesh.ReceivedSections:
		e.applySections(m.Sections, time.Time{}, "a peer")
	}
}

// linkUp takes up the newest link of a side. What an older link still brings is
// ignored.
func (e *Edge) handleLinkUp(now time.Time, p *yuccamesh.Peer) {
	node := p.Node()
	if node.GetRole() == yuccawire.Role_ROLE_ENTRY {
		e.entryPeers[p] = struct{}{}
	}
	if node.GetRole() != yuccawire.Role_ROLE_SIDE {
		return
	}
	if old := e.sidePeers[node.GetName()]; old != nil {
		old.Close()
		e.broker.HandleLinkDown(now, node.GetName())
	}
	e.sidePeers[node.GetName()] = p
	e.broker.HandleLinkUp(now, yuccabroker.Side{
		Name: node.GetName(), Incarnation: node.GetIncarnation(), DataCentre: node.GetDataCentre(),
	})
}

func (e *Edge) isCurrent(p *yuccamesh.Peer) bool { return e.sidePeers[p.Node().GetName()] == p }

func (e *Edge) executeActions() {
	for _, a := range e.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Send:
			if p := e.sidePeers[a.Side]; p != nil {
				p.Send(a.Message)
			}
		case yuccabroker.Answer:
			if waiter := e.waiters[a.Waiter]; waiter != nil {
				delete(e.waiters, a.Waiter)
				waiter <- a.Outcome
			}
		}
	}
	e.metrics.Gauge("jobs_open", int64(e.broker.OpenJobs()))
	e.readySides.Store(int64(e.broker.ReadySides()))
}

// Submit hands a job in and waits for its outcome. When the context ends, the
// caller has gone.
func (e *Edge) Submit(ctx context.Context, job yuccabroker.Job) (yuccabroker.Outcome, error) {
	ctx, span := yuccatrace.Start(ctx, "entry.sized_job")
	defer span.End()
	job.Traceparent = yuccatrace.Parent(ctx)
	s := submitRequest{job: job, outcome: make(chan yuccabroker.Outcome, 1), waiterID: make(chan uint64, 1)}
	select {
	case e.events <- s:
	case <-ctx.Done():
		return yuccabroker.Outcome{}, ctx.Err()
	}
	select {
	case outcome := <-s.outcome:
		return outcome, nil
	case <-ctx.Done():
		e.events <- callerLeft{jobID: job.ID, waiterID: <-s.waiterID}
		return yuccabroker.Outcome{}, ctx.Err()
	}
}

func (e *Edge) postQuery(ctx context.Context, q yuccaask.Query[*Edge]) error {
	select {
	case e.events <- q:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready tells whether the entry should get jobs.
func (e *Edge) Ready() bool {
	return !e.draining.Load() && e.Catalog() != nil && e.readySides.Load() > 0
}

// AwaitReady returns once the entry can serve jobs, or after a bounded time in
// which it could not.
func (e *Edge) AwaitReady(ctx context.Context) {
	startedAt := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !e.Ready() && time.Since(startedAt) < readyTimeout {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	e.options.Logger.Info("takes jobs", "ready", e.Ready(), "since_start_ms", time.Since(startedAt).Milliseconds())
}

// Listener is that for callers.
type Listener interface {
	// Leave makes callers that keep connections open use others.
	Leave()
	// Refuse takes no more connections.
	Refuse()
}

// Drain tells the balancer to send no more jobs, refuses callers once it has had
// the time to notice, and returns when the jobs that came are answered, which
// all are before the context ends. It returns the number of jobs that are cut.
func (e *Edge) Drain(ctx context.Context, listener Listener) int {
	listener.Leave()
	e.draining.Store(true)
	now := time.Now()
	earliest := now.Add(drainGracePeriod)
	if deadline, ok := ctx.Deadline(); ok {
		stop := deadline.Add(-drainMargin)
		e.options.Logger.Info("draining", "stop_in_ms", stop.Sub(now).Milliseconds())
		_, _ = yuccaask.Do(ctx, e.postQuery, func(e *Edge) bool {
			e.broker.StopAt(time.Now(), stop)
			return true
		})
	}
	for {
		open, err := yuccaask.Do(ctx, e.postQuery, func(e *Edge) int { return e.broker.OpenJobs() })
		if err != nil {
			return open
		}
		if time.Now().After(earliest) {
			listener.Refuse()
			if open == 0 {
				return 0
			}
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return open
		}
	}
}
