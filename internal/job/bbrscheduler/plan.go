package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// StartOrder is a start and where it goes.
type StartOrder struct {
	Upstream bbrwork.Upstream
	Start    bbrorder.Start
}

// StopOrder is a stop and where it goes.
type StopOrder struct {
	Upstream bbrwork.Upstream
	Stop     bbrorder.Stop
}

// PaceOrder is a pace and where it goes.
type PaceOrder struct {
	Upstream bbrwork.Upstream
	Pace     bbrorder.Pace
}

// Plan is what is to be done now.
type Plan struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Paces          []PaceOrder
	AdviceRequests []AdviceRequest
}

// maxStartsInFlight bounds the starts on their way to one upstream.
const maxStartsInFlight = 6

// planner is the state of one round of planning.
type planner struct {
	sched *Scheduler
	now   time.Time
	// usable are the upstreams that may take work, by ID.
	usable []*upstream
	// excluded counts the upstreams by why they may not take work.
	excluded [exclusionCount]int
	// nearDataFits tells, by step, whether the rack of its data has a place for it some time.
	nearDataFits map[*step]bool
	// doesNotFit has needs that no usable upstream has the room for; room only
	// shrinks during a round.
	doesNotFit map[bbrwork.Resources]bool
	// busy means that over half of the usable processor room is taken.
	busy bool
	plan Plan
}

// Plan decides what to do now. Starts are planned only while the claim is
// confirmed.
func (sched *Scheduler) Plan(confirmed bool, now time.Time) Plan {
	sched.ExpireLeases(now)
	p := &planner{sched: sched, now: now, doesNotFit: make(map[bbrwork.Resources]bool), nearDataFits: make(map[*step]bool)}
	p.planStops()
	if confirmed {
		p.findUsable(sched.ensureRecorded)
		p.planStarts()
		p.planPaces()
		p.planStallStops()
	}
	return p.plan
}

// ensureRecorded tells whether the store lists the life as one on which work may run,
// and asks for it otherwise.
func (sched *Scheduler) ensureRecorded(up *upstream) bool {
	if sched.recorded[up.Incarnation] {
		return true
	}
	sched.toRecord[up.Incarnation] = true
	return false
}

func (p *planner) planStarts() {
	for _, c := range p.candidates() {
		before := len(p.plan.Starts)
		if c.step.shape.Gang {
			p.startGang(c.step)
		} else {
			p.startStep(c.step)
		}
		p.noteStarts(c, p.plan.Starts[before:])
	}
}

// noteStarts notes what was started of a step, and what decided it.
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
	if request, ok := p.sched.adviceRequest(s, p.usable, p.now); ok {
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, request)
	}
	if !p.fitsAnywhere(s) {
		return
	}
	for _, u := range s.units {
		if u.done || len(u.runs) > 0 || p.now.Before(u.notBefore) {
			continue
		}
		up := p.chooseUpstream(u, nil)
		if up == nil {
			return
		}
		p.planStart(u, u.lastRun+1, up)
	}
}

// fitsAnywhere is a quick look before the work units are gone through.
func (p *planner) fitsAnywhere(s *step) bool {
	need := s.shape.Allocation()
	if p.doesNotFit[need] {
		return false
	}
	for _, up := range p.usable {
		if need.Fits(up.free()) {
			return true
		}
	}
	p.doesNotFit[need] = true
	return false
}

// chooseUpstream returns the upstream for a work unit, or nil.
func (p *planner) chooseUpstream(u *unit, fits func(up *upstream) bool) *upstream {
	var best *upstream
	for _, up := range p.usable {
		if !p.mayRun(u, up) || fits != nil && !fits(up) {
			continue
		}
		if best == nil || p.better(u, up, best) {
			best = up
		}
	}
	return best
}

func (p *planner) mayRun(u *unit, up *upstream) bool {
	s := u.step
	if up.startsInFlight >= maxStartsInFlight || !s.shape.Allocation().Fits(up.free()) || !up.HasLabel(s.shape.Label) {
		return false
	}
	if up.Draining {
		return false
	}
	if s.shape.DataRack != "" && !up.HasLabel(s.shape.DataRack) && !p.mayRunFarFromData(s) {
		return false
	}
	if s.atUpstreamLimit(up) {
		return false
	}
	_, ok := p.sched.ticketFor(s, up, p.now)
	return ok
}

// atUpstreamLimit tells whether the step has as many runs on the upstream as it may.
func (s *step) atUpstreamLimit(up *upstream) bool {
	return s.shape.MaxPerUpstream > 0 && s.runsOn(up) >= s.shape.MaxPerUpstream
}

// runsOn counts the step's runs on an upstream.
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

// better tells whether up suits the work unit better than best.
//
// Lasting work is spread, so that it neither disturbs its like nor is lost
// together. Other work is packed: onto upstreams that lasting work keeps in the
// pool anyway, unless it would disturb that, and then onto the fullest. So the
// others are empty when another pool's turn of demand comes, and can be moved
// without waiting for work to end.
func (p *planner) better(u *unit, up, best *upstream) bool {
	shape := u.step.shape
	if shape.DataRack != "" && up.HasLabel(shape.DataRack) != best.HasLabel(shape.DataRack) {
		return up.HasLabel(shape.DataRack)
	}
	if u.avoidUpstream != "" && (up.ID == u.avoidUpstream) != (best.ID == u.avoidUpstream) {
		return best.ID == u.avoidUpstream
	}
	if shape.LongRunning {
		return up.free().MilliCPU > best.free().MilliCPU
	}
	if up.hasLongRunning() != best.hasLongRunning() {
		return up.hasLongRunning() != shape.BestEffort
	}
	return up.free().MilliCPU < best.free().MilliCPU
}

func (p *planner) planStart(u *unit, run int, up *upstream) {
	sched := p.sched
	ticket, _ := sched.ticketFor(u.step, up, p.now)
	r := sched.addRun(u, run, up, p.now)
	r.startDeadline = up.clockNow(p.now) + sched.Timing.StartTimeout
	if end := p.now.Add(leaseBound(sched.Timing.StartTimeout) + time.Duration(clockError*float64(p.now.Sub(up.clockAt)))); end.After(up.leaseEnd) {
		up.leaseEnd = end
	}
	up.startsInFlight++
	p.plan.Starts = append(p.plan.Starts, StartOrder{Upstream: up.Upstream, Start: bbrorder.Start{
		Unit:       u.name(),
		Run:        run,
		Spec:       u.step.job.Spec,
		Until:      r.startDeadline,
		Token:      sched.Token,
		Checkpoint: u.checkpoint,
		Ticket:     ticket,
	}})
}
