package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// StartOrder is an order to start a run, and the upstream that receives it.
type StartOrder struct {
	Upstream bbrwork.Upstream
	Start    bbrorder.Start
}

// StopOrder is an order to stop a run, and the upstream that receives it.
type StopOrder struct {
	Upstream bbrwork.Upstream
	Stop     bbrorder.Stop
}

// PaceOrder is an order to set the pace of a run, and the upstream that receives it.
type PaceOrder struct {
	Upstream bbrwork.Upstream
	Pace     bbrorder.Pace
}

// Plan is what the owner has to send now.
type Plan struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Paces          []PaceOrder
	AdviceRequests []AdviceRequest
}

// maxStartsInFlight bounds the starts in flight to one upstream.
const maxStartsInFlight = 6

// planner is the state of one round of planning.
type planner struct {
	sched *Scheduler
	now   time.Time
	// usable are the upstreams that may take work, sorted by ID.
	usable []*upstream
	// suspects are further upstreams, used only for work that no usable one suits (see
	// mayUseSuspects): suspect ones, and those kept for a trial for exclusiveTrialTime or more.
	suspects []*upstream
	// excluded counts the upstreams by the reason for which they may not take work.
	excluded [exclusionCount]int
	// nearDataFits reports, by step, whether an upstream on the rack of its data
	// can ever take a unit of it.
	nearDataFits map[*step]bool
	// doesNotFit has the allocations that fit on no usable upstream without reserved
	// capacity. It stays valid for the round, as free capacity only shrinks.
	doesNotFit map[bbrwork.Resources]bool
	// busy means that over half of the usable CPU capacity is in use, and free is what
	// is free of the usable capacity; an upstream whose capacity shrank below what runs
	// there has nothing free.
	busy bool
	free bbrwork.Resources
	// capacityMilliCPU is the usable CPU capacity, and startedMilliCPU what the starts of this
	// round take of free.
	capacityMilliCPU, startedMilliCPU int
	// trials counts the upstreams that are reserved for trials.
	trials int
	reserver
	// ignoreVacancies means that capacity on vacated upstreams counts as free for any work.
	ignoreVacancies bool
	plan            Plan
	// sharing means that organisations share the capacity by weight, and waiting is what
	// their work units without a run need.
	sharing bool
	waiting bbrwork.Resources
}

// Plan decides what to send now. While the owner's claim is not confirmed, it plans
// only the stops of runs that should not continue.
func (sched *Scheduler) Plan(confirmed bool, now time.Time) Plan {
	sched.releaseHeldForOrders()
	sched.ExpireLeases(now)
	sched.updateHeld(now)
	sched.noteUnlocated(now)
	sched.accuseUnlocated(now)
	sched.endTrials(now)
	sched.endReservations(now)
	sched.endVacancies(now)
	sched.updateInterference(now)
	p := &planner{sched: sched, now: now, doesNotFit: make(map[bbrwork.Resources]bool), nearDataFits: make(map[*step]bool)}
	p.planStops()
	if confirmed {
		p.beginQuota()
		p.findUsable(sched.ensureRecorded)
		p.planTrials()
		p.beginReservations()
		p.beginShares()
		p.planStarts()
		p.planReservations()
		p.planVacancies()
		p.planPaces()
		p.planStallStops()
	}
	return p.plan
}

// ensureRecorded reports whether the store lists the incarnation as recorded for a
// successor, and requests that it be recorded if not.
func (sched *Scheduler) ensureRecorded(up *upstream) bool {
	if sched.recorded[up.Incarnation] {
		return true
	}
	sched.toRecord[up.Incarnation] = true
	return false
}

func (p *planner) planStarts() {
	list := p.candidates()
	for len(list) > 0 {
		next := slices.IndexFunc(list, func(c candidate) bool { return c.tier != list[0].tier })
		if next < 0 {
			next = len(list)
		}
		p.startTier(list[:next])
		list = list[next:]
	}
}

// startTier starts work of one tier. Work whose organisation has got a later rank on the
// way waits for the work of the others.
func (p *planner) startTier(list []candidate) {
	var deferred []candidate
	for rank := list[0].shareRank; len(list) > 0; rank++ {
		deferred = deferred[:0]
		for _, c := range list {
			if c.shareRank = max(c.shareRank, p.rankInShare(c)); c.shareRank > rank {
				deferred = append(deferred, c)
				continue
			}
			p.startCandidate(c)
		}
		list, deferred = deferred, list[:0]
		slices.SortFunc(list, compareCandidates)
	}
}

func (p *planner) startCandidate(c candidate) {
	before := len(p.plan.Starts)
	if c.step.spec.Gang {
		p.startGang(c.step)
	} else {
		p.startStep(c.step)
	}
	starts := p.plan.Starts[before:]
	if c.shareRank < rankBeyond && c.unstarted > 0 && len(starts) > 0 {
		c.step.job.begunInShare = true
	}
	p.noteStarts(c, starts)
}

