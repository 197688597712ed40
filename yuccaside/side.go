package yuccaside

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccagate"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	eventsCapacity = 4096
	tickInterval   = 20 * time.Millisecond
	loadInterval   = time.Second
	sweepInterval  = 5 * time.Second
	goodbyeTimeout = 2 * time.Second
	// fewSlots is the number of free slots from which owners hear of each change.
	lowFreeSlots = 2
)

// Runner passes an attempt to a target and waits for its answer.
type Runner interface {
	// Run returns the answer, or a result with the state TASK_UNKNOWN where it
	// was lost. The target is asked to stop when the context ends.
	Run(ctx context.Context, address string, start *yuccawire.Start) *yuccawire.Finished
}

// Options holds what a side needs. All fields but Logger are required.
type Options struct {
	Network yuccawire.Network
	// Self names the process; its incarnation is new for each run.
	Self     *yuccawire.Node
	Controls []string
	Runner   Runner
	// Retention is how long records outlive the deadline of their job.
	Retention time.Duration
	// MaxResultBytes bounds the results that are kept, in bytes.
	MaxResultBytes int
	Random         *rand.Rand
	Metrics        *yuccametric.Set
	Logger         *slog.Logger
}

// Side is the process beside a target. It is a suture service; its parts run
// under it and end with it.
type Side struct {
	options Options
	metrics *yuccametric.Set
	lease   *yuccalease.Client
	events  chan event

	// Owned by the loop.
	gate           *yuccagate.Gate
	owners         map[string]*ownerLink
	targets        map[string]*target
	running        map[runKey]*run
	draining       *drain
	nextLoadReport time.Time
	nextSweep      time.Time
	reportedSlots  map[string]int
}

// runKey names one attempt that runs.
type runKey struct {
	team, job, task string
	attempt         uint32
}

func runKeyOf(k *yuccawire.TaskKey) runKey {
	return runKey{team: k.GetJob().GetTeam(), job: k.GetJob().GetId(), task: k.GetTask(), attempt: k.GetAttempt()}
}

// New returns a side without targets.
func New(options Options) *Side {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Side{
		options:       options,
		metrics:       options.Metrics,
		events:        make(chan event, eventsCapacity),
		owners:        make(map[string]*ownerLink),
		targets:       make(map[string]*target),
		running:       make(map[runKey]*run),
		reportedSlots: make(map[string]int),
	}
	s.gate = yuccagate.New(yuccagate.Options{
		Incarnation:    options.Self.GetIncarnation(),
		DataCentre:     options.Self.GetDataCentre(),
		Retention:      options.Retention,
		MaxResultBytes: options.MaxResultBytes,
	})
	s.lease = yuccalease.New(yuccalease.Options{
		Network: options.Network, Self: options.Self, Controls: options.Controls,
		Sections: []string{yuccadocument.SectionDrainedDataCentres},
		Random:   options.Random, Logger: options.Logger,
	})
	return s
}

// Lease returns the client that keeps the side's lease. It is served beside
// the side.
func (s *Side) Lease() *yuccalease.Client { return s.lease }

// Serve runs the side until the context ends.
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
	switch e := e.(type) {
	case linkUp:
		s.handleLinkUp(e.owner)
	case linkDown:
		s.handleLinkDown(e.owner)
	case messageReceived:
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
	case yuccaask.Query[*Side]:
		e.Run(s)
	}
}

func (s *Side) handleLeaseUpdate(u yuccalease.Update) {
	wasDrained := s.gate.View().IsDrained(s.options.Self.GetDataCentre())
	s.gate.SetView(u.View)
	s.gate.SetLease(u.Lease)
	for _, f := range u.Fences {
		s.gate.Fence(f.GetOwner(), f.GetIncarnation())
	}
	isDrained := u.View.IsDrained(s.options.Self.GetDataCentre())
	if isDrained != wasDrained {
		s.options.Logger.Info("data centre changed", "out", isDrained)
		s.reportLoad()
	}
}

func (s *Side) tick(now time.Time) {
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

// fewSlotsChanged tells whether the free slots of a service that has few of them
// changed since the last report.
func (s *Side) lowFreeSlotsChanged() bool {
	for name := range s.targets {
		free, reported := s.freeSlots(name), s.reportedSlots[name]
		if free != reported && min(free, reported) <= lowFreeSlots {
			return true
		}
	}
	return false
}

// fewSlotsTaken tells whether a service has few free slots, and fewer than in the
// last report.
func (s *Side) lowFreeSlotsDecreased() bool {
	for name := range s.targets {
		if free := s.freeSlots(name); free < s.reportedSlots[name] && free <= lowFreeSlots {
			return true
		}
	}
	return false
}

// reportLoad reports the free slots to all owners.
func (s *Side) reportLoad() {
	s.nextLoadReport = time.Now().Add(loadInterval)
	loads := s.serviceLoads()
	for _, o := range s.owners {
		o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Load{Load: &yuccawire.Load{
			Services: loads, Leaving: s.draining != nil, StartsSeen: o.startsSeen,
		}}})
	}
}

// freeSlots is the number of tasks that could start now, none while the data
// centre is out.
func (s *Side) freeSlots(name string) int {
	if s.gate.View().IsDrained(s.options.Self.GetDataCentre()) {
		return 0
	}
	return s.gate.FreeSlots(name)
}

func (s *Side) serviceLoads() []*yuccawire.ServiceLoad {
	var loads []*yuccawire.ServiceLoad
	for name := range s.targets {
		free := s.freeSlots(name)
		s.reportedSlots[name] = free
		loads = append(loads, &yuccawire.ServiceLoad{Service: name, FreeSlots: uint32(free)})
	}
	return loads
}

// View returns the configuration that the side has in force.
func (s *Side) View(ctx context.Context) (*yuccadocument.View, error) {
	return yuccaask.Do(ctx, s.postQuery, func(s *Side) *yuccadocument.View { return s.gate.View() })
}
