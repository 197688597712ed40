package yuccamodel_test

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var firstFaults = flag.Int("first-faults", 60, "number of first faults of TestPairsOfFaults in each scenario")

// secondFaults is how many faults are drawn to follow each first one.
const secondFaults = 8

// TestPairsOfFaults draws pairs: first faults, and for each of them several that follow.
func TestPairsOfFaults(t *testing.T) {
	for number, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			singles := singleFaults(sc)
			plays := make([]*play, *firstFaults*secondFaults)
			following := make([]int, *firstFaults)
			forEach(*firstFaults, func(i int) {
				random := rand.New(rand.NewPCG(*firstSeed+uint64(i), uint64(number)))
				first := singles[random.IntN(len(singles))]
				seconds := followingFaults(sc, []fault{first})
				following[i] = len(seconds)
				for k := range secondFaults {
					plays[i*secondFaults+k] = explore(sc, []fault{first, seconds[random.IntN(len(seconds))]})
				}
			})
			outcomes, all := make(map[string]int), 0
			for _, n := range following {
				all += n
			}
			for _, p := range plays {
				outcomes[p.outcome()]++
				if p.Failed() {
					t.Errorf("%s\n%s", p.violations[0], writeSchedule(sc, p.faults))
				}
			}
			t.Logf("%d of %d plays after %d of %d first faults: %v", len(plays), all, *firstFaults, len(singles), outcomes)
		})
	}
}
