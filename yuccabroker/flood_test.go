package yuccabroker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccatopology"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// relayFleet is a fleet of entries and one side, which are linked as their topology chooses.
type relayFleet struct {
	entries map[string]*fixture
	// reached are the entries that the side tells, claimed those that it says it does.
	reached, claimed []string
	peers            map[string][]string
	queue            []relayed
	// delivered counts the lists and the tasks in them that entries receive from others.
	delivered, tasks int
	// ends counts the ends of the links between entries.
	ends int
}

type relayed struct {
	to   string
	list *yuccawire.HeldTasks
}

func newRelayFleet(t *testing.T, dataCentres, entries int) *relayFleet {
	f := &relayFleet{entries: make(map[string]*fixture), peers: make(map[string][]string)}
	var nodes []*yuccawire.Node
	for i := range entries {
		name := fmt.Sprintf("e%03d", i)
		nodes = append(nodes, &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: name, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	peers := make(map[string][]string)
	for _, n := range nodes {
		topology := yuccatopology.New(n)
		topology.SetMembers(nodes, nil)
		for _, target := range topology.Targets(time.Now()) {
			peers[n.GetName()] = append(peers[n.GetName()], target)
			peers[target] = append(peers[target], n.GetName())
		}
	}
	side := yuccatopology.New(&yuccawire.Node{Name: "s1", Role: yuccawire.Role_ROLE_SIDE, DataCentre: "dc0"})
	side.SetMembers(nodes, nil)
	f.reached = side.Targets(time.Now())
	f.claimed = f.reached
	for _, n := range nodes {
		e := newFixtureWith(t, func(o *yuccabroker.Options) { o.Name = n.GetName() })
		slices.Sort(peers[n.GetName()])
		linked := slices.Compact(peers[n.GetName()])
		e.linkEntries(linked...)
		f.ends += len(linked)
		f.peers[n.GetName()] = linked
		f.entries[n.GetName()] = e
	}
	return f
}

// tell sends the list to the entries that the side is linked with, and delivers what they pass on.
func (f *relayFleet) tell(sequence uint64, isPartial bool, tasks ...string) {
	for _, name := range f.reached {
		list := heldTasks(sequence, 10*time.Second, tasks...)
		list.Sender, list.Incarnation, list.Partial, list.Reached = "s1", 1, isPartial, f.claimed
		f.queue = append(f.queue, relayed{to: name, list: list})
	}
	f.delivered, f.tasks = -len(f.queue), -len(f.queue)*len(tasks)
	for len(f.queue) > 0 && f.delivered < 100_000 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		f.delivered++
		f.tasks += len(next.list.GetTasks())
		e := f.entries[next.to]
		e.broker.HandleHeldTasks(e.now, next.list)
		for _, a := range e.broker.Actions() {
			if p, isPublish := a.(yuccabroker.Publish); isPublish {
				for _, to := range p.To {
					f.queue = append(f.queue, relayed{to: to, list: p.Message.GetHeldTasks()})
				}
			}
		}
	}
}

func TestListIsPassedOnOverEachLinkOnceAtMost(t *testing.T) {
	for _, c := range []struct{ dataCentres, entries int }{{4, 17}, {4, 18}, {4, 24}, {4, 40}, {4, 100}, {10, 220}} {
		f := newRelayFleet(t, c.dataCentres, c.entries)
		for sequence, tasks := range [][]string{{"a.0.0.0", "a.0.0.1"}, {"b.0.0.0"}, {"a.0.0.0", "a.0.0.1", "b.0.0.0"}} {
			isPartial := sequence == 1
			f.tell(uint64(sequence+1), isPartial, tasks...)
			if f.delivered > f.ends || f.tasks > f.ends*len(tasks) {
				t.Errorf("%d entries, list %d: %d messages with %d tasks are passed on over %d ends of links", c.entries, sequence+1, f.delivered, f.tasks, f.ends)
			}
		}
	}
}

// An entry that the side has named as reached has not received the list: its link was cut. It is linked with
// entries that the side does not reach.
func TestEntryThatWasNotReachedIsNotToldByEntriesThatTheSideDoesNotReach(t *testing.T) {
	f := newRelayFleet(t, 4, 100)
	cut := slices.IndexFunc(f.reached, func(name string) bool {
		return !slices.ContainsFunc(f.peers[name], func(peer string) bool { return slices.Contains(f.reached, peer) })
	})
	if cut < 0 {
		t.Fatal("each entry that the side reaches is linked with another one")
	}
	name, claimed := f.reached[cut], f.reached
	f.reached = slices.Delete(slices.Clone(f.reached), cut, cut+1)
	f.claimed = claimed
	f.tell(1, false, "a.0.0.0")
	f.claimed = f.reached
	f.tell(2, false, "a.0.0.0")
	if lists := f.entries[name].broker.HeldLists(f.entries[name].now); len(lists) == 0 {
		t.Errorf("%s has not been told, although it is linked with %v, which have", name, f.peers[name])
	}
}

// tellWithout sends the list to all entries that the side names but one.
func (f *relayFleet) tellWithout(cut string, sequence uint64, tasks ...string) {
	linked := f.reached
	f.reached = slices.DeleteFunc(slices.Clone(linked), func(name string) bool { return name == cut })
	f.tell(sequence, false, tasks...)
	f.reached = linked
}

func TestEntryThatIsReachedNoLongerIsToldOfAllTasks(t *testing.T) {
	for _, c := range []struct{ dataCentres, entries int }{{4, 17}, {4, 18}, {4, 24}, {4, 40}, {6, 40}, {4, 100}} {
		most, sum := 0, 0
		names := newRelayFleet(t, c.dataCentres, c.entries).reached
		for _, name := range names {
			f := newRelayFleet(t, c.dataCentres, c.entries)
			f.tellWithout(name, 1, "a.0.0.0")
			f.tellWithout(name, 2, "a.0.0.0", "b.0.0.0")
			f.claimed = slices.DeleteFunc(slices.Clone(f.reached), func(other string) bool { return other == name })
			f.tellWithout(name, 3, "a.0.0.0", "b.0.0.0")
			messages, cut := f.delivered, f.entries[name]
			most, sum = max(most, messages), sum+messages
			if lists := append(cut.broker.HeldLists(cut.now), cut.broker.HeldParts(cut.now)...); len(lists) != 1 || len(lists[0].GetTasks()) != 2 {
				t.Errorf("%d entries: %s knows %v, want both tasks of the side", c.entries, name, lists)
			}
			maxLinks := 0
			for _, peers := range f.peers {
				maxLinks = max(maxLinks, len(peers))
			}
			// Three relays tell those that they are linked with, these the entry, and it passes on what is new to it.
			if messages > 5*maxLinks {
				t.Errorf("%d entries: %d messages, want those of five entries with %d links at most", c.entries, messages, maxLinks)
			}
			f.tellWithout(name, 4, "a.0.0.0", "b.0.0.0")
			if f.delivered > 0 {
				t.Errorf("%d entries: %d messages for the next list, which has nothing new", c.entries, f.delivered)
			}
		}
		t.Logf("%d entries in %d data centres: %d messages at most, %.1f on average", c.entries, c.dataCentres, most, float64(sum)/float64(len(names)))
	}
}
