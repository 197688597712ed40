package yuccadispatch

// Retries are paid from a budget that starts fill, so that a fault which makes
// everything fail can't multiply the load.
const (
	retryPerStart = 0.1
	maxRetries    = 100
)

// retryBudget is what may be spent on starting tasks again.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetries} }

// earn takes in a first start.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryPerStart, maxRetries) }

// spend pays for one retry. It returns false when the budget is used up.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
