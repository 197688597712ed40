package yuccadispatch

import "testing"

// When everything fails, retries come to a tenth of the starts after the first
// burst.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := newRetryBudget()
	retries := 0
	for range 10_000 {
		b.deposit()
		if b.tryWithdraw() {
			retries++
		}
	}
	if retries > maxRetryTokens+1000 || retries < 1000 {
		t.Errorf("%d retries for 10,000 starts, expected 1,000 to 1,100", retries)
	}
}
