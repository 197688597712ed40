package yuccashare

import (
	"cmp"
	"slices"
)

// Claim is what a flow demands, and the weight by which it takes part in the division.
type Claim struct{ Weight, Demand float64 }

// Share is what a flow gets. IsLimited is set if that is less than its demand.
type Share struct {
	Amount    float64
	IsLimited bool
}

// Divide divides the capacity among the claims by weighted max-min fairness: a claim that
// is below its share gets its demand, and the rest is divided among the others by weight.
// What exceeds the sum of the demands is not given out. Claims without a positive weight
// and demand get nothing.
func Divide(capacity float64, claims []Claim) []Share {
	shares := make([]Share, len(claims))
	var open []int
	weight := 0.0
	for i, c := range claims {
		if c.Weight > 0 && c.Demand > 0 {
			open = append(open, i)
			weight += c.Weight
		}
	}
	// By demand for each unit of weight, the first claims are the first to be satisfied.
	slices.SortStableFunc(open, func(x, y int) int {
		return cmp.Compare(claims[x].Demand/claims[x].Weight, claims[y].Demand/claims[y].Weight)
	})
	capacity = max(capacity, 0)
	for _, i := range open {
		c := claims[i]
		level := capacity * min(c.Weight/weight, 1)
		shares[i] = Share{Amount: min(c.Demand, level), IsLimited: c.Demand > level}
		capacity = max(capacity-shares[i].Amount, 0)
		weight -= c.Weight
	}
	return shares
}
