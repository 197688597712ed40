package yuccalease_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The machine is suspended while the renewal or its reply is on the way, or before the
// update is read.
func TestLeaseEndsWithASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var total atomic.Int64
		monitor := yuccasuspend.NewMonitorOf(func() time.Duration { return time.Duration(total.Load()) })
		fabric := yuccamemnet.New(yuccamemnet.Options{})
		listener, err := fabric.Host("control").Listen("control:1")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		client := yuccalease.New(yuccalease.Options{
			Network: fabric.Host("side"), Self: &yuccawire.Node{Name: "side", Incarnation: 1}, Controls: []string{"control:1"},
			Random: rand.New(rand.NewPCG(1, 1)), Suspensions: monitor,
		})
		served := make(chan struct{})
		go serve(ctx, client, served)
		defer func() { cancel(); <-served }()
		link, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := yuccawire.AcceptHello(ctx, link, &yuccawire.Node{Name: "control"}); err != nil {
			t.Fatal(err)
		}
		renew := func(suspendedFor time.Duration) yuccalease.Update {
			m, err := link.Receive()
			if err != nil {
				t.Fatal(err)
			}
			total.Add(int64(suspendedFor))
			_ = link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renewed{Renewed: &yuccawire.Renewed{Sequence: m.GetRenew().GetSequence(), LeaseMs: 3000}}})
			return <-client.Updates()
		}
		if u := renew(0); !u.Lease.Valid(time.Now()) || u.Suspensions != 0 {
			t.Errorf("got %+v, want a lease", u)
		}
		if u := renew(5 * time.Second); u.Lease.Valid(time.Now()) || u.Suspensions != 1 {
			t.Errorf("suspended before the reply: got %+v, want no lease", u)
		}
		if u := renew(0); !u.Lease.Valid(time.Now()) || u.Suspensions != 1 {
			t.Errorf("renewed since: got %+v, want a lease", u)
		}
	})
}

func serve(ctx context.Context, client *yuccalease.Client, served chan<- struct{}) {
	defer close(served)
	_ = client.Serve(ctx)
}
