package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// spreadPatience is how long an isolated work unit with two crashes waits for an
	// upstream of its own, and alonePatience the same with more crashes;
	// longRunningPatience is the latter for long-running work. After that it starts
	// beside other work, spread like a lesser suspect: a crash with many bystanders, or a
	// shard with few upstreams, must not keep harmless work waiting.
	spreadPatience      = time.Second
	alonePatience       = 12 * time.Second
	longRunningPatience = 4 * time.Second
	// aloneFrom is the number of crashes from which alonePatience applies.
	aloneFrom = 3
	// maxTrialReservation is how long an upstream stays reserved until the work unit
	// starts on it.
	maxTrialReservation = 4 * time.Second
	// exclusiveTrialTime is how long an upstream that is kept for a trial takes no other work.
	// After that, it takes work that no other upstream suits. It is less than the 3 s within
	// which callers expect a start.
	exclusiveTrialTime = 2 * time.Second
	// maxTrialShare is the part of the usable upstreams, one at least, that may be
	// reserved for trials at the same time: one in maxTrialShare.
	maxTrialShare = 3
)

// planTrials plans the starts of isolated work units, each on an upstream that is
// reserved for it. The reservation is stored first, so that a successor knows what ran
// there.
func (p *planner) planTrials() {
	p.trials = p.excluded[excludedTrial]
	for _, u := range p.isolatedUnits() {
		up := p.sched.trialUpstream(u)
		if up == nil {
			up = p.reserveForTrial(u)
		}
		if up != nil && p.sched.mayOrder(u, u.lastRun+1, up) && p.mayStartTrial(u, up) {
			p.sched.note(p.now, "Suspect starts alone", "job", u.step.job.ID, "unit", u.name().String(), "upstream", up.ID, "run", u.lastRun+1, "crashes", u.crashes.String())
			p.planStart(u, u.lastRun+1, up)
		}
	}
	p.useSuspectsIfNoOthers()
}

// endTrials releases the upstreams whose trial has ended or cannot take place, and withdraws the
// announced starts that cannot either.
func (sched *Scheduler) endTrials(now time.Time) {
	for _, up := range sched.upstreams {
		u := up.trialUnit
		if u == nil || u.needsTrial(up) && up.mayHoldTrial(now) {
			continue
		}
		up.trialUnit = nil
		if u.trial.On(up.Incarnation) {
			u.trial = nil
			sched.markCrashesChanged(u.step.job)
		}
	}
	sched.withdrawTrials()
}

// withdrawTrials withdraws the announced starts that were not ordered, on upstreams that cannot
// take them now. A successor would accuse them of the end of these.
func (sched *Scheduler) withdrawTrials() {
	for u := range sched.suspects {
		if u.step.job.finalState != "" || u.trial == nil || u.trialInherited || u.trial.Run <= u.lastRun {
			continue
		}
		if up := sched.upstreams[u.trial.Upstream]; up == nil || !u.trial.On(up.Incarnation) || !up.mayAwaitTrial() {
			u.trial = nil
			sched.markCrashesChanged(u.step.job)
		}
	}
}

// needsTrial reports whether the upstream that is reserved for the work unit is still
// needed: the work unit waits, or runs there.
func (u *unit) needsTrial(up *upstream) bool {
	j := u.step.job
	if j.finalState != "" || j.cancelled || u.done || u.crashes.Standing() != bbrcrash.Isolated {
		return false
	}
	return len(u.runs) == 0 || len(u.runs) == 1 && u.runs[0].up == up
}

// mayHoldTrial reports whether the upstream can still serve its trial.
func (up *upstream) mayHoldTrial(now time.Time) bool {
	if len(up.trialUnit.runs) > 0 {
		return true
	}
	if up.trialUnit.trialOverdue(now) || now.Sub(up.trialSince) >= maxTrialReservation {
		return false
	}
	return up.mayAwaitTrial()
}

// mayAwaitTrial reports whether the upstream can take a trial as far as it is known.
func (up *upstream) mayAwaitTrial() bool {
	return up.registered && !up.Draining && up.reservedAt.IsZero() && up.lostAnswers < maxLostAnswers
}

// isolatedUnits returns the idle work units that may start only alone: those with the
// most crashes first, as they cannot start beside other work soon, and among equals the
// longest waiting first.
func (p *planner) isolatedUnits() []*unit {
	var units []*unit
	for u := range p.sched.suspects {
		if u.crashes.Standing() == bbrcrash.Isolated && !u.step.spec.Gang && u.idle() && p.mayTry(u) {
			units = append(units, u)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), a.freedAt.Compare(b.freedAt), cmp.Compare(a.name().String(), b.name().String()))
	})
	return units
}

// mayTry reports whether the work unit may be started as far as its job is concerned.
func (p *planner) mayTry(u *unit) bool {
	j := u.step.job
	if j.finalState != "" || j.cancelled || p.mayHaveUnlocatedRun(u) || p.awaitsReturn(u) || !p.sched.mayStart(j) {
		return false
	}
	return u.step.runnable(p.now) && !p.now.Before(u.notBefore) && !u.trialOverdue(p.now)
}

