package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wait is why the work units of a step that have no run have none.
type wait struct {
	step *step
	// unit has waited longest of them, and since is when its turn came. since
	// means nothing before the step's turn.
	unit   *unit
	since  time.Time
	reason Reason
	// waitsUntil is when the wait ends at the latest, where a time bounds it.
	waitsUntil time.Time
	// unlocated counts the upstreams on which an earlier owner's work may be.
	unlocated int
	// blockers is empty where another condition comes before.
	blockers blockers
}

// blockers counts the usable upstreams by the first condition that keeps a work
// unit off them.
type blockers struct {
	total, usable, noLabel int
	// noCapacity lack room, ending of them only until work that ends has ended.
	noCapacity, finiteWork                                                int
	atStepLimit, atStartLimit, noTicket, adviceRefused, farFromData, fits int
	// capacityLeft is the room that lasting work leaves on the upstreams with the label,
	// and largest the most memory of it in one piece.
	capacityLeft, largestLeft bbrwork.Resources
	// concurrent is how many of the step's work units could be at work at once beside
	// lasting work, and onEmpty on empty upstreams. Neither is counted beyond those
	// that are not done.
	concurrent, concurrentOnEmpty int
	// tooLarge means that the work unit fits on none of them when empty.
	tooLarge bool
	// membersFit counts those of a gang that fit now on the best group of upstreams,
	// and membersLeft those that do once work that ends has ended.
	membersFit, membersFitLater int
}

// survey returns a planner that knows the usable upstreams. It asks for nothing.
func (sched *Scheduler) survey(now time.Time) *planner {
	p := &planner{sched: sched, now: now, doesNotFit: make(map[bbrwork.Resources]bool), nearDataFits: make(map[*step]bool)}
	p.findUsable(func(up *upstream) bool { return sched.recorded[up.Incarnation] })
	return p
}

// wait decides why the step's idle work units have no run: the first of the
// conditions of a start that does not hold. The step has some.
func (p *planner) wait(s *step, confirmed bool) wait {
	w := wait{step: s}
	w.unit, w.since = s.longestIdle()
	due := s.job.Schedule.Due(s.occurrence.number)
	paused := s.pausedUntil(w.unit)
	switch {
	case !confirmed:
		w.reason = ReasonClaimUnconfirmed
	case p.mayHaveUnlocatedRuns(s.job):
		w.reason, w.waitsUntil, w.unlocated = ReasonEarlierWorkUnlocated, p.sched.earlierLeasesEnd, len(p.sched.unlocated)
	case p.now.Before(due):
		w.reason, w.waitsUntil = ReasonNotDue, due
	case !s.runnable(p.now):
		w.reason = ReasonEarlierSteps
	case p.sched.beyondHorizon(s.job):
		w.reason = ReasonBeyondHorizon
	case s.shape.Gang && s.idleUnits < len(s.units):
		w.reason = ReasonGangStillRuns
	case p.now.Before(paused):
		w.reason, w.waitsUntil = ReasonAttemptPaused, paused
	default:
		w.blockers = p.countBlockers(s)
		w.reason = w.blockers.reason(s)
	}
	return w
}

// longestIdle returns the work unit that has waited longest for a run, and since
// when.
func (s *step) longestIdle() (longest *unit, since time.Time) {
	runnableSince := s.runnableSince()
	for _, u := range s.units {
		if !u.idle() {
			continue
		}
		if eligible := u.eligibleSince(runnableSince); longest == nil || eligible.Before(since) {
			longest, since = u, eligible
		}
	}
	return longest, since
}

// pausedUntil returns before when no further attempt at the work unit is made. A
// gang waits for all of its members.
func (s *step) pausedUntil(u *unit) time.Time {
	until := u.notBefore
	if s.shape.Gang {
		for _, member := range s.units {
			until = later(until, member.notBefore)
		}
	}
	return until
}

// idle tells whether the work unit is not done and has no run.
func (u *unit) idle() bool { return !u.done && len(u.runs) == 0 }

