package yuccaside

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccagate"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	eventQueueCapacity = 4096
	tickInterval       = 20 * time.Millisecond
	// loadInterval is the maximum interval between load reports.
	loadInterval  = time.Second
	sweepInterval = 5 * time.Second
	// goodbyeTimeout is how long a drain waits for owners to close their links.
	goodbyeTimeout = 2 * time.Second
	// lowFreeSlots is the number of free slots of a service at or below which each
	// change is reported without waiting for loadInterval.
	lowFreeSlots = 2
)

// Runner executes attempts at targets.
type Runner interface {
	// Run sends the start to the target at the base URL address and waits for the
	// response. If the response is lost, the state of the result is TASK_UNKNOWN.
	// When the context ends, Run cancels the request and returns. It asks mayStart last
	// before it sends, and sends nothing if that is false.
	Run(ctx context.Context, address string, start *yuccawire.Start, mayStart func() bool) *yuccawire.Finished
}

// Options configures a Side. All fields but Logger and Suspensions are required.
type Options struct {
	Network yuccawire.Network
	// Self identifies the process. Each start of the process needs a new
	// incarnation.
	Self *yuccawire.Node
	// Controls are the addresses of the controls.
	Controls []string
	Runner   Runner
	// Retention is how long the records of a job are retained after its deadline,
	// at least [yuccagate.DefaultRetention].
	Retention time.Duration
	// MaxResultBytes is the maximum total size of the retained results, in bytes.
	MaxResultBytes int
	Random         *rand.Rand
	Metrics        *yuccametric.Set
	Logger         *slog.Logger
	// Suspensions notices suspensions of the machine. Optional.
	Suspensions *yuccasuspend.Monitor
}

// Side executes attempts at the targets of one host. It is a suture service. The
// client returned by [Side.Lease] must be served alongside it.
type Side struct {
	options  Options
	metrics  *yuccametric.Set
	lease    *yuccalease.Client
	events   chan event
	lifetime *yuccaquery.Lifetime
	permit   atomic.Pointer[permit]

	// The fields below are owned by the event loop.
	gate           *yuccagate.Gate
	owners         map[string]*ownerLink // by name of the entry
	targets        map[string]*target    // by service
	running        map[runKey]*run
	draining       *drain
	nextLoadReport time.Time
	nextSweep      time.Time
	reportedSlots  map[string]int // free slots in the last load report, by service
	suspensions    yuccasuspend.Suspensions
}

// permit is the permission of the last lease update to start tasks.
type permit struct {
	lease       yuccalease.Lease
	suspensions int
	isDrained   bool
}

// mayStart reports whether tasks may start now. The gate decides on each start by the same
// rules, but the start is sent later. It may be called from any goroutine.
func (s *Side) mayStart() bool {
	p := s.permit.Load()
	return !p.isDrained && p.suspensions == s.options.Suspensions.Check().Count && p.lease.Valid(time.Now())
}

// runKey identifies a running attempt.
type runKey struct {
	team, job, task string
	attempt         uint32
}

func runKeyOf(k *yuccawire.TaskKey) runKey {
	return runKey{team: k.GetJob().GetTeam(), job: k.GetJob().GetId(), task: k.GetTask(), attempt: k.GetAttempt()}
}

// New returns a side without targets. It starts to work with [Side.Serve].
func New(options Options) *Side {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Side{
		options:       options,
		metrics:       options.Metrics,
		events:        make(chan event, eventQueueCapacity),
		lifetime:      yuccaquery.NewLifetime(),
		owners:        make(map[string]*ownerLink),
		targets:       make(map[string]*target),
		running:       make(map[runKey]*run),
		reportedSlots: make(map[string]int),
	}
	s.permit.Store(&permit{})
	s.gate = yuccagate.New(yuccagate.Options{
		Incarnation:    options.Self.GetIncarnation(),
		DataCentre:     options.Self.GetDataCentre(),
		Retention:      max(options.Retention, yuccagate.DefaultRetention),
		MaxResultBytes: options.MaxResultBytes,
	})
	s.lease = yuccalease.New(yuccalease.Options{
		Network: options.Network, Self: options.Self, Controls: options.Controls,
		Sections: []string{yuccadocument.SectionDrainedDataCentres},
		Random:   options.Random, Logger: options.Logger, Suspensions: options.Suspensions,
	})
	return s
}

// Lease returns the client that renews the side's lease with control. The caller
// has to serve it alongside the side.
func (s *Side) Lease() *yuccalease.Client { return s.lease }

// Serve accepts links and processes events until the context ends. It terminates
// the supervisor tree if the side can't listen on its address.
func (s *Side) Serve(ctx context.Context) error {
	listener, err := s.options.Network.Listen(s.options.Self.GetAddress())
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer listener.Close()
	a := &acceptor{side: s, listener: listener}
	go a.run(ctx)
	return s.loop(ctx)
}

func (s *Side) loop(ctx context.Context) error {
	defer s.lifetime.End()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			s.tick(now)
		case update := <-s.lease.Updates():
			s.handleLeaseUpdate(update)
		case e := <-s.events:
			s.handleEvent(ctx, time.Now(), e)
			if s.lowFreeSlotsDecreased() {
				s.reportLoad()
			}
		}
	}
}