// trialOverdue reports whether the work unit has waited too long for an upstream of
// its own.
func (u *unit) trialOverdue(now time.Time) bool {
	patience := spreadPatience
	switch {
	case len(u.crashes) >= aloneFrom && u.step.spec.LongRunning:
		patience = longRunningPatience
	case len(u.crashes) >= aloneFrom:
		patience = alonePatience
	}
	return now.Sub(u.eligibleSince(u.step.runnableSince())) >= patience
}

// hasTrialOn reports whether the stored start of a suspect names the incarnation. A successor that
// does not find it recorded takes it for ended under the suspect.
func (sched *Scheduler) hasTrialOn(incarnation bbrwork.Incarnation) bool {
	for u := range sched.suspects {
		if u.trial.On(incarnation) {
			return true
		}
	}
	return false
}

// trialUpstream returns the upstream that is reserved for the work unit, or nil.
func (sched *Scheduler) trialUpstream(u *unit) *upstream {
	if u.trial == nil {
		return nil
	}
	if up := sched.upstreams[u.trial.Upstream]; up != nil && up.trialUnit == u {
		return up
	}
	return nil
}

// reserveForTrial reserves an upstream for the work unit: one on which nothing runs, or
// else the one with the least work. It returns nil if there is none.
func (p *planner) reserveForTrial(u *unit) *upstream {
	if p.trials >= max(1, (len(p.usable)+p.trials)/maxTrialShare) {
		return nil
	}
	var best *upstream
	for _, up := range p.usable {
		if p.suitsTrial(u, up) && (best == nil || quieter(up, best)) {
			best = up
		}
	}
	if best == nil {
		return nil
	}
	p.trials++
	p.usable = slices.DeleteFunc(slices.Clone(p.usable), func(up *upstream) bool { return up == best })
	best.trialUnit, best.trialSince = u, p.now
	u.trial, u.trialInherited = &bbrcrash.Trial{Upstream: best.ID, StartMillis: best.StartMillis, Run: u.lastRun + 1}, false
	p.sched.markCrashesChanged(u.step.job)
	return best
}

// suitsTrial reports whether the work unit can run on the upstream once finite work
// has ended there. One that is vacated, or to which work moves from there, has least work but
// is needed for that, and a suspect one takes no trial until the suspicion ends.
func (p *planner) suitsTrial(u *unit, up *upstream) bool {
	s := u.step
	if up.trialUnit != nil || up.vacancy != nil || p.sched.isDestination(up) || up.health.suspect(p.now) {
		return false
	}
	if s.spec.DataRack != "" && !up.HasLabel(s.spec.DataRack) && !p.mayRunFarFromData(s) {
		return false
	}
	return !s.atUpstreamLimit(up) && p.sched.canEverFit(s, up)
}

// quieter reports whether less would be lost with upstream a than with b.
func quieter(a, b *upstream) bool {
	if a.longRunning != b.longRunning {
		return a.longRunning < b.longRunning
	}
	return len(a.runs) < len(b.runs)
}

// mayStartTrial reports whether the work unit can start now on the upstream that is
// reserved for it.
func (p *planner) mayStartTrial(u *unit, up *upstream) bool {
	if !u.step.job.crashesStored() || p.exclusionOf(up) != notExcluded || !p.withinCap(u.step, 1) || !p.mayRun(u, up) {
		return false
	}
	for _, r := range up.runs {
		if !r.proven(p.now) {
			return false
		}
	}
	return true
}

// heldBack reports whether a work unit may not be started beside other work now: its
// crashes have to be stored first, or it has to be tried alone.
func (p *planner) heldBack(u *unit) bool {
	if len(u.crashes) == 0 {
		return false
	}
	return !u.step.job.crashesStored() || u.crashes.Standing() == bbrcrash.Isolated && !u.step.spec.Gang && !u.trialOverdue(p.now)
}

// announcedUpstream returns the upstream on which a suspect may start beside other work,
// or nil if there is none yet: the store has to have the start first, as for a trial, so
// that a successor knows where the suspect ran.
func (p *planner) announcedUpstream(u *unit) *upstream {
	for _, up := range p.upstreamsFor(u.step) {
		if u.trial.On(up.Incarnation) && p.mayRun(u, up) {
			return up
		}
	}
	if up := p.chooseUpstream(u, nil); up != nil {
		u.trial, u.trialInherited = &bbrcrash.Trial{Upstream: up.ID, StartMillis: up.StartMillis, Run: u.lastRun + 1}, false
		p.sched.markCrashesChanged(u.step.job)
		p.sched.mayOrder(u, u.lastRun+1, up)
	}
	return nil
}

// suspected reports whether the work unit is to be spread away from other suspects.
func (u *unit) suspected() bool { return u.crashes.Standing() >= bbrcrash.Apart }

// suspects counts the suspects other than u that run on the upstream.
func (up *upstream) suspects(u *unit) int {
	count := 0
	for _, r := range up.runs {
		if r.unit != u && r.unit.suspected() {
			count++
		}
	}
	return count
}

// lessHarmful reports whether a crash of upstream a under the suspect would harm less,
// and tell more, than one of b; equal means that there is no difference.
func (u *unit) lessHarmful(a, b *upstream) (less, equal bool) {
	order := cmp.Or(cmp.Compare(a.suspects(u), b.suspects(u)), cmp.Compare(len(a.runs), len(b.runs)))
	return order < 0, order == 0
}
