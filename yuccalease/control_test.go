package yuccalease_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// fakeControl is a control with a session of the client of a side.
type fakeControl struct {
	t      *testing.T
	client *yuccalease.Client
	link   yuccawire.Link
}

func newFakeControl(ctx context.Context, t *testing.T, suspensions *yuccasuspend.Monitor) *fakeControl {
	fabric := yuccamemnet.New(yuccamemnet.Options{})
	listener, err := fabric.Host("control").Listen("control:1")
	if err != nil {
		t.Fatal(err)
	}
	client := yuccalease.New(yuccalease.Options{
		Network: fabric.Host("side"), Self: &yuccawire.Node{Name: "side", Incarnation: 1}, Controls: []string{"control:1"},
		Random: rand.New(rand.NewPCG(1, 1)), Sections: []string{yuccadocument.SectionDrainedDataCentres}, Suspensions: suspensions,
	})
	ctx, cancel := context.WithCancel(ctx)
	served := make(chan struct{})
	go serve(ctx, client, served)
	t.Cleanup(func() {
		cancel()
		<-served
		_ = listener.Close()
	})
	link, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := yuccawire.AcceptHello(ctx, link, &yuccawire.Node{Name: "control"}); err != nil {
		t.Fatal(err)
	}
	return &fakeControl{t: t, client: client, link: link}
}

func serve(ctx context.Context, client *yuccalease.Client, served chan<- struct{}) {
	defer close(served)
	_ = client.Serve(ctx)
}

// renew grants the next renewal with the sections, and returns the client's update. Before the
// reply, it calls arrived.
func (c *fakeControl) renew(arrived func(), sections ...*yuccawire.Section) yuccalease.Update {
	m, err := c.link.Receive()
	if err != nil {
		c.t.Fatal(err)
	}
	arrived()
	_ = c.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renewed{Renewed: &yuccawire.Renewed{
		Sequence: m.GetRenew().GetSequence(), LeaseMs: 3000, Sections: sections, PendingKnown: true,
	}}})
	return <-c.client.Updates()
}
