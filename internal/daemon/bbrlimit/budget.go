package bbrlimit

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// smallBody is the part of a body that may use the whole budget. Submissions of jobs are
// usually smaller, so that they are admitted while large bodies use up their part.
const smallBody = 16 << 10

// budget bounds the bytes that are held for clients.
type budget struct {
	all *semaphore.Weighted
	// large bounds the bytes beyond smallBody of all bodies.
	large *semaphore.Weighted
	held  atomic.Int64
}

func newBudget(size int64) *budget {
	return &budget{all: semaphore.NewWeighted(size), large: semaphore.NewWeighted(size - size/4)}
}

// charge is what one client's body takes of a budget.
type charge struct {
	budget *budget
	held   int64
}

// add charges n more bytes. It returns false, and charges nothing, if they exceed the
// budget.
func (c *charge) add(n int64) bool {
	large := beyondSmall(c.held+n) - beyondSmall(c.held)
	if large > 0 && !c.budget.large.TryAcquire(large) {
		return false
	}
	if !c.budget.all.TryAcquire(n) {
		c.releaseLarge(large)
		return false
	}
	c.held += n
	c.budget.held.Add(n)
	return true
}

// release returns everything to the budget. It may be called again.
func (c *charge) release() {
	if c.held == 0 {
		return
	}
	c.releaseLarge(beyondSmall(c.held))
	c.budget.all.Release(c.held)
	c.budget.held.Add(-c.held)
	c.held = 0
}

func (c *charge) releaseLarge(n int64) {
	if n > 0 {
		c.budget.large.Release(n)
	}
}

func beyondSmall(n int64) int64 { return max(0, n-smallBody) }