func (s *Side) handleEvent(ctx context.Context, now time.Time, e event) {
	s.checkSuspension(now)
	switch e := e.(type) {
	case linkOpened:
		s.handleLinkOpened(e.owner)
	case linkClosed:
		s.handleLinkClosed(e.owner)
	case linkMessage:
		s.handleMessage(ctx, now, e.from, e.message)
	case runFinished:
		s.handleFinished(e)
	case targetAnnounced:
		e.done <- s.addTarget(now, e.announcement)
	case targetWithdrawn:
		s.removeTarget(e.service)
		close(e.done)
	case drain:
		s.startDrain(e)
	case yuccaquery.Query[*Side]:
		e.Run(s)
	}
}

// checkSuspension drops the lease and stops the runs whose deadline has passed if the
// machine was suspended.
func (s *Side) checkSuspension(now time.Time) {
	suspensions := s.options.Suspensions.Check()
	if suspensions.Count == s.suspensions.Count {
		return
	}
	suspendedFor := suspensions.Total - s.suspensions.Total
	s.suspensions = suspensions
	s.options.Logger.Warn("machine was suspended", "stood_ms", suspendedFor.Milliseconds(), "runs", len(s.running))
	s.metrics.Add("suspensions", 1)
	s.gate.SetLease(yuccalease.Lease{})
	for _, r := range s.running {
		r.shorten(now, suspendedFor)
	}
}

func (s *Side) handleLeaseUpdate(u yuccalease.Update) {
	s.checkSuspension(time.Now())
	if u.Suspensions != s.suspensions.Count || u.Incomplete {
		u.Lease = yuccalease.Lease{}
	}
	wasDrained := s.gate.View().IsDrained(s.options.Self.GetDataCentre())
	s.gate.SetView(u.View)
	s.gate.SetLease(u.Lease)
	for _, f := range u.Fences {
		s.gate.Fence(f.GetOwner(), f.GetIncarnation())
	}
	isDrained := u.View.IsDrained(s.options.Self.GetDataCentre())
	s.permit.Store(&permit{lease: u.Lease, suspensions: u.Suspensions, isDrained: isDrained})
	if isDrained != wasDrained {
		s.options.Logger.Info("data centre drain state changed", "out", isDrained)
		s.reportLoad()
	}
}

func (s *Side) tick(now time.Time) {
	s.checkSuspension(now)
	s.expireTargets(now)
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(sweepInterval)
		s.gate.Sweep(now)
		s.metrics.Gauge("records", int64(s.gate.RecordCount()))
		s.metrics.Gauge("kept_bytes", int64(s.gate.RetainedBytes()))
	}
	if s.draining != nil {
		s.continueDrain(now)
	}
	if !now.Before(s.nextLoadReport) || s.lowFreeSlotsChanged() {
		s.reportLoad()
	}
	s.metrics.Gauge("running", int64(len(s.running)))
}

// lowFreeSlotsChanged reports whether the number of free slots of any service has
// changed since the last load report, and is or was at most lowFreeSlots.
func (s *Side) lowFreeSlotsChanged() bool {
	for name := range s.targets {
		free, reported := s.freeSlots(name), s.reportedSlots[name]
		if free != reported && min(free, reported) <= lowFreeSlots {
			return true
		}
	}
	return false
}

// lowFreeSlotsDecreased reports whether the number of free slots of any service has
// decreased since the last load report to at most lowFreeSlots.
func (s *Side) lowFreeSlotsDecreased() bool {
	for name := range s.targets {
		if free := s.freeSlots(name); free < s.reportedSlots[name] && free <= lowFreeSlots {
			return true
		}
	}
	return false
}

// reportLoad sends the free slots of each service to all owners.
func (s *Side) reportLoad() {
	s.nextLoadReport = time.Now().Add(loadInterval)
	loads := s.serviceLoads()
	for _, o := range s.owners {
		o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Load{Load: &yuccawire.Load{
			Services: loads, Leaving: s.draining != nil, StartsSeen: o.startsSeen,
		}}})
	}
}

// freeSlots returns the number of tasks of a service that can start now, zero while
// the data centre is drained.
func (s *Side) freeSlots(name string) int {
	if s.gate.View().IsDrained(s.options.Self.GetDataCentre()) {
		return 0
	}
	return s.gate.FreeSlots(name)
}

// serviceLoads returns the free slots of each service and records them as reported.
func (s *Side) serviceLoads() []*yuccawire.ServiceLoad {
	var loads []*yuccawire.ServiceLoad
	for name := range s.targets {
		free := s.freeSlots(name)
		s.reportedSlots[name] = free
		loads = append(loads, &yuccawire.ServiceLoad{Service: name, FreeSlots: uint32(free)})
	}
	return loads
}

// View returns the current configuration of the side.
func (s *Side) View(ctx context.Context) (*yuccadocument.View, error) {
	return yuccaquery.Do(ctx, s.postQuery, func(s *Side) *yuccadocument.View { return s.gate.View() })
}
