package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// vacancy is an upstream whose long-running work moves to others for a step that waits and
// fits beside long-running work nowhere, or in too few places.
type vacancy struct {
	step *step
	up   *upstream
	// since is when the vacancy began. progressAt is when it last made progress: a run left
	// the upstream, a finite work unit of the step ran there, or a further upstream was
	// vacated for the step.
	since, progressAt time.Time
	// runs is the number of runs on the upstream as of progressAt.
	runs int
	// destinations has the IDs of the upstreams for the work units that move and do not
	// run there yet. Their capacity is kept for them.
	destinations map[*unit]string
}

// isMoving reports whether long-running work still has to leave the upstream.
func (v *vacancy) isMoving() bool { return len(v.destinations) > 0 }

// VacancyEnd is why an upstream ceased to be kept for a step that waited.
type VacancyEnd string

// Values of VacancyEnd.
const (
	// VacancyStarted: no work unit of the step waits any more, or a long-running step has all
	// the places there.
	VacancyStarted VacancyEnd = "started"
	// VacancyGone: the step's job has ended or was cancelled.
	VacancyGone VacancyEnd = "gone"
	// VacancyUpstreamLost: the upstream can take no work any more, or another one cannot
	// take the work that would move there.
	VacancyUpstreamLost VacancyEnd = "upstreamLost"
	// VacancyOverdue: the step did not start there in time.
	VacancyOverdue VacancyEnd = "overdue"
)

// VacancyEnds lists the values of VacancyEnd.
var VacancyEnds = [...]VacancyEnd{VacancyStarted, VacancyGone, VacancyUpstreamLost, VacancyOverdue}

const (
	// vacancyTimeout is how long an upstream is kept for a step without progress: it
	// exceeds the time of two stops until their ends are listed, and the run time of most
	// finite work that still runs there.
	vacancyTimeout = 4 * time.Second
	// vacateInterval is the least time from the beginning of one vacancy to the next, and
	// vacateRetryDelay that after the end of one that was overdue.
	vacateInterval   = 500 * time.Millisecond
	vacateRetryDelay = 2 * time.Second
)

// vacancies is the state of the vacating of a shard's upstreams.
type vacancies struct {
	// list has the present vacancies, the earliest first.
	list []*vacancy
	// nextAt is when the next vacancy may begin.
	nextAt time.Time
	counts VacancyCounts
}

// VacancyCounts counts vacated upstreams since the owner started.
type VacancyCounts struct {
	// Active counts the upstreams that are kept for a step now.
	Active int
	// Ended counts the vacancies that ended, by cause.
	Ended map[VacancyEnd]int
	// Moved counts the runs of long-running work that were stopped.
	Moved int
}

// VacancyCounts returns the counts since the scheduler began.
func (sched *Scheduler) VacancyCounts() VacancyCounts {
	counts := VacancyCounts{Active: len(sched.vacancies.list), Ended: make(map[VacancyEnd]int), Moved: sched.vacancies.counts.Moved}
	for cause, count := range sched.vacancies.counts.Ended {
		counts.Ended[cause] = count
	}
	return counts
}

// endVacancies ends the vacancies that have served their step or have become useless, and
// updates the others.
func (sched *Scheduler) endVacancies(now time.Time) {
	v := &sched.vacancies
	v.list = slices.DeleteFunc(v.list, func(one *vacancy) bool {
		one.update(now)
		cause := sched.vacancyEnd(one, now)
		if cause == "" {
			return false
		}
		one.up.vacancy = nil
		if cause == VacancyOverdue {
			v.nextAt = later(v.nextAt, now.Add(vacateRetryDelay))
		}
		if v.counts.Ended == nil {
			v.counts.Ended = make(map[VacancyEnd]int)
		}
		v.counts.Ended[cause]++
		s := one.step
		sched.note(now, "Upstream no longer kept for wide work", "job", s.job.ID, "step", s.number, "occurrence", s.occurrence.number, "upstream", one.up.ID,
			"cause", cause, "lasted", now.Sub(one.since).Round(time.Millisecond), "waiting", s.idleUnits, "unmoved", len(one.destinations))
		return true
	})
}

