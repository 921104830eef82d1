package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
)

const reasonPreempted = "preempted by more urgent work"

// stopTimeShare is the part of the longest time of a stop, one in stopTimeShare, that a
// stop is expected to take.
const stopTimeShare = 2

// isUrgent reports whether work of other queues may be stopped for the step: it is not a
// gang, and there are queues with a higher priority number.
func (p *planner) isUrgent(s *step) bool {
	policy := s.job.policy
	return policy != nil && policy.Priority < p.lowestPriority && !s.spec.Gang
}

// preempt stops runs for those of the step's idle work units that would otherwise miss
// the objective and can still meet it, and reserves the capacity. It reports whether it
// stopped any.
func (p *planner) preempt(c candidate, need bbrreservation.Need) bool {
	s, readyAt := c.step, p.now.Add(p.sched.Timing.StopTimeout/stopTimeShare)
	latest := c.objective.Add(-s.remainingPath)
	if c.tier > 1 || readyAt.After(latest) {
		return false
	}
	suits := func(i int) bool { return p.suitsReservation(s, p.usable[i], p.usable) }
	missing := need.Count - p.ends().FitUntil(need, suits, latest)
	r := &reservation{Reservation: bbrreservation.Reservation{MadeAt: p.now, At: readyAt}, step: s}
	for range missing {
		if !bbrreservation.MayHold(len(p.sched.reservations), p.sched.heldUpstreams(), len(r.holds)+1, len(p.usable)) || !p.preemptFor(r) {
			break
		}
	}
	if len(r.holds) == 0 {
		return false
	}
	p.addReservation(r)
	return true
}

// preemptFor stops the runs for one work unit of the reservation's step where that
// discards least, and reserves the capacity there.
func (p *planner) preemptFor(r *reservation) bool {
	s := r.step
	gain := float64(s.spec.Need.MilliCPU) * s.runTime.Seconds()
	left := p.sched.stopBudget.Left(p.now)
	var best *upstream
	var bestRuns []*run
	bestDiscarded := 0.0
	for _, up := range p.usable {
		if !p.suitsReservation(s, up, p.usable) {
			continue
		}
		runs, discarded, ok := p.victimsOn(up, s, gain, left)
		if ok && (best == nil || discarded < bestDiscarded) {
			best, bestRuns, bestDiscarded = up, runs, discarded
		}
	}
	if best == nil {
		return false
	}
	for _, victim := range bestRuns {
		victim.stopReason, victim.unit.preempted = reasonPreempted, true
		p.planStop(victim, reasonPreempted)
	}
	p.sched.stopBudget.Spend(len(bestRuns), p.now)
	p.sched.preempted += len(bestRuns)
	discarded := time.Duration(bestDiscarded / 1000 * float64(time.Second))
	p.sched.discarded += discarded
	r.add(best, 1)
	p.sched.note(p.now, "Work preempted", "job", s.job.ID, "step", s.number, "occurrence", s.occurrence.number, "upstream", best.ID, "stops", len(bestRuns),
		"discarded", discarded.Round(time.Millisecond), "gains", time.Duration(gain/1000*float64(time.Second)).Round(time.Millisecond))
	return true
}

// victimsOn returns the runs on an upstream to stop for a work unit of the step, and the
// processor time that this discards, in millicore-seconds.
func (p *planner) victimsOn(up *upstream, s *step, gain float64, maxStops int) (runs []*run, discarded float64, ok bool) {
	candidates := slices.DeleteFunc(runsByAge(up), func(r *run) bool { return !r.mayPreempt(s.job.policy.Priority) })
	if len(candidates) == 0 {
		return nil, 0, false
	}
	victims := make([]bbrreservation.Victim, len(candidates))
	for i, r := range candidates {
		victims[i] = bbrreservation.Victim{Index: i, Frees: r.allocation, Discarded: r.discarded(p.now)}
	}
	chosen, discarded, ok := bbrreservation.ChooseVictims(s.spec.Allocation(), up.free(), victims, gain, maxStops)
	for _, victim := range chosen {
		runs = append(runs, candidates[victim.Index])
	}
	return runs, discarded, ok
}

// mayPreempt reports whether the run may be stopped for work of the priority. It must be
// known to run, and its work unit must be the only one that is affected: a member of a
// gang would end the others, and a suspect has to show whether it crashes upstreams. If the
// run fails before the stop arrives, attempts must be left.
func (r *run) mayPreempt(priority int) bool {
	u := r.unit
	j := u.step.job
	switch {
	case u.step.spec.LongRunning || u.step.spec.Gang || u.preempted || len(u.crashes) > 0 || u.done:
		return false
	case r.phase != phaseRunning || r.stopReason != "" || !r.stopSentAt.IsZero() || len(u.runs) != 1:
		return false
	case j.policy == nil || j.policy.Priority <= priority || j.finalState != "" || j.cancelled:
		return false
	case r.adopted && r.checkpointedAt.IsZero():
		// How long it has run is not known.
		return false
	default:
		return u.failureCount()+1 < j.maxAttempts()
	}
}

// discarded returns the processor time since the run's last checkpoint, in
// millicore-seconds.
func (r *run) discarded(now time.Time) float64 {
	return float64(r.unit.step.spec.Need.MilliCPU) * now.Sub(later(r.orderedAt, r.checkpointedAt)).Seconds()
}
