package bbrowner

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// loggedPlanDelay is the delay above which a late planning round is logged: five
	// intervals, and short compared with the lease of a run.
	loggedPlanDelay = 500 * time.Millisecond
	// planDelayLogInterval is the least time between two log lines about late rounds.
	planDelayLogInterval = time.Second
)

// planDelays measures by how much planning rounds begin late. The zero value is ready to
// use.
type planDelays struct {
	// previous is when the last round began, zero before the first one, and took is how
	// long it took, with the wait for the owner's lock.
	previous time.Time
	took     time.Duration
	// loggedAt is when late rounds were last logged, and omitted counts the late rounds
	// since then that were not.
	loggedAt time.Time
	omitted  int
}

// begin records that a round begins, and returns its delay. It returns false for the first
// round, which has none.
func (d *planDelays) begin(now time.Time) (time.Duration, bool) {
	previous := d.previous
	d.previous = now
	if previous.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(previous)-planInterval), true
}

// end records that the planning of the present round has ended.
func (d *planDelays) end(now time.Time) { d.took = now.Sub(d.previous) }

// mustLog reports whether the delay of a round that begins is to be logged. omitted is the
// number of late rounds before it that were not.
func (d *planDelays) mustLog(delay time.Duration, now time.Time) (omitted int, ok bool) {
	if delay <= loggedPlanDelay {
		return 0, false
	}
	if !d.loggedAt.IsZero() && now.Sub(d.loggedAt) < planDelayLogInterval {
		d.omitted++
		return 0, false
	}
	omitted = d.omitted
	d.loggedAt, d.omitted = now, 0
	return omitted, true
}

// recordRound records by how much the round that begins is late.
func (o *Owner) recordRound(now time.Time) {
	delay, measured := o.delays.begin(now)
	if !measured {
		return
	}
	o.Metrics.PlanDelay(delay)
	if omitted, ok := o.delays.mustLog(delay, now); ok {
		klog.InfoS("Planning rounds are late", "shard", o.Shard, "token", o.Held.Token, "delay", delay.Round(time.Millisecond),
			"lastPlanTook", o.delays.took.Round(time.Millisecond), "omitted", omitted)
	}
}
