package yuccaedge_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var (
	seedCount = flag.Int("seeds", 12, "number of seeds")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
)

const (
	// applyBound is how long after its acknowledgement a change is in force everywhere.
	applyBound = 2 * time.Second
	// recoveryBound is how long after the last fault each entry shows what was acknowledged.
	recoveryBound = 12 * time.Second
	readInterval  = 40 * time.Millisecond
	// contactBound is the calm after which changes are acknowledged within ackTimeout.
	contactBound = 3 * time.Second
	faultsPerRun = 16
	wipesPerRun  = 3
)

// configurationGroup runs machines whose configuration an operator changes, and judges what
// they show by what was acknowledged.
type configurationGroup struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	fabric   *yuccamemnet.Fabric
	machines []*machine
	faults   sync.WaitGroup

	mu sync.Mutex
	// acknowledged holds the time at which each version was first acknowledged.
	acknowledged map[uint64]time.Time
	// contents holds the text that was first shown of each version.
	contents map[uint64]string
	reads    int
}

func newConfigurationGroup(t *testing.T, seed uint64) *configurationGroup {
	g := &configurationGroup{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		fabric:       yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Seed: seed}),
		acknowledged: make(map[uint64]time.Time), contents: make(map[uint64]string),
	}
	for i := range 5 {
		m := &machine{group: g, index: uint64(i), name: fmt.Sprintf("m%d", i), gate: &gate{}}
		if i < 3 {
			m.disk = g.newDisk()
		}
		g.machines = append(g.machines, m)
	}
	for _, m := range g.machines {
		m.start()
	}
	time.Sleep(4 * time.Second)
	return g
}

// newDisk returns an empty disk, which may be slow.
func (g *configurationGroup) newDisk() *disk {
	return &disk{path: g.t.TempDir(), slowdown: time.Duration(1 + g.random.IntN(6))}
}

func (g *configurationGroup) close() {
	for _, m := range g.machines {
		m.stop(true)
	}
	synctest.Wait()
}

func (g *configurationGroup) controlAddresses() []string {
	return []string{"m0:2", "m1:2", "m2:2"}
}

func (g *configurationGroup) otherReplicas(m *machine) []*yuccawire.ReplicaAddress {
	var replicas []*yuccawire.ReplicaAddress
	for _, other := range g.machines[:3] {
		if other != m {
			replicas = append(replicas, other.address())
		}
	}
	return replicas
}

// others returns the names of all other machines.
func (g *configurationGroup) others(except ...*machine) []string {
	var names []string
	for _, other := range g.machines {
		if !slices.Contains(except, other) {
			names = append(names, other.name)
		}
	}
	return names
}

// run sends changes to entries in turn until the context ends, each until it is acknowledged.
// Some are sent to two entries at once, with different content.
func (g *configurationGroup) run(ctx context.Context, random *rand.Rand) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		isRace := random.IntN(4) == 0
		for ctx.Err() == nil {
			if isRace {
				go g.runChange(ctx, g.machines[random.IntN(len(g.machines))], version, "b")
			}
			if g.change(ctx, g.machines[random.IntN(len(g.machines))], version, "a") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

func (g *configurationGroup) runChange(ctx context.Context, m *machine, version uint64, content string) {
	g.change(ctx, m, version, content)
}

func (g *configurationGroup) change(ctx context.Context, m *machine, version uint64, content string) bool {
	edge := m.running()
	if edge == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	result, err := edge.ReplaceDocument(ctx, version, fmt.Appendf(nil, "%d%s", version, content))
	if err != nil || result.Outcome != yuccastate.Accepted && result.Outcome != yuccastate.Repeated {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.acknowledged[version]; !ok {
		g.acknowledged[version] = time.Now()
	}
	return true
}

func (g *configurationGroup) acknowledgedChanges() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.acknowledged)
}

// newestBefore returns the newest version that was acknowledged before the time.
func (g *configurationGroup) newestBefore(at time.Time) uint64 {
	newest := uint64(0)
	for version, acknowledged := range g.acknowledged {
		if acknowledged.Before(at) {
			newest = max(newest, version)
		}
	}
	return newest
}

// read reads the configuration at a machine and judges it, unless the machine can't answer.
func (g *configurationGroup) read(m *machine) error {
	edge := m.running()
	if edge == nil {
		return yuccaedge.ErrNoConfiguration
	}
	document, err := edge.Document()
	if err != nil {
		return err
	}
	var version uint64
	if _, err := fmt.Sscanf(string(document), "%d", &version); err != nil {
		g.t.Errorf("%s shows %q", m.name, document)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads++
	if newest := g.newestBefore(time.Now().Add(-applyBound)); version < newest {
		g.t.Errorf("version %d had been acknowledged %v before a read was sent; version %d is read by %s, %v after the start",
			newest, time.Since(g.acknowledged[newest]), version, m.name, time.Since(syncStart))
	}
	if shown, ok := g.contents[version]; ok && shown != string(document) {
		g.t.Errorf("%s shows %q for a version that was shown as %q", m.name, document, shown)
	}
	g.contents[version] = string(document)
	m.mu.Lock()
	defer m.mu.Unlock()
	if version < m.shown {
		g.t.Errorf("%s shows version %d after version %d", m.name, version, m.shown)
	}
	m.shown = version
	return nil
}

// syncStart is the time at which the clock of each bubble begins.
var syncStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// runReads reads at all machines until the context ends.
func (g *configurationGroup) runReads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range g.machines {
			_ = g.read(m)
		}
		time.Sleep(readInterval)
	}
}

