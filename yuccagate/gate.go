package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
)

const (
	defaultRetention      = 5 * time.Minute
	defaultMaxResultBytes = 16 << 20
)

// Options sets what does not change while the side runs. Zero fields get
// defaults.
type Options struct {
	// Incarnation names this run of the side.
	Incarnation uint64
	// DataCentre is where the side runs.
	DataCentre string
	// Retention is how long records outlive the deadline of their job.
	Retention time.Duration
	// MaxResultBytes bounds the bodies of kept results, in bytes.
	MaxResultBytes int
}

// Gate admits or refuses starts. It is not safe for concurrent use.
type Gate struct {
	options       Options
	lease         yuccalease.Lease
	view          *yuccadocument.View
	fences        map[string]uint64
	targets       map[string]*target
	jobs          map[jobID]*jobRecord
	retained      []*attempt
	retainedBytes int
	leaving       bool
}

// service is one announced target.
type target struct {
	slots   int
	busy    int
	leaving bool
	removed bool
}

// New returns a gate without a lease, which refuses everything.
func New(options Options) *Gate {
	if options.Retention == 0 {
		options.Retention = defaultRetention
	}
	if options.MaxResultBytes == 0 {
		options.MaxResultBytes = defaultMaxResultBytes
	}
	return &Gate{
		options: options,
		view:    yuccadocument.NewView(),
		fences:  make(map[string]uint64),
		targets: make(map[string]*target),
		jobs:    make(map[jobID]*jobRecord),
	}
}

// SetLease replaces the lease under which tasks start.
func (g *Gate) SetLease(lease yuccalease.Lease) { g.lease = lease }

// SetView replaces the configuration in force.
func (g *Gate) SetView(view *yuccadocument.View) { g.view = view }

// Leave makes the gate refuse all further starts.
func (g *Gate) Leave() { g.leaving = true }

// Fence refuses the owner's incarnations up to this one from now on.
func (g *Gate) Fence(name string, incarnation uint64) {
	g.fences[name] = max(g.fences[name], incarnation)
}

// SetTarget adds a target or changes its slots.
func (g *Gate) SetTarget(name string, slots int, leaving bool) {
	s := g.targets[name]
	if s == nil {
		s = &target{}
		g.targets[name] = s
	}
	s.slots = slots
	s.leaving = leaving
	s.removed = false
}

// RemoveTarget removes a target. Its running attempts still finish.
func (g *Gate) RemoveTarget(name string) {
	if s := g.targets[name]; s != nil {
		s.removed = true
	}
}

// FreeSlots is the number of attempts at tasks of the service that could start.
func (g *Gate) FreeSlots(name string) int {
	s := g.targets[name]
	if s == nil || s.removed || s.leaving || g.leaving {
		return 0
	}
	return max(s.slots-s.busy, 0)
}

// RunningCount is the number of attempts that run.
func (g *Gate) RunningCount() int {
	running := 0
	for _, s := range g.targets {
		running += s.busy
	}
	return running
}

// RecordCount is the number of jobs that the gate remembers.
func (g *Gate) RecordCount() int { return len(g.jobs) }

// RetainedBytes is the size of the kept results.
func (g *Gate) RetainedBytes() int { return g.retainedBytes }

// Lease returns the lease under which tasks start.
func (g *Gate) Lease() yuccalease.Lease { return g.lease }

// View returns the configuration in force.
func (g *Gate) View() *yuccadocument.View { return g.view }
