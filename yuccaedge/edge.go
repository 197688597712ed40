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
	ErrStale = merry.Sentinel("control was not heard lately, a newer configuration may be in force")
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
	FreshFor time.Duration
	// Watch notices that the machine stood still; nil notices nothing.
	Watch   *yuccasuspend.Watch
	Metrics *yuccametric.Set
	Logger  *slog.Logger
}

// config is what is in force here. It is immutable.
type config struct {
	view    *yuccadocument.View
	catalog *yuccacatalog.Catalog
	// asOf is when control was last known to have nothing newer.
	asOf time.Time
}

// Edge is one entry. It is a suture service.
type Edge struct {
	options  Options
	metrics  *yuccametric.Set
	broker   *yuccabroker.Broker
	events   chan event
	config   atomic.Pointer[config]
	sides    atomic.Int64
	draining atomic.Bool

	// Owned by the loop.
	peers   map[string]*yuccamesh.Peer
	waiters map[uint64]chan<- yuccabroker.Outcome
	next    uint64
	// entries are the links with other entries, inquiries what was asked on them.
	entries   map[*yuccamesh.Peer]struct{}
	inquiries map[uint64]*inquiry
}

// event is one thing that the loop reacts to.
type event any

type submitted struct {
	job  yuccabroker.Job
	done chan yuccabroker.Outcome
	id   chan uint64
}

// recovered brings what the disk of this process holds as committed.
type recovered struct{ sections []*yuccawire.Section }

type left struct {
	job    string
	waiter uint64
}

// New returns an edge that knows nothing yet.
func New(options Options) *Edge {
	e := &Edge{
		options: options,
		metrics: options.Metrics,
		broker:  options.Broker,
		events:  make(chan event, eventsCapacity),
		peers:   make(map[string]*yuccamesh.Peer),
		waiters: make(map[uint64]chan<- yuccabroker.Outcome),

		entries:   make(map[*yuccamesh.Peer]struct{}),
		inquiries: make(map[uint64]*inquiry),
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
			e.watch(now)
			e.broker.Tick(time.Now())
			e.expireInquiries(time.Now())
		case m := <-e.options.Mesh.Events():
			e.watch(time.Now())
			e.meshEvent(m)
			e.batch()
		case u := <-e.options.Lease.Updates():
			e.leaseUpdate(u)
		case ev := <-e.events:
			e.watch(time.Now())
			e.handle(ev)
			e.batch()
		}
		e.broker.Place(time.Now())
		e.carryOut()
	}
}

// batch handles the events that wait, so that their tasks are placed together.
func (e *Edge) batch() {
	for range maxBatchedEvents {
		select {
		case m := <-e.options.Mesh.Events():
			e.meshEvent(m)
		case ev := <-e.events:
			e.handle(ev)
		default:
			return
		}
	}
}

func (e *Edge) watch(now time.Time) {
	if e.options.Watch == nil {
		return
	}
	if stood := e.options.Watch.SuspendedFor(); stood > 0 {
		c := *e.config.Load()
		c.asOf = time.Time{}
		e.config.Store(&c)
		e.broker.HandleSuspension(now, stood)
	}
}

func (e *Edge) handle(ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case submitted:
		e.next++
		e.waiters[e.next] = ev.done
		ev.id <- e.next
		e.broker.Submit(now, ev.job, e.next)
	case recovered:
		e.takeSections(ev.sections, time.Time{}, "the data folder")
		e.options.Mesh.Spread(e.Sections())
	case left:
		delete(e.waiters, ev.waiter)
		e.broker.CallerLeft(now, ev.job, ev.waiter)
	case asked:
		e.ask(now, ev)
	case yuccaask.Question[*Edge]:
		ev.Answer(e)
	}
}

func (e *Edge) meshEvent(m yuccamesh.Event) {
	now := time.Now()
	switch m := m.(type) {
	case yuccamesh.Up:
		e.linkUp(now, m.Peer)
	case yuccamesh.Down:
		e.entryDown(m.Peer)
		if e.current(m.Peer) {
			delete(e.peers, m.Peer.Node().GetName())
			e.broker.LinkDown(now, m.Peer.Node().GetName())
		}
	case yuccamesh.Received:
		if _, entry := e.entries[m.Peer]; entry {
			e.entryMessage(now, m.Peer, m.Message)
		}
		if !e.current(m.Peer) {
			return
		}
		name := m.Peer.Node().GetName()
		switch body := m.Message.GetBody().(type) {
		case *yuccawire.Envelope_WorkerState:
			e.broker.ApplyState(now, name, body.WorkerState)
		case *yuccawire.Envelope_Ends:
			e.broker.ApplyEnds(now, name, body.Ends)
		}
	case yuccamesh.Sections:
		e.takeSections(m.Sections, time.Time{}, "a peer")
	}
}

