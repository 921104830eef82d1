package bbrintake

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// cancelRate is how many IDs without a job an organisation may cancel at an entry, a second,
	// and cancelBurst how many at once. Each of them is a record in the store for as long as the
	// status of a job is kept.
	cancelRate  = 20
	cancelBurst = 100
)

// CancelBudget bounds the cancellations of IDs without a job, by organisation. The zero value is
// ready to use.
type CancelBudget struct {
	mu sync.Mutex
	// limiters has one entry for each organisation that has cancelled such an ID. Callers without
	// a key share one.
	limiters map[string]*rate.Limiter
}

// take reports whether the organisation may cancel another such ID now.
func (b *CancelBudget) take(organisation string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiters[organisation]
	if limiter == nil {
		if b.limiters == nil {
			b.limiters = make(map[string]*rate.Limiter)
		}
		limiter = rate.NewLimiter(cancelRate, cancelBurst)
		b.limiters[organisation] = limiter
	}
	return limiter.AllowN(now, 1)
}
