package yuccaplace_test

import (
	"math/rand/v2"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccaplace"
)

type place struct{ free, slots int }

func better(a, b *place) bool { return a.free*b.slots > b.free*a.slots }

func hasRoom(p *place) bool { return p.free > 0 }

func newPolicy() *yuccaplace.Policy[*place] {
	return yuccaplace.New(rand.New(rand.NewPCG(1, 1)), better)
}

func TestNearestTierFirst(t *testing.T) {
	near, far := &place{1, 8}, &place{8, 8}
	tiers := [][]*place{{near}, {far}}
	if p, ok := newPolicy().Choose(tiers, hasRoom); !ok || p != near {
		t.Error("a farther place was chosen while a nearer one has room")
	}
	near.free = 0
	if p, ok := newPolicy().Choose(tiers, hasRoom); !ok || p != far {
		t.Error("no spill-over to the farther place")
	}
}

// The last place with room is found, wherever it stands.
func TestOnlyPlaceWithRoomIsFound(t *testing.T) {
	policy := newPolicy()
	for i := range 1100 {
		tier := make([]*place, 1100)
		for j := range tier {
			tier[j] = &place{0, 8}
		}
		tier[i].free = 1
		if p, ok := policy.Choose([][]*place{tier}, hasRoom); !ok || p != tier[i] {
			t.Fatalf("place %d was not found", i)
		}
	}
	if _, ok := policy.Choose([][]*place{{{0, 8}}, nil}, hasRoom); ok {
		t.Error("a place without room was chosen")
	}
}

// Two choices keep the load more even than one.
func TestTwoChoicesSpreadLoad(t *testing.T) {
	tier := make([]*place, 100)
	for i := range tier {
		tier[i] = &place{100, 100}
	}
	policy := newPolicy()
	for range 5000 {
		p, _ := policy.Choose([][]*place{tier}, hasRoom)
		p.free--
	}
	for i, p := range tier {
		if p.free < 40 || p.free > 60 {
			t.Errorf("place %d has %d free, expected 40 to 60", i, p.free)
		}
	}
}

func BenchmarkChooseAmong1100(b *testing.B) {
	tier := make([]*place, 1100)
	for i := range tier {
		tier[i] = &place{free: i % 4, slots: 8}
	}
	tiers := [][]*place{tier}
	policy := newPolicy()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := policy.Choose(tiers, hasRoom); !ok {
			b.Fatal("no place")
		}
	}
}

func BenchmarkChooseFull(b *testing.B) {
	tier := make([]*place, 1100)
	for i := range tier {
		tier[i] = &place{slots: 8}
	}
	tiers := [][]*place{tier}
	policy := newPolicy()
	b.ReportAllocs()
	for b.Loop() {
		policy.Choose(tiers, hasRoom)
	}
}
