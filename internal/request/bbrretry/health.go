package bbrretry

import (
	"sync/atomic"
	"time"
)

const (
	// ejectionThreshold is the number of consecutive failures that ejects an
	// instance.
	ejectionThreshold = 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Health is the health of one instance, as seen from the attempts of one entry.
// The zero value is healthy.
type Health struct {
	// failures counts the failures since the last success.
	failures atomic.Int32
	// ejectedUntil is in nanoseconds since the epoch; 0 means not ejected.
	ejectedUntil atomic.Int64
}

// RecordSuccess records a successful attempt and ends any ejection.
func (h *Health) RecordSuccess() {
	if h.failures.Load() == 0 {
		return
	}
	h.failures.Store(0)
	h.ejectedUntil.Store(0)
}

// RecordFailure records a failure attributed to the instance. From the third
// consecutive failure on, each failure ejects the instance, for twice as long as
// the one before, up to maxEjection.
func (h *Health) RecordFailure(now time.Time) {
	count := h.failures.Add(1)
	if count < ejectionThreshold {
		return
	}
	doublings := min(count-ejectionThreshold, 5)
	duration := min(minEjection<<doublings, maxEjection)
	h.ejectedUntil.Store(now.Add(duration).UnixNano())
}

// Ejected reports whether the instance should get no requests. After an ejection
// it gets requests again; the next failure ejects it again.
func (h *Health) Ejected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}