// linkUp takes up the newest link of a side. What an older link still brings is
// ignored.
func (e *Edge) linkUp(now time.Time, p *yuccamesh.Peer) {
	node := p.Node()
	if node.GetRole() == yuccawire.Role_ROLE_ENTRY {
		e.entries[p] = struct{}{}
	}
	if node.GetRole() != yuccawire.Role_ROLE_SIDE {
		return
	}
	if old := e.peers[node.GetName()]; old != nil {
		old.Close()
		e.broker.LinkDown(now, node.GetName())
	}
	e.peers[node.GetName()] = p
	e.broker.LinkUp(now, yuccabroker.Side{
		Name: node.GetName(), Incarnation: node.GetIncarnation(), DataCentre: node.GetDataCentre(),
	})
}

func (e *Edge) current(p *yuccamesh.Peer) bool { return e.peers[p.Node().GetName()] == p }

func (e *Edge) carryOut() {
	for _, a := range e.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Send:
			if p := e.peers[a.Side]; p != nil {
				p.Send(a.Message)
			}
		case yuccabroker.Answer:
			if done := e.waiters[a.Waiter]; done != nil {
				delete(e.waiters, a.Waiter)
				done <- a.Outcome
			}
		}
	}
	e.metrics.Gauge("jobs_open", int64(e.broker.OpenJobs()))
	e.sides.Store(int64(e.broker.ReadySides()))
}

// Submit hands a job in and waits for its outcome. When the context ends, the
// caller has gone.
func (e *Edge) Submit(ctx context.Context, job yuccabroker.Job) (yuccabroker.Outcome, error) {
	ctx, span := yuccatrace.Start(ctx, "entry.sized_job")
	defer span.End()
	job.Traceparent = yuccatrace.Parent(ctx)
	s := submitted{job: job, done: make(chan yuccabroker.Outcome, 1), id: make(chan uint64, 1)}
	select {
	case e.events <- s:
	case <-ctx.Done():
		return yuccabroker.Outcome{}, ctx.Err()
	}
	select {
	case outcome := <-s.done:
		return outcome, nil
	case <-ctx.Done():
		e.events <- left{job: job.ID, waiter: <-s.id}
		return yuccabroker.Outcome{}, ctx.Err()
	}
}

func (e *Edge) postQuestion(ctx context.Context, q yuccaask.Question[*Edge]) error {
	select {
	case e.events <- q:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready tells whether the entry should get jobs.
func (e *Edge) Ready() bool {
	return !e.draining.Load() && e.Catalog() != nil && e.sides.Load() > 0
}

// AwaitReady returns once the entry can serve jobs, or after a bounded time in
// which it could not.
func (e *Edge) AwaitReady(ctx context.Context) {
	began := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !e.Ready() && time.Since(began) < startPatience {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	e.options.Logger.Info("takes jobs", "ready", e.Ready(), "since_start_ms", time.Since(began).Milliseconds())
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
func (e *Edge) Drain(ctx context.Context, callers Listener) int {
	callers.Leave()
	e.draining.Store(true)
	now := time.Now()
	earliest := now.Add(drainGrace)
	if deadline, ok := ctx.Deadline(); ok {
		stop := deadline.Add(-drainMargin)
		e.options.Logger.Info("draining", "stop_in_ms", stop.Sub(now).Milliseconds())
		_, _ = yuccaask.Ask(ctx, e.postQuestion, func(e *Edge) bool {
			e.broker.StopAt(time.Now(), stop)
			return true
		})
	}
	for {
		open, err := yuccaask.Ask(ctx, e.postQuestion, func(e *Edge) int { return e.broker.OpenJobs() })
		if err != nil {
			return open
		}
		if time.Now().After(earliest) {
			callers.Refuse()
			if open == 0 {
				return 0
			}
		}
		timer := time.NewTimer(drainPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return open
		}
	}
}
