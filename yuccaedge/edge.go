package yuccaedge

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Errors of [Edge.Document].
var (
	// ErrNoConfiguration is returned until the entry has received a document.
	ErrNoConfiguration = merry.Sentinel("no configuration is known yet")
	// ErrStaleConfiguration is returned if control has not confirmed the document
	// lately, so that a newer one may have been acknowledged.
	ErrStaleConfiguration = merry.Sentinel("control was not heard lately, a newer configuration may be in force")
)

// Options configures an edge. Replica and Suspensions are optional.
type Options struct {
	Mesh   *yuccamesh.Mesh
	Lease  *yuccalease.Client
	Broker *yuccabroker.Broker
	// Replica is the control replica of this process, or nil if it has no disk.
	Replica *Replica
	// Decode decodes the text of a whole document.
	Decode func(text []byte) (*yuccacatalog.Catalog, error)
	// MaxConfigurationAge is the maximum time since control has confirmed the
	// document that [Edge.Document] returns.
	MaxConfigurationAge time.Duration
	// Suspensions notices suspensions of the machine. It is that of Lease.
	Suspensions *yuccasuspend.Monitor
	Metrics     *yuccametric.Set
	Logger      *slog.Logger
}

// config is the current configuration. It is immutable.
type config struct {
	view    *yuccadocument.View
	catalog *yuccacatalog.Catalog
	// confirmedAt is the last time at which control had no newer section, zero if it has not
	// been heard since the last of the suspensions of the machine.
	confirmedAt time.Time
	suspensions int
}

// Edge accepts callers' jobs, runs them on the linked sides, and holds the
// current configuration. It is a suture service.
type Edge struct {
	options    Options
	metrics    *yuccametric.Set
	broker     *yuccabroker.Broker
	events     chan event
	lifetime   *yuccaquery.Lifetime
	config     atomic.Pointer[config]
	readySides atomic.Int64
	// pending are the pending jobs of this entry, for its lease.
	pending  atomic.Pointer[[]*yuccawire.QueueCount]
	draining atomic.Bool

	// The fields below are owned by the event loop.
	sidePeers  map[string]*yuccamesh.Peer            // the newest link of each side, by name
	lastLinks  map[string]uint64                     // the number of the newest link of each side so far, by name
	waiters    map[uint64]chan<- yuccabroker.Outcome // waiting callers, by waiterID
	lastID     uint64                                // the last waiterID or inquiry number
	entryPeers map[*yuccamesh.Peer]struct{}          // all links to other entries
	inquiries  map[uint64]*inquiry                   // inquiries that wait for replies, by number
	proposals  map[uint64]proposalRequest            // proposals that wait for the leader's reply, by number
	// pendingElsewhere are the pending jobs of the other entries, as control has
	// summed them since pendingElsewhereAt.
	pendingElsewhere   []*yuccawire.QueueCount
	pendingElsewhereAt time.Time
	nextPendingCount   time.Time
	// startedAt is the time of the first tick.
	startedAt time.Time
	// membersUpdatedAt is when the broker was last told which other entries there are.
	membersUpdatedAt time.Time
	// suspensions are those that the broker knows of.
	suspensions yuccasuspend.Suspensions
}

// event is an input of the event loop: a submitRequest, recoveredSections, a
// callerLeft, an inquiryRequest, a proposalRequest, a proposalExpired or a
// [yuccaquery.Query].
type event any

// submitRequest is a job of a caller. waiterID receives the number that identifies
// the waiting caller, outcome the outcome of the job.
type submitRequest struct {
	job      yuccabroker.Job
	outcome  chan yuccabroker.Outcome
	waiterID chan uint64
}

// recoveredSections are committed sections from the disk of this process.
type recoveredSections struct{ sections []*yuccawire.Section }

// callerLeft reports that a caller no longer waits for the outcome of its job.
type callerLeft struct {
	jobID    string
	waiterID uint64
}

