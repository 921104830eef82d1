package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// stallFactor times its estimate, and standLeast at least, is how long a run is
	// listed without another percent before it stands still: it would take hundreds of
	// times its estimate.
	stallFactor  = 4
	minStallTime = 10 * time.Second
	// maxListingGap bounds what the time between two listings counts for: the upstream may
	// itself have been away meanwhile.
	maxListingGap = 2 * time.Second
	// maxStallDoublings bounds how often the time doubles for a work unit that stands still
	// wherever it runs.
	maxStallDoublings = 6
)

const reasonStalled = "stands still"

// applyProgress applies a listing to how far the run is.
func (r *run) applyProgress(running bbrwork.Run, now time.Time) {
	if running.Percent > r.percent || running.Percent == fullPercent || r.listedAt.IsZero() {
		r.stalledFor = 0
	} else {
		r.stalledFor += min(now.Sub(r.listedAt), maxListingGap)
	}
	r.listedAt = now
	r.percent, r.tailLatency = running.Percent, running.TailLatency
}

// stalled tells whether the run has stopped making progress. Lasting work makes none,
// filling work may get no processor time, a gang waits for its members, and a run that
// has not got its first percent may be fetching what it needs.
func (r *run) stalled() bool {
	u, shape := r.unit, r.unit.step.shape
	if shape.LongRunning || shape.BestEffort || shape.Gang || r.phase != phaseRunning || r.percent == 0 {
		return false
	}
	limit := max(minStallTime, stallFactor*shape.Estimate) << min(u.stalledRuns, maxStallDoublings)
	return r.stalledFor >= limit
}

// hasStalledRun tells whether a run on the upstream stands still.
func (up *upstream) hasStalledRun() bool {
	for _, r := range up.runs {
		if r.stalled() {
			return true
		}
	}
	return false
}

// planStallStops plans the stops of runs that stand still and could run elsewhere. They are
// begun there only once their end is listed.
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

// canRunElsewhere tells whether another upstream, on which all work goes on, has a place for
// the run's work unit now.
func (p *planner) canRunElsewhere(r *run) bool {
	for _, other := range p.usable {
		if other != r.up && p.mayRun(r.unit, other) && !other.hasStalledRun() {
			return true
		}
	}
	return false
}
