package bbrscheduler

import (
	"time"
)

const (
	// saveAfter is how long a run that saves its progress may go on after its
	// upstream was reserved, and loseAfter one that does not.
	saveAfter = 1200 * time.Millisecond
	loseAfter = 4 * time.Second
)

// evacuate tells whether a run should leave its reserved upstream now. Work
// that is almost done is waited for; lasting work leaves as its availability
// budget allows.
func (l *Scheduler) evacuate(r *run, now time.Time) bool {
	reserved := now.Sub(r.up.reserved)
	shape := r.unit.step.shape
	switch {
	case shape.Lasting && shape.Fills:
		return true
	case shape.Lasting:
		return l.idles(r, now) || r.unit.mayMiss() && l.stopsKnown(now)
	case shape.Checkpoints:
		return reserved > saveAfter
	default:
		return reserved > loseAfter
	}
}

// idles tells whether lasting work has been listed as not at work for so long
// that it is. Shortly after its start, a listing may be behind.
func (l *Scheduler) idles(r *run, now time.Time) bool {
	return r.percent < fullPercent && !r.confirmed.IsZero() && now.Sub(r.confirmed) > l.Timing.RecoveryTime
}

// stopsKnown tells whether no stop that an earlier owner ordered can be under
// way: a run that is being stopped is still listed as at work.
func (l *Scheduler) stopsKnown(now time.Time) bool {
	return l.fresh || now.Sub(l.began) > l.Timing.StopTimeout+stopSlack
}

// stopSlack is how long a stop may be on its way, and its end until it is
// listed.
const stopSlack = time.Second

// mayMiss tells whether the work unit's step can do without it for a while. A
// step without a budget is treated as one that can miss one.
func (u *unit) mayMiss() bool {
	away := 0
	for _, other := range u.step.units {
		if other != u && !other.atWork() {
			away++
		}
	}
	return away < max(1, u.step.shape.MayMiss)
}

// atWork tells whether a lasting work unit was listed as working and is not
// being stopped.
func (u *unit) atWork() bool {
	for _, r := range u.runs {
		if r.phase == phaseRunning && r.percent == fullPercent && r.stopSent.IsZero() {
			return true
		}
	}
	return false
}
