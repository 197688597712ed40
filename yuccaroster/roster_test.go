package yuccaroster_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaroster"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func entryNode(name, address string, incarnation uint64) *yuccawire.Node {
	return &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: address, Incarnation: incarnation}
}

func joinNames(nodes []*yuccawire.Node) string {
	joined := ""
	for _, n := range nodes {
		joined += n.GetName() + " "
	}
	return joined
}

func TestMergeAddsMembers(t *testing.T) {
	replica := &yuccawire.ReplicaAddress{Name: "a", Id: 7}
	a := yuccaroster.New(entryNode("a", "10.0.0.1:1", 1), replica)
	b := yuccaroster.New(entryNode("b", "10.0.0.2:1", 1), nil)
	a.RecordContact(startTime, entryNode("c", "10.0.0.3:1", 1))
	b.Merge(startTime, a.ToWire(startTime))
	if got := joinNames(b.Nodes(startTime)); got != "a c " {
		t.Errorf("nodes of b are %q, want a and c", got)
	}
	if got := b.Replicas(startTime); len(got) != 1 || got[0].GetId() != 7 {
		t.Errorf("replicas of b are %v, want only that of a", got)
	}
}

// A Hello message carries no replica, so a contact must not erase the known one.
func TestContactKeepsReplica(t *testing.T) {
	a := yuccaroster.New(entryNode("a", "10.0.0.1:1", 1), &yuccawire.ReplicaAddress{Name: "a", Id: 7})
	b := yuccaroster.New(entryNode("b", "10.0.0.2:1", 1), nil)
	b.Merge(startTime, a.ToWire(startTime))
	b.RecordContact(startTime.Add(time.Second), entryNode("a", "10.0.0.1:1", 1))
	b.RecordContact(startTime.Add(2*time.Second), entryNode("a", "10.0.0.1:1", 2))
	if len(b.Replicas(startTime.Add(2*time.Second))) != 1 {
		t.Error("the contact erased the replica")
	}
}

func TestMembersExpire(t *testing.T) {
	b := yuccaroster.New(entryNode("b", "10.0.0.2:1", 1), nil)
	b.RecordContact(startTime, entryNode("a", "10.0.0.1:1", 1))
	later := startTime.Add(yuccaroster.Retention)
	if got := joinNames(b.Nodes(later)); got != "" {
		t.Errorf("nodes are %q after %v, want none", got, yuccaroster.Retention)
	}
	// The record of a peer is as old and must not be merged.
	c := yuccaroster.New(entryNode("c", "10.0.0.3:1", 1), nil)
	c.Merge(later, &yuccawire.Roster{Members: []*yuccawire.RosterMember{{Node: entryNode("a", "10.0.0.1:1", 1), AgeMs: uint64(yuccaroster.Retention.Milliseconds())}}})
	if got := joinNames(c.Nodes(later)); got != "" {
		t.Errorf("merged %q from an expired record", got)
	}
}

// A process seen at the address of another member replaces that member.
func TestReusedAddressEvictsOldMember(t *testing.T) {
	b := yuccaroster.New(entryNode("b", "10.0.0.2:1", 1), nil)
	b.RecordContact(startTime, entryNode("old", "10.0.0.1:1", 1))
	b.RecordContact(startTime.Add(3*time.Second), entryNode("new", "10.0.0.1:1", 1))
	if got := joinNames(b.Nodes(startTime.Add(3 * time.Second))); got != "new " {
		t.Errorf("nodes are %q, want new", got)
	}
}

func TestSidesAreIgnored(t *testing.T) {
	b := yuccaroster.New(entryNode("b", "10.0.0.2:1", 1), nil)
	b.RecordContact(startTime, &yuccawire.Node{Name: "s", Role: yuccawire.Role_ROLE_SIDE, Address: "10.0.0.9:1"})
	if len(b.Nodes(startTime)) != 0 {
		t.Error("the roster contains a side")
	}
}
