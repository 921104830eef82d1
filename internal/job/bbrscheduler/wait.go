package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wait is the reason for which the idle work units of a step have no run.
type wait struct {
	step *step
	// unit is the work unit that has waited longest, and since is when it became
	// eligible. since is meaningless until the step is runnable.
	unit   *unit
	since  time.Time
	reason Reason
	// latestEnd is when the wait ends at the latest, if it is bounded by a time.
	latestEnd time.Time
	// unlocated counts the upstreams that may have work of an earlier owner.
	unlocated int
	// notLoaded counts the jobs that are still to be loaded and of which upstreams listed runs
	// or ends.
	notLoaded int
	// blockers is empty if the reason is not one of the upstreams.
	blockers blockers
}

// blockers counts the usable upstreams by the first condition that prevents a work
// unit from running on them.
type blockers struct {
	total, usable, noLabel int
	// noCapacity counts the upstreams without enough free capacity, and finiteWork
	// those of them that lack it only until finite work has ended.
	noCapacity, finiteWork                                                          int
	reserved, atStepLimit, atStartLimit, noTicket, adviceRefused, farFromData, fits int
	// capacityLeft is the capacity beside long-running work on the upstreams with
	// the label, and largestLeft the part of it on the upstream with the most
	// memory left.
	capacityLeft, largestLeft bbrwork.Resources
	// concurrent is how many of the step's work units could run at once beside
	// long-running work, and concurrentOnEmpty how many on empty upstreams. Neither
	// exceeds the number of units that are not done.
	concurrent, concurrentOnEmpty int
	// tooLarge means that the work unit fits on none of the upstreams with the
	// label even if it is empty.
	tooLarge bool
	// membersFit is how many members of a gang fit now on the best group of
	// upstreams, and membersFitLater how many do once finite work has ended.
	membersFit, membersFitLater int
}

// survey returns a planner that knows the usable upstreams. Unlike Plan, it
// requests nothing.
func (sched *Scheduler) survey(now time.Time) *planner {
	sched.updateHeld(now)
	p := &planner{sched: sched, now: now, doesNotFit: make(map[bbrwork.Resources]bool), nearDataFits: make(map[*step]bool)}
	p.findUsable(sched.isRecorded)
	return p
}

// isRecorded reports whether the store lists the upstream's incarnation as recorded for a
// successor.
func (sched *Scheduler) isRecorded(up *upstream) bool { return sched.recorded[up.Incarnation] }

// wait determines why the step's idle work units have no run, by the one that has waited
// longest. The step must have idle units.
func (p *planner) wait(s *step, confirmed bool) wait {
	u, since := p.longestStartable(s)
	return p.waitOf(u, since, confirmed)
}

// waitOf determines why an idle work unit, eligible since a time, has no run: the first
// unmet condition of a start.
func (p *planner) waitOf(u *unit, since time.Time, confirmed bool) wait {
	s := u.step
	w := wait{step: s, unit: u, since: since, notLoaded: len(p.sched.loading.unknown)}
	due := s.job.Schedule.Due(s.occurrence.number)
	paused := s.pausedUntil(w.unit)
	switch {
	case !confirmed:
		w.reason = ReasonClaimUnconfirmed
	case p.sched.waitsForAllJobs() && p.sched.EarlierWorkLocated(p.now):
		w.reason = ReasonJobsNotLoaded
	case p.waitsForLocation(s) || !s.spec.Gang && p.mayHaveUnlocatedRun(u):
		w.reason, w.latestEnd, w.unlocated = ReasonEarlierWorkUnlocated, p.sched.earlierLeasesEnd, len(p.sched.unlocated)
	case p.now.Before(due):
		w.reason, w.latestEnd = ReasonNotDue, due
	case !s.runnable(p.now):
		w.reason = ReasonEarlierSteps
	case p.sched.beyondHorizon(s.job):
		w.reason = ReasonBeyondHorizon
	case s.spec.Gang && s.idleUnits < len(s.units):
		w.reason = ReasonGangStillRuns
	case p.now.Before(paused):
		w.reason, w.latestEnd = ReasonAttemptPaused, paused
	case p.sched.holdsForOrder(w.unit):
		w.reason = ReasonOrderUnstored
	case p.waitsForLateStart(w.unit):
		w.reason = ReasonLateStart
	case p.waitsAsSuspect(s, w.unit):
		w.reason = ReasonCrashSuspect
	case p.capUnknown(s):
		w.reason = ReasonJobsNotLoaded
	case p.sched.beyondCap(s):
		w.reason = ReasonOrganisationCap
	default:
		w.blockers = p.countBlockers(s)
		w.reason = w.blockers.reason(s)
		if s.reservation != nil && w.reason != ReasonComesNext {
			w.reason = ReasonReservationHeld
		}
		if w.reason == ReasonComesNext && !p.nextOrderStored(w.unit) {
			w.reason = ReasonOrderUnstored
		}
		if _, responsible := w.awaits(); responsible == ResponsibleFleetLeader && p.mayFitBesideUnknown(s) {
			w.reason = ReasonJobsNotLoaded
		}
	}
	return w
}