// eligibleSince returns when the turn of an idle work unit came. open is when that of
// its step did.
func (u *unit) eligibleSince(runnableSince time.Time) time.Time {
	return later(runnableSince, u.freedAt)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// runnableSince returns when the turn of a step came that is open.
func (s *step) runnableSince() time.Time {
	at := later(s.job.Accepted, s.job.Schedule.Due(s.occurrence.number))
	for _, earlier := range s.shape.DependsOn {
		for _, u := range s.occurrence.steps[earlier].units {
			at = later(at, u.freedAt)
		}
	}
	return at
}

// countBlockers looks at all usable upstreams.
func (p *planner) countBlockers(s *step) blockers {
	need := s.shape.Allocation()
	count := blockers{total: len(p.sched.upstreams), usable: len(p.usable), tooLarge: true}
	for _, up := range p.usable {
		if !up.HasLabel(s.shape.Label) {
			count.noLabel++
			continue
		}
		left := up.besideLongRunning()
		count.capacityLeft = count.capacityLeft.Plus(left)
		if left.MemoryMB > count.largestLeft.MemoryMB {
			count.largestLeft = left
		}
		count.tooLarge = count.tooLarge && !need.Fits(up.Capacity)
		p.classify(&count, s, up, left)
	}
	count.concurrent, count.concurrentOnEmpty = p.concurrentUnits(s, (*upstream).besideLongRunning), p.concurrentUnits(s, (*upstream).capacity)
	if s.shape.Gang {
		count.membersFit = p.fittingMembers(s, (*upstream).free)
		count.membersFitLater = p.fittingMembers(s, (*upstream).besideLongRunning)
	}
	return count
}

// classify counts an upstream with the step's label.
func (p *planner) classify(count *blockers, s *step, up *upstream, left bbrwork.Resources) {
	need := s.shape.Allocation()
	switch {
	case !need.Fits(up.free()):
		count.noCapacity++
		if need.Fits(left) {
			count.finiteWork++
		}
	case s.shape.MaxPerUpstream > 0 && s.runsOn(up) >= s.shape.MaxPerUpstream:
		count.atStepLimit++
	case up.startsInFlight >= maxStartsInFlight:
		count.atStartLimit++
	case p.sched.adviceRefused(s, up):
		count.adviceRefused++
	case !p.sched.hasTicket(s, up, p.now):
		count.noTicket++
	case s.shape.DataRack != "" && !up.HasLabel(s.shape.DataRack) && !p.mayRunFarFromData(s):
		count.farFromData++
	default:
		count.fits++
	}
}

// concurrentUnits counts the work units of the step that fit into what room returns, up to
// those that are not done.
func (p *planner) concurrentUnits(s *step, capacity func(up *upstream) bbrwork.Resources) int {
	count := 0
	for _, up := range p.usable {
		if count >= s.unitsLeft {
			break
		}
		if up.HasLabel(s.shape.Label) {
			count += s.fitCount(capacity(up))
		}
	}
	return min(count, s.unitsLeft)
}

// fittingMembers counts the members of a gang that fit on the best group of upstreams
// into what room returns.
func (p *planner) fittingMembers(s *step, capacity func(up *upstream) bbrwork.Resources) int {
	best := 0
	for _, group := range p.placementGroups(s) {
		count := 0
		for _, up := range group {
			if up.HasLabel(s.shape.Label) && p.sched.hasTicket(s, up, p.now) {
				count += s.fitCount(capacity(up))
			}
		}
		best = max(best, count)
	}
	return min(best, len(s.units))
}

// reason names what is missing on those upstreams that lack least.
func (c *blockers) reason(s *step) Reason {
	switch {
	case c.usable == 0:
		return ReasonNoUsableUpstream
	case s.shape.Gang && c.membersFit == len(s.units):
		return ReasonComesNext
	case s.shape.Gang && c.membersFit > 0:
		return ReasonGangPartlyFits
	case c.fits > 0:
		return ReasonComesNext
	case c.farFromData > 0:
		return ReasonFarFromData
	case c.noTicket > 0:
		return ReasonTicketMissing
	case c.atStartLimit > 0:
		return ReasonStartsInFlight
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
	case s.shape.Allocation().Fits(c.capacityLeft):
		return ReasonCapacityFragmented
	default:
		return ReasonCapacityUsedByLongRunningWork
	}
}

// awaits returns the one thing that the work unit waits for, and whose next step
// that is.
func (w *wait) awaits() (Awaited, Responsible) {
	switch w.reason {
	case ReasonClaimUnconfirmed, ReasonEarlierWorkUnlocated, ReasonBeyondHorizon, ReasonTicketMissing, ReasonStartsInFlight:
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
		if w.step.shape.LongRunning {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	case ReasonGangPartlyFits:
		if w.blockers.membersFitLater < len(w.step.units) {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	}
	return AwaitsCapacity, ResponsibleOwner
}
