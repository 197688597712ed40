package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
)

// DefaultRetention is the retention of records by default, and the minimum that
// entries rely on: to them, a job claimed within it that a side has no record of was
// not started there.
const DefaultRetention = 5 * time.Minute

const defaultMaxResultBytes = 16 << 20

// Options holds the settings of a gate. A zero Retention means 5 minutes, a zero
// MaxResultBytes 16 MiB.
type Options struct {
	// Incarnation identifies this start of the side.
	Incarnation uint64
	// DataCentre is the data centre of the side.
	DataCentre string
	// Retention is how long records are retained after the deadline of their job.
	Retention time.Duration
	// MaxResultBytes limits the total size of retained result bodies, in bytes.
	MaxResultBytes int
}

// Gate admits or refuses starts and records attempts. It is not safe for
// concurrent use.
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

// target is the target of one service.
type target struct {
	slots   int
	inUse   int
	leaving bool
	removed bool
}

// New returns a gate without a lease and without targets, which refuses all
// starts.
func New(options Options) *Gate {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
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

// SetView replaces the current configuration.
func (g *Gate) SetView(view *yuccadocument.View) { g.view = view }

// Leave refuses all further starts. Running attempts continue.
func (g *Gate) Leave() { g.leaving = true }

// Fence refuses further starts of the named owner's incarnations up to and
// including the given one.
func (g *Gate) Fence(name string, incarnation uint64) {
	g.fences[name] = max(g.fences[name], incarnation)
}

// IsFenced reports whether the incarnation of the named owner is fenced.
func (g *Gate) IsFenced(name string, incarnation uint64) bool {
	return incarnation <= g.fences[name]
}

// SetTarget adds the target of the named service, or updates its slots and
// whether it is leaving.
func (g *Gate) SetTarget(name string, slots int, leaving bool) {
	t := g.targets[name]
	if t == nil {
		t = &target{}
		g.targets[name] = t
	}
	t.slots = slots
	t.leaving = leaving
	t.removed = false
}

// RemoveTarget removes the target of the named service. Running attempts can
// still finish.
func (g *Gate) RemoveTarget(name string) {
	if t := g.targets[name]; t != nil {
		t.removed = true
	}
}

// FreeSlots returns the number of free slots of the named service, 0 if it admits
// no starts.
func (g *Gate) FreeSlots(name string) int {
	t := g.targets[name]
	if t == nil || t.removed || t.leaving || g.leaving {
		return 0
	}
	return max(t.slots-t.inUse, 0)
}

// RunningCount returns the number of running attempts.
func (g *Gate) RunningCount() int {
	running := 0
	for _, t := range g.targets {
		running += t.inUse
	}
	return running
}

// RecordCount returns the number of recorded jobs.
func (g *Gate) RecordCount() int { return len(g.jobs) }

// RetainedBytes returns the total size of retained result bodies.
func (g *Gate) RetainedBytes() int { return g.retainedBytes }

// Lease returns the lease under which tasks start.
func (g *Gate) Lease() yuccalease.Lease { return g.lease }

// View returns the current configuration.
func (g *Gate) View() *yuccadocument.View { return g.view }