// update drops the work units that have moved, or that need not move any more, and records
// progress.
func (v *vacancy) update(now time.Time) {
	// Finite work that runs there ends and makes room for the next work unit.
	if len(v.up.runs) < v.runs || v.step.runsOn(v.up) > 0 && !v.step.spec.LongRunning {
		v.progressAt = now
	}
	v.runs = len(v.up.runs)
	for u := range v.destinations {
		j := u.step.job
		moved := len(u.runs) > 0 && u.runs[0].up != v.up
		unneeded := v.step.idleUnits == 0 && len(u.runs) > 0 && u.runs[0].stopSentAt.IsZero()
		if moved || unneeded || u.done || j.finalState != "" || j.cancelled {
			delete(v.destinations, u)
		}
	}
}

// vacancyEnd returns why a vacancy has ended, or "" if it has not.
func (sched *Scheduler) vacancyEnd(v *vacancy, now time.Time) VacancyEnd {
	s := v.step
	switch {
	case s.job.finalState != "" || s.job.cancelled || sched.jobs[s.job.ID] != s.job:
		return VacancyGone
	case len(v.destinations) == 0 && (s.idleUnits == 0 || s.spec.LongRunning && s.runsOn(v.up) >= s.fitCount(v.up.Capacity)):
		return VacancyStarted
	case !sched.mayHold(v.up, now):
		return VacancyUpstreamLost
	case now.Sub(v.progressAt) > vacancyTimeout:
		return VacancyOverdue
	}
	for _, id := range v.destinations {
		if up := sched.upstreams[id]; up == nil || !sched.mayHold(up, now) {
			return VacancyUpstreamLost
		}
	}
	return ""
}

// shouldMakeRoom reports whether a long-running run should leave its vacated upstream now.
func (sched *Scheduler) shouldMakeRoom(r *run, now time.Time) bool {
	v := r.up.vacancy
	if v == nil || r.phase != phaseRunning || v.destinations[r.unit] == "" {
		return false
	}
	return sched.mayLeave(r, now)
}

// plannedDestination returns the upstream to which the work unit moves, or nil.
func (p *planner) plannedDestination(u *unit) *upstream {
	for _, v := range p.sched.vacancies.list {
		if up := p.sched.upstreams[v.destinations[u]]; up != nil && slices.Contains(p.usable, up) && p.mayRun(u, up) {
			return up
		}
	}
	return nil
}

// isDestination reports whether a work unit is to move to the upstream from a vacated one.
func (sched *Scheduler) isDestination(up *upstream) bool {
	for _, v := range sched.vacancies.list {
		for _, id := range v.destinations {
			if id == up.ID {
				return true
			}
		}
	}
	return false
}

// chooseVacated returns the best of the vacated upstreams for a long-running work unit that
// has waited for vacateAfter and that no other suits, or nil: its callers lose more by a
// missing run than those of the step for which the upstream was vacated.
func (p *planner) chooseVacated(u *unit, fits func(up *upstream) bool) *upstream {
	if len(p.sched.vacancies.list) == 0 || p.now.Sub(u.eligibleSince(u.step.runnableSince())) < vacateAfter {
		return nil
	}
	p.ignoreVacancies = true
	defer func() { p.ignoreVacancies = false }()
	return p.bestOf(p.usable, u, fits)
}

// countMove counts the stop of a run that leaves a vacated upstream.
func (sched *Scheduler) countMove(r *run) {
	if v := r.up.vacancy; v != nil && v.destinations[r.unit] != "" {
		sched.vacancies.counts.Moved++
	}
}

// withoutVacancies returns what of the free capacity of an upstream is free for a step:
// neither kept for the step for which the upstream was vacated nor for work that moves there.
func (p *planner) withoutVacancies(s *step, up *upstream, free bbrwork.Resources) bbrwork.Resources {
	if v := up.vacancy; v != nil && v.step != s && !p.ignoreVacancies {
		free = free.Min(v.spare(up))
	}
	for _, v := range p.sched.vacancies.list {
		for u, id := range v.destinations {
			if id == up.ID && u.step != s {
				free = free.Minus(u.step.spec.Allocation())
			}
		}
	}
	return free
}

// spare returns what other work may use of the vacated upstream, beside as many work units
// of the step as fit.
func (v *vacancy) spare(up *upstream) bbrwork.Resources {
	need := v.step.spec.Allocation()
	kept := need.Times(v.step.fitCount(up.Capacity))
	others := up.used.Minus(need.Times(v.step.runsOn(up)))
	return up.Capacity.Minus(kept).Minus(others)
}
