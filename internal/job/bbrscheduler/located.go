package bbrscheduler

import (
	"slices"
	"time"
)

// Of one work unit, at most one run exists or can still begin at any time: an owner
// orders another run only once the earlier ones have certainly ended. So an upstream that
// lists a run tells a successor that it need not look for others.

// locate records that an upstream listed the run in its answer to a renewal that was sent
// at the time sent. While the earlier owner may still consider its claim valid, it may
// learn of the run's end in another way and order another run, so that a listing counts
// only after that, unless the run is the last that the owner can have ordered.
func (sched *Scheduler) locate(r *run, sent time.Time) {
	u := r.unit
	switch {
	case len(u.runs) > 1 || u.step.spec.AllowDuplicates:
		u.located = false
	case sent.After(sched.claimedAt.Add(sched.Timing.Handover)), sched.isLastOrdered(u, r.number):
		u.located = true
	}
}

// mayHaveUnlocatedRun reports whether an earlier owner may have started the work unit on
// an upstream that has not answered yet. If the earlier horizon is unknown, that holds for
// all work units, as no horizon can be stored until earlier work is located.
func (p *planner) mayHaveUnlocatedRun(u *unit) bool {
	return p.mayHaveUnlocatedRuns(u.step.job) && (!u.located || p.sched.horizon.inherited == unboundedHorizon)
}

// waitsForLocation reports whether none of the step's idle work units, or not all members
// of a gang, may start until earlier work is located.
func (p *planner) waitsForLocation(s *step) bool {
	if !p.mayHaveUnlocatedRuns(s.job) {
		return false
	}
	if s.spec.Gang {
		return slices.ContainsFunc(s.units, p.mayHaveUnlocatedRun)
	}
	return !slices.ContainsFunc(s.units, func(u *unit) bool { return u.idle() && !p.mayHaveUnlocatedRun(u) })
}

// jobWaitsForLocation reports the same of all steps of the job.
func (p *planner) jobWaitsForLocation(j *job) bool {
	if !p.mayHaveUnlocatedRuns(j) {
		return false
	}
	for _, o := range j.occurrences {
		if slices.ContainsFunc(o.steps, func(s *step) bool { return s.idleUnits > 0 && !p.waitsForLocation(s) }) {
			return false
		}
	}
	return true
}

// unlocatedIdleUnits returns how many of the step's idle work units may have a run that
// this owner does not know.
func (p *planner) unlocatedIdleUnits(s *step) int {
	count := 0
	for _, u := range s.units {
		if u.idle() && p.mayHaveUnlocatedRun(u) {
			count++
		}
	}
	return count
}
