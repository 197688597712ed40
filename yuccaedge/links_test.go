package yuccaedge_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// slowNetwork is a network whose first accepted link stalls after its Hello until released is closed.
type slowNetwork struct {
	yuccawire.Network
	released chan struct{}
}

type slowListener struct {
	yuccawire.Listener
	released <-chan struct{}
	accepted int
}

type slowLink struct {
	yuccawire.Link
	released <-chan struct{}
}

func (n *slowNetwork) Listen(address string) (yuccawire.Listener, error) {
	l, err := n.Network.Listen(address)
	return &slowListener{Listener: l, released: n.released}, err
}

func (l *slowListener) Accept() (yuccawire.Link, error) {
	link, err := l.Listener.Accept()
	l.accepted++
	if err != nil || l.accepted > 1 {
		return link, err
	}
	return &slowLink{Link: link, released: l.released}, nil
}

func (l *slowLink) Send(m *yuccawire.Envelope) error {
	if m.GetHello() == nil {
		<-l.released
	}
	return l.Link.Send(m)
}

// serveEdge serves the edge of entry e0 until the context ends.
func serveEdge(ctx context.Context, network yuccawire.Network, metrics *yuccametric.Set) (*yuccaedge.Edge, <-chan error) {
	return serveEntry(ctx, network, entryNode("e0", 1), nil, metrics)
}

func entryNode(name string, incarnation uint64) *yuccawire.Node {
	return &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: name + ":1", Incarnation: incarnation}
}

// serveEntry serves the edge of an entry until the context ends.
func serveEntry(ctx context.Context, network yuccawire.Network, self *yuccawire.Node, seeds []string, metrics *yuccametric.Set) (*yuccaedge.Edge, <-chan error) {
	logger := slog.New(slog.DiscardHandler)
	mesh := yuccamesh.New(yuccamesh.Options{Network: network, Self: self, Listen: true, Seeds: func() []string { return seeds }, Metrics: metrics, Logger: logger})
	edge := yuccaedge.New(yuccaedge.Options{
		Mesh: mesh, Metrics: metrics, Logger: logger,
		Lease:  yuccalease.New(yuccalease.Options{Network: network, Self: self, Random: rand.New(rand.NewPCG(1, 1)), Logger: logger}),
		Broker: yuccabroker.New(yuccabroker.Options{Name: self.GetName(), Random: rand.New(rand.NewPCG(2, 1)), Metrics: metrics, Logger: logger}),
	})
	supervisor := suture.NewSimple("entry")
	supervisor.Add(mesh)
	supervisor.Add(edge)
	return edge, supervisor.ServeBackground(ctx)
}

// dialAs opens a link as an incarnation of a side, which tells the entry that it has a free worker and no runs.
func dialAs(t *testing.T, network yuccawire.Network, incarnation uint64) yuccawire.Link {
	return dialSideOf(t, network, "e0:1", incarnation)
}

// dialSideOf is dialAs for the entry at an address.
func dialSideOf(t *testing.T, network yuccawire.Network, address string, incarnation uint64) yuccawire.Link {
	link, err := network.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := yuccawire.SayHello(t.Context(), link, &yuccawire.Node{Name: "s", Role: yuccawire.Role_ROLE_SIDE, Incarnation: incarnation}); err != nil {
		t.Fatal(err)
	}
	_ = link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: &yuccawire.Ends{Full: true, State: workerState(1000)}}})
	return link
}

func workerState(clockMS uint64) *yuccawire.WorkerState {
	return &yuccawire.WorkerState{ClockMs: clockMS, Worker: "w", Service: "belfry", Ready: true, Taken: true, CpuMilli: 16000, FreeCpuMilli: 16000, PacePercent: 100}
}

// waitingCaller submits a job of one task and waits for its outcome.
type waitingCaller struct {
	edge *yuccaedge.Edge
	// receivedAt is when the request has reached the machine, if that was before it is submitted.
	receivedAt time.Time
	outcome    chan yuccabroker.Outcome
}

func (c *waitingCaller) run(ctx context.Context) {
	outcome, _ := c.edge.Submit(ctx, yuccabroker.Job{
		ID: "a", ReceivedAt: c.receivedAt, Deadline: time.Now().Add(3 * time.Second), Queue: yuccabroker.Queue{Name: "q", Service: "belfry", MaxAttempts: 1, Stretch: 2},
		Steps: []yuccabroker.Step{{Count: 1, CPUMilli: 1000, Estimate: 200 * time.Millisecond}},
	})
	c.outcome <- outcome
}

// A link of the earlier process of a side comes up at the entry after that of the later one.
func TestLateLinkOfTheEarlierProcessIsNotTakenForARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		network := &slowNetwork{Network: fabric.Host("e0"), released: make(chan struct{})}
		metrics := yuccametric.New("e0")
		edge, stopped := serveEdge(ctx, network, metrics)
		time.Sleep(100 * time.Millisecond)
		early := dialAs(t, fabric.Host("s"), 1)
		time.Sleep(100 * time.Millisecond)
		later := dialAs(t, fabric.Host("s"), 2)
		time.Sleep(100 * time.Millisecond)
		caller := &waitingCaller{edge: edge, outcome: make(chan yuccabroker.Outcome, 1)}
		go caller.run(ctx)
		var order *yuccawire.TaskOrder
		for order == nil {
			m, err := later.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if jobs := m.GetOrders().GetJobs(); len(jobs) > 0 {
				order = jobs[0].GetTasks()[0]
			}
		}
		close(network.released)
		time.Sleep(50 * time.Millisecond)
		done := &yuccawire.Ended{Run: &yuccawire.RunKey{Task: order.GetTask(), Run: order.GetRun()}, End: yuccawire.RunEnd_RUN_END_DONE}
		if err := later.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: &yuccawire.Ends{Ends: []*yuccawire.Ended{done}}}}); err != nil {
			t.Errorf("the link of the later process is closed: %v", err)
		}
		if outcome := <-caller.outcome; outcome.State != yuccabroker.Completed {
			t.Errorf("the job is answered %v, %q, want completed", outcome.State, outcome.Reason)
		}
		if lost := metrics.Value("runs_lost"); lost != 0 {
			t.Errorf("%d runs count as lost while the later process runs them", lost)
		}
		_ = early.Close()
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}
