package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// suspectStreak is the number of consecutive failures that makes an upstream
	// suspect. A single failure is more likely the work unit's own fault.
	suspectStreak = 2
	// suspectPeriod is how long a suspect upstream is avoided after its last
	// failure.
	suspectPeriod = 4 * time.Second
)

// health tracks the failures of runs on an upstream.
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

// unhealthyOutcome counts a refusal by an unhealthy upstream as a failure.
const unhealthyOutcome = bbrwork.OutcomeFailed
