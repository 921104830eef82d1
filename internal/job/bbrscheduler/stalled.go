package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// A run is stalled once it has been listed without another percent for
	// stallFactor times its estimate, and for minStallTime at least. At one percent
	// in that time it would take hundreds of times its estimate.
	stallFactor  = 4
	minStallTime = 10 * time.Second
	// maxListingGap bounds what the time between two listings counts for, as the
	// upstream itself may have been suspended meanwhile.
	maxListingGap = 2 * time.Second
	// maxStallDoublings bounds how often the time is doubled for a work unit that
	// stalls wherever it runs.
	maxStallDoublings = 6
)

const reasonStalled = "stands still"

// applyProgress updates the progress of the run from a listing.
func (r *run) applyProgress(running bbrwork.Run, now time.Time) {
	if running.Percent > r.percent || running.Percent == fullPercent || r.listedAt.IsZero() {
		r.stalledFor = 0
	} else {
		r.stalledFor += min(now.Sub(r.listedAt), maxListingGap)
	}
	r.listedAt = now
	r.percent, r.tailLatency = running.Percent, running.TailLatency
}

// stalled reports whether the run has stopped making progress. The check excludes
// long-running work, which reports no progress; best-effort work, which may get no
// CPU time; gangs, whose members wait for each other; and runs without a first
// percent, which may be fetching their input.
func (r *run) stalled() bool {
	u, spec := r.unit, r.unit.step.spec
	if spec.LongRunning || spec.BestEffort || spec.Gang || r.phase != phaseRunning || r.percent == 0 {
		return false
	}
	limit := max(minStallTime, stallFactor*max(spec.Estimate, u.step.runTime)) << min(u.stalledRuns, maxStallDoublings)
	return r.stalledFor >= limit
}

// hasStalledRun reports whether a run on the upstream is stalled.
func (up *upstream) hasStalledRun() bool {
	for _, r := range up.runs {
		if r.stalled() {
			return true
		}
	}
	return false
}

// planStallStops plans the stops of stalled runs whose work units could run
// elsewhere. A unit is started there only once the end of its run is listed.
func (p *planner) planStallStops() {
	for _, up := range p.sched.sortedUpstreams() {
		for _, r := range up.runs {
			if r.stopReason == "" && r.stalled() && p.canRunElsewhere(r) {
				r.stopReason = reasonStalled
				r.unit.stalledRuns++
				r.unit.avoidUpstream = up.ID
				p.planStop(r, reasonStalled)
			}
		}
	}
}

// canRunElsewhere reports whether another upstream without stalled runs can take
// the run's work unit now.
func (p *planner) canRunElsewhere(r *run) bool {
	for _, other := range p.usable {
		if other != r.up && p.mayRun(r.unit, other) && !other.hasStalledRun() {
			return true
		}
	}
	return false
}
