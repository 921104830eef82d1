package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// reservation is capacity that is kept for a step.
type reservation struct {
	bbrreservation.Reservation
	step *step
	// holds are its parts that are not in use yet.
	holds []*hold
}

// hold is the part of a reservation on one upstream. An upstream has one at most.
type hold struct {
	reservation *reservation
	up          *upstream
	units       int
	// spare is what other work may use that may run at the reserved time, as of spareAt
	// and with spareRuns runs.
	spare     bbrwork.Resources
	spareAt   time.Time
	spareRuns int
}

const (
	// maxConsidered bounds the steps that are considered in one round.
	maxConsidered = 16
	// maxForecasts bounds the steps for which a forecast is made in one round, and
	// reserveRetryInterval is the time between two forecasts for a step.
	maxForecasts         = 4
	reserveRetryInterval = 100 * time.Millisecond
)

// reserver is the part of a planner that reserves capacity.
type reserver struct {
	// considered are the best ranked steps that wait and may reserve or preempt, best
	// first.
	considered []candidate
	// largest is the largest usable capacity, and lowestPriority the highest priority
	// number of the jobs of which something has run or may run.
	largest        bbrwork.Resources
	lowestPriority int
	forecast       *bbrreservation.Forecast
}

// beginReservations prepares a round of planning.
func (p *planner) beginReservations() {
	if !p.sched.ReserveCapacity {
		return
	}
	for _, up := range p.usable {
		p.largest = p.largest.Max(up.Capacity)
	}
	for _, j := range p.sched.jobs {
		if j.mayHaveBegun() && j.policy != nil {
			p.lowestPriority = max(p.lowestPriority, j.policy.Priority)
		}
	}
}

// isWide reports whether a step needs more than gaps between other work: it is a gang, or
// its work units need most of an upstream.
func (p *planner) isWide(s *step) bool {
	return s.spec.Gang && len(s.units) > 1 || !s.spec.Allocation().Times(2).Fits(p.largest)
}

// consider adds a step that has idle work units to those that may reserve or preempt.
func (p *planner) consider(s *step, objective time.Time) {
	if !p.sched.ReserveCapacity || len(p.usable) == 0 || s.spec.LongRunning || s.reservation != nil || p.now.Before(s.reserveAfter) || !p.isWide(s) && !p.isUrgent(s) {
		return
	}
	c := p.rank(s, objective)
	if p.now.After(s.latestStart()) || c.tier > 1 && !p.isWide(s) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.considered, c, compareCandidates)
	if at == maxConsidered {
		return
	}
	p.considered = slices.Insert(p.considered, at, c)
	p.considered = p.considered[:min(len(p.considered), maxConsidered)]
}

// latestStart returns the latest start with which the step's job has any value.
func (s *step) latestStart() time.Time {
	from := later(s.job.Accepted, s.job.Schedule.Due(s.occurrence.number))
	return bbrreservation.LatestStart(from, s.job.objective(s.occurrence), s.remainingPath)
}

// planReservations reserves capacity for wide work that still waits after the starts, and
// stops work for urgent work. Work beyond its organisation's share gets neither, as it
// would get capacity ahead of work within its share.
func (p *planner) planReservations() {
	betterWaits, forecasts := false, 0
	for _, c := range p.considered {
		if forecasts == maxForecasts || len(p.sched.reservations) >= bbrreservation.MaxReservations {
			return
		}
		if p.rankInShare(c) == rankBeyond {
			continue
		}
		need, ok := p.waitingNeed(c.step)
		if !ok {
			continue
		}
		forecasts++
		c.step.reserveAfter = p.now.Add(reserveRetryInterval)
		if p.isUrgent(c.step) && p.preempt(c, need) || p.isWide(c.step) && p.reserve(c, need, betterWaits) {
			continue
		}
		betterWaits = betterWaits || c.tier <= 1
	}
}

// waitingNeed returns what the step's idle work units need, and false if capacity is not
// what they wait for. Suspects are left to their trials.
func (p *planner) waitingNeed(s *step) (bbrreservation.Need, bool) {
	need := bbrreservation.Need{Unit: s.spec.Allocation(), PerUpstream: s.spec.MaxPerUpstream}
	if s.spec.Gang && s.idleUnits < len(s.units) || p.sched.beyondCap(s) {
		return need, false
	}
	for _, u := range s.units {
		switch {
		case !u.idle():
		case len(u.crashes) == 0 && !p.now.Before(u.notBefore):
			need.Count++
		case s.spec.Gang:
			return need, false
		}
	}
	return need, need.Count > 0
}

// reserve makes a reservation for a gang, or for one work unit of another step, where it
// fits first. betterWaits means that work with a better rank waits without one; then only
// work that can be in time may reserve.
func (p *planner) reserve(c candidate, need bbrreservation.Need, betterWaits bool) bool {
	s := c.step
	if !s.spec.Gang {
		need.Count = 1
	}
	slot, ok := p.earliestSlot(s, need)
	if !ok || !slot.At.After(p.now) || slot.At.After(s.latestStart()) || betterWaits && slot.At.Add(s.remainingPath).After(c.objective) {
		return false
	}
	if !bbrreservation.MayHold(len(p.sched.reservations), p.sched.heldUpstreams(), len(slot.Places), len(p.usable)) {
		return false
	}
	r := &reservation{Reservation: bbrreservation.Reservation{MadeAt: p.now, At: slot.At}, step: s}
	for _, place := range slot.Places {
		r.add(p.usable[place.Upstream], place.Units)
	}
	p.addReservation(r)
	return true
}

