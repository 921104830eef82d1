package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
)

// ReservationCounts counts reservations and preemptions since the owner started.
type ReservationCounts struct {
	// Active counts the present reservations, and HeldUpstreams the upstreams on which
	// they are.
	Active, HeldUpstreams int
	// Ended counts the reservations that ended, by cause.
	Ended map[bbrreservation.Cause]int
	// Preempted counts the runs that were stopped for more urgent work, and Discarded is
	// the processor time since their last checkpoints.
	Preempted int
	Discarded time.Duration
}

// ReservationCounts returns the counts since the scheduler began.
func (sched *Scheduler) ReservationCounts() ReservationCounts {
	counts := ReservationCounts{Active: len(sched.reservations), HeldUpstreams: sched.heldUpstreams(), Ended: make(map[bbrreservation.Cause]int)}
	for cause, count := range sched.reservationsEnded {
		counts.Ended[cause] = count
	}
	counts.Preempted, counts.Discarded = sched.preempted, sched.discarded
	return counts
}

// heldUpstreams counts the upstreams with reserved capacity.
func (sched *Scheduler) heldUpstreams() int {
	count := 0
	for _, r := range sched.reservations {
		count += len(r.holds)
	}
	return count
}

// heldUnits returns for how many of the step's work units capacity is reserved.
func (s *step) heldUnits() int {
	units := 0
	if s.reservation != nil {
		for _, h := range s.reservation.holds {
			units += h.units
		}
	}
	return units
}

// endReservations ends the reservations whose work has started or that have become
// useless, and updates the others.
func (sched *Scheduler) endReservations(now time.Time) {
	sched.reservations = slices.DeleteFunc(sched.reservations, func(r *reservation) bool {
		r.dropUsedHolds()
		cause := sched.endCause(r, now)
		if cause == "" {
			r.updateRank(now)
			return false
		}
		sched.endReservation(r, cause, now)
		return true
	})
}

// endReservation releases what is left of a reservation.
func (sched *Scheduler) endReservation(r *reservation, cause bbrreservation.Cause, now time.Time) {
	for _, h := range r.holds {
		h.up.hold = nil
	}
	s := r.step
	s.reservation = nil
	if cause.DelaysRetry() {
		s.reserveAfter = now.Add(bbrreservation.RetryDelay)
	}
	sched.reservationsEnded[cause]++
	sched.note(now, "Reservation ended", "job", s.job.ID, "step", s.number, "occurrence", s.occurrence.number, "cause", cause,
		"lasted", now.Sub(r.MadeAt).Round(time.Millisecond), "late", max(0, now.Sub(r.At)).Round(time.Millisecond))
}

// endCause returns why a reservation has ended, or "" if it has not.
func (sched *Scheduler) endCause(r *reservation, now time.Time) bbrreservation.Cause {
	s := r.step
	switch {
	case s.job.finalState != "" || s.job.cancelled || s.unitsLeft == 0 || sched.jobs[s.job.ID] != s.job:
		return bbrreservation.CauseGone
	case s.idleUnits == 0 || len(r.holds) == 0:
		return bbrreservation.CauseStarted
	case slices.ContainsFunc(r.holds, func(h *hold) bool { return !sched.mayHold(h.up, now) }):
		return bbrreservation.CauseUpstreamLost
	default:
		return r.Expired(s.latestStart(), now)
	}
}

// mayHold reports whether the upstream can still take the work for which capacity is
// reserved there.
func (sched *Scheduler) mayHold(up *upstream, now time.Time) bool {
	return sched.upstreams[up.ID] == up && up.acceptsWork(now) && up.identified() && up.trialUnit == nil
}

// dropUsedHolds releases the holds of which the step's work units have started.
func (r *reservation) dropUsedHolds() {
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool {
		h.spareAt = time.Time{}
		started := 0
		for _, other := range h.up.runs {
			if other.unit.step == r.step && !other.orderedAt.Before(r.MadeAt) {
				started++
			}
		}
		if started < h.units {
			return false
		}
		h.up.hold = nil
		return true
	})
}
