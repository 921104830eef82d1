package bbradmission

import (
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Queue is the state of a queue at one entry.
type Queue struct {
	waiting atomic.Int64
	// RunTimes is the average run time of the queue's requests.
	RunTimes MovingAverage
}

// Waiting returns the number of the queue's requests that wait for a slot.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Enter counts a waiting request. It returns false if the queue is at its bound.
func (q *Queue) Enter(bound int) bool {
	if q.waiting.Add(1) > int64(bound) {
		q.waiting.Add(-1)
		return false
	}
	return true
}

// Leave removes a request that was counted by Enter.
func (q *Queue) Leave() { q.waiting.Add(-1) }

// Team is the state of a team at one entry.
type Team struct {
	inProgress atomic.Int64
}

// Enter counts a request in progress. It returns false if the team has used up
// its quota. A quota of 0 means no limit.
func (t *Team) Enter(quota int) bool {
	if n := t.inProgress.Add(1); quota > 0 && n > int64(quota) {
		t.inProgress.Add(-1)
		return false
	}
	return true
}

// Leave removes a request that was counted by Enter.
func (t *Team) Leave() { t.inProgress.Add(-1) }

// Backlog describes the wait that a new request faces, and its deadline.
type Backlog struct {
	// Waiting is the number of requests that wait already.
	Waiting int
	// Slots is the entry's share of the pool.
	Slots int
	// RunTime is the average run time of a request, or 0 if none is known.
	RunTime  time.Duration
	Deadline time.Time
}

// ExpectedWait returns how long the request is expected to wait for a slot, or 0
// if the run time is not known or the entry has no slots.
func (l Backlog) ExpectedWait() time.Duration {
	if l.Slots == 0 {
		return 0
	}
	return l.RunTime * time.Duration(l.Waiting+1) / time.Duration(l.Slots)
}

// CheckDeadline returns DeadlineTooShort if the request is not expected to start
// before its deadline, and 0 otherwise.
func (l Backlog) CheckDeadline(now time.Time) bbrcode.Code {
	if now.Add(l.ExpectedWait()).After(l.Deadline) {
		return bbrcode.DeadlineTooShort
	}
	return 0
}
