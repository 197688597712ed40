package yuccamesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamem"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// member is one process of a test's mesh.
type member struct {
	mesh  *yuccamesh.Mesh
	mu    sync.Mutex
	up    map[string]*yuccamesh.Peer
	taken []*yuccawire.Section
}

func (m *member) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.mesh.Events():
			m.mu.Lock()
			switch e := e.(type) {
			case yuccamesh.Up:
				m.up[e.Peer.Node().GetName()] = e.Peer
			case yuccamesh.Down:
				if m.up[e.Peer.Node().GetName()] == e.Peer {
					delete(m.up, e.Peer.Node().GetName())
				}
			case yuccamesh.Sections:
				m.taken = append(m.taken, e.Sections...)
			}
			m.mu.Unlock()
		}
	}
}

// linked tells whether the process has a link with the other.
func (m *member) linked(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up[name] != nil
}

func (m *member) links() (up, taken int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.up), len(m.taken)
}

type service struct{ mesh *yuccamesh.Mesh }

func (s *service) run(ctx context.Context) { _ = s.mesh.Serve(ctx) }

func start(ctx context.Context, fabric *yuccamem.Fabric, name string, role yuccawire.Role, seeds ...string) *member {
	node := &yuccawire.Node{Name: name, Role: role, Address: name + ":1", Incarnation: 1}
	options := yuccamesh.Options{
		Network: fabric.Host(name), Self: node, Listen: role == yuccawire.Role_ROLE_ENTRY,
		Seeds: func() []string { return seeds }, Metrics: yuccametric.New(name), Logger: slog.New(slog.DiscardHandler),
	}
	if name == "e0" {
		options.Replica = &yuccawire.ReplicaAddress{Name: name, Address: name + "-control", Id: 1}
		options.Sections = func() []*yuccawire.Section { return []*yuccawire.Section{{Name: "whole_document", Version: 3}} }
	}
	m := &member{mesh: yuccamesh.New(options), up: make(map[string]*yuccamesh.Peer)}
	s := &service{mesh: m.mesh}
	go s.run(ctx)
	go m.run(ctx)
	return m
}

// Processes that know one entry find all, also those that start later, and hear
// of replicas and of what is in force.
func TestFindsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamem.New(yuccamem.Options{Delay: time.Millisecond, Seed: 1})
		var entries []*member
		for i := range 5 {
			entries = append(entries, start(ctx, fabric, fmt.Sprintf("e%d", i), yuccawire.Role_ROLE_ENTRY, "e0:1"))
		}
		side := start(ctx, fabric, "s", yuccawire.Role_ROLE_SIDE, "e3:1")
		time.Sleep(3 * time.Second)
		if up, _ := side.links(); up != 5 {
			t.Errorf("the side is linked with %d entries, want 5", up)
		}
		for i, e := range entries {
			if !e.linked("s") {
				t.Errorf("entry %d is not linked with the side", i)
			}
			if _, taken := e.links(); i > 0 && (len(e.mesh.Replicas()) != 1 || taken == 0) {
				t.Errorf("entry %d knows replicas %v and took %d sections", i, e.mesh.Replicas(), taken)
			}
		}
		late := start(ctx, fabric, "e5", yuccawire.Role_ROLE_ENTRY, "e2:1")
		time.Sleep(2 * time.Second)
		if !side.linked("e5") || !late.linked("s") {
			t.Error("an entry that started later is not linked with the side")
		}
		cancel()
		synctest.Wait()
	})
}
