package yuccadispatch

// Retries are paid from a budget that starts fill, so that a fault which makes
// everything fail can't multiply the load.
const (
	retriesPerStart = 0.1
	maxRetryTokens  = 100
)

// retryBudget is what may be spent on starting tasks again.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// earn takes in a first start.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens) }

// spend pays for one retry. It returns false when the budget is used up.
func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