// fault is a fault of one machine, which has an end.
type fault struct {
	machine  *machine
	kind     int
	duration time.Duration
	// checks is the number of checks of the machine's control until it stands still, and
	// controlDelay how long after its network the control goes on.
	checks       int
	controlDelay time.Duration
	// island is a machine that is linked with this one only, if the kind has one.
	island *machine
}

const (
	suspension = iota
	standstill
	suspensionBehindCut
	standstillBehindCut
	suspensionWithIsland
	standstillWithIsland
	cutOff
	cutOneWay
	restart
	powerLoss
	faultKinds
)

const (
	// cutMargin is how long a machine remains cut off after it has stood still.
	cutMargin = 2500 * time.Millisecond
	// islandMargin is how long an island has to find the only control that it reaches.
	islandMargin = 2500 * time.Millisecond
)

func (f *fault) run() {
	defer f.machine.group.faults.Done()
	m, others := f.machine, f.machine.group.others(f.machine)
	fabric := m.group.fabric
	isSuspended := f.kind == suspension || f.kind == suspensionBehindCut || f.kind == suspensionWithIsland
	switch f.kind {
	case suspension, standstill:
		m.standStill(f.duration, isSuspended, f.checks, f.controlDelay)
	case suspensionBehindCut, standstillBehindCut:
		fabric.Isolate(m.name, others...)
		m.standStill(f.duration, isSuspended, f.checks, f.controlDelay)
		time.Sleep(cutMargin)
		fabric.Rejoin(m.name, others...)
	case suspensionWithIsland, standstillWithIsland:
		away := m.group.others(f.island, m)
		fabric.Isolate(f.island.name, away...)
		time.Sleep(islandMargin)
		m.standStill(f.duration, isSuspended, f.checks, f.controlDelay)
		time.Sleep(cutMargin)
		fabric.Rejoin(f.island.name, away...)
	case cutOff:
		fabric.Isolate(m.name, others...)
		time.Sleep(f.duration)
		fabric.Rejoin(m.name, others...)
	case cutOneWay:
		for _, other := range others {
			fabric.Partition(m.name, other)
		}
		time.Sleep(f.duration)
		for _, other := range others {
			fabric.Heal(m.name, other)
		}
	case restart, powerLoss:
		m.stop(f.kind == restart)
		time.Sleep(f.duration)
		m.start()
	}
}

// drawFaults brings about faults of one or two machines at a time, mostly of those with a control.
func (g *configurationGroup) drawFaults() {
	for range faultsPerRun {
		drawn := g.random.Perm(len(g.machines))
		if g.random.IntN(3) > 0 {
			drawn = g.random.Perm(3)
		}
		for _, i := range drawn[:1+min(g.random.IntN(3), 1)] {
			f := &fault{
				machine: g.machines[i], kind: g.random.IntN(faultKinds), checks: 1 + g.random.IntN(40), island: g.machines[3+g.random.IntN(2)],
				// Two machines that go on at the same instant would call synctest.Wait at once.
				duration:     300*time.Millisecond + time.Duration(g.random.Int64N(int64(5*time.Second))),
				controlDelay: time.Duration(g.random.IntN(40)) * time.Millisecond,
			}
			g.faults.Add(1)
			go f.run()
			time.Sleep(time.Duration(g.random.IntN(1200)) * time.Millisecond)
		}
		g.faults.Wait()
		time.Sleep(time.Duration(g.random.IntN(2000)) * time.Millisecond)
		if g.random.IntN(4) == 0 {
			g.checkService()
		}
	}
}

// checkService checks that after a calm, an operator's change is acknowledged and each entry
// shows the configuration.
func (g *configurationGroup) checkService() {
	time.Sleep(contactBound)
	before := g.acknowledgedChanges()
	time.Sleep(ackTimeout)
	if g.acknowledgedChanges() == before {
		g.t.Errorf("no change was acknowledged within %v after a calm of %v", ackTimeout, contactBound)
	}
	g.checkReads()
}

func (g *configurationGroup) checkReads() {
	for _, m := range g.machines {
		if err := g.read(m); err != nil {
			g.t.Errorf("%s shows nothing after a calm: %v", m.name, err)
		}
	}
}

// wipeAfterAcknowledgement makes a machine lose its disk right after a change was acknowledged,
// while all others lose power.
func (g *configurationGroup) wipeAfterAcknowledgement() {
	time.Sleep(recoveryBound)
	for before := g.acknowledgedChanges(); g.acknowledgedChanges() == before; {
		time.Sleep(100 * time.Microsecond)
	}
	for _, m := range g.machines {
		if m.disk != nil {
			m.disk.losePower()
		}
	}
	for _, m := range g.machines {
		m.stop(false)
	}
	wiped := g.machines[g.random.IntN(3)]
	wiped.disk = g.newDisk()
	for _, m := range g.machines {
		m.start()
	}
	time.Sleep(recoveryBound)
	g.checkReads()
}

// Machines are suspended, stand still, are cut off, restart and lose power while an operator
// changes the configuration; at last disks are lost while all others lose power.
func TestNoEntryShowsAnOlderConfiguration(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playConfiguration(t, seed) })
		})
	}
}

func playConfiguration(t *testing.T, seed uint64) {
	g := newConfigurationGroup(t, seed)
	defer g.close()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	clients.Go(func() { g.run(ctx, rand.New(rand.NewPCG(seed, 2))) })
	clients.Go(func() { g.runReads(ctx) })
	g.drawFaults()
	for range wipesPerRun {
		g.wipeAfterAcknowledgement()
	}
	cancel()
	clients.Wait()
	t.Logf("%d changes acknowledged, %d reads answered", len(g.acknowledged), g.reads)
}
