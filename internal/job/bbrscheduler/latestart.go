package bbrscheduler

import (
	"slices"
	"time"
)

// A start without an answer may be carried out seconds later, and by a later incarnation of its
// upstream, which knows neither its deadline nor the stop that settled it. Until no such start can
// arrive any more, its work unit starts on the same upstream only: the present incarnation
// refuses the late start there, and if the next one carries it out, nothing else runs the unit.
// While that upstream is away, the unit waits for it, at most for lateStartWait. A successor
// knows such starts of long-running work, since their upstreams are stored before (orders.go).

const (
	// lateStartWait is how long a work unit waits for the upstream of a late start, so that
	// long-running work has a run again within 6 s.
	lateStartWait = 5 * time.Second
	// maxLateStarts is the number of starts in a row without an answer from which the next one may go
	// anywhere: an upstream may receive orders and answer none.
	maxLateStarts = 2
)

// lateStart is a start without an answer that may still be carried out.
type lateStart struct {
	// upstream is the ID of the upstream to which it was sent.
	upstream string
	// run is the number of the start, and count the number of starts in a row, up to this one,
	// that got no answer.
	run, count int
	// since is when the owner learned that the work unit has no run, and until when the start
	// can arrive no more.
	since, until time.Time
}

// startOrder is what is stored of the starts of a work unit, and what is known of those without an
// answer.
type startOrder struct {
	// ordered is the highest run number with which a start may have been ordered by an owner
	// that stored it before; 0 for none. It is stored with the orderVersion of the job in version.
	ordered, version int
	// target is the ID of the upstream to which the start of run ordered is sent, empty once it has
	// an answer, and for the members of gangs and work that allows duplicates.
	target string
	// late is a start that may still be carried out although the work unit has no run for it; nil
	// for none.
	late *lateStart
}

// stored returns what is stored of the starts, and what is known of those without an answer.
func (u *unit) stored() startOrder {
	if u.order == nil {
		return startOrder{}
	}
	return *u.order
}

// changeOrder returns the same to be changed.
func (u *unit) changeOrder() *startOrder {
	if u.order == nil {
		u.order = &startOrder{}
	}
	return u.order
}

// clearTarget records that no start of the work unit is on its way.
func (u *unit) clearTarget() {
	if u.order != nil {
		u.order.target, u.order.late = "", nil
	}
}

// setLate records a start that may still be carried out; nil for none.
func (u *unit) setLate(late *lateStart) {
	if late != nil || u.order != nil {
		u.changeOrder().late = late
	}
}

// awaitLateStart records that the run was dropped and that its start may still be carried out.
func (sched *Scheduler) awaitLateStart(r *run, now time.Time) {
	u, until := r.unit, sched.startArrivesBefore(r.orderedAt)
	if r.answered || r.refused || u.step.spec.AllowDuplicates || u.step.job.finalState != "" {
		return
	}
	sched.noteLateStart("Start without an answer may still be carried out", u, r.up.ID, r.number, until, now)
	late := &lateStart{upstream: r.up.ID, run: r.number, count: 1, since: now, until: until}
	if earlier := u.stored().late; earlier != nil {
		late.count = earlier.count + 1
	}
	u.setLate(late)
}

// inheritLateStart records that an earlier owner may have sent the start that it stored last, and
// got no answer.
func (sched *Scheduler) inheritLateStart(u *unit, now time.Time) {
	order := u.stored()
	if order.target == "" || sched.firstOwner {
		return
	}
	until := sched.startArrivesBefore(sched.claimedAt.Add(sched.Timing.Handover))
	u.setLate(&lateStart{upstream: order.target, run: order.ordered, count: 1, since: sched.claimedAt, until: until})
	sched.noteLateStart("Start of an earlier owner may still be carried out", u, order.target, order.ordered, until, now)
}

// inheritLateStarts does so for all held work units of a job.
func (sched *Scheduler) inheritLateStarts(j *job, now time.Time) {
	j.eachUnit(func(_ int, u *unit) { sched.inheritLateStart(u, now) })
}

func (sched *Scheduler) noteLateStart(text string, u *unit, upstream string, number int, until, now time.Time) {
	sched.note(now, text, "job", u.step.job.ID, "unit", u.name().String(), "run", number, "upstream", upstream, "for", until.Sub(now).Round(time.Millisecond))
}

// settleLateStart records that an upstream has answered, listed or refused the start of the run.
func (sched *Scheduler) settleLateStart(u *unit, upstream string, number int) {
	if u.order == nil {
		return
	}
	if late := u.order.late; late != nil && late.upstream == upstream && late.run == number {
		u.order.late = nil
	}
	if u.order.target != upstream || u.order.ordered != number {
		return
	}
	u.order.target = ""
	if u.step.job.finalState == "" {
		sched.markChanged(u.step.job)
	}
}

// lateStartOf returns the start of the work unit that may still be carried out, or nil.
func (u *unit) lateStartOf(now time.Time) *lateStart {
	if late := u.stored().late; late != nil && now.Before(late.until) {
		return late
	}
	return nil
}

// hasLateStarts reports whether starts of the job may still be carried out that it has no run for.
func (j *job) hasLateStarts(now time.Time) bool {
	found := false
	j.eachUnit(func(_ int, u *unit) { found = found || u.lateStartOf(now) != nil })
	return found
}

// waitsForLateStart reports whether the work unit, or its gang, must not start now, as an earlier
// start of it may be carried out by an upstream that is away.
func (p *planner) waitsForLateStart(u *unit) bool {
	if !u.step.spec.Gang {
		return p.awaitsReturn(u)
	}
	return slices.ContainsFunc(u.step.units, p.awaitsReturn)
}

// awaitsReturn reports whether the upstream of a late start of the work unit is away and awaited.
// Long-running work waits also while the upstream answers and has no room.
func (p *planner) awaitsReturn(u *unit) bool {
	late := u.lateStartOf(p.now)
	if late == nil || late.count >= maxLateStarts || !p.now.Before(later(late.since, u.freedAt).Add(lateStartWait)) {
		return false
	}
	up := p.sched.upstreams[late.upstream]
	switch {
	case up == nil, !up.registered, !up.reached, !up.identified(), !up.silentSince.IsZero():
		return true
	default:
		return u.step.spec.LongRunning && !u.step.spec.Gang && p.lateStartUpstream(u) == nil
	}
}

// lateStartUpstream returns the upstream of a late start of the work unit if the unit may start
// there now, or nil.
func (p *planner) lateStartUpstream(u *unit) *upstream {
	late := u.lateStartOf(p.now)
	if late == nil || late.count >= maxLateStarts {
		return nil
	}
	up := p.sched.upstreams[late.upstream]
	if up == nil || !slices.Contains(p.usable, up) || !p.mayRun(u, up) {
		return nil
	}
	return up
}
