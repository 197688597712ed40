package yuccagate_test

import "math/rand"

// seededRandom returns a source with a fixed seed, so that the generated cases
// are reproducible.
func seededRandom() *rand.Rand { return rand.New(rand.NewSource(1)) }