// noteStarts logs the starts of a step and the rank by which they were decided.
func (p *planner) noteStarts(c candidate, starts []StartOrder) {
	if len(starts) == 0 {
		return
	}
	job := c.step.job
	p.sched.note(p.now, "Work units started", "job", job.ID, "step", c.step.number, "occurrence", c.step.occurrence.number,
		"count", len(starts), "waiting", c.step.idleUnits, "firstOn", starts[0].Upstream.ID, "run", starts[0].Start.Run,
		"tier", c.tier, "untilObjective", c.objective.Sub(p.now).Round(time.Millisecond), "age", p.now.Sub(job.Accepted).Round(time.Millisecond))
}

func (p *planner) startStep(s *step) {
	if request, ok := p.adviceRequest(s); ok {
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, request)
	}
	if !p.fitsAnywhere(s) {
		return
	}
	for _, u := range s.units {
		if u.done || len(u.runs) > 0 || p.now.Before(u.notBefore) {
			continue
		}
		if p.heldBack(u) || p.mayHaveUnlocatedRun(u) || p.awaitsReturn(u) {
			continue
		}
		if !p.withinCap(s, 1) {
			return
		}
		if u.suspected() {
			if up := p.announcedUpstream(u); up != nil && p.sched.mayOrder(u, u.lastRun+1, up) {
				p.planStart(u, u.lastRun+1, up)
			}
			continue
		}
		up := p.startUpstream(u)
		if up == nil && p.mayUseSuspects(s) && !p.mayUnitUseSuspects(u) {
			continue
		}
		if up == nil {
			return
		}
		if !p.sched.mayOrder(u, u.lastRun+1, up) {
			p.sched.holdForOrder(u, up)
			continue
		}
		p.planStart(u, u.lastRun+1, up)
	}
}

// startUpstream returns the upstream on which the work unit starts next, or nil: that of an earlier
// start which may still be carried out, the announced one, or else the best.
func (p *planner) startUpstream(u *unit) *upstream {
	if up := p.preferredUpstream(u); up != nil {
		return up
	}
	return p.chooseUpstream(u, nil)
}

// preferredUpstream returns the upstream of an earlier start which may still be carried out, or the
// announced one; nil if there is none or if the work unit may not start there now.
func (p *planner) preferredUpstream(u *unit) *upstream {
	if up := p.lateStartUpstream(u); up != nil {
		return up
	}
	return p.announcedTarget(u)
}

// fitsAnywhere reports whether a unit of the step fits on a usable upstream. It is
// a cheap check before the single work units are placed.
func (p *planner) fitsAnywhere(s *step) bool {
	need := s.spec.Allocation()
	if p.fitsOnSuspect(need) && p.mayUseSuspects(s) {
		return true
	}
	if p.doesNotFit[need] {
		return p.fitsOnHeld(s)
	}
	for _, up := range p.usable {
		if up.hold == nil && need.Fits(up.free()) {
			return true
		}
	}
	p.doesNotFit[need] = true
	return p.fitsOnHeld(s)
}

// fitsOnSuspect reports whether the allocation fits on a suspect upstream.
func (p *planner) fitsOnSuspect(need bbrwork.Resources) bool {
	return slices.ContainsFunc(p.suspects, func(up *upstream) bool { return need.Fits(up.free()) })
}

// chooseUpstream returns the best upstream for a work unit, or nil. fits is a further
// condition; nil for none. Work that leaves a vacated upstream starts on its destination
// unless more starts have failed there. Only work that no usable upstream suits uses others:
// starts in flight are soon answered, so it waits for them.
func (p *planner) chooseUpstream(u *unit, fits func(up *upstream) bool) *upstream {
	best := p.bestOf(p.usable, u, fits)
	if best == nil {
		return p.chooseOutsideUsable(u, fits)
	}
	if up := p.plannedDestination(u); up != nil && (fits == nil || fits(up)) {
		if less, _ := p.fewerFailedStarts(u.step.spec, best, up); !less {
			return up
		}
	}
	return best
}

// chooseOutsideUsable returns the best suspect upstream for a work unit that no usable one
// suits or, for long-running work, the best vacated one. It returns nil if there is none.
func (p *planner) chooseOutsideUsable(u *unit, fits func(up *upstream) bool) *upstream {
	suspectsAllowed, longRunning := p.mayUseSuspects(u.step), u.step.spec.LongRunning
	if !suspectsAllowed && !longRunning || p.suitsUsable(u.step, fits) {
		return nil
	}
	if suspectsAllowed && p.mayUnitUseSuspects(u) {
		if up := p.bestOf(p.suspects, u, fits); up != nil {
			return up
		}
	}
	if longRunning {
		return p.chooseVacated(u, fits)
	}
	return nil
}

// bestOf returns the best of the upstreams for a work unit, or nil.
func (p *planner) bestOf(upstreams []*upstream, u *unit, fits func(up *upstream) bool) *upstream {
	var best *upstream
	for _, up := range upstreams {
		if !p.mayRun(u, up) || fits != nil && !fits(up) {
			continue
		}
		if best == nil || p.better(u, up, best) {
			best = up
		}
	}
	return best
}

