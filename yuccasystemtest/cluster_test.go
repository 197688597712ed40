package yuccasystemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaentry"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// incarnationShift reserves the low bits for the incarnations that an entry
	// takes between two starts.
	incarnationShift = 20

	testService      = "regulation"
	testTeam         = "parishes"
	testSlots        = 4
	announceInterval = time.Second
	// testMaxLogEntries is small, so that snapshots are taken and installed.
	testMaxLogEntries = 40
	// maxAttempts is large enough for an operator's call to outlast all faults.
	maxAttempts = 2000
)

var testDataCentres = []string{"cusco", "puno"}

// node is one process of a cluster, with the role control, entry or side. It can
// be stopped and started again.
type node struct {
	name       string
	dataCentre string
	mu         sync.Mutex
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	control    *yuccacontrol.Control
	disk       *memoryDisk
	entry      *yuccaentry.Entry
	metrics    *yuccametric.Set
	side       *yuccaside.Side
	isStopping atomic.Bool
	// failsTasks makes every task at the node fail with status 500.
	failsTasks atomic.Bool
	// startCount counts the starts and gives the incarnations.
	startCount uint64
}

func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ctx != nil && n.ctx.Err() == nil
}

// currentControl returns the context and the control of the node, or nil while
// the node is down.
func (n *node) currentControl() (context.Context, *yuccacontrol.Control) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil || n.ctx.Err() != nil {
		return nil, nil
	}
	return n.ctx, n.control
}

// cluster is a complete system over an in-memory network.
type cluster struct {
	t            *testing.T
	fabric       *yuccamemnet.Fabric
	random       *rand.Rand
	recorder     *yuccahistory.Recorder
	controls     []*node
	entries      []*node
	sides        []*node
	callers      sync.WaitGroup
	requestCount atomic.Int64
}

// withCluster runs the body in a synctest bubble with a cluster that is ready to
// serve callers.
func withCluster(t *testing.T, seed uint64, controls, entries, sidesPerDataCentre int, body func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, controls, entries, sidesPerDataCentre)
		defer c.close()
		body(t, c)
	})
}

// newCluster starts a cluster and waits until it is ready to serve callers.
func newCluster(t *testing.T, seed uint64, controls, entries, sidesPerDataCentre int) *cluster {
	c := &cluster{
		t:        t,
		fabric:   yuccamemnet.New(yuccamemnet.Options{Delay: 500 * time.Microsecond, Jitter: 2 * time.Millisecond, Seed: seed}),
		random:   rand.New(rand.NewPCG(seed, 1)),
		recorder: yuccahistory.New(),
	}
	for i := range controls {
		n := &node{name: fmt.Sprintf("control-%d", i+1), dataCentre: testDataCentres[i%len(testDataCentres)]}
		n.disk = &memoryDisk{id: c.random.Uint64() | 1, delay: 3 * time.Millisecond}
		c.controls = append(c.controls, n)
	}
	for i := range entries {
		c.entries = append(c.entries, &node{name: fmt.Sprintf("entry-%d", i+1), dataCentre: testDataCentres[i%len(testDataCentres)]})
	}
	for _, dataCentre := range testDataCentres {
		for i := range sidesPerDataCentre {
			c.sides = append(c.sides, &node{name: fmt.Sprintf("side-%s-%d", dataCentre, i+1), dataCentre: dataCentre})
		}
	}
	for _, n := range c.allNodes() {
		c.start(n)
	}
	c.configure()
	c.awaitReady(c.entries...)
	return c
}

func (c *cluster) allNodes() []*node { return slices.Concat(c.controls, c.entries, c.sides) }

func (c *cluster) nodeNames() []string {
	var names []string
	for _, n := range c.allNodes() {
		names = append(names, n.name)
	}
	return names
}

func (n *node) address() string { return n.name + ":1" }

func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, n := range c.controls {
		addresses = append(addresses, n.address())
	}
	return addresses
}

func (c *cluster) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

// start starts a new process of the node. Only the disk survives a restart.
func (c *cluster) start(n *node) {
	n.mu.Lock()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.control = nil
	n.mu.Unlock()
	n.isStopping.Store(false)
	n.startCount++
	switch {
	case n.disk != nil:
		c.startControl(n)
	case n.name[0] == 'e':
		c.startEntry(n)
	default:
		c.startSide(n)
	}
}

// serve runs a service in a goroutine until the node stops.
func (n *node) serve(service func(ctx context.Context) error) {
	ctx := n.ctx
	n.goroutines.Go(func() { _ = service(ctx) })
}

