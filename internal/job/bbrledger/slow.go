package bbrledger

import (
	"time"
)

const (
	// slowFactor is how many times its estimate a run must still need before it
	// is better begun anew elsewhere. Estimates are rough, and runs of a step
	// differ.
	slowFactor = 3
	// slowLeast is the least age of a run that is judged, and slowStart what is
	// taken off it for its start.
	slowLeast = 800 * time.Millisecond
	slowStart = 150 * time.Millisecond
	// slowFor is how long an upstream with a slow run is avoided.
	slowFor = 3 * time.Second
)

// slow tells whether a run stands still or crawls, by what its upstream lists,
// so that it would be done sooner if it began anew elsewhere.
func (l *Ledger) slow(r *run) bool {
	if !r.listed.After(r.confirmed) {
		return false
	}
	shape := r.unit.step.shape
	age := r.listed.Sub(r.confirmed) - slowStart
	if shape.Lasting || shape.Fills || shape.Gang || r.phase != phaseRunning || r.adopted || age < slowLeast {
		return false
	}
	expected := l.expected(r)
	if r.percent <= 0 {
		return age > expected/2
	}
	left := age * time.Duration(fullPercent-r.percent) / time.Duration(r.percent)
	return left > slowFactor*expected
}

// expected returns how long the run should take where it is.
func (l *Ledger) expected(r *run) time.Duration {
	shape := r.unit.step.shape
	if shape.DataRack != "" && !r.up.HasLabel(shape.DataRack) {
		return time.Duration(l.Timing.FarFactor * float64(shape.Estimate))
	}
	return max(shape.Estimate, slowStart)
}

// leaveSlow tells whether a run should be stopped because it is slow and
// another upstream could take it. Its upstream is avoided for a while.
func (p *planner) leaveSlow(r *run) bool {
	if !p.ledger.slow(r) || !p.roomElsewhere(r) {
		return false
	}
	r.up.health.slowAt = p.now
	r.unit.avoid = r.up.ID
	return true
}

func (p *planner) roomElsewhere(r *run) bool {
	for _, up := range p.usable {
		if up != r.up && r.taken.Fits(up.free()) && up.HasLabel(r.unit.step.shape.Label) {
			return true
		}
	}
	return false
}
