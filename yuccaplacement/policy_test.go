package yuccaplacement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
)

type candidate struct{ free, slots int }

func better(a, b *candidate) bool { return a.free*b.slots > b.free*a.slots }

func hasCapacity(p *candidate) bool { return p.free > 0 }

func newPolicy() *yuccaplacement.Policy[*candidate] {
	return yuccaplacement.New(rand.New(rand.NewPCG(1, 1)), better)
}

func TestNearestTierFirst(t *testing.T) {
	near, far := &candidate{1, 8}, &candidate{8, 8}
	tiers := [][]*candidate{{near}, {far}}
	if p, ok := newPolicy().Choose(tiers, hasCapacity); !ok || p != near {
		t.Error("a farther candidate was chosen while a nearer one has capacity")
	}
	near.free = 0
	if p, ok := newPolicy().Choose(tiers, hasCapacity); !ok || p != far {
		t.Error("the farther candidate was not chosen although the nearer one is full")
	}
}

// A single candidate with capacity is found at any position.
func TestOnlyFreeCandidateIsFound(t *testing.T) {
	policy := newPolicy()
	for i := range 1100 {
		tier := make([]*candidate, 1100)
		for j := range tier {
			tier[j] = &candidate{0, 8}
		}
		tier[i].free = 1
		if p, ok := policy.Choose([][]*candidate{tier}, hasCapacity); !ok || p != tier[i] {
			t.Fatalf("candidate %d was not found", i)
		}
	}
	if _, ok := policy.Choose([][]*candidate{{{0, 8}}, nil}, hasCapacity); ok {
		t.Error("a candidate without capacity was chosen")
	}
}

// The better of two random candidates keeps the load even: all candidates stay
// within 10 of the mean of 50.
func TestTwoChoicesBalanceLoad(t *testing.T) {
	tier := make([]*candidate, 100)
	for i := range tier {
		tier[i] = &candidate{100, 100}
	}
	policy := newPolicy()
	for range 5000 {
		p, _ := policy.Choose([][]*candidate{tier}, hasCapacity)
		p.free--
	}
	for i, p := range tier {
		if p.free < 40 || p.free > 60 {
			t.Errorf("candidate %d has %d free, expected 40 to 60", i, p.free)
		}
	}
}

func BenchmarkChooseAmong1100(b *testing.B) {
	tier := make([]*candidate, 1100)
	for i := range tier {
		tier[i] = &candidate{free: i % 4, slots: 8}
	}
	tiers := [][]*candidate{tier}
	policy := newPolicy()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := policy.Choose(tiers, hasCapacity); !ok {
			b.Fatal("no candidate was chosen")
		}
	}
}

func BenchmarkChooseFull(b *testing.B) {
	tier := make([]*candidate, 1100)
	for i := range tier {
		tier[i] = &candidate{slots: 8}
	}
	tiers := [][]*candidate{tier}
	policy := newPolicy()
	b.ReportAllocs()
	for b.Loop() {
		policy.Choose(tiers, hasCapacity)
	}
}