// New returns an edge without a configuration.
func New(options Options) *Edge {
	e := &Edge{
		options:   options,
		metrics:   options.Metrics,
		broker:    options.Broker,
		events:    make(chan event, eventQueueCapacity),
		lifetime:  yuccaquery.NewLifetime(),
		sidePeers: make(map[string]*yuccamesh.Peer),
		lastLinks: make(map[string]uint64),
		waiters:   make(map[uint64]chan<- yuccabroker.Outcome),

		entryPeers: make(map[*yuccamesh.Peer]struct{}),
		inquiries:  make(map[uint64]*inquiry),
		proposals:  make(map[uint64]proposalRequest),
	}
	e.config.Store(&config{view: yuccadocument.NewView()})
	return e
}

// Serve processes events until the context ends.
func (e *Edge) Serve(ctx context.Context) error {
	defer e.lifetime.End()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.checkSuspension(now)
			e.updateMembers(time.Now())
			e.broker.Tick(time.Now())
			e.expireInquiries(time.Now())
			e.countPending(time.Now())
			e.exchangeDemand(time.Now())
		case m := <-e.options.Mesh.Events():
			e.checkSuspension(time.Now())
			e.handleMeshEvent(m)
			e.handleBatch()
		case u := <-e.options.Lease.Updates():
			e.checkSuspension(time.Now())
			e.handleLeaseUpdate(u)
		case ev := <-e.events:
			e.checkSuspension(time.Now())
			e.handleEvent(ev)
			e.handleBatch()
		}
		e.broker.Place(time.Now())
		e.executeActions()
	}
}

// handleBatch handles queued events, so that their tasks are placed together.
func (e *Edge) handleBatch() {
	for range maxBatchedEvents {
		select {
		case m := <-e.options.Mesh.Events():
			e.checkSuspension(time.Now())
			e.handleMeshEvent(m)
		case ev := <-e.events:
			e.checkSuspension(time.Now())
			e.handleEvent(ev)
		default:
			return
		}
	}
}

// checkSuspension reports a suspension of the machine to the broker and discards
// what control has told last. Both that and the leases are unreliable then,
// since the monotonic clock does not advance during a suspension.
func (e *Edge) checkSuspension(now time.Time) {
	suspensions := e.options.Suspensions.Check()
	if suspensions.Count == e.suspensions.Count {
		return
	}
	suspendedFor := suspensions.Total - e.suspensions.Total
	e.suspensions = suspensions
	c := *e.config.Load()
	c.confirmedAt, c.suspensions = time.Time{}, suspensions.Count
	e.config.Store(&c)
	e.pendingElsewhereAt = time.Time{}
	e.broker.HandleSuspension(now, suspendedFor)
}

func (e *Edge) handleEvent(ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case submitRequest:
		e.lastID++
		e.waiters[e.lastID] = ev.outcome
		ev.waiterID <- e.lastID
		e.broker.Submit(now, ev.job, e.lastID)
	case recoveredSections:
		e.applySections(ev.sections, time.Time{}, "the data folder")
	case callerLeft:
		delete(e.waiters, ev.waiterID)
		e.broker.HandleDisconnect(now, ev.jobID, ev.waiterID)
	case inquiryRequest:
		e.startInquiry(now, ev)
	case proposalRequest:
		e.startProposal(ev)
	case proposalExpired:
		delete(e.proposals, ev.number)
	case yuccaquery.Query[*Edge]:
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
		case *yuccawire.Envelope_CrashReport:
			e.broker.HandleCrashReport(now, body.CrashReport)
		case *yuccawire.Envelope_HeldTasks:
			e.broker.HandleHeldBySide(now, name, body.HeldTasks)
		case *yuccawire.Envelope_RunsReply:
			e.broker.HandleRunsReply(now, name, body.RunsReply)
		case *yuccawire.Envelope_LostPlacements:
			e.broker.HandleLostPlacements(now, body.LostPlacements)
		case *yuccawire.Envelope_Forward:
			e.broker.HandleForward(now, body.Forward)
		}
	case yuccamesh.EntryGone:
		e.broker.HandleEntryGone(now, m.Node.GetName(), m.Node.GetIncarnation())
	case yuccamesh.ReceivedSections:
		e.applySections(m.Sections, time.Time{}, "a peer")
	}
}

