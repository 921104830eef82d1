package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// vacateAfter is how long a step that fits beside long-running work nowhere waits
	// before an upstream is vacated for it. It exceeds the time in which the fleet delivers
	// an instance, if it has one, and is less than slowWait.
	vacateAfter = 2 * time.Second
	// maxVacateConsidered bounds the steps that are considered in one round. An upstream is
	// looked for on behalf of one of them. A step is considered again after
	// vacateRetryInterval.
	maxVacateConsidered = 16
	vacateRetryInterval = 400 * time.Millisecond
	// maxVacateShare is the part of the usable upstreams, one at least, that may be kept
	// for steps at the same time: one in maxVacateShare.
	maxVacateShare = 2
)

// waitingStep is a step, its work unit that has waited longest, and since when that waits.
type waitingStep struct {
	step  *step
	unit  *unit
	since time.Time
}

// planVacancies begins to vacate an upstream if a step has waited too long for one: the
// long-running work there moves to other upstreams. It does nothing while an earlier move is
// in progress or the limit of vacated upstreams is reached.
func (p *planner) planVacancies() {
	sched := p.sched
	if p.now.Before(sched.vacancies.nextAt) || !sched.EarlierWorkKnown(p.now) {
		return
	}
	limit := max(1, len(p.usable)/maxVacateShare)
	if len(sched.vacancies.list) >= limit || slices.ContainsFunc(sched.vacancies.list, (*vacancy).isMoving) {
		return
	}
	if !slices.ContainsFunc(p.usable, (*upstream).hasLongRunning) {
		return
	}
	for _, waiting := range p.longWaits() {
		waiting.step.vacateAfter = p.now.Add(vacateRetryInterval)
		if !p.lacksEmptyUpstream(waiting) {
			continue
		}
		if v := p.chooseVacancy(waiting.step); v != nil {
			p.beginVacancy(v, waiting)
		}
		return
	}
}

// longWaits returns steps that have waited for longer than vacateAfter, at most
// maxVacateConsidered: those that were not considered for the longest time first, and then the
// longest wait.
func (p *planner) longWaits() []waitingStep {
	var list []waitingStep
	for _, s := range p.sched.runnableSteps(p.now) {
		if s.idleUnits == 0 || p.now.Before(s.vacateAfter) {
			continue
		}
		if u, since := p.longestStartable(s); u != nil && p.now.Sub(since) >= vacateAfter {
			list = append(list, waitingStep{s, u, since})
		}
	}
	slices.SortFunc(list, func(a, b waitingStep) int {
		return cmp.Or(a.step.vacateAfter.Compare(b.step.vacateAfter), a.since.Compare(b.since), cmp.Compare(a.step.job.ID, b.step.job.ID),
			cmp.Compare(a.step.occurrence.number, b.step.occurrence.number), cmp.Compare(a.step.number, b.step.number))
	})
	return list[:min(len(list), maxVacateConsidered)]
}

// lacksEmptyUpstream reports whether the step waits for capacity that long-running work
// uses: beside it, there is capacity for none of its work units, or for so few that the
// last of them would have to wait for longer than slowWait once more.
func (p *planner) lacksEmptyUpstream(w waitingStep) bool {
	switch p.waitOf(w.unit, w.since, true).reason {
	case ReasonGangPartlyFits, ReasonAdviceRefused, ReasonCapacityReserved, ReasonCapacityUsedByFiniteWork, ReasonCapacityForFew,
		ReasonMaxPerUpstream, ReasonCapacityFragmented, ReasonCapacityUsedByLongRunningWork:
	default:
		return false
	}
	s := w.step
	if s.spec.Gang {
		return !slices.ContainsFunc(p.placementGroups(s), func(group []*upstream) bool { return p.sched.canEverFitGang(s, group) })
	}
	places := p.placesFor(s, nil)
	switch {
	case s.spec.LongRunning:
		return places < s.idleUnits
	case places == 0:
		return true
	default:
		rounds := time.Duration((s.unitsLeft + places - 1) / places)
		return p.now.Sub(w.since) >= slowWait && rounds*s.runTime > slowWait
	}
}

// relocation is a set of moves that are only planned.
type relocation struct {
	// emptied has the upstreams that all long-running work leaves, and taken what moves to
	// the others.
	emptied map[*upstream]bool
	taken   map[*upstream]bbrwork.Resources
	// arriving has the steps of the work units that move to an upstream.
	arriving map[*upstream][]*step
}

func newRelocation() *relocation {
	return &relocation{
		emptied:  make(map[*upstream]bool),
		taken:    make(map[*upstream]bbrwork.Resources),
		arriving: make(map[*upstream][]*step),
	}
}

// placesFor returns how many work units of the step the shard has places for once finite
// work has ended and the moves have taken place; none are planned if moves is nil.
func (p *planner) placesFor(s *step, moves *relocation) int {
	places := 0
	for _, up := range p.sched.sortedUpstreams() {
		if up.acceptsWork(p.now) {
			places += p.placesOn(s, up, moves)
		}
	}
	return places
}

