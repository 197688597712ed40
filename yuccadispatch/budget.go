package yuccadispatch

// Retries are limited to a fraction of the first starts, so that a fault that
// makes every task fail does not multiply the load.
const (
	retriesPerStart = 0.1
	maxRetryTokens  = 100
)

// retryBudget is a token bucket that limits retries. A retry costs one token.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// deposit credits the budget for the first start of a task.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens) }

// tryWithdraw takes the token for one retry. It returns false if there is none.
func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
