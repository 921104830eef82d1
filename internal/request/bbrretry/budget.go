package bbrretry

import "sync/atomic"

const (
	// tokenUnits is one retry.
	tokenUnits = 1000
	// depositUnits is what a first attempt adds: one retry for ten requests.
	depositUnits = tokenUnits / 10
	// capUnits is the largest balance, ten retries.
	capUnits = 10 * tokenUnits
)

// Budget bounds the retries of a pool to a tenth of its requests, with ten in
// reserve. The zero value is a full budget.
type Budget struct {
	// spent is the balance below the cap, so that zero is full.
	spent atomic.Int64
}

// Deposit is called for each first attempt.
func (b *Budget) Deposit() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-depositUnits)) {
			return
		}
	}
}

// Withdraw takes one retry and reports whether the budget had one.
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
