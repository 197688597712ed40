package yuccadispatch

import "testing"

// When everything fails, retries come to a tenth of the starts after the first
// burst.
func TestRetryBudgetBoundsTheLoad(t *testing.T) {
	b := newRetryBudget()
	retries := 0
	for range 10_000 {
		b.earn()
		if b.spend() {
			retries++
		}
	}
	if retries > maxRetries+1000 || retries < 1000 {
		t.Errorf("%d retries for 10,000 starts, expected 1,000 to 1,100", retries)
	}
}