// placesOn returns the same for one upstream.
func (p *planner) placesOn(s *step, up *upstream, moves *relocation) int {
	if up.trialUnit != nil || !p.maySuit(s, up) {
		return 0
	}
	capacity := up.besideLongRunning()
	if moves != nil && moves.emptied[up] {
		capacity = up.Capacity
	} else if moves != nil {
		capacity = capacity.Minus(moves.taken[up])
	}
	if v := up.vacancy; v != nil && v.step != s {
		capacity = capacity.Minus(v.step.spec.Allocation().Times(v.step.fitCount(up.Capacity)))
	}
	count := s.fitCount(capacity)
	if s.spec.LongRunning {
		count = min(count, s.upstreamLimitLeft(s.runsOn(up)))
	}
	return count
}

// maySuit reports whether the upstream suits the step apart from its capacity.
func (p *planner) maySuit(s *step, up *upstream) bool {
	if !up.HasLabel(s.spec.Label) || p.sched.adviceRefused(s, up) {
		return false
	}
	return s.spec.Gang || s.spec.DataRack == "" || up.HasLabel(s.spec.DataRack) || p.mayRunFarFromData(s)
}

// chooseVacancy returns a vacancy that gives the step more places; nil if there is none.
// For a gang, it is the first of as many as the gang needs.
func (p *planner) chooseVacancy(s *step) *vacancy {
	moves := newRelocation()
	first := p.nextVacancy(s, moves)
	if first == nil || !s.spec.Gang {
		return first
	}
	for p.placesFor(s, moves) < len(s.units) {
		if p.nextVacancy(s, moves) == nil {
			return nil
		}
	}
	return first
}

// nextVacancy returns the vacancy with the least work to move or to wait for, after the
// planned moves, and adds its own to them.
func (p *planner) nextVacancy(s *step, moves *relocation) *vacancy {
	var candidates []*upstream
	for _, up := range p.usable {
		if !moves.emptied[up] && p.mayVacate(s, up, moves) {
			candidates = append(candidates, up)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(p.finiteDelay(s, a), p.finiteDelay(s, b)), cmp.Compare(a.longRunning, b.longRunning),
			cmp.Compare(a.longRunningUsage.MilliCPU, b.longRunningUsage.MilliCPU), cmp.Compare(len(a.runs), len(b.runs)))
	})
	before := p.placesFor(s, moves)
	for _, up := range candidates {
		if destinations := p.relocate(s, up, before, moves); destinations != nil {
			return &vacancy{step: s, up: up, since: p.now, progressAt: p.now, runs: len(up.runs), destinations: destinations}
		}
	}
	return nil
}

// finiteWorkDelay is how finite work keeps a step from an upstream that long-running work has
// left, in ascending order of delay.
type finiteWorkDelay int

const (
	noFiniteWorkDelay finiteWorkDelay = iota
	// finiteWorkEndsInTime: it is expected to end within vacancyTimeout.
	finiteWorkEndsInTime
	finiteWorkEndsTooLate
)

// finiteDelay returns how finite work on the upstream delays the step after the long-running
// work has left.
func (p *planner) finiteDelay(s *step, up *upstream) finiteWorkDelay {
	switch {
	case s.spec.Allocation().Fits(up.free().Plus(up.longRunningUsage)):
		return noFiniteWorkDelay
	case up.finiteWorkEndsBy(p.now.Add(vacancyTimeout)):
		return finiteWorkEndsInTime
	default:
		return finiteWorkEndsTooLate
	}
}

// finiteWorkEndsBy reports whether all finite work on the upstream is expected to end by a
// time.
func (up *upstream) finiteWorkEndsBy(at time.Time) bool {
	for _, r := range up.runs {
		if !r.unit.step.spec.LongRunning && r.expectedEnd().After(at) {
			return false
		}
	}
	return true
}

// mayVacate reports whether the upstream would have more places for the step without its
// long-running work, and all of that may be stopped now.
func (p *planner) mayVacate(s *step, up *upstream, moves *relocation) bool {
	if !up.hasLongRunning() || up.vacancy != nil || up.hold != nil || len(moves.arriving[up]) > 0 || !p.maySuit(s, up) {
		return false
	}
	return s.fitCount(up.Capacity) > p.placesOn(s, up, moves) && !slices.ContainsFunc(up.longRunningUnits(), func(u *unit) bool {
		return u.step == s || !p.mayMove(u)
	})
}

