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
	fewSlots = 2
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
	gate     *yuccagate.Gate
	owners   map[string]*ownerLink
	targets  map[string]*target
	running  map[runKey]*run
	draining *drain
	loadAt   time.Time
	sweepAt  time.Time
	reported map[string]int
}

// runKey names one attempt that runs.
type runKey struct {
	team, job, task string
	attempt         uint32
}

func keyOf(k *yuccawire.TaskKey) runKey {
	return runKey{team: k.GetJob().GetTeam(), job: k.GetJob().GetId(), task: k.GetTask(), attempt: k.GetAttempt()}
}

// New returns a side without targets.
func New(options Options) *Side {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Side{
		options:  options,
		metrics:  options.Metrics,
		events:   make(chan event, eventsCapacity),
		owners:   make(map[string]*ownerLink),
		targets:  make(map[string]*target),
		running:  make(map[runKey]*run),
		reported: make(map[string]int),
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
			s.update(update)
		case e := <-s.events:
			s.handle(ctx, time.Now(), e)
			if s.fewSlotsTaken() {
				s.reportLoad()
			}
		}
	}
}

func (s *Side) handle(ctx context.Context, now time.Time, e event) {
	switch e := e.(type) {
	case linked:
		s.link(e.owner)
	case unlinked:
		s.unlink(e.owner)
	case received:
		s.receive(ctx, now, e.from, e.message)
	case finished:
		s.finish(e)
	case announced:
		e.done <- s.announce(now, e.announcement)
	case withdrawn:
		s.withdraw(e.service)
		close(e.done)
	case drain:
		s.beginDrain(e)
	case yuccaask.Question[*Side]:
		e.Answer(s)
	}
}

func (s *Side) update(u yuccalease.Update) {
	wasOut := s.gate.View().IsDrained(s.options.Self.GetDataCentre())
	s.gate.SetView(u.View)
	s.gate.SetLease(u.Lease)
	for _, f := range u.Fences {
		s.gate.Fence(f.GetOwner(), f.GetIncarnation())
	}
	isOut := u.View.IsDrained(s.options.Self.GetDataCentre())
	if isOut != wasOut {
		s.options.Logger.Info("data centre changed", "out", isOut)
		s.reportLoad()
	}
}

func (s *Side) tick(now time.Time) {
	s.expireTargets(now)
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(sweepInterval)
		s.gate.Sweep(now)
		s.metrics.Gauge("records", int64(s.gate.RecordCount()))
		s.metrics.Gauge("kept_bytes", int64(s.gate.RetainedBytes()))
	}
	if s.draining != nil {
		s.continueDrain(now)
	}
	if !now.Before(s.loadAt) || s.fewSlotsChanged() {
		s.reportLoad()
	}
	s.metrics.Gauge("running", int64(len(s.running)))
}

// fewSlotsChanged tells whether the free slots of a service that has few of them
// changed since the last report.
func (s *Side) fewSlotsChanged() bool {
	for name := range s.targets {
		free, reported := s.freeSlots(name), s.reported[name]
		if free != reported && min(free, reported) <= fewSlots {
			return true
		}
	}
	return false
}

// fewSlotsTaken tells whether a service has few free slots, and fewer than in the
// last report.
func (s *Side) fewSlotsTaken() bool {
	for name := range s.targets {
		if free := s.freeSlots(name); free < s.reported[name] && free <= fewSlots {
			return true
		}
	}
	return false
}

// reportLoad reports the free slots to all owners.
func (s *Side) reportLoad() {
	s.loadAt = time.Now().Add(loadInterval)
	load := s.load()
	for _, o := range s.owners {
		o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Load{Load: &yuccawire.Load{
			Services: load, Leaving: s.draining != nil, StartsSeen: o.startsSeen,
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

func (s *Side) load() []*yuccawire.ServiceLoad {
	var load []*yuccawire.ServiceLoad
	for name := range s.targets {
		free := s.freeSlots(name)
		s.reported[name] = free
		load = append(load, &yuccawire.ServiceLoad{Service: name, FreeSlots: uint32(free)})
	}
	return load
}

// View returns the configuration that the side has in force.
func (s *Side) View(ctx context.Context) (*yuccadocument.View, error) {
	return yuccaask.Ask(ctx, s.postQuestion, func(s *Side) *yuccadocument.View { return s.gate.View() })
}