// longestIdle returns the work unit that has waited longest for a run, and since
// when.
func (s *step) longestIdle() (longest *unit, since time.Time) {
	return s.longestIdleOf(func(*unit) bool { return true })
}

// longestStartable returns the same among the work units that need not be located first,
// or among all if there are none.
func (p *planner) longestStartable(s *step) (longest *unit, since time.Time) {
	if p.waitsForLocation(s) {
		return s.longestIdle()
	}
	return s.longestIdleOf(func(u *unit) bool { return !p.mayHaveUnlocatedRun(u) })
}

// longestIdleOf returns the same among the work units that match.
func (s *step) longestIdleOf(matches func(u *unit) bool) (longest *unit, since time.Time) {
	runnableSince := s.runnableSince()
	for _, u := range s.units {
		if !u.idle() || !matches(u) {
			continue
		}
		if eligible := u.eligibleSince(runnableSince); longest == nil || eligible.Before(since) {
			longest, since = u, eligible
		}
	}
	return longest, since
}

// pausedUntil returns the time before which the work unit is not tried again. A
// gang waits for all its members.
func (s *step) pausedUntil(u *unit) time.Time {
	until := u.notBefore
	if s.spec.Gang {
		for _, member := range s.units {
			until = later(until, member.notBefore)
		}
	}
	return until
}

// waitsAsSuspect reports whether the work unit, or a member of its gang, has a history
// of crashes that delays its start.
func (p *planner) waitsAsSuspect(s *step, u *unit) bool {
	if !s.spec.Gang {
		return p.heldBack(u)
	}
	return slices.ContainsFunc(s.units, p.heldBack)
}

// idle reports whether the work unit is not done and has no run.
func (u *unit) idle() bool { return !u.done && len(u.runs) == 0 }

