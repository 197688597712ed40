package yuccadispatch

import "testing"

// If every task fails, the number of retries is a tenth of the number of starts
// once the initial tokens are used up.
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
		t.Errorf("got %d retries for 10,000 starts, want 1,000 to 1,100", retries)
	}
}
