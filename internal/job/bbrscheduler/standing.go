package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// standFactor times its estimate, and standLeast at least, is how long a run is
	// listed without another percent before it stands still: it would take hundreds of
	// times its estimate.
	standFactor = 4
	standLeast  = 10 * time.Second
	// standGap bounds what the time between two listings counts for: the upstream may
	// itself have been away meanwhile.
	standGap = 2 * time.Second
	// maxStood bounds how often the time doubles for a work unit that stands still
	// wherever it runs.
	maxStood = 6
)

const whyStands = "stands still"

// progress applies a listing to how far the run is.
func (r *run) progress(running bbrwork.Run, now time.Time) {
	if running.Percent > r.percent || running.Percent == fullPercent || r.listed.IsZero() {
		r.stood = 0
	} else {
		r.stood += min(now.Sub(r.listed), standGap)
	}
	r.listed = now
	r.percent, r.tail = running.Percent, running.Tail
}

// stands tells whether the run has stopped making progress. Lasting work makes none,
// filling work may get no processor time, a gang waits for its members, and a run that
// has not got its first percent may be fetching what it needs.
func (r *run) stands() bool {
	u, shape := r.unit, r.unit.step.shape
	if shape.Lasting || shape.Fills || shape.Gang || r.phase != phaseRunning || r.percent == 0 {
		return false
	}
	limit := max(standLeast, standFactor*shape.Estimate) << min(u.stood, maxStood)
	return r.stood >= limit
}

// stand tells whether a run on the upstream stands still.
func (up *upstream) stand() bool {
	for _, r := range up.runs {
		if r.stands() {
			return true
		}
	}
	return false
}

// standing plans the stops of runs that stand still and could run elsewhere. They are
// begun there only once their end is listed.
func (p *planner) standing() {
	for _, up := range p.ledger.sortedUpstreams() {
		for _, r := range up.runs {
			if r.stopWhy == "" && r.stands() && p.elsewhere(r) {
				r.stopWhy = whyStands
				r.unit.stood++
				r.unit.avoid = up.ID
				p.stop(r, whyStands)
			}
		}
	}
}

// elsewhere tells whether another upstream, on which all work goes on, has a place for
// the run's work unit now.
func (p *planner) elsewhere(r *run) bool {
	for _, up := range p.usable {
		if up != r.up && p.mayRun(r.unit, up) && !up.stand() {
			return true
		}
	}
	return false
}