func (c *cluster) startControl(n *node) {
	var configured []*yuccawire.ReplicaAddress
	for _, other := range c.controls {
		configured = append(configured, &yuccawire.ReplicaAddress{Name: other.name, Address: other.address()})
	}
	control, err := yuccacontrol.New(yuccacontrol.Options{
		Network: c.fabric.Host(n.name), Storage: n.disk, DataCentre: n.dataCentre,
		Self:               &yuccawire.ReplicaAddress{Name: n.name, Address: n.address()},
		ConfiguredReplicas: configured, Random: c.newRandom(), Metrics: yuccametric.New(n.name), MaxLogEntries: testMaxLogEntries,
	})
	if err != nil {
		c.t.Errorf("control %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	n.control = control
	n.mu.Unlock()
	n.serve(control.Serve)
}

func (c *cluster) wireNode(n *node, role yuccawire.Role) *yuccawire.Node {
	return &yuccawire.Node{Name: n.name, Role: role, DataCentre: n.dataCentre, Address: n.address(), Incarnation: n.startCount << incarnationShift}
}

func (c *cluster) startEntry(n *node) {
	n.metrics = yuccametric.New(n.name)
	n.entry = yuccaentry.New(yuccaentry.Options{
		Network: c.fabric.Host(n.name), Self: c.wireNode(n, yuccawire.Role_ROLE_ENTRY),
		Controls: c.controlAddresses(), Random: c.newRandom(), Metrics: n.metrics,
	})
	n.serve(n.entry.Serve)
	n.serve(n.entry.Lease().Serve)
	c.recordView(n, n.entry.View, yuccadocument.AllSections)
}

func (c *cluster) startSide(n *node) {
	n.side = yuccaside.New(yuccaside.Options{
		Network: c.fabric.Host(n.name), Self: c.wireNode(n, yuccawire.Role_ROLE_SIDE),
		Controls: c.controlAddresses(), Random: c.newRandom(), Metrics: yuccametric.New(n.name),
		Runner: &recordingRunner{cluster: c, node: n, ctx: n.ctx},
	})
	n.serve(n.side.Serve)
	n.serve(n.side.Lease().Serve)
	side, ctx := n.side, n.ctx
	n.serve(func(context.Context) error {
		for ctx.Err() == nil && !n.isStopping.Load() {
			_ = side.Announce(ctx, yuccaside.Announcement{Service: testService, Address: "http://127.0.0.1:1", Slots: testSlots, Connections: 64})
			sleep(ctx, announceInterval)
		}
		return nil
	})
	c.recordView(n, n.side.View, []string{yuccadocument.SectionDrainedDataCentres})
}

// recordView records each version of the sections that the node applies.
func (c *cluster) recordView(n *node, view func(context.Context) (*yuccadocument.View, error), sections []string) {
	startCount := n.startCount
	n.serve(func(ctx context.Context) error {
		last := make(map[string]uint64)
		for ctx.Err() == nil {
			v, err := view(ctx)
			if err != nil {
				return err
			}
			for _, section := range sections {
				if version := v.Version(section); version != last[section] {
					last[section] = version
					c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.Applied, Node: n.name, Incarnation: startCount, Section: section, Version: version})
				}
			}
			sleep(ctx, 50*time.Millisecond)
		}
		return nil
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// crash stops the node abruptly, without a drain.
func (c *cluster) crash(n *node) {
	if n.cancel == nil {
		return
	}
	n.cancel()
	c.fabric.Crash(n.name)
	n.goroutines.Wait()
}

// wipeDisk replaces the disk of a crashed control by an empty one.
func (c *cluster) wipeDisk(n *node) {
	n.disk = &memoryDisk{id: c.random.Uint64() | 1, delay: 3 * time.Millisecond}
}

// stop drains the node and then stops it.
func (c *cluster) stop(n *node) {
	n.isStopping.Store(true)
	c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.StopStarted, Node: n.name})
	ctx, cancel := context.WithTimeout(n.ctx, 30*time.Second)
	defer cancel()
	switch {
	case n.entry != nil:
		n.entry.Drain(ctx)
	case n.side != nil:
		n.side.Drain(ctx)
	}
	c.crash(n)
	c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.StopEnded, Node: n.name})
}

// close waits for all callers and stops all nodes.
func (c *cluster) close() {
	c.callers.Wait()
	for _, n := range c.allNodes() {
		c.crash(n)
	}
}

