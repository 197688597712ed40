package yuccaroster_test

import (
	"fmt"
	"strings"
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

// Records that can't be those of an entry of the deployment are ignored and counted,
// however many there are, and are not passed on.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	side := entryNode("s", "10.0.0.9:1", 1)
	side.Role = yuccawire.Role_ROLE_SIDE
	for name, node := range map[string]*yuccawire.Node{
		"no node": nil, "no name": entryNode("", "10.0.0.2:1", 1), "long name": entryNode(strings.Repeat("x", 300), "10.0.0.2:1", 1),
		"no address": entryNode("x", "", 1), "no port": entryNode("x", "10.0.0.2", 1), "port zero": entryNode("x", "10.0.0.2:0", 1),
		"no host": entryNode("x", ":1", 1), "side": side,
	} {
		a := yuccaroster.New(entryNode("a", "10.0.0.1:1", 1), nil)
		if invalid := a.Merge(startTime, &yuccawire.Roster{Members: []*yuccawire.RosterMember{{Node: node}}}); invalid != 1 || len(a.Nodes(startTime)) != 0 {
			t.Errorf("%s: %d records counted as invalid, nodes %v", name, invalid, a.Nodes(startTime))
		}
	}
	a := yuccaroster.New(entryNode("a", "10.0.0.1:1", 1), nil)
	roster := &yuccawire.Roster{}
	for i := range 10_000 {
		roster.Members = append(roster.Members, &yuccawire.RosterMember{Node: entryNode(fmt.Sprint("x", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), 1)})
	}
	if invalid := a.Merge(startTime, roster); invalid != 10_000-4096 || len(a.Nodes(startTime)) != 4096 {
		t.Errorf("%d of 10,000 records ignored, %d members kept, want 4,096 kept", invalid, len(a.Nodes(startTime)))
	}
}

// A peer is sent what has changed since its version, and nothing if only contacts
// were made.
func TestChanges(t *testing.T) {
	a := yuccaroster.New(entryNode("a", "10.0.0.1:1", 1), nil)
	a.RecordContact(startTime, entryNode("b", "10.0.0.2:1", 1))
	seen := a.Version()
	a.RecordContact(startTime.Add(time.Second), entryNode("b", "10.0.0.2:1", 1))
	if got := a.Changes(startTime, seen); a.Version() != seen || len(got.GetMembers()) != 0 {
		t.Errorf("version %d and changes %v after a contact, want %d and none", a.Version(), got, seen)
	}
	a.RecordContact(startTime.Add(2*time.Second), entryNode("c", "10.0.0.3:1", 1))
	a.RecordContact(startTime.Add(2*time.Second), entryNode("b", "10.0.0.2:1", 2))
	if got := a.Changes(startTime.Add(2*time.Second), seen).GetMembers(); len(got) != 2 {
		t.Errorf("changes are %v, want the new member and the restarted one", got)
	}
}
