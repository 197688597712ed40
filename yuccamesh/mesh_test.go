package yuccamesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// testMember is a process with a mesh. It records open links and received
// sections.
type testMember struct {
	mesh     *yuccamesh.Mesh
	mu       sync.Mutex
	up       map[string]*yuccamesh.Peer
	sections []*yuccawire.Section
}

func (m *testMember) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.mesh.Events():
			m.record(e)
		}
	}
}

func (m *testMember) record(e yuccamesh.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch e := e.(type) {
	case yuccamesh.LinkUp:
		m.up[e.Peer.Node().GetName()] = e.Peer
	case yuccamesh.LinkDown:
		if m.up[e.Peer.Node().GetName()] == e.Peer {
			delete(m.up, e.Peer.Node().GetName())
		}
	case yuccamesh.ReceivedSections:
		m.sections = append(m.sections, e.Sections...)
	}
}

// peer returns the link to the named process.
func (m *testMember) peer(name string) *yuccamesh.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up[name]
}

// isLinked reports whether a link to the named process is open.
func (m *testMember) isLinked(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up[name] != nil
}

func (m *testMember) counts() (up, sections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.up), len(m.sections)
}

type meshRunner struct{ mesh *yuccamesh.Mesh }

func (s *meshRunner) run(ctx context.Context) { _ = s.mesh.Serve(ctx) }

func startMember(ctx context.Context, fabric *yuccamemnet.Fabric, name string, role yuccawire.Role, seeds ...string) *testMember {
	node := &yuccawire.Node{Name: name, Role: role, Address: name + ":1", Incarnation: 1}
	options := yuccamesh.Options{
		Network: fabric.Host(name), Self: node, Listen: role == yuccawire.Role_ROLE_ENTRY,
		Seeds: func() []string { return seeds }, Metrics: yuccametric.New(name), Logger: slog.New(slog.DiscardHandler),
	}
	if name == "e0" {
		options.Replica = &yuccawire.ReplicaAddress{Name: name, Address: name + "-control", Id: 1}
		options.Sections = func() []*yuccawire.Section { return []*yuccawire.Section{{Name: "whole_document", Version: 3}} }
	}
	m := &testMember{mesh: yuccamesh.New(options), up: make(map[string]*yuccamesh.Peer)}
	s := &meshRunner{mesh: m.mesh}
	go s.run(ctx)
	go m.run(ctx)
	return m
}

// Processes that start with the address of one entry discover all others,
// including those that start later, and receive replicas and sections.
func TestMembersDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		var entries []*testMember
		for i := range 5 {
			entries = append(entries, startMember(ctx, fabric, fmt.Sprintf("e%d", i), yuccawire.Role_ROLE_ENTRY, "e0:1"))
		}
		side := startMember(ctx, fabric, "s", yuccawire.Role_ROLE_SIDE, "e3:1")
		time.Sleep(3 * time.Second)
		if up, _ := side.counts(); up != 5 {
			t.Errorf("side has links to %d entries, want 5", up)
		}
		for i, e := range entries {
			if !e.isLinked("s") {
				t.Errorf("entry %d has no link to the side", i)
			}
			if _, sections := e.counts(); i > 0 && (len(e.mesh.Replicas()) != 1 || sections == 0) {
				t.Errorf("entry %d has replicas %v and received %d sections, want one replica and some sections", i, e.mesh.Replicas(), sections)
			}
		}
		late := startMember(ctx, fabric, "e5", yuccawire.Role_ROLE_ENTRY, "e2:1")
		time.Sleep(2 * time.Second)
		if !side.isLinked("e5") || !late.isLinked("s") {
			t.Error("no link between the side and an entry that started later")
		}
		cancel()
		synctest.Wait()
	})
}

// Heartbeats are only sent on idle links.
func TestEntryThatIsNeverIdleSeemsToBeOutOfContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		first := startMember(ctx, fabric, "e0", yuccawire.Role_ROLE_ENTRY, "e0:1")
		second := startMember(ctx, fabric, "e1", yuccawire.Role_ROLE_ENTRY, "e0:1")
		time.Sleep(time.Second)
		for range 400 {
			second.peer("e0").Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_EndedJobs{EndedJobs: &yuccawire.EndedJobs{}}})
			time.Sleep(50 * time.Millisecond)
			if nodes := first.mesh.RecentNodes(3 * time.Second); len(nodes) != 1 {
				t.Fatalf("in contact with %v within 3 s, want e1", nodes)
			}
		}
		cancel()
		synctest.Wait()
	})
}