// suitsUsable reports whether a usable upstream suits the step, although it may have its
// maximum of starts in flight. fits is a further condition; nil for none.
func (p *planner) suitsUsable(s *step, fits func(up *upstream) bool) bool {
	return slices.ContainsFunc(p.usable, func(up *upstream) bool {
		return p.suits(s, up) && (fits == nil || fits(up))
	})
}

func (p *planner) mayRun(u *unit, up *upstream) bool {
	return up.startsInFlight < maxStartsInFlight && p.suits(u.step, up)
}

// suits reports whether a work unit of the step may run on the upstream, apart from the
// number of starts in flight.
func (p *planner) suits(s *step, up *upstream) bool {
	if !s.spec.Allocation().Fits(p.freeFor(s, up)) || !up.HasLabel(s.spec.Label) {
		return false
	}
	if up.Draining || up.refuses(s.spec.Allocation(), p.now) {
		return false
	}
	if s.spec.DataRack != "" && !up.HasLabel(s.spec.DataRack) && !p.mayRunFarFromData(s) {
		return false
	}
	if s.spec.MaxPerUpstream > 0 && s.runsOn(up)+p.sched.heldOn(s, up) >= s.spec.MaxPerUpstream {
		return false
	}
	_, ok := p.sched.ticketFor(s, up, p.now)
	return ok
}

// atUpstreamLimit reports whether the step has MaxPerUpstream runs on the upstream.
func (s *step) atUpstreamLimit(up *upstream) bool {
	return s.spec.MaxPerUpstream > 0 && s.runsOn(up) >= s.spec.MaxPerUpstream
}

// runsOn returns the number of the step's runs on an upstream.
func (s *step) runsOn(up *upstream) int {
	count := 0
	for _, u := range s.units {
		for _, r := range u.runs {
			if r.up == up {
				count++
			}
		}
	}
	return count
}

// better reports whether up suits the work unit better than best.
//
// Long-running work is spread, so that its units neither compete with each other
// nor are lost together. Finite work is packed: first onto upstreams that
// long-running work keeps in the pool anyway, unless it is best-effort work that
// would disturb it, and then onto the fullest upstreams. This leaves the other
// upstreams empty when another pool has a demand burst, so that they can be moved
// without waiting for work to end.
//
// Long-running work goes first to upstreams on which no starts failed of late: capacity that
// stays free because nothing starts there must not attract it again and again. Finite work
// does so where several starts in a row failed.
//
// A suspect is spread: it goes where the fewest other suspects and the fewest runs are.
// Before it is spread or packed, work is kept apart from images that interfere with its own.
func (p *planner) better(u *unit, up, best *upstream) bool {
	spec := u.step.spec
	if less, equal := p.fewerFailedStarts(spec, up, best); !equal {
		return less
	}
	if spec.DataRack != "" && up.HasLabel(spec.DataRack) != best.HasLabel(spec.DataRack) {
		return up.HasLabel(spec.DataRack)
	}
	if u.avoidUpstream != "" && (up.ID == u.avoidUpstream) != (best.ID == u.avoidUpstream) {
		return best.ID == u.avoidUpstream
	}
	if u.suspected() {
		if less, equal := u.lessHarmful(up, best); !equal {
			return less
		}
	}
	if less, equal := p.sched.lessInterference(u, up, best); !equal {
		return less
	}
	if spec.LongRunning {
		return up.free().MilliCPU > best.free().MilliCPU
	}
	if up.hasLongRunning() != best.hasLongRunning() {
		return up.hasLongRunning() != spec.BestEffort
	}
	return up.free().MilliCPU < best.free().MilliCPU
}

func (p *planner) planStart(u *unit, run int, up *upstream) {
	sched := p.sched
	ticket, _ := sched.ticketFor(u.step, up, p.now)
	p.countSeparation(u.step, up)
	r := sched.addRun(u, run, up, p.now)
	r.fromStart = u.checkpoint == ""
	r.startDeadline, r.earliestAnswer = up.clockNow(p.now)+sched.Timing.StartTimeout, up.earliestClock(p.now)
	up.boundLease(p.now.Add(leaseBound(sched.Timing.StartTimeout)+time.Duration(clockError*float64(p.now.Sub(up.clockAt)))), LeaseOfStart)
	if len(up.runs) == 1 {
		up.confirmLease(r.startDeadline)
	}
	up.startsInFlight++
	p.startedMilliCPU += r.allocation.MilliCPU
	p.plan.Starts = append(p.plan.Starts, StartOrder{Upstream: up.Upstream, Start: bbrorder.Start{
		Unit:       u.name(),
		Run:        run,
		Spec:       u.step.job.Spec,
		Until:      r.startDeadline,
		Token:      sched.tokenOf(up.ID),
		Checkpoint: u.checkpoint,
		Ticket:     ticket,
	}})
}
