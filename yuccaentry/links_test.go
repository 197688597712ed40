package yuccaentry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// updateSide applies an update from control that lists one side.
func (e *Entry) updateSide(ctx context.Context, incarnation uint64) {
	node := &yuccawire.Node{Name: "side-1", Role: yuccawire.Role_ROLE_SIDE, Address: "side-1:1", Incarnation: incarnation}
	e.handleLeaseUpdate(yuccalease.Update{
		Incarnation: 1, View: yuccadocument.NewView(), Lease: yuccalease.Lease{}.Extend(time.Now(), time.Minute),
		Members: &yuccawire.MembersDelta{Epoch: 1, Version: incarnation, Changed: []*yuccawire.Member{{Node: node}}},
	})
	for _, action := range e.dispatcher.Actions() {
		e.executeAction(ctx, action)
	}
}

// The goodbye may wait behind other events until control has announced the next
// incarnation.
func TestGoodbyeOfEarlierIncarnation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("entry-1"), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
		Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
	})
	e.updateSide(ctx, 1)
	earlier := e.dialers["side-1"]
	e.updateSide(ctx, 2)
	goodbye := &yuccawire.Envelope{Body: &yuccawire.Envelope_Goodbye{Goodbye: &yuccawire.Goodbye{}}}
	e.handleEvent(time.Now(), linkMessage{dialer: earlier, name: "side-1", message: goodbye})
	if e.dialers["side-1"] == nil {
		t.Error("the new incarnation is not dialled any more")
	}
}
