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

// NodesOptions describes light stand-ins of sides or entries, which keep a lease
// and do nothing else.
type NodesOptions struct {
	// Controls are the addresses at which the control group listens.
	Controls []string
	// Count is the number of stand-ins.
	Count int
	// Entries makes them entries, which are told of all members.
	Entries bool
	// DataCentre is where they say that they run.
	DataCentre string
	// Settle is the time before the measurement, Duration its length.
	Settle   time.Duration
	Duration time.Duration
}

// NodesReport is what the stand-ins measured.
type NodesReport struct {
	Count int `json:"count"`
	// Updates is the number of grants and pushes for each node and second.
	Updates float64 `json:"updates_per_node_second"`
	// Sent and Received are bytes for each node and second.
	Sent     float64 `json:"sent_per_node_second"`
	Received float64 `json:"received_per_node_second"`
	// Leased is the number of nodes that hold a lease at the end.
	Leased int `json:"leased"`
}

// standIn is one light node.
type standIn struct {
	client  *yuccalease.Client
	network *yuccamux.Network
	updates atomic.Int64
	expires atomic.Int64
}

// Nodes runs light nodes against a control group and counts what their leases
// cost.
func Nodes(ctx context.Context, o NodesOptions) NodesReport {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	nodes := make([]*standIn, o.Count)
	for i := range nodes {
		nodes[i] = newStandIn(i, o)
		group.Add(2)
		keeper := &keeper{node: nodes[i], group: &group}
		go keeper.run(ctx)
		go keeper.loop(ctx)
	}
	sleepUntil(ctx, time.Now().Add(o.Settle))
	before := total(nodes)
	sleepUntil(ctx, time.Now().Add(o.Duration))
	after := total(nodes)
	report := after.since(before, o)
	report.Leased = leased(nodes)
	cancel()
	group.Wait()
	return report
}

func newStandIn(i int, o NodesOptions) *standIn {
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
	return &standIn{client: client, network: network}
}

// keeper serves a stand-in and takes in its updates.
type keeper struct {
	node  *standIn
	group *sync.WaitGroup
}

func (k *keeper) run(ctx context.Context) {
	defer k.group.Done()
	_ = k.node.client.Serve(ctx)
	k.node.network.Close()
}

func (k *keeper) loop(ctx context.Context) {
	defer k.group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-k.node.client.Updates():
			k.node.updates.Add(1)
			k.node.expires.Store(update.Lease.Expires().UnixNano())
		}
	}
}

// sums adds up what all stand-ins counted.
type sums struct{ updates, sent, received int64 }

func total(nodes []*standIn) sums {
	var s sums
	for _, n := range nodes {
		s.updates += n.updates.Load()
		s.sent += n.network.Traffic().Sent()
		s.received += n.network.Traffic().Received()
	}
	return s
}

func (s sums) since(before sums, o NodesOptions) NodesReport {
	each := float64(o.Count) * o.Duration.Seconds()
	return NodesReport{
		Count:    o.Count,
		Updates:  float64(s.updates-before.updates) / each,
		Sent:     float64(s.sent-before.sent) / each,
		Received: float64(s.received-before.received) / each,
	}
}

func leased(nodes []*standIn) int {
	n := 0
	for _, node := range nodes {
		if node.expires.Load() > time.Now().UnixNano() {
			n++
		}
	}
	return n
}
