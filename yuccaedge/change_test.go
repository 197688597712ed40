package yuccaedge_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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

// group runs entries on an in-memory network. The first of them have a disk and a
// control.
type group struct {
	t        *testing.T
	seed     uint64
	fabric   *yuccamemnet.Fabric
	edges    []*yuccaedge.Edge
	disks    []*disk
	replicas []*yuccawire.ReplicaAddress
	voters   int
	// metrics are those of the first entry.
	metrics *yuccametric.Set
}

func newGroup(t *testing.T, entries int) *group { return newGroupOfControls(t, entries, 1, 1, 1) }

func newGroupOfControls(t *testing.T, entries, controls, voters int, seed uint64) *group {
	g := &group{t: t, seed: seed, voters: voters, fabric: yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: seed})}
	for i := range controls {
		d := &disk{path: t.TempDir()}
		g.disks = append(g.disks, d)
		name := fmt.Sprintf("e%d", i)
		g.replicas = append(g.replicas, &yuccawire.ReplicaAddress{Name: name, Address: name + ":2", Id: g.open(d).ID()})
	}
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
	var edge *yuccaedge.Edge
	mesh := yuccamesh.New(yuccamesh.Options{
		Network: network, Self: self, Listen: true, Seeds: func() []string { return []string{"e0:1"} }, Metrics: metrics, Logger: logger,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: network, Self: self, Random: rand.New(rand.NewPCG(g.seed, uint64(i))), Logger: logger,
		Sections: yuccadocument.WholeDocumentSections, Discover: g.controlAddresses,
	})
	options := yuccaedge.Options{
		Mesh: mesh, Lease: lease, MaxConfigurationAge: time.Second, Metrics: metrics, Logger: logger,
		Decode: func([]byte) (*yuccacatalog.Catalog, error) { return &yuccacatalog.Catalog{}, nil },
		Broker: yuccabroker.New(yuccabroker.Options{Name: name, Random: rand.New(rand.NewPCG(2, uint64(i))), Metrics: metrics, Logger: logger}),
	}
	if i == 0 {
		g.metrics = metrics
	}
	if i < len(g.disks) {
		options.Replica = yuccaedge.NewReplica(g.open(g.disks[i]), g.disks[i].open, yuccacontrol.Options{
			Network: network, Self: g.replicas[i], Voters: g.voters, SectionPushes: 4, MaxLogEntries: maxLogEntries, MaxLogBytes: maxLogBytes,
			Discover:     func() []*yuccawire.ReplicaAddress { return slices.Concat(g.replicas[:i], g.replicas[i+1:]) },
			CanFormGroup: func() (bool, bool) { return i == 0, false },
			OnRecovered:  func(sections []*yuccawire.Section) { edge.ApplyRecovered(sections) },
			Random:       rand.New(rand.NewPCG(g.seed+2, uint64(i))), Metrics: metrics, Logger: logger,
		})
		supervisor.Add(options.Replica)
	}
	edge = yuccaedge.New(options)
	g.edges = append(g.edges, edge)
	supervisor.Add(mesh)
	supervisor.Add(lease)
	supervisor.Add(edge)
}

func (g *group) open(d *disk) *yuccadisk.Folder {
	folder, err := d.open()
	if err != nil {
		g.t.Fatal(err)
	}
	return folder
}

func (g *group) controlAddresses() []string {
	var addresses []string
	for _, r := range g.replicas {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

func (g *group) replace(entry int, version uint64) (*yuccastate.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 900*time.Millisecond)
	defer cancel()
	return g.edges[entry].ReplaceDocument(ctx, version, fmt.Appendf(nil, "v%d", version))
}

func (g *group) setDrained(entry int, dataCentre string, drained bool) (*yuccastate.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 900*time.Millisecond)
	defer cancel()
	return g.edges[entry].SetDrained(ctx, dataCentre, drained)
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
			if result, err := g.setDrained(1+i%2, "puno", drained); err != nil || result.Outcome == yuccastate.Invalid {
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
