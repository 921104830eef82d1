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
	// until is when the wait ends at the latest, where a time bounds it.
	until time.Time
	// unlocated counts the upstreams on which an earlier owner's work may be.
	unlocated int
	// places is empty where another condition comes before.
	places places
}

// places counts the usable upstreams by the first condition that keeps a work
// unit off them.
type places struct {
	all, usable, label int
	// room lack room, ending of them only until work that ends has ended.
	room, ending                                  int
	together, starting, ticket, refused, far, fit int
	// left is the room that lasting work leaves on the upstreams with the label,
	// and largest the most memory of it in one piece.
	left, largest bbrwork.Resources
	// atOnce is how many of the step's work units could be at work at once beside
	// lasting work, and onEmpty on empty upstreams. Neither is counted beyond those
	// that are not done.
	atOnce, onEmpty int
	// tooLarge means that the work unit fits on none of them when empty.
	tooLarge bool
	// members counts those of a gang that fit now on the best group of upstreams,
	// and membersLeft those that do once work that ends has ended.
	members, membersLeft int
}

// survey returns a planner that knows the usable upstreams. It asks for nothing.
func (l *Scheduler) survey(now time.Time) *planner {
	p := &planner{ledger: l, now: now, tooBig: make(map[bbrwork.Resources]bool), near: make(map[*step]bool)}
	p.findUsable(func(up *upstream) bool { return l.entitled[up.Life] })
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
	case p.mayRunUnlocated(s.job):
		w.reason, w.until, w.unlocated = ReasonEarlierWorkUnlocated, p.ledger.settled, len(p.ledger.unlocated)
	case p.now.Before(due):
		w.reason, w.until = ReasonNotDue, due
	case !s.open(p.now):
		w.reason = ReasonEarlierSteps
	case p.ledger.beyondHorizon(s.job):
		w.reason = ReasonBeyondHorizon
	case s.shape.Gang && s.idle < len(s.units):
		w.reason = ReasonGangStillRuns
	case p.now.Before(paused):
		w.reason, w.until = ReasonAttemptPaused, paused
	default:
		w.places = p.places(s)
		w.reason = w.places.reason(s)
	}
	return w
}

// longestIdle returns the work unit that has waited longest for a run, and since
// when.
func (s *step) longestIdle() (longest *unit, since time.Time) {
	open := s.openSince()
	for _, u := range s.units {
		if !u.idle() {
			continue
		}
		if turn := u.idleSince(open); longest == nil || turn.Before(since) {
			longest, since = u, turn
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

// idleSince returns when the turn of an idle work unit came. open is when that of
// its step did.
func (u *unit) idleSince(open time.Time) time.Time { return later(open, u.freed) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// openSince returns when the turn of a step came that is open.
func (s *step) openSince() time.Time {
	at := later(s.job.Accepted, s.job.Schedule.Due(s.occurrence.number))
	for _, earlier := range s.shape.After {
		for _, u := range s.occurrence.steps[earlier].units {
			at = later(at, u.freed)
		}
	}
	return at
}

// places looks at all usable upstreams.
func (p *planner) places(s *step) places {
	taken := s.shape.Taken()
	count := places{all: len(p.ledger.upstreams), usable: len(p.usable), tooLarge: true}
	for _, up := range p.usable {
		if !up.HasLabel(s.shape.Label) {
			count.label++
			continue
		}
		left := up.leftByLasting()
		count.left = count.left.Plus(left)
		if left.MemoryMB > count.largest.MemoryMB {
			count.largest = left
		}
		count.tooLarge = count.tooLarge && !taken.Fits(up.Room)
		p.addPlace(&count, s, up, left)
	}
	count.atOnce, count.onEmpty = p.atOnce(s, (*upstream).leftByLasting), p.atOnce(s, (*upstream).emptyRoom)
	if s.shape.Gang {
		count.members = p.members(s, (*upstream).free)
		count.membersLeft = p.members(s, (*upstream).leftByLasting)
	}
	return count
}

// addPlace counts an upstream with the step's label.
func (p *planner) addPlace(count *places, s *step, up *upstream, left bbrwork.Resources) {
	taken := s.shape.Taken()
	switch {
	case !taken.Fits(up.free()):
		count.room++
		if taken.Fits(left) {
			count.ending++
		}
	case s.shape.MaxPerUpstream > 0 && s.runsOn(up) >= s.shape.MaxPerUpstream:
		count.together++
	case up.starting >= maxStarting:
		count.starting++
	case p.ledger.adviceRefused(s, up):
		count.refused++
	case !p.ledger.hasTicket(s, up, p.now):
		count.ticket++
	case s.shape.DataRack != "" && !up.HasLabel(s.shape.DataRack) && !p.mayRunFar(s):
		count.far++
	default:
		count.fit++
	}
}

// atOnce counts the work units of the step that fit into what room returns, up to
// those that are not done.
func (p *planner) atOnce(s *step, room func(up *upstream) bbrwork.Resources) int {
	count := 0
	for _, up := range p.usable {
		if count >= s.left {
			break
		}
		if up.HasLabel(s.shape.Label) {
			count += s.fitting(room(up))
		}
	}
	return min(count, s.left)
}

// members counts the members of a gang that fit on the best group of upstreams
// into what room returns.
func (p *planner) members(s *step, room func(up *upstream) bbrwork.Resources) int {
	best := 0
	for _, group := range p.gangGroups(s) {
		count := 0
		for _, up := range group {
			if up.HasLabel(s.shape.Label) && p.ledger.hasTicket(s, up, p.now) {
				count += s.fitting(room(up))
			}
		}
		best = max(best, count)
	}
	return min(best, len(s.units))
}

// reason names what is missing on those upstreams that lack least.
func (c *places) reason(s *step) Reason {
	switch {
	case c.usable == 0:
		return ReasonNoUsableUpstream
	case s.shape.Gang && c.members == len(s.units):
		return ReasonComesNext
	case s.shape.Gang && c.members > 0:
		return ReasonGangPartlyFits
	case c.fit > 0:
		return ReasonComesNext
	case c.far > 0:
		return ReasonFarFromData
	case c.ticket > 0:
		return ReasonTicketMissing
	case c.starting > 0:
		return ReasonStartsInFlight
	case c.ending > 0 && 2*c.atOnce < c.onEmpty:
		return ReasonCapacityForFew
	case c.ending > 0:
		return ReasonCapacityUsedByFiniteWork
	case c.refused > 0:
		return ReasonAdviceRefused
	case c.together > 0:
		return ReasonMaxPerUpstream
	case c.label == c.usable:
		return ReasonLabelMissing
	case c.tooLarge:
		return ReasonTooLarge
	case s.shape.Taken().Fits(c.left):
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
		if w.step.shape.Lasting {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	case ReasonGangPartlyFits:
		if w.places.membersLeft < len(w.step.units) {
			return AwaitsUpstream, ResponsibleFleetLeader
		}
	}
	return AwaitsCapacity, ResponsibleOwner
}