// recordingRunner simulates the target of a side and records its tasks. The body
// of a task is its run time.
type recordingRunner struct {
	cluster *cluster
	node    *node
	ctx     context.Context
}

func (r *recordingRunner) Run(ctx context.Context, _ string, s *yuccawire.Start, _ func() bool) *yuccawire.Finished {
	key := s.GetKey()
	event := yuccahistory.Event{
		Kind: yuccahistory.Started, Node: r.node.name, DataCentre: r.node.dataCentre,
		Job: key.GetJob().GetTeam() + "/" + key.GetJob().GetId(), Task: key.GetTask(), Attempt: key.GetAttempt(),
	}
	r.cluster.recorder.Add(event)
	duration, err := time.ParseDuration(string(s.GetRequest().GetBody()))
	if err != nil {
		duration = 50 * time.Millisecond
	}
	sleep(ctx, duration)
	if ctx.Err() != nil {
		if r.ctx.Err() != nil {
			event.Kind = yuccahistory.Interrupted
			r.cluster.recorder.Add(event)
		}
		return &yuccawire.Finished{State: yuccawire.TaskState_TASK_UNKNOWN, Failure: "stopped"}
	}
	event.Kind = yuccahistory.Finished
	event.Result = fmt.Sprintf("%s/%s at %s", event.Job, event.Task, event.Node)
	r.cluster.recorder.Add(event)
	if r.node.failsTasks.Load() {
		return &yuccawire.Finished{State: yuccawire.TaskState_TASK_FINISHED, Status: 500}
	}
	return &yuccawire.Finished{State: yuccawire.TaskState_TASK_FINISHED, Status: 200, Body: []byte(event.Result)}
}

// leader returns the control that is the leader, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.controls {
		nodeCtx, control := n.currentControl()
		if control == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(nodeCtx, time.Second)
		status, err := control.Status(ctx)
		cancel()
		if err == nil && status.IsLeader {
			return n
		}
	}
	return nil
}

// apply sends an operator's change to all controls in turn until one returns a
// result. It returns nil after maxAttempts rounds.
func (c *cluster) apply(command *yuccawire.Command) *yuccastate.ChangeResult {
	for range maxAttempts {
		for _, n := range c.controls {
			nodeCtx, control := n.currentControl()
			if control == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(nodeCtx, time.Second)
			result, err := control.Apply(ctx, command)
			cancel()
			if err == nil {
				return result
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func sectionCommand(section string, base uint64, request, body string) *yuccawire.Command {
	apply := &yuccawire.ApplySection{Section: section, BaseVersion: base, RequestId: request, Body: []byte(body), Operator: "test"}
	return &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: apply}}
}

const (
	dataCentresBody = `{"cusco": {"region": "sierra"}, "puno": {"region": "sierra"}}`
	servicesBody    = `{"regulation": {"objective": "work_done", "max_run": "10s", "recovery_wait": "5s"}}`
	limitsBody      = `{"teams": {"parishes": {"weight": 2}, "councils": {}}}`
)

func (c *cluster) configure() {
	for _, s := range []struct{ name, body string }{
		{yuccadocument.SectionDataCentres, dataCentresBody},
		{yuccadocument.SectionServices, servicesBody},
		{yuccadocument.SectionLimits, limitsBody},
	} {
		result := c.apply(sectionCommand(s.name, 0, "first-"+s.name, s.body))
		if result == nil || result.Outcome > yuccastate.Repeated {
			c.t.Fatalf("section %s was not accepted: %+v", s.name, result)
		}
	}
}

// setDrained drains or restores a data centre and records the change.
func (c *cluster) setDrained(name string, drained bool) {
	if !drained {
		c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.DataCentreRestored, DataCentre: name})
	}
	set := &yuccawire.SetDataCentre{DataCentre: name, Out: drained, RequestId: fmt.Sprintf("dc-%d", c.requestCount.Add(1)), Operator: "test"}
	result := c.apply(&yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: set}})
	if result != nil && drained {
		c.recorder.Add(yuccahistory.Event{Kind: yuccahistory.DataCentreDrained, DataCentre: name})
	}
}

// awaitReady waits until the entries have leases and see all slots of all sides as
// free.
func (c *cluster) awaitReady(entries ...*node) {
	for range 600 {
		areReady := true
		for _, n := range entries {
			areReady = areReady && n.entry.Ready() && n.entry.FreeSlots(n.ctx, testService) == len(c.sides)*testSlots
		}
		if areReady {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("the cluster did not become ready within 30 s")
}
