package yuccasystemtest

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

var (
	seedCount = flag.Int("seeds", 8, "number of seeds of the tests with faults")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the tests with faults")
)

const (
	faultDuration    = 40 * time.Second
	recoveryDuration = 20 * time.Second
)

// foundSeeds are seeds that have revealed a task that started twice.
var foundSeeds = []uint64{
	1255, // the reply to a take-over was lost, and the repeated claim was granted
	1343, // the reply to the claim of an earlier submission opened the job of a later one
}

// TestFaults runs jobs while random faults are injected, and checks the history.
func TestFaults(t *testing.T) {
	seeds := slices.Clone(foundSeeds)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 3, 3, 2)
	defer c.close()
	until := time.Now().Add(faultDuration)
	var injector faultInjector
	injector.cluster = c
	for time.Now().Before(until) {
		injector.submitJobs()
		injector.inject()
		time.Sleep(time.Duration(50+c.random.IntN(900)) * time.Millisecond)
	}
	injector.repair()
	time.Sleep(recoveryDuration)
	c.callers.Wait()
	c.checkServesCallers()
	c.checkHistory(t)
	if c.countEvents(yuccahistory.Answered, yuccahistory.OutcomeComplete) == 0 {
		t.Error("no job completed")
	}
}

// checkServesCallers checks that each entry completes a job after the repair.
func (c *cluster) checkServesCallers() {
	for i, n := range c.entries {
		spec := jobSpec{id: fmt.Sprintf("after-%d", i), tasks: 4, runTime: 50 * time.Millisecond, deadline: 10 * time.Second}
		if answer := c.submit(n, spec); !answer.Outcome.GetComplete() {
			c.t.Errorf("after the repair %s answered %+v, want a complete outcome", n.name, answer)
		}
	}
}

// faultInjector submits jobs and injects random faults. downNodes are in the
// order in which they stopped.
type faultInjector struct {
	cluster   *cluster
	jobs      []jobSpec
	downNodes []*node
	drained   map[string]bool
}

func (f *faultInjector) submitJobs() {
	c := f.cluster
	for range 1 + c.random.IntN(4) {
		n := c.entries[c.random.IntN(len(c.entries))]
		if !n.isUp() {
			continue
		}
		c.submitAsync(n, f.nextJob())
	}
}

// nextJob returns a new job, or one in three times a recent one to resubmit.
func (f *faultInjector) nextJob() jobSpec {
	r := f.cluster.random
	if len(f.jobs) > 0 && r.IntN(3) == 0 {
		return f.jobs[len(f.jobs)-1-r.IntN(min(len(f.jobs), 10))]
	}
	spec := jobSpec{
		id:         fmt.Sprintf("j%d", len(f.jobs)),
		tasks:      1 + r.IntN(6),
		runTime:    time.Duration(20+r.IntN(1500)) * time.Millisecond,
		deadline:   time.Duration(1000+r.IntN(9000)) * time.Millisecond,
		repeatable: r.IntN(5) == 0,
	}
	f.jobs = append(f.jobs, spec)
	return spec
}

// inject injects one random fault, or repairs earlier faults.
func (f *faultInjector) inject() {
	c := f.cluster
	all := c.allNodes()
	victim := all[c.random.IntN(len(all))]
	other := all[c.random.IntN(len(all))]
	switch c.random.IntN(12) {
	case 0, 1:
		f.crash(victim)
	case 2, 3:
		f.restartOldest()
	case 4:
		c.fabric.Partition(victim.name, other.name)
	case 5:
		c.fabric.Isolate(victim.name, c.nodeNames()...)
	case 6, 7:
		f.healLinks()
	case 8:
		c.fabric.CloseLinks(victim.name, other.name)
	case 9:
		f.toggleDataCentre()
	case 10:
		f.stop(victim)
	case 11:
		f.cancelLastJob()
	}
}

func (f *faultInjector) crash(n *node) {
	if !n.isUp() || len(f.downNodes) > 3 {
		return
	}
	f.cluster.crash(n)
	f.downNodes = append(f.downNodes, n)
}

func (f *faultInjector) stop(n *node) {
	if !n.isUp() || n.disk != nil || len(f.downNodes) > 3 {
		return
	}
	f.cluster.stop(n)
	f.downNodes = append(f.downNodes, n)
}

func (f *faultInjector) restartOldest() {
	if len(f.downNodes) == 0 {
		return
	}
	f.cluster.start(f.downNodes[0])
	f.downNodes = f.downNodes[1:]
}

func (f *faultInjector) healLinks() {
	names := f.cluster.nodeNames()
	for _, name := range names {
		f.cluster.fabric.Rejoin(name, names...)
	}
}

func (f *faultInjector) toggleDataCentre() {
	if f.drained == nil {
		f.drained = make(map[string]bool)
	}
	name := testDataCentres[f.cluster.random.IntN(len(testDataCentres))]
	if f.cluster.leader() == nil {
		return
	}
	f.drained[name] = !f.drained[name]
	f.cluster.setDrained(name, f.drained[name])
}

func (f *faultInjector) cancelLastJob() {
	if len(f.jobs) == 0 {
		return
	}
	c := f.cluster
	n := c.entries[c.random.IntN(len(c.entries))]
	if !n.isUp() {
		return
	}
	spec := f.jobs[len(f.jobs)-1]
	ctx := n.ctx
	entry := n.entry
	c.callers.Go(func() { _, _ = entry.Watch(ctx, spec.key(), true) })
}

// repair heals all links, restarts all nodes and restores all data centres.
func (f *faultInjector) repair() {
	f.healLinks()
	for len(f.downNodes) > 0 {
		f.restartOldest()
	}
	for _, name := range testDataCentres {
		f.cluster.setDrained(name, false)
	}
}