// mayMove reports whether a long-running work unit may be stopped now to start elsewhere.
func (p *planner) mayMove(u *unit) bool {
	j := u.step.job
	if len(u.runs) != 1 || u.step.spec.Gang || u.suspected() || j.finalState != "" || j.cancelled {
		return false
	}
	r := u.runs[0]
	return r.phase == phaseRunning && r.stopSentAt.IsZero() && (u.isWorking() || u.step.spec.BestEffort || p.sched.isIdle(r, p.now)) && p.sched.mayLeave(r, p.now)
}

// longRunningUnits returns the work units of long-running work on the upstream, those that
// need most first.
func (up *upstream) longRunningUnits() []*unit {
	var units []*unit
	for _, r := range up.runs {
		if r.unit.step.spec.LongRunning {
			units = append(units, r.unit)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int {
		needA, needB := a.step.spec.Allocation(), b.step.spec.Allocation()
		return cmp.Or(cmp.Compare(needB.MemoryMB, needA.MemoryMB), cmp.Compare(needB.MilliCPU, needA.MilliCPU), cmp.Compare(a.name().String(), b.name().String()))
	})
	return units
}

// relocate returns a destination for each long-running work unit on the upstream, and adds
// the moves to the planned ones. It returns nil if a unit has no destination, or if the step
// would have no more places than before.
func (p *planner) relocate(s *step, up *upstream, before int, moves *relocation) map[*unit]string {
	trial := moves.clone()
	trial.emptied[up] = true
	destinations := make(map[*unit]string)
	for _, u := range up.longRunningUnits() {
		best := p.chooseDestination(s, u, trial)
		if best == nil {
			return nil
		}
		destinations[u] = best.ID
		trial.taken[best] = trial.taken[best].Plus(u.step.spec.Allocation())
		trial.arriving[best] = append(trial.arriving[best], u.step)
	}
	if p.placesFor(s, trial) <= before {
		return nil
	}
	*moves = *trial
	return destinations
}

// chooseDestination returns the upstream to which a work unit should move: one where this
// costs the step no place if there is one, and then the one with the most free CPU, as
// long-running work is spread. It returns nil if none suits.
func (p *planner) chooseDestination(s *step, u *unit, moves *relocation) *upstream {
	var best *upstream
	bestLoss := 0
	for _, up := range p.usable {
		if moves.emptied[up] || up.vacancy != nil || !p.suitsMove(u, up, moves) {
			continue
		}
		loss := p.placesOn(s, up, moves) - p.placesOnBeside(s, up, u, moves)
		if best == nil || loss < bestLoss || loss == bestLoss && moves.free(up).MilliCPU > moves.free(best).MilliCPU {
			best, bestLoss = up, loss
		}
	}
	return best
}

// placesOnBeside returns the places for the step on the upstream after u has moved there.
func (p *planner) placesOnBeside(s *step, up *upstream, u *unit, moves *relocation) int {
	taken := moves.taken[up]
	moves.taken[up] = taken.Plus(u.step.spec.Allocation())
	places := p.placesOn(s, up, moves)
	moves.taken[up] = taken
	return places
}

// suitsMove reports whether the work unit may start on the upstream now, beside the work
// that moves there.
func (p *planner) suitsMove(u *unit, up *upstream, moves *relocation) bool {
	spec := u.step.spec
	if up.startsInFlight >= maxStartsInFlight || !p.suits(u.step, up) || !spec.Allocation().Fits(p.freeFor(u.step, up).Minus(moves.taken[up])) {
		return false
	}
	arriving := 0
	for _, other := range moves.arriving[up] {
		if other == u.step {
			arriving++
		}
	}
	return spec.MaxPerUpstream == 0 || u.step.runsOn(up)+arriving < spec.MaxPerUpstream
}

// free returns what is left of the upstream's free capacity.
func (moves *relocation) free(up *upstream) bbrwork.Resources {
	return up.free().Minus(moves.taken[up])
}

func (moves *relocation) clone() *relocation {
	copied := newRelocation()
	for up := range moves.emptied {
		copied.emptied[up] = true
	}
	for up, taken := range moves.taken {
		copied.taken[up] = taken
	}
	for up, steps := range moves.arriving {
		copied.arriving[up] = slices.Clone(steps)
	}
	return copied
}

// beginVacancy keeps the upstream for the step. The stops follow in the next round.
func (p *planner) beginVacancy(v *vacancy, w waitingStep) {
	sched := p.sched
	for _, other := range sched.vacancies.list {
		if other.step == v.step {
			other.progressAt = p.now
		}
	}
	v.up.vacancy = v
	sched.vacancies.list = append(sched.vacancies.list, v)
	sched.vacancies.nextAt = p.now.Add(vacateInterval)
	s := v.step
	sched.note(p.now, "Upstream vacated for wide work", "job", s.job.ID, "step", s.number, "occurrence", s.occurrence.number, "upstream", v.up.ID,
		"waited", p.now.Sub(w.since).Round(time.Millisecond), "waiting", s.idleUnits, "moves", len(v.destinations), "otherRuns", len(v.up.runs)-v.up.longRunning)
}
