package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const reasonPreempted = "preempted by more urgent work"

// stopTimeShare is the part of the longest time of a stop, one in stopTimeShare, that a
// stop is expected to take.
const stopTimeShare = 2

// isUrgent reports whether work of other queues may be stopped for the step: it is not a
// gang, and work with a higher priority number has started.
func (p *planner) isUrgent(s *step) bool {
	policy := s.job.policy
	return policy != nil && policy.Priority < p.lowestPriority && !s.spec.Gang
}

// preemption is the stops for the work units of a step.
type preemption struct {
	*reservation
	// gain is the processor time of one of the work units, and discarded what all stops
	// discard, in millicore-seconds.
	gain, discarded float64
	victims         []*run
}

// preempt stops runs for those of the step's idle work units that would otherwise miss
// the objective and can still meet it, and reserves the capacity. It reports whether it
// stopped any: it does so only if all these work units get capacity, as otherwise the job
// would not be in time.
func (p *planner) preempt(c candidate, need bbrreservation.Need) bool {
	s, readyAt := c.step, p.now.Add(p.sched.Timing.StopTimeout/stopTimeShare)
	latest := c.objective.Add(-s.remainingPath)
	if c.tier > 1 || readyAt.After(latest) {
		return false
	}
	suits := func(i int) bool { return p.suitsReservation(s, p.usable[i], p.usable) }
	missing := need.Count - p.ends().FitUntil(need, suits, latest)
	if missing == 0 || missing > p.sched.stopBudget.Left(p.now) || !p.sched.capAllows(s, missing) {
		return false
	}
	stops := &preemption{
		reservation: &reservation{Reservation: bbrreservation.Reservation{MadeAt: p.now, At: readyAt}, step: s},
		gain:        float64(s.spec.Need.MilliCPU) * s.runTime.Seconds(),
	}
	for range missing {
		if !p.extend(stops) {
			stops.withdraw()
			return false
		}
	}
	p.carryOut(stops)
	return true
}

// extend adds the stops for one more work unit where they discard least, and reports
// whether it could.
func (p *planner) extend(stops *preemption) bool {
	left := p.sched.stopBudget.Left(p.now) - len(stops.victims)
	var best *upstream
	var bestRuns []*run
	bestDiscarded := 0.0
	for _, up := range p.usable {
		free, ok := p.freeBesideStops(up, stops.reservation)
		if !ok {
			continue
		}
		runs, discarded, ok := p.victimsOn(up, stops, free, left)
		if ok && (best == nil || discarded < bestDiscarded) {
			best, bestRuns, bestDiscarded = up, runs, discarded
		}
	}
	if best == nil {
		return false
	}
	if best.hold == nil {
		if !bbrreservation.MayHold(len(p.sched.reservations), p.sched.heldUpstreams(), len(stops.holds)+1, len(p.usable)) {
			return false
		}
		stops.add(best, 0)
	}
	best.hold.units++
	for _, victim := range bestRuns {
		victim.stopReason = reasonPreempted
	}
	stops.victims, stops.discarded = append(stops.victims, bestRuns...), stops.discarded+bestDiscarded
	return true
}

// withdraw takes back stops that were not carried out.
func (stops *preemption) withdraw() {
	for _, h := range stops.holds {
		h.up.hold = nil
	}
	for _, victim := range stops.victims {
		victim.stopReason = ""
	}
}

// carryOut plans the stops and reserves the capacity.
func (p *planner) carryOut(stops *preemption) {
	for _, victim := range stops.victims {
		victim.unit.preempted = true
		p.planStop(victim, reasonPreempted)
	}
	p.sched.stopBudget.Spend(len(stops.victims), p.now)
	p.sched.preempted += len(stops.victims)
	discarded := time.Duration(stops.discarded / 1000 * float64(time.Second))
	p.sched.discarded += discarded
	s := stops.step
	p.sched.note(p.now, "Work preempted", "job", s.job.ID, "step", s.number, "occurrence", s.occurrence.number, "firstOn", stops.holds[0].up.ID,
		"stops", len(stops.victims), "discarded", discarded.Round(time.Millisecond))
	p.addReservation(stops.reservation)
}

// freeBesideStops returns the capacity that is free for one more work unit of the
// reservation's step, beside those for which runs are being stopped there. It returns false
// if the upstream does not suit the step, or if the advice service may refuse it.
func (p *planner) freeBesideStops(up *upstream, r *reservation) (bbrwork.Resources, bool) {
	if !p.sched.hasTicket(r.step, up, p.now) {
		return bbrwork.Resources{}, false
	}
	if up.hold == nil || up.hold.reservation != r {
		return up.free(), p.suitsReservation(r.step, up, p.usable)
	}
	free := up.free().Minus(r.step.spec.Allocation().Times(up.hold.units))
	for _, other := range up.runs {
		if other.stopReason == reasonPreempted {
			free = free.Plus(other.allocation)
		}
	}
	return free, r.step.spec.MaxPerUpstream == 0
}

// victimsOn returns the runs on an upstream with the given free capacity to stop for a
// further work unit, and the processor time that this discards, in millicore-seconds.
func (p *planner) victimsOn(up *upstream, stops *preemption, free bbrwork.Resources, maxStops int) (runs []*run, discarded float64, ok bool) {
	var candidates []*run
	most := free
	for _, r := range up.runs {
		if r.mayPreempt(stops.step.job.policy.Priority) {
			candidates, most = append(candidates, r), most.Plus(r.allocation)
		}
	}
	if !stops.step.spec.Allocation().Fits(most) {
		return nil, 0, false
	}
	slices.SortFunc(candidates, compareRuns)
	victims := make([]bbrreservation.Victim, len(candidates))
	for i, r := range candidates {
		victims[i] = bbrreservation.Victim{Index: i, Frees: r.allocation, Discarded: r.discarded(p.now)}
	}
	chosen, discarded, ok := bbrreservation.ChooseVictims(stops.step.spec.Allocation(), free, victims, stops.gain, maxStops)
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

// compareRuns orders runs by age and name, so that decisions are reproducible.
func compareRuns(a, b *run) int {
	if order := a.orderedAt.Compare(b.orderedAt); order != 0 {
		return order
	}
	return cmp.Compare(a.unit.name().String(), b.unit.name().String())
}
