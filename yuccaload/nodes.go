package yuccaload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// NodesOptions configures simulated sides or entries, which hold a lease from the
// control group and do nothing else.
type NodesOptions struct {
	// Controls lists the addresses of the control group.
	Controls []string
	// Count is the number of nodes.
	Count int
	// Entries makes the nodes entries, which receive the list of all members, instead
	// of sides.
	Entries bool
	// DataCentre is the data centre that the nodes report.
	DataCentre string
	// Settle is the time before the measurement starts, Duration its length.
	Settle   time.Duration
	Duration time.Duration
}

// NodesReport is the traffic of the simulated nodes.
type NodesReport struct {
	Count int `json:"count"`
	// Updates is the number of lease grants and pushed updates per node and second.
	Updates float64 `json:"updates_per_node_second"`
	// Sent and Received are in bytes per node and second.
	Sent     float64 `json:"sent_per_node_second"`
	Received float64 `json:"received_per_node_second"`
	// Leased is the number of nodes that hold a valid lease at the end.
	Leased int `json:"leased"`
}

// simulatedNode is a node that only holds a lease. LeaseExpires is in nanoseconds
// of Unix time.
type simulatedNode struct {
	client       *yuccalease.Client
	network      *yuccamux.Network
	updates      atomic.Int64
	leaseExpires atomic.Int64
}

// Nodes runs simulated nodes against a control group and measures the traffic of
// their leases.
func Nodes(ctx context.Context, o NodesOptions) NodesReport {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	nodes := make([]*simulatedNode, o.Count)
	for i := range nodes {
		nodes[i] = newSimulatedNode(i, o)
		group.Add(2)
		runner := &nodeRunner{node: nodes[i], group: &group}
		go runner.run(ctx)
		go runner.loop(ctx)
	}
	sleepUntil(ctx, time.Now().Add(o.Settle))
	before := sumCounts(nodes)
	sleepUntil(ctx, time.Now().Add(o.Duration))
	after := sumCounts(nodes)
	report := after.reportSince(before, o)
	report.Leased = countLeased(nodes)
	cancel()
	group.Wait()
	return report
}

func newSimulatedNode(i int, o NodesOptions) *simulatedNode {
	network := yuccamux.New(yuccamux.Options{})
	node := &yuccawire.Node{
		Name: fmt.Sprintf("stand-in-%d", i), Role: yuccawire.Role_ROLE_SIDE, DataCentre: o.DataCentre,
		Address: "127.0.0.1:1", Incarnation: uint64(time.Now().UnixNano()),
	}
	sections := []string{yuccadocument.SectionDrainedDataCentres}
	if o.Entries {
		node.Role = yuccawire.Role_ROLE_ENTRY
		sections = yuccadocument.AllSections
	}
	client := yuccalease.New(yuccalease.Options{
		Network: network, Self: node, Controls: o.Controls, Sections: sections,
		Random: rand.New(rand.NewPCG(uint64(i), 0)),
	})
	if !o.Entries {
		client.Announce([]*yuccawire.Target{{Service: "stand-in", Slots: 8, Connections: 64}}, false)
	}
	return &simulatedNode{client: client, network: network}
}

// nodeRunner runs the lease client of a simulated node and counts its updates.
type nodeRunner struct {
	node  *simulatedNode
	group *sync.WaitGroup
}

// run runs the lease client until the context ends, then closes the network.
func (r *nodeRunner) run(ctx context.Context) {
	defer r.group.Done()
	_ = r.node.client.Serve(ctx)
	r.node.network.Close()
}

// loop counts the updates until the context ends.
func (r *nodeRunner) loop(ctx context.Context) {
	defer r.group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-r.node.client.Updates():
			r.node.updates.Add(1)
			r.node.leaseExpires.Store(update.Lease.Expires().UnixNano())
		}
	}
}

// counts holds the totals over all simulated nodes since their start, in updates
// and bytes.
type counts struct{ updates, sent, received int64 }

func sumCounts(nodes []*simulatedNode) counts {
	var c counts
	for _, n := range nodes {
		c.updates += n.updates.Load()
		c.sent += n.network.Traffic().Sent()
		c.received += n.network.Traffic().Received()
	}
	return c
}

// reportSince returns the rates of the interval between two totals.
func (c counts) reportSince(before counts, o NodesOptions) NodesReport {
	nodeSeconds := float64(o.Count) * o.Duration.Seconds()
	return NodesReport{
		Count:    o.Count,
		Updates:  float64(c.updates-before.updates) / nodeSeconds,
		Sent:     float64(c.sent-before.sent) / nodeSeconds,
		Received: float64(c.received-before.received) / nodeSeconds,
	}
}

func countLeased(nodes []*simulatedNode) int {
	n := 0
	for _, node := range nodes {
		if node.leaseExpires.Load() > time.Now().UnixNano() {
			n++
		}
	}
	return n
}
