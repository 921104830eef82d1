package bbrscheduler

import (
	"time"
)

const (
	// checkpointedRunGrace is how long a run that saves checkpoints may continue
	// after its upstream was reserved; uncheckpointedRunGrace is the same for a run
	// that does not.
	checkpointedRunGrace   = 1200 * time.Millisecond
	uncheckpointedRunGrace = 4 * time.Second
)

// shouldEvacuate reports whether a run should leave its reserved upstream now.
// Finite work that may be almost done is waited for; long-running work leaves as
// its availability budget allows.
func (sched *Scheduler) shouldEvacuate(r *run, now time.Time) bool {
	reservedFor := now.Sub(r.up.reservedAt)
	spec := r.unit.step.spec
	switch {
	case spec.LongRunning && spec.BestEffort:
		return true
	case spec.LongRunning:
		return sched.mayLeave(r, now)
	case spec.Checkpoints:
		return reservedFor > checkpointedRunGrace
	default:
		return reservedFor > uncheckpointedRunGrace
	}
}

// mayLeave reports whether a long-running run may be stopped now to start elsewhere.
func (sched *Scheduler) mayLeave(r *run, now time.Time) bool {
	return sched.isIdle(r, now) || r.unit.withinAvailabilityBudget() && sched.earlierStopsFinished(now)
}

// isIdle reports whether a long-running unit has been listed as not working for
// longer than its recovery time. Shortly after a start, the listing may lag behind.
func (sched *Scheduler) isIdle(r *run, now time.Time) bool {
	return r.percent < fullPercent && !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) > sched.Timing.RecoveryTime
}

// earlierStopsFinished reports whether no stop ordered by an earlier owner can
// still be in progress. A run that is being stopped is listed as working until it
// ends.
func (sched *Scheduler) earlierStopsFinished(now time.Time) bool {
	return sched.firstOwner || now.Sub(sched.claimedAt) > sched.Timing.StopTimeout+stopSlack
}

// stopSlack bounds the time that a stop is in transit plus the time until the end
// of the run is listed.
const stopSlack = time.Second

// withinAvailabilityBudget reports whether the step can do without the work unit
// for a while. A step without a budget may miss one unit.
func (u *unit) withinAvailabilityBudget() bool {
	absent := 0
	for _, other := range u.step.units {
		if other != u && !other.isWorking() {
			absent++
		}
	}
	return absent < max(1, u.step.spec.MaxUnavailable)
}

// isWorking reports whether a run of a long-running unit was listed as working and
// is not being stopped.
func (u *unit) isWorking() bool {
	for _, r := range u.runs {
		if r.phase == phaseRunning && r.percent == fullPercent && r.stopSentAt.IsZero() {
			return true
		}
	}
	return false
}
