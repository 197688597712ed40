package yuccacontrol_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// suspendedMachine is suspended just after the next check for suspensions since hold is set.
type suspendedMachine struct {
	total   atomic.Int64
	hold    atomic.Bool
	resumed chan struct{}
}

func (m *suspendedMachine) suspended() time.Duration {
	total := time.Duration(m.total.Load())
	if m.hold.CompareAndSwap(true, false) {
		<-m.resumed
	}
	return total
}

// asker asks a control for its state, which begins a batch of events.
type asker struct {
	control  *yuccacontrol.Control
	statuses chan yuccacontrol.Status
}

func (a *asker) run(ctx context.Context) {
	status, _ := a.control.Status(ctx)
	a.statuses <- status
}

// The renewal arrives while the leader's machine is suspended in the midst of a batch.
func TestLeaderSuspendedWithinABatchGrantsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		machine := &suspendedMachine{resumed: make(chan struct{})}
		d := newDeployment(t)
		d.suspensions = yuccasuspend.NewMonitorOf(machine.suspended)
		d.start(ctx, "a", true, "a")
		time.Sleep(2*time.Second + 5*time.Millisecond)
		node := &yuccawire.Node{Name: "entry-1", Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}
		link, err := d.fabric.Host("entry-1").Dial(ctx, "a:1")
		if err != nil {
			t.Fatal(err)
		}
		defer link.Close()
		if _, err := yuccawire.SayHello(ctx, link, node); err != nil {
			t.Fatal(err)
		}
		renew := func(sequence uint64) {
			_ = link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renew{Renew: &yuccawire.Renew{Sequence: sequence, Node: node}}})
		}
		reply := func(sequence uint64) *yuccawire.Renewed {
			for {
				m, err := link.Receive()
				if err != nil {
					t.Fatal(err)
				}
				if m.GetRenewed().GetSequence() == sequence {
					return m.GetRenewed()
				}
			}
		}
		renew(1)
		if r := reply(1); r.GetNotLeader() {
			t.Fatalf("the leader replied %v", r)
		}
		machine.hold.Store(true)
		a := &asker{control: d.controls["a"], statuses: make(chan yuccacontrol.Status, 1)}
		go a.run(ctx)
		renew(2)
		time.Sleep(5 * time.Second)
		machine.total.Store(int64(5 * time.Second))
		close(machine.resumed)
		if r := reply(2); !r.GetNotLeader() {
			t.Errorf("a leader that was suspended for 5s replied %v", r)
		}
		if status := <-a.statuses; status.IsLeader {
			t.Error("a leader that was suspended for 5s reports that it leads")
		}
	})
}
