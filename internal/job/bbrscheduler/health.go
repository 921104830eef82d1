package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// suspectStreak is how many failures in a row make an upstream suspect. One
	// alone is more likely the work unit's own.
	suspectStreak = 2
	// suspectPeriod is how long a suspect is avoided after its last failure.
	suspectPeriod = 4 * time.Second
)

// health is what an upstream's ends say of it.
type health struct {
	streak      int
	lastFailure time.Time
}

func (h *health) recordEnd(outcome bbrwork.RunOutcome, now time.Time) {
	switch outcome {
	case bbrwork.OutcomeDone:
		h.streak = 0
	case bbrwork.OutcomeFailed:
		h.streak++
		h.lastFailure = now
	}
}

func (h *health) suspect(now time.Time) bool {
	return h.streak >= suspectStreak && now.Sub(h.lastFailure) < suspectPeriod
}

// unhealthyOutcome counts a refusal by an unhealthy upstream like a failure.
const unhealthyOutcome = bbrwork.OutcomeFailed
