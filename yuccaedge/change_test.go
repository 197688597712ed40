package yuccaedge_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// group runs entries on an in-memory network. The first has the only control.
type group struct {
	t      *testing.T
	fabric *yuccamemnet.Fabric
	edges  []*yuccaedge.Edge
	// metrics are those of the entry with the control.
	metrics *yuccametric.Set
}

func newGroup(t *testing.T, entries int) *group {
	g := &group{t: t, fabric: yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})}
	supervisor := suture.NewSimple("group")
	for i := range entries {
		g.add(supervisor, i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := supervisor.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	time.Sleep(4 * time.Second)
	return g
}

func (g *group) add(supervisor *suture.Supervisor, i int) {
	name := fmt.Sprintf("e%d", i)
	network, metrics, logger := g.fabric.Host(name), yuccametric.New(name), slog.New(slog.DiscardHandler)
	self := &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: name + ":1", Incarnation: 1}
	control := &yuccawire.ReplicaAddress{Name: "e0", Address: "e0:2"}
	var edge *yuccaedge.Edge
	mesh := yuccamesh.New(yuccamesh.Options{
		Network: network, Self: self, Listen: true, Seeds: func() []string { return []string{"e0:1"} }, Metrics: metrics, Logger: logger,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: network, Self: self, Random: rand.New(rand.NewPCG(1, uint64(i))), Logger: logger,
		Sections: yuccadocument.WholeDocumentSections, Discover: func() []string { return []string{control.GetAddress()} },
	})
	options := yuccaedge.Options{
		Mesh: mesh, Lease: lease, MaxConfigurationAge: time.Second, Metrics: metrics, Logger: logger,
		Decode: func([]byte) (*yuccacatalog.Catalog, error) { return &yuccacatalog.Catalog{}, nil },
		Broker: yuccabroker.New(yuccabroker.Options{Name: name, Random: rand.New(rand.NewPCG(2, uint64(i))), Metrics: metrics, Logger: logger}),
	}
	if i == 0 {
		g.metrics = metrics
		folder, err := yuccadisk.Open(g.t.TempDir())
		if err != nil {
			g.t.Fatal(err)
		}
		control.Id = folder.ID()
		options.Replica = yuccaedge.NewReplica(folder, nil, yuccacontrol.Options{
			Network: network, Self: control, Voters: 1, SectionPushes: 4, Discover: func() []*yuccawire.ReplicaAddress { return nil },
			CanFormGroup: func() (bool, bool) { return true, true }, Random: rand.New(rand.NewPCG(3, 1)), Metrics: metrics, Logger: logger,
		})
		supervisor.Add(options.Replica)
	}
	edge = yuccaedge.New(options)
	g.edges = append(g.edges, edge)
	supervisor.Add(mesh)
	supervisor.Add(lease)
	supervisor.Add(edge)
}

func (g *group) replace(entry int, version uint64) (*yuccastate.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 900*time.Millisecond)
	defer cancel()
	return g.edges[entry].ReplaceDocument(ctx, version, fmt.Appendf(nil, "v%d", version))
}

func (g *group) setDrained(entry int, drained bool) (*yuccastate.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 900*time.Millisecond)
	defer cancel()
	return g.edges[entry].SetDrained(ctx, "puno", drained)
}

// An operator gets the acknowledgement from the entry that it calls, whichever
// entry runs the leader: of a change whose acknowledgements are often lost, each
// further answer that has to arrive is another one that can be lost.
func TestChangeAtAnyEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for _, step := range []struct {
			entry   int
			version uint64
			outcome yuccastate.Outcome
			current uint64
		}{
			{1, 7, yuccastate.Accepted, 7},
			{2, 9, yuccastate.Accepted, 9},
			{0, 9, yuccastate.Repeated, 9},
			{1, 8, yuccastate.Repeated, 9},
		} {
			result, err := g.replace(step.entry, step.version)
			if err != nil || result.Outcome != step.outcome || result.Version != step.current {
				t.Errorf("version %d at entry %d: got %+v, %v, want outcome %v at version %d", step.version, step.entry, result, err, step.outcome, step.current)
			}
		}
		for i, drained := range []bool{true, true, false} {
			if result, err := g.setDrained(1+i%2, drained); err != nil || result.Outcome == yuccastate.Invalid {
				t.Errorf("drained %v: got %+v, %v", drained, result, err)
			}
		}
	})
}

// Without a leader, an entry acknowledges the versions that control has confirmed
// to be committed, and says of a higher one that it is not in force.
func TestChangeWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2)
		if _, err := g.replace(0, 7); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		g.fabric.Partition("e0", "e1")
		if _, err := g.replace(1, 9); !errors.Is(err, yuccacontrol.ErrUnknownOutcome) {
			t.Errorf("a new version just after the cut: got error %v, want %v", err, yuccacontrol.ErrUnknownOutcome)
		}
		time.Sleep(4 * time.Second)
		if result, err := g.replace(1, 7); err != nil || result.Outcome != yuccastate.Repeated {
			t.Errorf("the committed version: got %+v, %v, want it acknowledged", result, err)
		}
		if _, err := g.replace(1, 9); !errors.Is(err, yuccaedge.ErrNoLeader) {
			t.Errorf("a new version: got error %v, want %v", err, yuccaedge.ErrNoLeader)
		}
	})
}

// The leader pushes a change to a few entries only. The others get it from these well
// before their next renewal.
func TestChangeSpreadsAmongEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 24)
		time.Sleep(4 * time.Second)
		for version := uint64(7); version < 12; version++ {
			before := g.metrics.Value("pushes")
			if _, err := g.replace(1, version); err != nil {
				t.Fatal(err)
			}
			if n := g.metrics.Value("pushes") - before; n != 4 {
				t.Errorf("version %d was pushed to %d entries, want 4", version, n)
			}
			time.Sleep(100 * time.Millisecond)
			for i, edge := range g.edges {
				if sections := edge.Sections(); len(sections) == 0 || sections[0].GetVersion() != version {
					t.Errorf("entry %d has %v after 100 ms, want version %d", i, sections, version)
				}
			}
		}
	})
}
