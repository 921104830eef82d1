package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// exclusion is the reason for which an upstream may not take work.
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
	excludedTrial
	// exclusionCount is the number of exclusions.
	exclusionCount
)

// exclusionNames has the names of the exclusions for the log.
var exclusionNames = [exclusionCount]string{
	excludedUnregistered: "unregistered",
	excludedDraining:     "draining",
	excludedReserved:     "reserved",
	excludedUnreached:    "unreached",
	excludedOrphans:      "orphans",
	excludedSilent:       "silent",
	excludedFull:         "full",
	excludedUnrecorded:   "unrecorded",
	excludedSuspect:      "suspect",
	excludedTrial:        "trial",
}

func (e exclusion) String() string { return exclusionNames[e] }

// exclusionOf returns why an upstream may not take work, regardless of whether it
// is recorded for a successor.
func (p *planner) exclusionOf(up *upstream) exclusion {
	switch {
	case !up.registered:
		return excludedUnregistered
	case up.Draining:
		return excludedDraining
	case !up.reservedAt.IsZero():
		return excludedReserved
	default:
		return p.exclusionUnlessReserved(up)
	}
}

// exclusionUnlessReserved returns why a registered upstream may not take work even if it
// neither drains nor is reserved.
func (p *planner) exclusionUnlessReserved(up *upstream) exclusion {
	switch {
	case !up.reached || !up.clockKnown() || !up.identified():
		return excludedUnreached
	case len(up.orphans) > 0 || len(up.unknownRuns) > 0:
		return excludedOrphans
	case up.lostAnswers >= maxLostAnswers || up.silentFor(p.now) > verifyAfter:
		return excludedSilent
	case p.now.Before(up.fullUntil):
		return excludedFull
	case up.health.suspect(p.now):
		return excludedSuspect
	default:
		return notExcluded
	}
}

// suspectUseDelay is how long finite work that only suspect upstreams can take waits before
// it starts on one: a failure there uses up one of its attempts, and the suspicion may end
// meanwhile. It is less than the 3 s within which callers expect a start.
const suspectUseDelay = 2 * time.Second

// findUsable collects the upstreams that may take work. Suspect upstreams are used
// only if there are no others, or for work that no other suits. isRecorded
// reports whether the store lists an incarnation as recorded for a successor.
func (p *planner) findUsable(isRecorded func(up *upstream) bool) {
	for _, up := range p.sched.sortedUpstreams() {
		reason := refineExclusion(p.exclusionOf(up), up, isRecorded)
		switch {
		case reason == excludedSuspect || reason == excludedTrial && p.now.Sub(up.trialSince) >= exclusiveTrialTime:
			p.suspects = append(p.suspects, up)
		case reason == notExcluded:
			p.usable = append(p.usable, up)
		}
		p.excluded[reason]++
	}
	p.useSuspectsIfNoOthers()
	var capacity, used bbrwork.Resources
	for _, up := range p.usable {
		capacity, used = capacity.Plus(up.Capacity), used.Plus(up.used)
		p.free = p.free.Plus(up.free().Max(bbrwork.Resources{}))
	}
	p.busy = 2*used.MilliCPU > capacity.MilliCPU
	p.capacityMilliCPU = capacity.MilliCPU
}

// refineExclusion returns why an upstream may not take work, given the reason regardless of
// records and trials.
func refineExclusion(reason exclusion, up *upstream, isRecorded func(up *upstream) bool) exclusion {
	if (reason == notExcluded || reason == excludedSuspect) && !isRecorded(up) {
		return excludedUnrecorded
	}
	if reason == notExcluded && up.trialUnit != nil {
		return excludedTrial
	}
	return reason
}

// scarceShare is the part of the usable CPU capacity, one in scarceShare, that is free at
// least unless it is scarce. Work that runs slowly must not take capacity that others wait for.
const scarceShare = 8