// earliestSlot returns when and where the need of a step fits first.
func (p *planner) earliestSlot(s *step, need bbrreservation.Need) (earliest bbrreservation.Slot, ok bool) {
	limit, groups := p.now.Add(bbrreservation.MaxLead), [][]*upstream{p.usable}
	if s.spec.Gang {
		groups = p.groupsOf(s, p.usable)
	}
	for _, group := range groups {
		slot, fits := p.ends().Earliest(need, func(i int) bool { return p.suitsReservation(s, p.usable[i], group) }, limit)
		if fits && (!ok || slot.At.Before(earliest.At)) {
			earliest, ok = slot, true
		}
	}
	return earliest, ok
}

// suitsReservation reports whether capacity may be reserved for the step on the upstream,
// which must be one of the group: a rack, or all.
func (p *planner) suitsReservation(s *step, up *upstream, group []*upstream) bool {
	if up.hold != nil || up.vacancy != nil && up.vacancy.step != s || !p.sched.canEverFit(s, up) || len(group) < len(p.usable) && up.Rack() != group[0].Rack() {
		return false
	}
	if s.spec.Gang {
		return true
	}
	return !s.atUpstreamLimit(up) && (s.spec.DataRack == "" || up.HasLabel(s.spec.DataRack) || p.mayRunFarFromData(s))
}

// ends returns the forecast for the usable upstreams.
func (p *planner) ends() *bbrreservation.Forecast {
	if p.forecast != nil {
		return p.forecast
	}
	free := make([]bbrwork.Resources, len(p.usable))
	var ends []bbrreservation.End
	for i, up := range p.usable {
		free[i] = up.free()
		for _, r := range up.runs {
			if !r.unit.step.spec.LongRunning {
				ends = append(ends, bbrreservation.End{Upstream: i, At: bbrreservation.RemainingEnd(p.sched.forecastEnd(r), p.now), Freed: r.allocation})
			}
		}
	}
	p.forecast = bbrreservation.NewForecast(p.now, free, ends)
	return p.forecast
}

// forecastEnd returns when a run of finite work is expected to end, which may have passed.
func (sched *Scheduler) forecastEnd(r *run) time.Time {
	if !r.stopSentAt.IsZero() {
		return r.stopSentAt.Add(sched.Timing.StopTimeout)
	}
	return r.expectedEnd()
}

// add reserves capacity for a number of work units on an upstream.
func (r *reservation) add(up *upstream, units int) {
	h := &hold{reservation: r, up: up, units: units}
	up.hold = h
	r.holds = append(r.holds, h)
}

// addReservation adds a reservation to those of the shard.
func (p *planner) addReservation(r *reservation) {
	r.step.reservation = r
	r.updateRank(p.now)
	p.sched.reservations = append(p.sched.reservations, r)
	p.sched.note(p.now, "Capacity reserved", "job", r.step.job.ID, "step", r.step.number, "occurrence", r.step.occurrence.number, "gang", r.step.spec.Gang,
		"upstreams", len(r.holds), "firstOn", r.holds[0].up.ID, "in", r.At.Sub(p.now).Round(time.Millisecond), "tier", r.Holder.Tier, "priority", r.Holder.Priority)
}

// updateRank sets the holder's rank as of now: work that can no longer be in time holds
// back only other work of which that is true.
func (r *reservation) updateRank(now time.Time) {
	r.Holder = bbrreservation.Rank{Tier: 1}
	if later(now, r.At).Add(r.step.remainingPath).After(r.step.job.objective(r.step.occurrence)) {
		r.Holder.Tier = 2
	}
	if policy := r.step.job.policy; policy != nil {
		r.Holder.Priority = policy.Priority
	}
}

// freeFor returns the capacity of an upstream that is free for a step: capacity that is
// reserved for other work is not.
func (p *planner) freeFor(s *step, up *upstream) bbrwork.Resources {
	free := p.withoutVacancies(s, up, up.free())
	h := up.hold
	if h == nil || h.reservation.step == s || s.spec.LongRunning {
		return free
	}
	c := p.rank(s, s.job.objective(s.occurrence))
	if !h.reservation.HoldsBack(bbrreservation.Rank{Tier: c.tier, Priority: c.priority}, s.runTime, p.now) {
		return free
	}
	return free.Min(h.spareCapacity(p.sched, p.now))
}

// spareCapacity returns what is left of the upstream's capacity at the reserved time.
func (h *hold) spareCapacity(sched *Scheduler, now time.Time) bbrwork.Resources {
	if h.spareAt.Equal(now) && h.spareRuns == len(h.up.runs) {
		return h.spare
	}
	var outlasting bbrwork.Resources
	for _, r := range h.up.runs {
		run := bbrreservation.Run{StartedAt: r.orderedAt, ExpectedEnd: sched.forecastEnd(r), RunTime: r.unit.step.runTime, LongRunning: r.unit.step.spec.LongRunning}
		if h.reservation.Outlasts(run, now) {
			outlasting = outlasting.Plus(r.allocation)
		}
	}
	h.spare = bbrreservation.Spare(h.up.Capacity, outlasting, h.reservation.step.spec.Allocation(), h.units)
	h.spareAt, h.spareRuns = now, len(h.up.runs)
	return h.spare
}

// fitsOnHeld reports whether a work unit of the step may start on an upstream with
// reserved capacity.
func (p *planner) fitsOnHeld(s *step) bool {
	need := s.spec.Allocation()
	for _, r := range p.sched.reservations {
		for _, h := range r.holds {
			if need.Fits(h.up.free()) && need.Fits(p.freeFor(s, h.up)) {
				return true
			}
		}
	}
	return false
}
