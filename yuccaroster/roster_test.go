package yuccaroster_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaroster"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var began = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func entry(name, address string, incarnation uint64) *yuccawire.Node {
	return &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: address, Incarnation: incarnation}
}

func names(nodes []*yuccawire.Node) string {
	all := ""
	for _, n := range nodes {
		all += n.GetName() + " "
	}
	return all
}

func TestSpreads(t *testing.T) {
	replica := &yuccawire.ReplicaAddress{Name: "a", Id: 7}
	a := yuccaroster.New(entry("a", "10.0.0.1:1", 1), replica)
	b := yuccaroster.New(entry("b", "10.0.0.2:1", 1), nil)
	a.Heard(began, entry("c", "10.0.0.3:1", 1))
	b.Merge(began, a.Wire(began))
	if got := names(b.Nodes(began)); got != "a c " {
		t.Errorf("b knows %q, want a and c", got)
	}
	if got := b.Replicas(began); len(got) != 1 || got[0].GetId() != 7 {
		t.Errorf("b knows replicas %v, want that of a", got)
	}
}

// A hello names no replica, and must not make the process lose the one it knows.
func TestHelloKeepsReplica(t *testing.T) {
	a := yuccaroster.New(entry("a", "10.0.0.1:1", 1), &yuccawire.ReplicaAddress{Name: "a", Id: 7})
	b := yuccaroster.New(entry("b", "10.0.0.2:1", 1), nil)
	b.Merge(began, a.Wire(began))
	b.Heard(began.Add(time.Second), entry("a", "10.0.0.1:1", 1))
	b.Heard(began.Add(2*time.Second), entry("a", "10.0.0.1:1", 2))
	if len(b.Replicas(began.Add(2*time.Second))) != 1 {
		t.Error("the replica is forgotten")
	}
}

func TestForgets(t *testing.T) {
	b := yuccaroster.New(entry("b", "10.0.0.2:1", 1), nil)
	b.Heard(began, entry("a", "10.0.0.1:1", 1))
	later := began.Add(yuccaroster.KeptFor)
	if got := names(b.Nodes(later)); got != "" {
		t.Errorf("knows %q after %v", got, yuccaroster.KeptFor)
	}
	// What a peer remembers of it is as old.
	c := yuccaroster.New(entry("c", "10.0.0.3:1", 1), nil)
	c.Merge(later, &yuccawire.Roster{Members: []*yuccawire.RosterMember{{Node: entry("a", "10.0.0.1:1", 1), AgeMs: uint64(yuccaroster.KeptFor.Milliseconds())}}})
	if got := names(c.Nodes(later)); got != "" {
		t.Errorf("takes up %q that nobody has heard", got)
	}
}

// An address that another process has taken belongs to that one.
func TestAddressReuse(t *testing.T) {
	b := yuccaroster.New(entry("b", "10.0.0.2:1", 1), nil)
	b.Heard(began, entry("old", "10.0.0.1:1", 1))
	b.Heard(began.Add(3*time.Second), entry("new", "10.0.0.1:1", 1))
	if got := names(b.Nodes(began.Add(3 * time.Second))); got != "new " {
		t.Errorf("knows %q, want new", got)
	}
}

func TestOnlyEntries(t *testing.T) {
	b := yuccaroster.New(entry("b", "10.0.0.2:1", 1), nil)
	b.Heard(began, &yuccawire.Node{Name: "s", Role: yuccawire.Role_ROLE_SIDE, Address: "10.0.0.9:1"})
	if len(b.Nodes(began)) != 0 {
		t.Error("a side is in the roster")
	}
}