// isScarce reports whether hardly any of the usable CPU capacity is free.
func (p *planner) isScarce() bool {
	return scarceShare*(p.free.MilliCPU-p.startedMilliCPU) < p.capacityMilliCPU
}

// useSuspectsIfNoOthers makes the suspect upstreams usable if there are no others.
func (p *planner) useSuspectsIfNoOthers() {
	if len(p.usable) == 0 {
		p.usable, p.suspects = p.suspects, nil
	}
}

// mayUseSuspects reports whether work units of the step may start on the upstreams in
// suspects if no usable one suits them now. Finite work may only if no usable upstream can
// take it even once other finite work has ended, and after suspectUseDelay.
func (p *planner) mayUseSuspects(s *step) bool {
	if len(p.suspects) == 0 {
		return false
	}
	return s.spec.LongRunning || !p.canEverRun(s) && p.hasWaited(s, suspectUseDelay)
}

// mayUnitUseSuspects reports whether the work unit may start on a suspect upstream, given
// that its step may. A finite unit waits again after each failure, as the upstream may have
// caused it.
func (p *planner) mayUnitUseSuspects(u *unit) bool {
	return u.step.spec.LongRunning || p.now.Sub(u.eligibleSince(u.step.runnableSince())) >= suspectUseDelay
}

// canEverRun reports whether a usable upstream can take a work unit of the step, or the
// usable ones together a gang, once finite work has ended.
func (p *planner) canEverRun(s *step) bool {
	if s.spec.Gang {
		return p.sched.canEverFitGang(s, p.usable)
	}
	return slices.ContainsFunc(p.usable, func(up *upstream) bool { return p.sched.canEverFit(s, up) })
}

// upstreamsToAsk returns the upstreams about which the advice service is asked for the step:
// suspect ones too if it can run on no other.
func (p *planner) upstreamsToAsk(s *step) []*upstream {
	if len(p.suspects) == 0 || !s.job.needsAdvice() || p.canEverRun(s) {
		return p.usable
	}
	return slices.Concat(p.usable, p.suspects)
}

// hasWaited reports whether a work unit of the step has waited for the time at least.
func (p *planner) hasWaited(s *step, wait time.Duration) bool {
	u, since := s.longestIdle()
	return u != nil && p.now.Sub(since) >= wait
}

// mayRunFarFromData reports whether a step may run away from its data now. It takes
// several times as long there, so if the pool is busy it waits for the rack of its
// data, unless its job can meet the objective anyway. While capacity is not scarce, it waits
// for no longer than it would save there. Long-running work does not wait: its callers lose
// more by a missing run than by a slow one.
func (p *planner) mayRunFarFromData(s *step) bool {
	if s.spec.LongRunning || !p.busy || !p.canEverRunNearData(s) {
		return true
	}
	longer := time.Duration((p.sched.Timing.RemoteDataFactor - 1) * float64(s.runTime))
	return p.now.Add(s.remainingPath+longer).Before(s.job.objective(s.occurrence)) || !p.isScarce() && p.hasWaited(s, longer)
}

// canEverRunNearData reports whether a usable upstream on the rack of the step's
// data can take a unit of it once finite work has ended.
func (p *planner) canEverRunNearData(s *step) bool {
	fits, known := p.nearDataFits[s]
	if known {
		return fits
	}
	for _, up := range p.usable {
		if up.HasLabel(s.spec.DataRack) && p.sched.canEverFit(s, up) {
			fits = true
			break
		}
	}
	p.nearDataFits[s] = fits
	return fits
}

// canEverFit reports whether the upstream can take a work unit of the step once
// finite work has ended.
func (sched *Scheduler) canEverFit(s *step, up *upstream) bool {
	if s.spec.LongRunning && s.atUpstreamLimit(up) {
		return false
	}
	return up.HasLabel(s.spec.Label) && !sched.adviceRefused(s, up) && s.spec.Allocation().Fits(up.besideLongRunning())
}
