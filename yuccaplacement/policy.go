// Package yuccaplacement chooses the placement of a task by the power of two choices.
//
// The candidates are grouped in tiers, the nearest first. Within a tier the policy
// draws two random candidates with capacity and takes the better one. A farther
// tier is used only if no candidate in the nearer ones has capacity.
//
// # Usage
//
//	policy := yuccaplacement.New[*side](random, better)
//	chosen, ok := policy.Choose(tiers, hasCapacity)
package yuccaplacement

import "math/rand/v2"

// maxProbes is the number of random draws before all candidates are scanned.
const maxProbes = 8

// Policy chooses the better of two random candidates. It does not allocate, and is
// not safe for concurrent use.
type Policy[C any] struct {
	random *rand.Rand
	better func(a, b C) bool
}

// New returns a policy that prefers candidate a to b if better(a, b) is true. It
// draws candidates from random.
func New[C any](random *rand.Rand, better func(a, b C) bool) *Policy[C] {
	return &Policy[C]{random: random, better: better}
}

// Choose returns a candidate with capacity from the nearest tier that has one. It
// returns false if there is none.
func (p *Policy[C]) Choose(tiers [][]C, hasCapacity func(c C) bool) (chosen C, ok bool) {
	for _, tier := range tiers {
		if chosen, ok = p.chooseIn(tier, hasCapacity); ok {
			return chosen, true
		}
	}
	return chosen, false
}

func (p *Policy[C]) chooseIn(tier []C, hasCapacity func(c C) bool) (chosen C, ok bool) {
	if len(tier) == 0 {
		return chosen, false
	}
	for range maxProbes {
		c := tier[p.random.IntN(len(tier))]
		if !hasCapacity(c) {
			continue
		}
		if ok {
			if p.better(c, chosen) {
				chosen = c
			}
			return chosen, true
		}
		chosen, ok = c, true
	}
	if ok {
		return chosen, true
	}
	return p.scan(tier, hasCapacity)
}

// scan returns the first candidate with capacity, starting from a random one.
func (p *Policy[C]) scan(tier []C, hasCapacity func(c C) bool) (chosen C, ok bool) {
	first := p.random.IntN(len(tier))
	for i := range tier {
		c := tier[(first+i)%len(tier)]
		if hasCapacity(c) {
			return c, true
		}
	}
	return chosen, false
}
