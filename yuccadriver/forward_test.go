package yuccadriver_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// linkedEntry accepts links of a side, and passes them and the messages that are passed on to it to the test.
type linkedEntry struct {
	links     chan yuccawire.Link
	forwarded chan *yuccawire.Forward
}

func (e *linkedEntry) run(ctx context.Context, listener yuccawire.Listener, node *yuccawire.Node) {
	for {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := yuccawire.AcceptHello(ctx, link, node); err != nil {
			continue
		}
		e.links <- link
		for {
			m, err := link.Receive()
			if err != nil {
				break
			}
			if f := m.GetForward(); f != nil {
				e.forwarded <- f
			}
		}
	}
}

// silentWorker answers nothing.
type silentWorker struct{}

func (silentWorker) Start(context.Context, yuccaworker.CallStart) (yuccaworker.Result, int64) {
	return yuccaworker.ResultUnknown, 0
}

func (silentWorker) Stop(context.Context, yuccaworker.CallStop) (bool, int64) { return false, 0 }

func (silentWorker) Hold(context.Context, yuccaworker.CallHold) yuccaworker.HoldResult {
	return yuccaworker.HoldResult{}
}

func (silentWorker) Connect(context.Context, yuccaworker.CallConnect) yuccaworker.Result {
	return yuccaworker.ResultUnknown
}

func TestEntriesThatAreCutFromEachOtherHearNothingOverTheirSide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		logger := slog.New(slog.DiscardHandler)
		entries := make(map[string]*linkedEntry)
		for _, name := range []string{"e0", "e1"} {
			listener, err := fabric.Host(name).Listen(name + ":1")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			entries[name] = &linkedEntry{links: make(chan yuccawire.Link, 10), forwarded: make(chan *yuccawire.Forward, 10)}
			go entries[name].run(ctx, listener, &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: name + ":1", Incarnation: 1})
		}
		mesh := yuccamesh.New(yuccamesh.Options{
			Network: fabric.Host("s"), Self: &yuccawire.Node{Name: "s", Role: yuccawire.Role_ROLE_SIDE, Incarnation: 1},
			Seeds: func() []string { return []string{"e0:1", "e1:1"} }, Metrics: yuccametric.New("s"), Logger: logger,
		})
		supervisor := suture.NewSimple("side")
		supervisor.Add(mesh)
		supervisor.Add(yuccadriver.New(yuccadriver.Options{Name: "s", Mesh: mesh, Client: silentWorker{}, Metrics: yuccametric.New("s"), Logger: logger}))
		stopped := supervisor.ServeBackground(ctx)
		link := <-entries["e0"].links
		<-entries["e1"].links
		time.Sleep(100 * time.Millisecond)
		_ = link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: &yuccawire.Forward{To: "e1", From: "e0", Incarnation: 1}}})
		time.Sleep(100 * time.Millisecond)
		if got, own := len(entries["e1"].forwarded), len(entries["e0"].forwarded); got != 1 || own > 0 {
			t.Errorf("%d messages are passed on to e1, %d to e0, want 1 and none", got, own)
		}
		cancel()
		<-stopped
	})
}
