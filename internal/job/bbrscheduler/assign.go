package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// leftCapacity is the capacity of an upstream with long-running work that is not assigned to
// a step.
type leftCapacity struct {
	up *upstream
	// free is free now, and besideLongRunning is once finite work has ended.
	free, besideLongRunning bbrwork.Resources
}

// unitsAtOnce returns how many of the step's work units need a place at once, of those that
// need one at all. Long-running units and gangs need all at once; other units run one after
// the other if there is time for that.
func (s *step) unitsAtOnce(units int, now time.Time) float64 {
	if s.spec.LongRunning || s.spec.Gang {
		return float64(units)
	}
	available := overdueSpread
	if deadline := s.job.objective(s.occurrence); s.occurrence.canMeet(deadline, now) {
		available = s.timeUntil(deadline, now)
	}
	return float64(units) / float64(s.roundsWithin(available))
}

// assignBesideLongRunning assigns places on upstreams with long-running work to work units of
// the step, and returns the number of units that get none. A place is assigned once.
func (w *wideWork) assignBesideLongRunning(need wideStep, units float64) float64 {
	for i := range w.left {
		if units <= 0 {
			break
		}
		if left := &w.left[i]; w.placesOn(need, left.up) > 0 {
			units -= w.assign(need, units, left)
		}
	}
	return max(0, units)
}

// assign assigns at most units places on an upstream, and returns their number. Units of the
// step that run there keep theirs.
func (w *wideWork) assign(need wideStep, units float64, left *leftCapacity) float64 {
	if !need.spec.LongRunning && !w.fillsUpstream(need.step) {
		return need.allocate(&left.besideLongRunning, units)
	}
	running := need.runCounts[left.up]
	kept := 0.0
	if !need.spec.LongRunning {
		kept = min(units, float64(running))
	}
	places := min(need.fitCount(left.free), need.fitCount(left.besideLongRunning), need.upstreamLimitLeft(running))
	more := min(units-kept, float64(places))
	left.free = left.free.Minus(need.allocationOf(more))
	left.besideLongRunning = left.besideLongRunning.Minus(need.allocationOf(kept + more))
	return kept + more
}
