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

// maxStarting bounds the starts on their way to one upstream.
const maxStarting = 6

// planner is the state of one round of planning.
type planner struct {
	ledger *Scheduler
	now    time.Time
	// usable are the upstreams that may take work, by ID.
	usable []*upstream
	// excluded counts the upstreams by why they may not take work.
	excluded [exclusions]int
	// near tells, by step, whether the rack of its data has a place for it some time.
	near map[*step]bool
	// tooBig has needs that no usable upstream has the room for; room only
	// shrinks during a round.
	tooBig map[bbrwork.Resources]bool
	// busy means that over half of the usable processor room is taken.
	busy bool
	plan Plan
}

// Plan decides what to do now. Starts are planned only while the claim is
// confirmed.
func (l *Scheduler) Plan(confirmed bool, now time.Time) Plan {
	l.ExpireLeases(now)
	p := &planner{ledger: l, now: now, tooBig: make(map[bbrwork.Resources]bool), near: make(map[*step]bool)}
	p.stops()
	if confirmed {
		p.findUsable(l.entitle)
		p.starts()
		p.paces()
		p.standing()
	}
	return p.plan
}

// entitle tells whether the store lists the life as one on which work may run,
// and asks for it otherwise.
func (l *Scheduler) entitle(up *upstream) bool {
	if l.entitled[up.Life] {
		return true
	}
	l.asked[up.Life] = true
	return false
}

func (p *planner) starts() {
	for _, c := range p.candidates() {
		before := len(p.plan.Starts)
		if c.step.shape.Gang {
			p.startGang(c.step)
		} else {
			p.startStep(c.step)
		}
		p.tell(c, p.plan.Starts[before:])
	}
}

// tell notes what was started of a step, and what decided it.
func (p *planner) tell(c candidate, starts []StartOrder) {
	if len(starts) == 0 {
		return
	}
	job := c.step.job
	p.ledger.note(p.now, "Work units started", "job", job.ID, "step", c.step.number, "occurrence", c.step.occurrence.number,
		"count", len(starts), "waiting", c.step.idle, "firstOn", starts[0].Upstream.ID, "run", starts[0].Start.Run,
		"tier", c.tier, "untilObjective", c.by.Sub(p.now).Round(time.Millisecond), "age", p.now.Sub(job.Accepted).Round(time.Millisecond))
}

func (p *planner) startStep(s *step) {
	if ask, ok := p.ledger.ask(s, p.usable, p.now); ok {
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, ask)
	}
	if !p.anyRoom(s) {
		return
	}
	for _, u := range s.units {
		if u.done || len(u.runs) > 0 || p.now.Before(u.notBefore) {
			continue
		}
		up := p.choose(u, nil)
		if up == nil {
			return
		}
		p.start(u, u.last+1, up)
	}
}

// anyRoom is a quick look before the work units are gone through.
func (p *planner) anyRoom(s *step) bool {
	taken := s.shape.Taken()
	if p.tooBig[taken] {
		return false
	}
	for _, up := range p.usable {
		if taken.Fits(up.free()) {
			return true
		}
	}
	p.tooBig[taken] = true
	return false
}

// choose returns the upstream for a work unit, or nil.
func (p *planner) choose(u *unit, fits func(up *upstream) bool) *upstream {
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
	if up.starting >= maxStarting || !s.shape.Taken().Fits(up.free()) || !up.HasLabel(s.shape.Label) {
		return false
	}
	if up.Draining {
		return false
	}
	if s.shape.DataRack != "" && !up.HasLabel(s.shape.DataRack) && !p.mayRunFar(s) {
		return false
	}
	if s.full(up) {
		return false
	}
	_, ok := p.ledger.advised(s, up, p.now)
	return ok
}

// full tells whether the step has as many runs on the upstream as it may.
func (s *step) full(up *upstream) bool {
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
	if u.avoid != "" && (up.ID == u.avoid) != (best.ID == u.avoid) {
		return best.ID == u.avoid
	}
	if shape.Lasting {
		return up.free().MilliCPU > best.free().MilliCPU
	}
	if up.serves() != best.serves() {
		return up.serves() != shape.Fills
	}
	return up.free().MilliCPU < best.free().MilliCPU
}

func (p *planner) start(u *unit, number int, up *upstream) {
	l := p.ledger
	ticket, _ := l.advised(u.step, up, p.now)
	r := l.addRun(u, number, up, p.now)
	r.until = up.clockNow(p.now) + l.Timing.StartTimeout
	if end := p.now.Add(leaseBound(l.Timing.StartTimeout) + time.Duration(clockError*float64(p.now.Sub(up.clockAt)))); end.After(up.leased) {
		up.leased = end
	}
	up.starting++
	p.plan.Starts = append(p.plan.Starts, StartOrder{Upstream: up.Upstream, Start: bbrorder.Start{
		Unit:       u.name(),
		Run:        number,
		Spec:       u.step.job.Spec,
		Until:      r.until,
		Token:      l.Token,
		Checkpoint: u.checkpoint,
		Ticket:     ticket,
	}})
}
