package yuccasystemtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccastate"
)

// sectionInput is a read, or an operator's change of the base version.
type sectionInput struct {
	isRead bool
	base   uint64
}

// sectionOutput holds the accepted version, the current version of a refused
// change, or the version read.
type sectionOutput struct {
	accepted bool
	version  uint64
}

// sectionModel is a compare-and-set register that holds a version.
var sectionModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(current, input, output any) (bool, any) {
		state, in, out := current.(uint64), input.(sectionInput), output.(sectionOutput)
		switch {
		case in.isRead:
			return out.version == state, state
		case out.accepted:
			return in.base == state && out.version == state+1, state + 1
		}
		return in.base != state && out.version == state, state
	},
}

// operatorHistory collects the operations of concurrent operators for the
// linearizability check.
type operatorHistory struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
}

func (h *operatorHistory) add(client int, call, end time.Time, in sectionInput, out sectionOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call.Sub(h.startedAt).Nanoseconds(), Return: end.Sub(h.startedAt).Nanoseconds(),
	})
}

func (h *operatorHistory) isLinearizable() bool {
	return porcupine.CheckOperations(sectionModel, h.operations)
}

// runOperator simulates one of several concurrent operators. It reads the version
// and applies a change to it, which is retried with the same request ID until it
// is answered.
func (c *cluster) runOperator(h *operatorHistory, client int, random *rand.Rand, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		call := time.Now()
		version := c.readVersion()
		h.add(client, call, time.Now(), sectionInput{isRead: true}, sectionOutput{version: version})
		if random.IntN(3) == 0 {
			version-- // a stale base version must be refused
		}
		call = time.Now()
		body := fmt.Sprintf(`{"teams": {"parishes": {"weight": %d}}}`, 1+random.IntN(9))
		result := c.apply(sectionCommand(yuccadocument.SectionLimits, version, fmt.Sprintf("op-%d-%d", client, n), body))
		if result == nil {
			c.t.Errorf("operator %d got no answer to a change", client)
			return
		}
		accepted := result.Outcome == yuccastate.Accepted || result.Outcome == yuccastate.Repeated
		h.add(client, call, time.Now(), sectionInput{base: version}, sectionOutput{accepted: accepted, version: result.Version})
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// readVersion reads the version of the limits section from the leader.
func (c *cluster) readVersion() uint64 {
	for range maxAttempts {
		for _, n := range c.controls {
			nodeCtx, control := n.currentControl()
			if control == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(nodeCtx, time.Second)
			section, err := control.Section(ctx, yuccadocument.SectionLimits)
			cancel()
			if err == nil {
				return section.GetVersion()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Error("no control answered a read as the leader")
	return 0
}

// TestOperatorsRace checks that concurrent changes and reads are linearizable
// while faults are injected into the controls.
func TestOperatorsRace(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 3+2*int(seed%2), 1, 1)
	defer c.close()
	h := &operatorHistory{startedAt: time.Now()}
	until := time.Now().Add(30 * time.Second)
	for client := range 4 {
		random := c.newRandom()
		c.callers.Go(func() { c.runOperator(h, client, random, until) })
	}
	for time.Now().Before(until) {
		c.injectControlFault()
		time.Sleep(time.Duration(100+c.random.IntN(1500)) * time.Millisecond)
	}
	c.repairControls()
	c.callers.Wait()
	if !h.isLinearizable() {
		t.Errorf("the history of %d operations is not linearizable", len(h.operations))
	}
	c.checkConverged(t)
	c.checkHistory(t)
}

// injectControlFault injects one random fault into the control group, or repairs
// earlier faults. A majority of disks always survives.
func (c *cluster) injectControlFault() {
	victim := c.controls[c.random.IntN(len(c.controls))]
	other := c.controls[c.random.IntN(len(c.controls))]
	switch c.random.IntN(10) {
	case 9:
		if c.countVoters() == len(c.controls) {
			c.crash(victim)
			c.wipeDisk(victim)
			c.start(victim)
		}
	case 0, 1:
		if victim.isUp() && c.countDown() < len(c.controls)/2 {
			c.crash(victim)
		}
	case 2, 3:
		for _, n := range c.controls {
			if !n.isUp() {
				c.start(n)
				break
			}
		}
	case 4:
		c.fabric.Partition(victim.name, other.name)
	case 5:
		c.fabric.Isolate(victim.name, c.nodeNames()...)
	case 6:
		c.healAll()
	case 7:
		victim.disk.update(func(m *memoryDisk) { m.delay = time.Duration(1+c.random.IntN(400)) * time.Millisecond })
	case 8:
		c.fabric.CloseLinks(victim.name, other.name)
	}
}

func (c *cluster) countDown() int {
	down := 0
	for _, n := range c.controls {
		if !n.isUp() {
			down++
		}
	}
	return down
}

func (c *cluster) healAll() {
	names := c.nodeNames()
	for _, name := range names {
		c.fabric.Rejoin(name, names...)
	}
}

func (c *cluster) repairControls() {
	c.healAll()
	for _, n := range c.controls {
		n.disk.update(func(m *memoryDisk) { m.delay = 3 * time.Millisecond })
		if !n.isUp() {
			c.start(n)
		}
	}
}

// checkConverged checks that every entry applies the last accepted version within
// the 4 s that the users allow.
func (c *cluster) checkConverged(t *testing.T) {
	t.Helper()
	time.Sleep(4 * time.Second)
	version := c.readVersion()
	for _, n := range c.entries {
		view, err := n.entry.View(n.ctx)
		if err != nil || view.Version(yuccadocument.SectionLimits) != version {
			t.Errorf("%s has version %d, want %d: %v", n.name, view.Version(yuccadocument.SectionLimits), version, err)
		}
	}
}

// If the disks acknowledge writes without storing them, an accepted change is
// lost, and the linearizability check detects it.
func TestLostWritesAreDetected(t *testing.T) {
	withCluster(t, 3, 3, 1, 1, func(t *testing.T, c *cluster) {
		for _, n := range c.controls {
			n.disk.update(func(m *memoryDisk) { m.dropsWrites = true })
		}
		h := &operatorHistory{startedAt: time.Now()}
		call := time.Now()
		result := c.apply(sectionCommand(yuccadocument.SectionLimits, 1, "lost", limitsBody))
		h.add(0, call, time.Now(), sectionInput{base: 1}, sectionOutput{accepted: true, version: result.Version})
		for _, n := range c.controls {
			c.crash(n)
		}
		for _, n := range c.controls {
			c.start(n)
		}
		time.Sleep(time.Millisecond)
		call = time.Now()
		version := c.readVersion()
		h.add(0, call, time.Now(), sectionInput{isRead: true}, sectionOutput{version: version})
		if h.isLinearizable() {
			t.Errorf("the lost change was not detected: accepted %+v, then read version %d", result, version)
		}
	})
}

// An isolated leader neither answers reads nor accepts changes once a new leader
// may exist.
func TestIsolatedLeaderRejectsReadsAndChanges(t *testing.T) {
	withCluster(t, 4, 3, 1, 1, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.fabric.Isolate(old.name, c.nodeNames()...)
		time.Sleep(700 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if _, err := old.control.Section(ctx, yuccadocument.SectionLimits); !errors.Is(err, yuccacontrol.ErrNotLeader) {
			t.Errorf("the isolated leader returned %v for a read, want ErrNotLeader", err)
		}
		if _, err := old.control.Apply(ctx, sectionCommand(yuccadocument.SectionLimits, 1, "x", limitsBody)); err == nil {
			t.Error("the isolated leader accepted a change")
		}
		time.Sleep(3 * time.Second)
		if n := c.leader(); n == nil || n == old {
			t.Error("the other controls elected no leader")
		}
	})
}

// A control that lost its disk rejoins as a new replica and becomes a voter once
// it has caught up. After that, another control can lose its disk.
func TestWipedControlRejoins(t *testing.T) {
	withCluster(t, 5, 3, 1, 1, func(t *testing.T, c *cluster) {
		for round, n := range c.controls {
			result := c.apply(sectionCommand(yuccadocument.SectionLimits, uint64(round+1), fmt.Sprintf("r%d", round), limitsBody))
			if result == nil || result.Outcome != yuccastate.Accepted {
				t.Fatalf("round %d: the change returned %+v, want Accepted", round, result)
			}
			c.crash(n)
			c.wipeDisk(n)
			c.start(n)
			c.awaitVoters(3)
		}
		if version := c.readVersion(); version != 4 {
			t.Errorf("version is %d after all disks were replaced in turn, want 4", version)
		}
	})
}

// awaitVoters waits until countVoters returns n.
func (c *cluster) awaitVoters(n int) {
	for range 300 {
		if c.countVoters() == n {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("the group did not reach %d voters in time", n)
}

// countVoters returns the number of voters that are connected to the leader and
// still have their disks.
func (c *cluster) countVoters() int {
	leader := c.leader()
	if leader == nil {
		return 0
	}
	nodeCtx, control := leader.currentControl()
	if control == nil {
		return 0
	}
	status, err := control.Status(nodeCtx)
	if err != nil {
		return 0
	}
	voters := 0
	for _, r := range status.Replicas {
		if r.Voter && r.Connected && c.hasDisk(r.ID) {
			voters++
		}
	}
	return voters
}

func (c *cluster) hasDisk(id uint64) bool {
	for _, n := range c.controls {
		if n.disk.ID() == id {
			return true
		}
	}
	return false
}

// A control whose disk fails stops, and the others elect a new leader.
func TestDiskErrorStopsControl(t *testing.T) {
	withCluster(t, 6, 3, 1, 1, func(t *testing.T, c *cluster) {
		victim := c.leader()
		victim.disk.update(func(m *memoryDisk) { m.failsWrites = true })
		result := c.apply(sectionCommand(yuccadocument.SectionLimits, 1, "x", limitsBody))
		if result == nil || result.Version != 2 {
			t.Errorf("the change returned %+v, want version 2", result)
		}
		if n := c.leader(); n == nil || n == victim {
			t.Error("the control with the broken disk is still the leader, or there is none")
		}
	})
}
