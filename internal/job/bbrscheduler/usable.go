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
	excludedOrphans
	excludedSilent
	excludedFull
	excludedUnrecorded
	excludedSuspect
	// exclusionCount counts the values.
	exclusionCount
)

// exclusionOf returns why an upstream may not take work, the store's list of lives
// aside.
func (p *planner) exclusionOf(up *upstream) exclusion {
	switch {
	case !up.registered:
		return excludedUnregistered
	case up.Draining:
		return excludedDraining
	case !up.reservedAt.IsZero():
		return excludedReserved
	case !up.reached || !up.clockKnown():
		return excludedUnreached
	case len(up.orphans) > 0:
		return excludedOrphans
	case up.lostAnswers >= maxLostAnswers:
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
func (p *planner) findUsable(isRecorded func(up *upstream) bool) {
	var suspects []*upstream
	for _, up := range p.sched.sortedUpstreams() {
		reason := p.exclusionOf(up)
		if (reason == notExcluded || reason == excludedSuspect) && !isRecorded(up) {
			reason = excludedUnrecorded
		}
		switch reason {
		case excludedSuspect:
			suspects = append(suspects, up)
		case notExcluded:
			p.usable = append(p.usable, up)
		}
		p.excluded[reason]++
	}
	if len(p.usable) == 0 {
		p.usable = suspects
	}
	var capacity, used bbrwork.Resources
	for _, up := range p.usable {
		capacity, used = capacity.Plus(up.Capacity), used.Plus(up.used)
	}
	p.busy = 2*used.MilliCPU > capacity.MilliCPU
}

// mayRunFarFromData tells whether a step may run away from its data now. It takes
// several times as long there, so in a busy pool it waits for its rack unless
// its job can meet the objective all the same.
func (p *planner) mayRunFarFromData(s *step) bool {
	if !p.busy || !p.canEverRunNearData(s) {
		return true
	}
	longer := time.Duration((p.sched.Timing.RemoteDataFactor - 1) * float64(s.shape.Estimate))
	return p.now.Add(s.remainingPath + longer).Before(s.job.objective(s.occurrence))
}

// canEverRunNearData tells whether a usable upstream on the rack of the step's data has a
// place for it once work that ends has ended.
func (p *planner) canEverRunNearData(s *step) bool {
	near, known := p.nearDataFits[s]
	if known {
		return near
	}
	for _, up := range p.usable {
		if up.HasLabel(s.shape.DataRack) && p.sched.canEverFit(s, up) {
			near = true
			break
		}
	}
	p.nearDataFits[s] = near
	return near
}

// canEverFit tells whether the upstream has a place for a work unit of the step once
// work that ends has ended.
func (sched *Scheduler) canEverFit(s *step, up *upstream) bool {
	if s.shape.LongRunning && s.atUpstreamLimit(up) {
		return false
	}
	return up.HasLabel(s.shape.Label) && !sched.adviceRefused(s, up) && s.shape.Allocation().Fits(up.besideLongRunning())
}