// handleLinkUp registers a link of an entry or a side. For a side, the newest
// link replaces older ones, whose messages are ignored from then on. An older one that
// comes up late has ended at the side, and may be that of an earlier process.
func (e *Edge) handleLinkUp(now time.Time, p *yuccamesh.Peer) {
	node := p.Node()
	if node.GetRole() == yuccawire.Role_ROLE_ENTRY {
		e.entryPeers[p] = struct{}{}
		e.updatePeers()
		e.sendInquiries(p)
		if report := e.broker.RecentCrashes(now); len(report.GetCrashes())+len(report.GetConfined()) > 0 {
			p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_CrashReport{CrashReport: report}})
		}
		p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldSeen{HeldSeen: &yuccawire.HeldSeen{}}})
		for _, list := range e.broker.HeldLists(now) {
			p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		}
		if ended := e.broker.Cancellations(now); len(ended.GetJobs()) > 0 {
			p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_EndedJobs{EndedJobs: ended}})
		}
		e.exchangeOpenJobs(now, p)
	}
	if node.GetRole() != yuccawire.Role_ROLE_SIDE {
		return
	}
	if p.Number() < e.lastLinks[node.GetName()] {
		e.metrics.Add("side_links_late", 1)
		e.options.Logger.Warn("late link of a side closed", "side", node.GetName(), "incarnation", node.GetIncarnation())
		p.Close()
		return
	}
	e.lastLinks[node.GetName()] = p.Number()
	if old := e.sidePeers[node.GetName()]; old != nil {
		old.Close()
		e.broker.HandleLinkDown(now, node.GetName())
	}
	e.sidePeers[node.GetName()] = p
	e.broker.HandleLinkUp(now, yuccabroker.Side{
		Name: node.GetName(), Incarnation: node.GetIncarnation(), DataCentre: node.GetDataCentre(),
	})
}

// updatePeers tells the broker which entries are linked.
func (e *Edge) updatePeers() {
	names := make([]string, 0, len(e.entryPeers))
	dataCentres := make(map[string]string, len(e.entryPeers))
	for p := range e.entryPeers {
		names = append(names, p.Node().GetName())
		dataCentres[p.Node().GetName()] = p.Node().GetDataCentre()
	}
	slices.Sort(names)
	e.broker.SetDataCentres(dataCentres)
	e.broker.SetPeers(slices.Compact(names))
}

// updateMembers tells the broker which other entries there are and which have a replica, in its first second as they are
// discovered, and opens the links that it needs to replicas.
func (e *Edge) updateMembers(now time.Time) {
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
	if now.Sub(e.startedAt) > memberDiscovery && now.Sub(e.membersUpdatedAt) < membersInterval {
		return
	}
	e.membersUpdatedAt = now
	var names []string
	for _, node := range e.options.Mesh.RecentNodes(ownerMemory) {
		names = append(names, node.GetName())
	}
	e.broker.SetMembers(now, names)
	replicas := e.options.Mesh.Replicas()
	names = make([]string, 0, len(replicas))
	for _, r := range replicas {
		names = append(names, r.GetName())
	}
	e.broker.SetReplicas(names)
	for _, name := range e.broker.WantedReplicas() {
		e.options.Mesh.LinkTo(name, replicaLinkPeriod)
	}
}

// exchangeOpenJobs tells the other end of a link the open jobs. They
// come last, as its jobs may start once it knows that they aren't open here.
func (e *Edge) exchangeOpenJobs(now time.Time, p *yuccamesh.Peer) {
	e.broker.HandleEntryUp(now, p.Node().GetName(), p.Node().GetIncarnation())
	if lost := e.broker.LostPlacements(now); len(lost.GetOwners()) > 0 {
		p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_LostPlacements{LostPlacements: lost}})
	}
	p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobs{OpenJobs: e.broker.ListOpenJobs(now)}})
}

// isCurrent reports whether the link is the current one of its side.
func (e *Edge) isCurrent(p *yuccamesh.Peer) bool { return e.sidePeers[p.Node().GetName()] == p }

