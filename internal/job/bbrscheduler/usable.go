package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// exclusion is why an upstream may not take work.
type exclusion uint8

const (
	notExcluded exclusion = iota
	excludedUnregistered
	excludedDraining
	excludedReserved
	excludedUnreached
	excludedStrays
	excludedSilent
	excludedFull
	excludedUnlisted
	excludedSuspect
	// exclusions counts the values.
	exclusions
)

// exclude returns why an upstream may not take work, the store's list of lives
// aside.
func (p *planner) exclude(up *upstream) exclusion {
	switch {
	case !up.registered:
		return excludedUnregistered
	case up.Draining:
		return excludedDraining
	case !up.reserved.IsZero():
		return excludedReserved
	case !up.reached || !up.known():
		return excludedUnreached
	case len(up.strays) > 0:
		return excludedStrays
	case up.lost >= lostLimit:
		return excludedSilent
	case p.now.Before(up.fullUntil):
		return excludedFull
	case up.health.suspect(p.now):
		return excludedSuspect
	default:
		return notExcluded
	}
}

// findUsable collects the upstreams that may take work. Suspects are left out,
// unless nothing else is there. entitled tells whether the store lists a life as
// one on which work may run.
func (p *planner) findUsable(entitled func(up *upstream) bool) {
	var suspects []*upstream
	for _, up := range p.ledger.sortedUpstreams() {
		why := p.exclude(up)
		if (why == notExcluded || why == excludedSuspect) && !entitled(up) {
			why = excludedUnlisted
		}
		switch why {
		case excludedSuspect:
			suspects = append(suspects, up)
		case notExcluded:
			p.usable = append(p.usable, up)
		}
		p.excluded[why]++
	}
	if len(p.usable) == 0 {
		p.usable = suspects
	}
	var room, used bbrwork.Resources
	for _, up := range p.usable {
		room, used = room.Plus(up.Room), used.Plus(up.used)
	}
	p.busy = 2*used.MilliCPU > room.MilliCPU
}

// mayRunFar tells whether a step may run away from its data now. It takes
// several times as long there, so in a busy pool it waits for its rack unless
// its job can meet the objective all the same.
func (p *planner) mayRunFar(s *step) bool {
	if !p.busy || !p.everNear(s) {
		return true
	}
	longer := time.Duration((p.ledger.Timing.FarFactor - 1) * float64(s.shape.Estimate))
	return p.now.Add(s.remaining + longer).Before(s.job.objective(s.occurrence))
}

// everNear tells whether a usable upstream on the rack of the step's data has a
// place for it once work that ends has ended.
func (p *planner) everNear(s *step) bool {
	near, known := p.near[s]
	if known {
		return near
	}
	for _, up := range p.usable {
		if up.HasLabel(s.shape.DataRack) && p.ledger.everFits(s, up) {
			near = true
			break
		}
	}
	p.near[s] = near
	return near
}

// everFits tells whether the upstream has a place for a work unit of the step once
// work that ends has ended.
func (l *Scheduler) everFits(s *step, up *upstream) bool {
	if s.shape.Lasting && s.full(up) {
		return false
	}
	return up.HasLabel(s.shape.Label) && !l.adviceRefused(s, up) && s.shape.Taken().Fits(up.leftByLasting())
}
