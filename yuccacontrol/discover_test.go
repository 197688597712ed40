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
	"github.com/yuccaturn/yuccaturn/yuccamem"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// discoveryTime is how long a control knows no other after it has started.
const discoveryTime = 40 * time.Millisecond

// memoryDisk is a storage that survives its control.
type memoryDisk struct {
	id     uint64
	stored yuccareplica.Stored
}

func (d *memoryDisk) ID() uint64                  { return d.id }
func (d *memoryDisk) Stored() yuccareplica.Stored { return d.stored }

func (d *memoryDisk) Write(frame *yuccawire.DiskFrame) error {
	if s := frame.GetSnapshot(); s != nil {
		d.stored.Snapshot, d.stored.Entries = s, nil
	}
	if h := frame.GetHardState(); h != nil {
		d.stored.HardState = h
	}
	for _, e := range frame.GetEntries() {
		keep := e.GetIndex() - d.stored.Snapshot.GetIndex() - 1
		d.stored.Entries = append(d.stored.Entries[:keep:keep], e)
	}
	return nil
}

func (d *memoryDisk) Replace(frame *yuccawire.DiskFrame) error { return d.Write(frame) }

// deployment is a set of controls that no settings list.
type deployment struct {
	t        *testing.T
	fabric   *yuccamem.Fabric
	controls map[string]*yuccacontrol.Control
	stops    map[string]context.CancelFunc
	disks    map[string]*memoryDisk
	mu       sync.Mutex
	told     map[string][]*yuccawire.Section
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{
		t: t, fabric: yuccamem.New(yuccamem.Options{Delay: time.Millisecond, Seed: 1}),
		controls: make(map[string]*yuccacontrol.Control), stops: make(map[string]context.CancelFunc),
		disks: make(map[string]*memoryDisk), told: make(map[string][]*yuccawire.Section),
	}
}

func addressOf(name string) *yuccawire.ReplicaAddress {
	return &yuccawire.ReplicaAddress{Name: name, Address: name + ":1", OperatorAddress: name + ":2"}
}

type service struct{ control *yuccacontrol.Control }

func (s *service) run(ctx context.Context) { _ = s.control.Serve(ctx) }

func (d *deployment) start(ctx context.Context, name string, mayForm bool, others ...string) {
	if d.disks[name] == nil {
		d.disks[name] = &memoryDisk{id: uint64(name[0])}
	}
	began := time.Now()
	control, err := yuccacontrol.New(yuccacontrol.Options{
		Network: d.fabric.Host(name), Storage: d.disks[name], Self: addressOf(name), Voters: 3,
		Discover: func() []*yuccawire.ReplicaAddress {
			var list []*yuccawire.ReplicaAddress
			if time.Since(began) < discoveryTime {
				return nil
			}
			for _, other := range others {
				if other != name {
					list = append(list, addressOf(other))
				}
			}
			return list
		},
		MayForm: func() (bool, bool) { return mayForm, true },
		Recovered: func(sections []*yuccawire.Section) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.told[name] = sections
		},
		Random: rand.New(rand.NewPCG(1, d.disks[name].id)), Metrics: yuccametric.New(name), Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		d.t.Fatal(err)
	}
	serving, cancel := context.WithCancel(ctx)
	d.controls[name], d.stops[name] = control, cancel
	s := &service{control: control}
	go s.run(serving)
}

func (d *deployment) leader(ctx context.Context) (string, yuccacontrol.Status) {
	for name, c := range d.controls {
		if s, err := c.Status(ctx); err == nil && s.Leads {
			return name, s
		}
	}
	d.t.Fatal("no control leads")
	return "", yuccacontrol.Status{}
}

func voters(s yuccacontrol.Status) (n int) {
	for _, r := range s.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Replicas that nobody lists form one group of the wanted number of voters; the
// others are learners. What was committed is there at once after all restart.
func TestUnlistedReplicasFormAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t)
		names := []string{"a", "b", "c", "d"}
		for i, name := range names {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(4 * time.Second)
		name, status := d.leader(ctx)
		if voters(status) != 3 || len(status.Replicas) != 4 {
			t.Errorf("the group is %+v, want three voters and a learner", status.Replicas)
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
				t.Errorf("version %d gives %+v, %v, want %v at 7", step.version, result, err, step.outcome)
			}
		}
		time.Sleep(time.Second)
		for _, name := range names {
			d.stops[name]()
		}
		synctest.Wait()
		for i, name := range names {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(50 * time.Millisecond)
		for _, name := range names {
			d.mu.Lock()
			s := d.told[name]
			d.mu.Unlock()
			if len(s) != 1 || s[0].GetName() != yuccadocument.SectionWhole || string(s[0].GetBody()) != "v7" {
				t.Errorf("%s recovers %v, want the document v7", name, s)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// A replica that is replaced by an empty one elsewhere is made up for by the
// learner and the new one.
func TestReplacedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t)
		names := []string{"a", "b", "c", "e"}
		for i, name := range names[:3] {
			d.start(ctx, name, i == 0, names...)
		}
		time.Sleep(4 * time.Second)
		leading, _ := d.leader(ctx)
		for _, name := range names[:3] {
			if name != leading {
				d.stops[name]()
				delete(d.controls, name)
				break
			}
		}
		d.start(ctx, "e", false, names...)
		time.Sleep(8 * time.Second)
		_, status := d.leader(ctx)
		ready := 0
		for _, r := range status.Replicas {
			if r.Voter && (r.Name == "e" || r.Linked) {
				ready++
			}
		}
		if voters(status) != 3 || ready != 3 {
			t.Errorf("the group is %+v, want three voters that run, the new one among them", status.Replicas)
		}
		cancel()
		synctest.Wait()
	})
}