// eligibleSince returns when an idle work unit became eligible to run.
// runnableSince is when its step did.
func (u *unit) eligibleSince(runnableSince time.Time) time.Time {
	return later(runnableSince, u.freedAt)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// runnableSince returns when a runnable step became runnable.
func (s *step) runnableSince() time.Time {
	at := later(s.job.Accepted, s.job.Schedule.Due(s.occurrence.number))
	for _, earlier := range s.spec.DependsOn {
		for _, u := range s.occurrence.steps[earlier].units {
			at = later(at, u.freedAt)
		}
	}
	return at
}

// upstreamsFor returns the upstreams on which work units of the step may start.
func (p *planner) upstreamsFor(s *step) []*upstream {
	if p.mayUseSuspects(s) {
		return slices.Concat(p.usable, p.suspects)
	}
	return p.usable
}

// countBlockers checks all upstreams on which a work unit of the step may start: suspect
// ones only if no other suits it.
func (p *planner) countBlockers(s *step) blockers {
	need, upstreams := s.spec.Allocation(), p.upstreamsFor(s)
	if len(upstreams) > len(p.usable) && p.suitsUsable(s, nil) {
		upstreams = p.usable
	}
	count := blockers{total: len(p.sched.upstreams), usable: len(upstreams), tooLarge: true}
	for _, up := range upstreams {
		if !up.HasLabel(s.spec.Label) {
			count.noLabel++
			continue
		}
		left := up.besideLongRunning()
		count.capacityLeft = count.capacityLeft.Plus(left.Max(bbrwork.Resources{}))
		if left.MemoryMB > count.largestLeft.MemoryMB {
			count.largestLeft = left
		}
		count.tooLarge = count.tooLarge && !need.Fits(up.Capacity)
		p.classify(&count, s, up, left)
	}
	count.concurrent, count.concurrentOnEmpty = p.concurrentUnits(s, (*upstream).besideLongRunning), p.concurrentUnits(s, (*upstream).capacity)
	if s.spec.Gang {
		count.membersFit = p.fittingMembers(s, func(up *upstream) bbrwork.Resources { return p.freeFor(s, up) })
		count.membersFitLater = p.fittingMembers(s, (*upstream).besideLongRunning)
	}
	return count
}

// classify counts an upstream that has the step's label.
func (p *planner) classify(count *blockers, s *step, up *upstream, left bbrwork.Resources) {
	need := s.spec.Allocation()
	switch {
	case !need.Fits(up.free()) || up.refuses(need, p.now):
		count.noCapacity++
		if need.Fits(left) {
			count.finiteWork++
		}
	case !need.Fits(p.freeFor(s, up)):
		count.reserved++
	case s.spec.MaxPerUpstream > 0 && s.runsOn(up) >= s.spec.MaxPerUpstream:
		count.atStepLimit++
	case up.startsInFlight >= maxStartsInFlight:
		count.atStartLimit++
	case p.sched.adviceRefused(s, up):
		count.adviceRefused++
	case !p.sched.hasTicket(s, up, p.now):
		count.noTicket++
	case s.spec.DataRack != "" && !up.HasLabel(s.spec.DataRack) && !p.mayRunFarFromData(s):
		count.farFromData++
	default:
		count.fits++
	}
}

// concurrentUnits returns how many work units of the step that are not done fit on
// the usable upstreams, given the capacity of each.
func (p *planner) concurrentUnits(s *step, capacity func(up *upstream) bbrwork.Resources) int {
	count := 0
	for _, up := range p.usable {
		if count >= s.unitsLeft {
			break
		}
		if up.HasLabel(s.spec.Label) {
			count += s.fitCount(capacity(up))
		}
	}
	return min(count, s.unitsLeft)
}

// fittingMembers returns how many members of a gang fit on the best group of
// upstreams, given the capacity of each.
func (p *planner) fittingMembers(s *step, capacity func(up *upstream) bbrwork.Resources) int {
	best := 0
	for _, group := range p.placementGroups(s) {
		count := 0
		for _, up := range group {
			if up.HasLabel(s.spec.Label) && p.sched.hasTicket(s, up, p.now) && !up.refuses(s.spec.Allocation(), p.now) {
				count += s.fitCount(capacity(up))
			}
		}
		best = max(best, count)
	}
	return min(best, len(s.units))
}

// reason returns the condition that is missing on the upstreams that are closest to
// taking a work unit.
func (c *blockers) reason(s *step) Reason {
	switch {
	case c.usable == 0:
		return ReasonNoUsableUpstream
	case s.spec.Gang && c.membersFit == len(s.units):
		return ReasonComesNext
	case s.spec.Gang && c.membersFit > 0:
		return ReasonGangPartlyFits
	case c.fits > 0:
		return ReasonComesNext
	case c.farFromData > 0:
		return ReasonFarFromData
	case c.noTicket > 0:
		return ReasonTicketMissing
	case c.atStartLimit > 0:
		return ReasonStartsInFlight
	case c.reserved > 0:
		return ReasonCapacityReserved
	case c.finiteWork > 0 && 2*c.concurrent < c.concurrentOnEmpty:
		return ReasonCapacityForFew
	case c.finiteWork > 0:
		return ReasonCapacityUsedByFiniteWork
	case c.adviceRefused > 0:
		return ReasonAdviceRefused
	case c.atStepLimit > 0:
		return ReasonMaxPerUpstream
	case c.noLabel == c.usable:
		return ReasonLabelMissing
	case c.tooLarge:
		return ReasonTooLarge
	case s.spec.Allocation().Fits(c.capacityLeft):
		return ReasonCapacityFragmented
	default:
		return ReasonCapacityUsedByLongRunningWork
	}
}

// awaits returns what the work unit waits for, and the party that has to act next.
func (w *wait) awaits() (Awaited, Responsible) {
	switch w.reason {
	case ReasonClaimUnconfirmed, ReasonEarlierWorkUnlocated, ReasonBeyondHorizon, ReasonLateStart, ReasonOrderUnstored, ReasonJobsNotLoaded, ReasonTicketMissing, ReasonStartsInFlight:
		return AwaitsAnswer, ResponsibleOwner
	case ReasonNotDue, ReasonAttemptPaused:
		return AwaitsTime, ResponsibleOwner
	case ReasonEarlierSteps, ReasonGangStillRuns:
		return AwaitsEarlierWork, ResponsibleOwner
	case ReasonNoUsableUpstream, ReasonCapacityFragmented, ReasonCapacityUsedByLongRunningWork, ReasonTooLarge, ReasonLabelMissing, ReasonAdviceRefused:
		return AwaitsUpstream, ResponsibleFleetLeader
	case ReasonCapacityForFew:
		return AwaitsCapacity, ResponsibleFleetLeader
	case ReasonMaxPerUpstream:
		if w.step.spec.LongRunning {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	case ReasonGangPartlyFits:
		if w.blockers.membersFitLater < len(w.step.units) {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	}
	return AwaitsCapacity, ResponsibleOwner
}
