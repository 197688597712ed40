// Package yuccaplace chooses the candidate that gets the next task.
//
// The candidates stand in tiers, the nearest first. Within a tier the policy
// draws two that have room and takes the better one; a farther tier is used
// when the nearer ones have no room.
//
// # Usage
//
//	policy := yuccaplace.New[*side](random, better)
//	chosen, ok := policy.Choose(tiers, hasRoom)
package yuccaplace

import "math/rand/v2"

// probes is the number of random draws before all candidates are looked at.
const maxProbes = 8

// Policy is a choice between two random candidates. It allocates nothing.
type Policy[C any] struct {
	random *rand.Rand
	better func(a, b C) bool
}

// New returns a policy that prefers what better tells it to.
func New[C any](random *rand.Rand, better func(a, b C) bool) *Policy[C] {
	return &Policy[C]{random: random, better: better}
}

// Choose returns a candidate that has room, of the nearest tier where there is
// one.
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

// scan looks at all candidates, from a random one on.
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
