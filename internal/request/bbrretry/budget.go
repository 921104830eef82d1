package bbrretry

import "sync/atomic"

const (
	// tokenUnits is the cost of one retry.
	tokenUnits = 1000
	// depositUnits is what a first attempt adds to the balance: one retry for
	// ten requests.
	depositUnits = tokenUnits / 10
	// capUnits is the largest balance, ten retries.
	capUnits = 10 * tokenUnits
)

// Budget limits the retries of a pool to a tenth of its requests, with a burst of
// ten. The zero value is a full budget.
type Budget struct {
	// spent is the cap minus the balance, in units, so that zero means a full
	// budget.
	spent atomic.Int64
}

// Deposit credits the budget for a request. It is called once for each request,
// at its first attempt.
func (b *Budget) Deposit() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-depositUnits)) {
			return
		}
	}
}

// Withdraw charges one retry to the budget, and reports whether the balance
// sufficed. If not, it leaves the budget unchanged.
func (b *Budget) Withdraw() bool {
	for {
		spent := b.spent.Load()
		if spent+tokenUnits > capUnits {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+tokenUnits) {
			return true
		}
	}
}