func (e *Edge) executeActions() {
	for _, a := range e.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Send:
			if p := e.sidePeers[a.Side]; p != nil {
				p.Send(a.Message)
			}
		case yuccabroker.Publish:
			for p := range e.entryPeers {
				if a.To == nil || slices.Contains(a.To, p.Node().GetName()) {
					p.Send(a.Message)
				}
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

// Submit submits a job and waits for its outcome. If the context ends first, it
// returns the error of the context and informs the broker that the caller left. If the
// event loop has ended, a job that has not reached the broker is rejected.
func (e *Edge) Submit(ctx context.Context, job yuccabroker.Job) (yuccabroker.Outcome, error) {
	ctx, span := yuccatrace.Start(ctx, "entry.sized_job")
	defer span.End()
	job.Traceparent = yuccatrace.Traceparent(ctx)
	s := submitRequest{job: job, outcome: make(chan yuccabroker.Outcome, 1), waiterID: make(chan uint64, 1)}
	rejected := yuccabroker.Outcome{State: yuccabroker.Rejected, Reason: stoppedReason, RetryAfter: time.Second}
	err := yuccaquery.Post(ctx, e.lifetime, e.events, event(s))
	switch {
	case errors.Is(err, yuccaquery.ErrEnded):
		return rejected, nil
	case err != nil:
		return yuccabroker.Outcome{}, err
	}
	outcome, err := yuccaquery.Await(ctx, e.lifetime, s.outcome)
	if err == nil {
		return outcome, nil
	}
	waiterID, waiterErr := yuccaquery.Await(context.Background(), e.lifetime, s.waiterID)
	switch {
	case waiterErr != nil:
		return rejected, nil
	case errors.Is(err, yuccaquery.ErrEnded):
		return yuccabroker.Outcome{State: yuccabroker.Abandoned, Reason: stoppedReason}, nil
	}
	_ = yuccaquery.Post(context.Background(), e.lifetime, e.events, event(callerLeft{jobID: job.ID, waiterID: waiterID}))
	return yuccabroker.Outcome{}, err
}

func (e *Edge) postQuery(ctx context.Context, query yuccaquery.Query[*Edge]) (*yuccaquery.Lifetime, error) {
	return e.lifetime, yuccaquery.Post(ctx, e.lifetime, e.events, event(query))
}

// Ready reports whether the entry can serve jobs: it is not draining, and it has
// a configuration and a side that is ready.
func (e *Edge) Ready() bool {
	return !e.draining.Load() && e.Catalog() != nil && e.readySides.Load() > 0
}

// AwaitReady waits until the entry is ready, readyTimeout has passed or the
// context ends.
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
	e.options.Logger.Info("accepting jobs", "ready", e.Ready(), "since_start_ms", time.Since(startedAt).Milliseconds())
}

// Listener is the HTTP listener for callers.
type Listener interface {
	// CloseAfterResponse closes each connection after its next response, so that
	// callers connect to another entry.
	CloseAfterResponse()
	// RefuseConnections closes new and idle connections.
	RefuseConnections()
}

// Drain makes the entry unready, refuses connections once the load balancer has
// had time to notice, and waits until all accepted jobs are answered. Jobs must
// finish shortly before the deadline of the context. It returns the number of
// jobs that are still open when the context ends, or zero if the event loop does
// not report it in time.
func (e *Edge) Drain(ctx context.Context, listener Listener) int {
	listener.CloseAfterResponse()
	e.draining.Store(true)
	now := time.Now()
	acceptUntil := now.Add(drainGracePeriod)
	if deadline, ok := ctx.Deadline(); ok {
		stopAt := deadline.Add(-drainMargin)
		e.options.Logger.Info("draining", "stop_in_ms", stopAt.Sub(now).Milliseconds())
		_, _ = yuccaquery.Do(ctx, e.postQuery, func(e *Edge) bool {
			e.broker.StopAt(time.Now(), stopAt)
			return true
		})
	}
	for {
		openJobs, err := yuccaquery.Do(ctx, e.postQuery, func(e *Edge) int { return e.broker.OpenJobs() })
		if err != nil {
			return openJobs
		}
		if time.Now().After(acceptUntil) {
			listener.RefuseConnections()
			if openJobs == 0 {
				return 0
			}
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return openJobs
		}
	}
}
