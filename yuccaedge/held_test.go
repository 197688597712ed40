package yuccaedge_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// dialAsEntry opens a link as another entry.
func dialAsEntry(t *testing.T, network yuccawire.Network, name string) yuccawire.Link {
	link, err := network.Dial(t.Context(), "e0:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := yuccawire.SayHello(t.Context(), link, &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}); err != nil {
		t.Fatal(err)
	}
	_ = link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldSeen{HeldSeen: &yuccawire.HeldSeen{}}})
	return link
}

// receiveHeld returns the next list of held tasks on the link.
func receiveHeld(t *testing.T, link yuccawire.Link) *yuccawire.HeldTasks {
	for {
		m, err := link.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if list := m.GetHeldTasks(); list != nil {
			return list
		}
	}
}

// The other entry is linked after the side has told its list.
func TestListOfASideReachesAnEntryThatIsLinkedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		_, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		side := dialAs(t, fabric.Host("s"), 7)
		time.Sleep(100 * time.Millisecond)
		list := &yuccawire.HeldTasks{Sequence: 3, Tasks: []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000}}}
		_ = side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		time.Sleep(time.Second)
		held := receiveHeld(t, dialAsEntry(t, fabric.Host("e1"), "e1"))
		if held.GetSender() != "s" || held.GetIncarnation() != 7 || held.GetSequence() != 3 || len(held.GetTasks()) != 1 || held.GetTasks()[0].GetTask() != "a.0.0.0" {
			t.Errorf("received %v, want the list of the side", held)
		} else if remaining := held.GetTasks()[0].GetRemainingMs(); remaining > 8000 {
			t.Errorf("the task is held for %d ms a second later, want less than 8000", remaining)
		}
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}

func TestListOfASideReachesAnEntryThatTheSideIsNotLinkedWith(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		_, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		side := dialAs(t, fabric.Host("s"), 7)
		unlinked := dialAsEntry(t, fabric.Host("e1"), "e1")
		time.Sleep(100 * time.Millisecond)
		list := &yuccawire.HeldTasks{Sequence: 3, Tasks: []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000}}, Reached: []string{"e0"}}
		_ = side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		held := receiveHeld(t, unlinked)
		if held.GetSender() != "s" || held.GetIncarnation() != 7 || !held.GetPartial() || len(held.GetTasks()) != 1 || held.GetTasks()[0].GetSide() != "s" {
			t.Errorf("received %v, want the task of the side", held)
		}
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}

func TestEntryConfirmsTheListsOfAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		_, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		other := dialAsEntry(t, fabric.Host("e1"), "e1")
		for i, list := range []*yuccawire.HeldTasks{{Sender: "e2", Incarnation: 1}, {Sender: "e1"}, {Sender: "e1", Incarnation: 1, Partial: true}, {Sender: "e1", Incarnation: 1}} {
			list.Sequence, list.Tasks = uint64(i+1), []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000}}
			_ = other.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		}
		for _, want := range []uint64{0, 4} {
			if seen := receiveSeen(t, other); seen.GetSequence() != want {
				t.Errorf("confirmed list %d, want %d", seen.GetSequence(), want)
			}
		}
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}

// receiveSeen returns the next confirmation of a list on the link.
func receiveSeen(t *testing.T, link yuccawire.Link) *yuccawire.HeldSeen {
	for {
		m, err := link.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if seen := m.GetHeldSeen(); seen != nil {
			return seen
		}
	}
}

func TestListAndLinkRequestGoWhereTheyAreNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		_, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		side := dialAs(t, fabric.Host("s"), 7)
		told, gone, untold := dialAsEntry(t, fabric.Host("e1"), "e1"), dialAsEntry(t, fabric.Host("e2"), "e2"), dialAsEntry(t, fabric.Host("e3"), "e3")
		time.Sleep(100 * time.Millisecond)
		_ = gone.Close()
		time.Sleep(100 * time.Millisecond)
		list := &yuccawire.HeldTasks{Sequence: 3, Tasks: []*yuccawire.HeldTask{{Task: "a.0.0.0", RemainingMs: 9000}}, Reached: []string{"e0", "e1"}}
		_ = side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		time.Sleep(100 * time.Millisecond)
		if held := receiveHeld(t, untold); held.GetSender() != "s" {
			t.Errorf("told %v, want the list of the side", held)
		}
		_ = told.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: &yuccawire.HeldTasks{Sender: "e1", Incarnation: 1, Sequence: 9}}})
		for isSeen := false; !isSeen; {
			m, err := told.Receive()
			if err != nil {
				t.Fatalf("the entry has received no confirmation: %v", err)
			}
			isSeen = m.GetHeldSeen().GetSequence() == 9
			if m.GetHeldTasks() != nil {
				t.Errorf("the entry that the side reaches is told %v, too", m)
			}
		}
		for _, name := range []string{"far", "s"} {
			_ = told.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_LinkRequest{LinkRequest: &yuccawire.LinkRequest{Side: name, Entry: "e1", Reached: []string{"e1"}}}})
		}
		for requested := false; !requested; {
			m, err := untold.Receive()
			if err != nil {
				t.Fatalf("the other entry has received no link request: %v", err)
			}
			requested = m.GetLinkRequest().GetSide() == "far"
			if slices.Contains(m.GetLinkRequest().GetReached(), "e2") {
				t.Errorf("told %v, want no entry among those reached whose link is closed", m)
			}
		}
		for requested := false; !requested; {
			m, err := side.Receive()
			if err != nil {
				t.Fatalf("the side has received no link request: %v", err)
			}
			requested = m.GetLinkRequest().GetEntry() == "e1"
		}
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}
