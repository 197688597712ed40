package yuccagate_test

import "math/rand"

// seededRandom makes the generated cases the same in each run.
func seededRandom() *rand.Rand { return rand.New(rand.NewSource(1)) }
