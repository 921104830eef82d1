package bbrretry

import (
	"sync/atomic"
	"time"
)

const (
	// ejectionThreshold is how many failures in a row eject an instance.
	ejectionThreshold = 3
	// minEjection and longestEjection bound how long it gets no work.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Health is what an entry knows of one instance from its own attempts. The
// zero value is healthy.
type Health struct {
	failures atomic.Int32
	// ejectedUntil is in nanoseconds since the epoch; 0 means not ejected.
	ejectedUntil atomic.Int64
}

// RecordSuccess records a good answer.
func (h *Health) RecordSuccess() {
	if h.failures.Load() == 0 {
		return
	}
	h.failures.Store(0)
	h.ejectedUntil.Store(0)
}

// RecordFailure records a failure that the instance is blamed for. After three in a row
// the instance is ejected, each time for twice as long.
func (h *Health) RecordFailure(now time.Time) {
	count := h.failures.Add(1)
	if count < ejectionThreshold {
		return
	}
	doublings := min(count-ejectionThreshold, 5)
	duration := min(minEjection<<doublings, maxEjection)
	h.ejectedUntil.Store(now.Add(duration).UnixNano())
}

// Ejected reports whether the instance should get no work. When the time is
// over, one request after another tries it again.
func (h *Health) Ejected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}
