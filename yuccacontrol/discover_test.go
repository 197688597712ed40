package yuccacontrol_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// discoveryDelay is the time after the start of a control during which discovery
// returns no replicas.
const discoveryDelay = 40 * time.Millisecond

// memoryStorage is an in-memory storage that outlives its control, to simulate
// restarts.
type memoryStorage struct {
	id     uint64
	stored yuccareplica.Stored
}

func (d *memoryStorage) ID() uint64                  { return d.id }
func (d *memoryStorage) Stored() yuccareplica.Stored { return d.stored }

func (d *memoryStorage) Write(frame *yuccawire.DiskFrame) error {
	if s := frame.GetSnapshot(); s != nil {
		d.stored.Snapshot, d.stored.Entries = s, nil
	}
	if h := frame.GetHardState(); h != nil {
		d.stored.HardState = h
	}
	for _, e := range frame.GetEntries() {
		retained := e.GetIndex() - d.stored.Snapshot.GetIndex() - 1
		d.stored.Entries = append(d.stored.Entries[:retained:retained], e)
	}
	return nil
}

func (d *memoryStorage) Replace(frame *yuccawire.DiskFrame) error { return d.Write(frame) }

// deployment is a set of controls that find each other by discovery. cancels stops
// a control, and recovered holds the sections that OnRecovered received.
type deployment struct {
	t        *testing.T
	fabric   *yuccamemnet.Fabric
	controls map[string]*yuccacontrol.Control
	cancels  map[string]context.CancelFunc
	storages map[string]*memoryStorage
	metrics  map[string]*yuccametric.Set
	// suspensions are those of the machines of all controls.
	suspensions *yuccasuspend.Monitor
	mu          sync.Mutex
	recovered   map[string][]*yuccawire.Section
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{
		t: t, fabric: yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1}),
		controls: make(map[string]*yuccacontrol.Control), cancels: make(map[string]context.CancelFunc),
		storages: make(map[string]*memoryStorage), metrics: make(map[string]*yuccametric.Set), recovered: make(map[string][]*yuccawire.Section),
	}
}

func addressOf(name string) *yuccawire.ReplicaAddress {
	return &yuccawire.ReplicaAddress{Name: name, Address: name + ":1", OperatorAddress: name + ":2"}
}

type runner struct{ control *yuccacontrol.Control }

func (s *runner) run(ctx context.Context) { _ = s.control.Serve(ctx) }

func (d *deployment) start(ctx context.Context, name string, canForm bool, others ...string) {
	if d.storages[name] == nil {
		d.storages[name] = &memoryStorage{id: uint64(name[0])}
	}
	d.metrics[name] = yuccametric.New(name)
	started := time.Now()
	control, err := yuccacontrol.New(yuccacontrol.Options{
		Network: d.fabric.Host(name), Storage: d.storages[name], Self: addressOf(name), Voters: 3,
		Discover: func() []*yuccawire.ReplicaAddress {
			var replicas []*yuccawire.ReplicaAddress
			if time.Since(started) < discoveryDelay {
				return nil
			}
			for _, other := range others {
				if other != name {
					replicas = append(replicas, addressOf(other))
				}
			}
			return replicas
		},
		CanFormGroup: func() (bool, bool) { return canForm, true }, Suspensions: d.suspensions, MaxLinkBytes: linkBytes,
		OnRecovered: func(sections []*yuccawire.Section) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.recovered[name] = sections
		},
		Random: rand.New(rand.NewPCG(1, d.storages[name].id)), Metrics: d.metrics[name], Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		d.t.Fatal(err)
	}
	serveCtx, cancel := context.WithCancel(ctx)
	d.controls[name], d.cancels[name] = control, cancel
	s := &runner{control: control}
	go s.run(serveCtx)
}

func (d *deployment) leader(ctx context.Context) (string, yuccacontrol.Status) {
	for name, c := range d.controls {
		if s, err := c.Status(ctx); err == nil && s.IsLeader {
			return name, s
		}
	}
	d.t.Fatal("no leader")
	return "", yuccacontrol.Status{}
}

func countVoters(s yuccacontrol.Status) (n int) {
	for _, r := range s.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Discovered replicas must form a single group with the configured number of
// voters and leave the others as learners. After all replicas restart, each must
// recover the committed document from its disk immediately.
func TestDiscoveredReplicasFormGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t)
		names := []string{"a", "b", "c", "d"}
		for i, name := range names {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(4 * time.Second)
		name, status := d.leader(ctx)
		if countVoters(status) != 3 || len(status.Replicas) != 4 {
			t.Errorf("replicas are %+v, want three voters and one learner", status.Replicas)
		}
		replace := func(version uint64, body string) *yuccawire.Command {
			r := &yuccawire.ReplaceDocument{Version: version, Body: []byte(body)}
			return &yuccawire.Command{Body: &yuccawire.Command_ReplaceDocument{ReplaceDocument: r}}
		}
		for _, step := range []struct {
			version uint64
			outcome yuccastate.Outcome
		}{{7, yuccastate.Accepted}, {7, yuccastate.Repeated}, {5, yuccastate.Repeated}} {
			result, err := d.controls[name].Apply(ctx, replace(step.version, fmt.Sprint("v", step.version)))
			if err != nil || result.Outcome != step.outcome || result.Version != 7 {
				t.Errorf("version %d: got %+v, %v, want %v at version 7", step.version, result, err, step.outcome)
			}
		}
		time.Sleep(time.Second)
		for _, name := range names {
			d.cancels[name]()
		}
		synctest.Wait()
		for i, name := range names {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(50 * time.Millisecond)
		for _, name := range names {
			d.mu.Lock()
			s := d.recovered[name]
			d.mu.Unlock()
			if len(s) != 1 || s[0].GetName() != yuccadocument.SectionWholeDocument || string(s[0].GetBody()) != "v7" {
				t.Errorf("%s recovered %v, want document v7", name, s)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// When a voter stops for good and an empty replica with another name starts, the
// new replica must take its place as a voter.
func TestReplicaReplacedByEmptyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t)
		names := []string{"a", "b", "c", "e"}
		for i, name := range names[:3] {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(4 * time.Second)
		leaderName, _ := d.leader(ctx)
		for _, name := range names[:3] {
			if name != leaderName {
				d.cancels[name]()
				delete(d.controls, name)
				break
			}
		}
		d.start(ctx, "e", false, names...)
		time.Sleep(8 * time.Second)
		_, status := d.leader(ctx)
		connected := 0
		for _, r := range status.Replicas {
			if r.Voter && (r.Name == "e" || r.Connected) {
				connected++
			}
		}
		if countVoters(status) != 3 || connected != 3 {
			t.Errorf("replicas are %+v, want three running voters including e", status.Replicas)
		}
		cancel()
		synctest.Wait()
	})
}
