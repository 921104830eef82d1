package bbradmission

import (
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Queue is the live state of a service queue at one entry.
type Queue struct {
	waiting  atomic.Int64
	RunTimes MovingAverage
}

// Waiting returns how many requests of the queue wait.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Enter counts a waiting request, unless the queue is at its bound.
func (q *Queue) Enter(bound int) bool {
	if q.waiting.Add(1) > int64(bound) {
		q.waiting.Add(-1)
		return false
	}
	return true
}

// Leave ends the wait of a request.
func (q *Queue) Leave() { q.waiting.Add(-1) }

// Team is the live state of a team at one entry.
type Team struct {
	inProgress atomic.Int64
}

// Enter counts a request in progress, unless the team has used its quota. A
// quota of 0 means no limit.
func (t *Team) Enter(quota int) bool {
	if n := t.inProgress.Add(1); quota > 0 && n > int64(quota) {
		t.inProgress.Add(-1)
		return false
	}
	return true
}

// Leave ends a request in progress.
func (t *Team) Leave() { t.inProgress.Add(-1) }

// Backlog is what a request that has to wait finds.
type Backlog struct {
	// Waiting is how many requests wait already.
	Waiting int
	// Slots is the entry's share of the pool.
	Slots    int
	RunTime  time.Duration
	Deadline time.Time
}

// ExpectedWait returns the expected wait, or 0 while nothing is known.
func (l Backlog) ExpectedWait() time.Duration {
	if l.Slots == 0 {
		return 0
	}
	return l.RunTime * time.Duration(l.Waiting+1) / time.Duration(l.Slots)
}

// CheckDeadline returns DeadlineTooShort where the work is not expected to
// start before its deadline, and 0 otherwise.
func (l Backlog) CheckDeadline(now time.Time) bbrcode.Code {
	if now.Add(l.ExpectedWait()).After(l.Deadline) {
		return bbrcode.DeadlineTooShort
	}
	return 0
}
