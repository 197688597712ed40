package yuccaedge_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
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
	faultsPerRun  = 14
	// wipeMargin is the calm before and after a lost disk.
	wipeMargin = 8 * time.Second
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
			m.disk = &disk{path: t.TempDir()}
		}
		g.machines = append(g.machines, m)
	}
	for _, m := range g.machines {
		m.start()
	}
	time.Sleep(4 * time.Second)
	return g
}

func (g *configurationGroup) close() {
	for _, m := range g.machines {
		m.stop()
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

func (g *configurationGroup) others(m *machine) []string {
	var names []string
	for _, other := range g.machines {
		if other != m {
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
	notices  bool
}

const (
	suspension = iota
	standstill
	cutOff
	cutOneWay
	restart
	faultKinds
)

func (f *fault) run() {
	defer f.machine.group.faults.Done()
	m, others := f.machine, f.machine.group.others(f.machine)
	fabric := m.group.fabric
	switch f.kind {
	case suspension, standstill:
		m.standStill(f.duration, f.kind == suspension, f.notices)
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
	case restart:
		m.stop()
		time.Sleep(f.duration)
		m.start()
	}
}

// drawFaults brings about faults of one or two machines at a time.
func (g *configurationGroup) drawFaults() {
	for range faultsPerRun {
		overlapping := 1 + g.random.IntN(2)
		for _, i := range g.random.Perm(len(g.machines))[:overlapping] {
			f := &fault{
				machine: g.machines[i], kind: g.random.IntN(faultKinds), notices: g.random.IntN(2) == 0,
				duration: time.Duration(300+g.random.IntN(5000)) * time.Millisecond,
			}
			g.faults.Add(1)
			go f.run()
			time.Sleep(time.Duration(g.random.IntN(400)) * time.Millisecond)
		}
		g.faults.Wait()
		time.Sleep(time.Duration(g.random.IntN(3000)) * time.Millisecond)
	}
}

// wipeAfterAcknowledgement restarts a machine with an empty disk, while all others restart.
func (g *configurationGroup) wipeAfterAcknowledgement() {
	time.Sleep(wipeMargin)
	for before := g.acknowledgedChanges(); g.acknowledgedChanges() == before; {
		time.Sleep(time.Millisecond)
	}
	for _, m := range g.machines {
		m.stop()
	}
	g.machines[g.random.IntN(3)].disk.path = g.t.TempDir()
	for _, m := range g.machines {
		m.start()
	}
	time.Sleep(wipeMargin)
}

// Machines are suspended, stand still, are cut off and restart while an operator changes the
// configuration; at last one loses its disk while all others restart.
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
	g.wipeAfterAcknowledgement()
	cancel()
	clients.Wait()
	time.Sleep(recoveryBound)
	for _, m := range g.machines {
		if err := g.read(m); err != nil {
			t.Errorf("%s shows nothing %v after the last fault: %v", m.name, recoveryBound, err)
		}
	}
	t.Logf("%d changes acknowledged, %d reads answered", len(g.acknowledged), g.reads)
}
