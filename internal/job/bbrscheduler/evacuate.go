package bbrscheduler

import (
	"time"
)

const (
	// checkpointedRunGrace is how long a run that saves its progress may go on after its
	// upstream was reserved, and loseAfter one that does not.
	checkpointedRunGrace   = 1200 * time.Millisecond
	uncheckpointedRunGrace = 4 * time.Second
)

// shouldEvacuate tells whether a run should leave its reserved upstream now. Work
// that is almost done is waited for; lasting work leaves as its availability
// budget allows.
func (sched *Scheduler) shouldEvacuate(r *run, now time.Time) bool {
	reservedFor := now.Sub(r.up.reservedAt)
	shape := r.unit.step.shape
	switch {
	case shape.LongRunning && shape.BestEffort:
		return true
	case shape.LongRunning:
		return sched.isIdle(r, now) || r.unit.withinAvailabilityBudget() && sched.earlierStopsFinished(now)
	case shape.Checkpoints:
		return reservedFor > checkpointedRunGrace
	default:
		return reservedFor > uncheckpointedRunGrace
	}
}

// isIdle tells whether lasting work has been listed as not at work for so long
// that it is. Shortly after its start, a listing may be behind.
func (sched *Scheduler) isIdle(r *run, now time.Time) bool {
	return r.percent < fullPercent && !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) > sched.Timing.RecoveryTime
}

// earlierStopsFinished tells whether no stop that an earlier owner ordered can be under
// way: a run that is being stopped is still listed as at work.
func (sched *Scheduler) earlierStopsFinished(now time.Time) bool {
	return sched.firstOwner || now.Sub(sched.claimedAt) > sched.Timing.StopTimeout+stopSlack
}

// stopSlack is how long a stop may be on its way, and its end until it is
// listed.
const stopSlack = time.Second

// withinAvailabilityBudget tells whether the work unit's step can do without it for a while. A
// step without a budget is treated as one that can miss one.
func (u *unit) withinAvailabilityBudget() bool {
	absent := 0
	for _, other := range u.step.units {
		if other != u && !other.isWorking() {
			absent++
		}
	}
	return absent < max(1, u.step.shape.MaxUnavailable)
}

// isWorking tells whether a lasting work unit was listed as working and is not
// being stopped.
func (u *unit) isWorking() bool {
	for _, r := range u.runs {
		if r.phase == phaseRunning && r.percent == fullPercent && r.stopSentAt.IsZero() {
			return true
		}
	}
	return false
}
