package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// ApplyListing applies the listing with which an upstream answered a renewal that was planned
// at the time sent.
func (sched *Scheduler) ApplyListing(incarnation bbrwork.Incarnation, listing *bbrwork.Listing, sent, now time.Time) {
	up := sched.upstreams[incarnation.ID]
	if up == nil {
		up = sched.recordReturn(incarnation, listing, now)
	} else if !up.isTarget(incarnation) {
		return
	}
	if up == nil {
		return
	}
	before := up.silence()
	startMillis := cmp.Or(listing.StartMillis, incarnation.StartMillis)
	switch {
	case up.StartMillis == 0:
		up.StartMillis = startMillis
	case startMillis != up.StartMillis:
		up = sched.restartUpstream(up, startMillis, listing, sent, now)
	case up.target().Incarnation == incarnation:
		// The known incarnation is alive: what announced another one was outdated.
		up.announced = nil
	}
	up.restartSuspected, up.idled = up.restartSuspected && !sent.After(up.suspectedAt), false
	if up.firstListedAt.IsZero() {
		up.firstListedAt = now
	}
	sched.recordAnswer(up, sent, now)
	if up.clockKnown() && sent.After(up.clockAt) && listing.Clock < up.earliestClock(sent) {
		// The reading is earlier than the known clock allows: the clock was reset.
		up.clockAt = time.Time{}
	}
	up.recordClock(listing.Clock, sent, now)
	up.silentSince = time.Time{}
	up.lapsedSuspects = nil
	sched.applyEnds(up, listing.Ended, before, now)
	up.extensions.answered(now)
	sched.applyRunning(up, listing, sent, now)
	up.partlyListed = listing.MayBeContinued()
	if up.partlyListed {
		return
	}
	if !up.reached {
		sched.settleInheritedTrials(up)
	}
	up.reached = true
	sched.markLocated(incarnation, now)
	sched.markLocated(up.Incarnation, now)
}

// applyEnds applies the ends in a listing. before is the silence before the listing.
func (sched *Scheduler) applyEnds(up *upstream, ends []bbrwork.RunEnd, before silence, now time.Time) {
	for _, end := range ends {
		if end.Sequence <= up.applied {
			continue
		}
		up.applied = end.Sequence
		cause, dropped := up.lapsedRuns[runKey{end.Unit, end.Run}]
		switch {
		case !dropped, sched.endsIdleWork(end):
			sched.applyEnd(up, end, before, now)
		case end.Outcome == bbrwork.OutcomeLeaseExpired:
			sched.lapses[cause]++
		}
	}
}

// endsIdleWork reports whether a run has ended as done whose work unit has no other run, nor
// have the other members of its gang.
func (sched *Scheduler) endsIdleWork(end bbrwork.RunEnd) bool {
	u := sched.findUnit(end.Unit)
	if u == nil || end.Outcome != bbrwork.OutcomeDone {
		return false
	}
	if u.step.spec.Gang {
		return !slices.ContainsFunc(u.step.units, func(member *unit) bool { return len(member.runs) > 0 })
	}
	return len(u.runs) == 0
}

func (sched *Scheduler) applyEnd(up *upstream, end bbrwork.RunEnd, before silence, now time.Time) {
	if sched.awaits(end.Unit.Job, now) {
		sched.keepEnd(up, end, before)
		return
	}
	u := sched.findUnit(end.Unit)
	if u == nil {
		return
	}
	r := up.runs[runKey{end.Unit, end.Run}]
	sched.settleLateStart(u, up.ID, end.Run)
	if r != nil {
		r.answered = true
		if end.Outcome == bbrwork.OutcomeDone {
			sched.observeEnd(r, now)
			sched.learnRunTime(r, now)
		}
		sched.dropRun(r, now)
	}
	if len(u.runs) == 0 && sched.isLastOrdered(u, end.Run) {
		u.located = true
	}
	u.lastRun = max(u.lastRun, end.Run)
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	up.health.recordEnd(end.Outcome, now)
	switch end.Outcome {
	case bbrwork.OutcomeDone:
		sched.unitDone(u, up, end.Run, now)
	case bbrwork.OutcomeFailed:
		sched.unitFailed(u, up, end.Run, now)
	case bbrwork.OutcomeLeaseExpired:
		sched.unitListed(u)
		sched.noteLapse(end, r, up, before, now)
	default:
		sched.note(now, "Run ended", "job", end.Unit.Job, "unit", end.Unit.String(), "run", end.Run, "upstream", up.ID, "how", end.Outcome)
	}
}

func (sched *Scheduler) unitDone(u *unit, up *upstream, number int, now time.Time) {
	members := []*unit{u}
	if u.step.spec.Gang {
		members = u.step.units
	}
	changed := false
	for _, member := range members {
		changed = member.markDone() || changed
		sched.clearHistory(member, now)
	}
	job := u.step.job
	if !changed || job.finalState != "" {
		return
	}
	sched.markBegun(job)
	sched.markChanged(job)
	if job.completed() {
		sched.endJob(job, bbrwork.Completed, "last work unit "+u.name().String()+" ended as done on "+up.ID, now)
	}
}

func (sched *Scheduler) unitFailed(u *unit, up *upstream, number int, now time.Time) {
	job := u.step.job
	sched.markBegun(job)
	if u.done || slices.Contains(u.failedRuns, number) || job.finalState != "" {
		return
	}
	u.avoidUpstream = up.ID
	if u.step.spec.LongRunning {
		u.notBefore = now.Add(longRunningRetryDelay)
		return
	}
	u.failedRuns = append(u.failedRuns, number)
	sched.markChanged(job)
	sched.note(now, "Run failed", "job", job.ID, "unit", u.name().String(), "run", number, "upstream", up.ID,
		"failures", u.failureCount(), "attempts", job.maxAttempts())
	if u.failureCount() >= job.maxAttempts() {
		sched.endJob(job, bbrwork.Failed, "work unit "+u.name().String()+" failed on "+up.ID, now)
	}
}

// longRunningRetryDelay is the minimum time before a failed long-running work unit
// is started again.
const longRunningRetryDelay = 50 * time.Millisecond

// endJob ends the job. The next plan stops its runs.
func (sched *Scheduler) endJob(job *job, state bbrwork.State, reason string, now time.Time) {
	if job.finalState != "" {
		return
	}
	job.finalState = state
	sched.markChanged(job)
	sched.note(now, "Job ended", "job", job.ID, "queue", job.Queue, "state", state, "reason", reason, "code", int(job.endCode),
		"age", now.Sub(job.Accepted).Round(time.Millisecond))
}

func (sched *Scheduler) applyRunning(up *upstream, listing *bbrwork.Listing, sent, now time.Time) {
	listed := make(map[runKey]bool, len(listing.Running))
	for _, running := range listing.Running {
		key := runKey{running.Unit, running.Number}
		listed[key] = true
		sched.applyRun(up, key, running, sent, now)
		if r := up.runs[key]; r != nil {
			sched.locate(r, sent)
		}
	}
	for key := range up.orphans {
		if !listed[key] {
			delete(up.orphans, key)
		}
	}
	if listing.MayBeContinued() {
		return
	}
	for key, kept := range up.unknownRuns {
		if !listed[key] && kept.since.Before(sent) {
			sched.dropUnknownRun(up, key)
		}
	}
	fenced := sched.refusesEarlierOrders(up, sent)
	for key, r := range up.runs {
		if !listed[key] && r.hasEnded(listing.Clock, fenced, sent) {
			sched.note(now, "Run missing from the upstream's listing", "job", key.unit.Job, "unit", key.unit.String(), "run", key.number, "upstream", up.ID, "phase", r.phase)
			sched.dropRun(r, now)
		}
	}
}

// hasEnded reports whether a run that is missing from a listing does not run and
// never will. A start that was answered before the listing was requested must be in
// it; a start whose answer was lost can still take effect until its deadline, or, if it was meant
// for an earlier incarnation, until this one is fenced against the orders for those.
func (r *run) hasEnded(clock time.Duration, fenced bool, sent time.Time) bool {
	switch r.phase {
	case phaseRunning, phaseStopping:
		return !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent)
	case phaseUnknown:
		return r.moved && fenced || !r.moved && clock > r.startDeadline
	default:
		return false
	}
}

func (sched *Scheduler) applyRun(up *upstream, key runKey, running bbrwork.Run, sent, now time.Time) {
	r := up.runs[key]
	if r == nil {
		r = sched.adopt(up, running, sent, now)
		if r == nil {
			return
		}
	}
	r.answered = true
	sched.settleLateStart(r.unit, up.ID, r.number)
	if r.phase == phaseUnknown || r.phase == phaseStarting {
		r.phase = phaseRunning
		r.confirmedAt = now
	}
	if running.Checkpoint != "" {
		if running.Checkpoint != r.unit.checkpoint && !r.listedAt.IsZero() {
			r.checkpointedAt = now
		}
		r.unit.checkpoint = running.Checkpoint
	}
	r.applyProgress(running, now)
	sched.confirmBegun(r)
	sched.observeLatency(r, now)
	if r.proven(now) {
		sched.clearHistory(r.unit, now)
	}
}

const fullPercent = 100

// adopt takes over a run that an earlier owner started. A run of a job that is awaited is kept
// until it arrives. A run of an unknown job becomes an orphan, which a later plan
// stops.
func (sched *Scheduler) adopt(up *upstream, running bbrwork.Run, sent, now time.Time) *run {
	key := runKey{running.Unit, running.Number}
	if sched.awaits(key.unit.Job, now) {
		sched.keepRun(up, running, sent, now)
		return nil
	}
	u := sched.findUnit(key.unit)
	if u == nil {
		sched.addOrphan(up, key, now)
		return nil
	}
	delete(up.orphans, key)
	r := sched.addAdopted(u, key.number, up, now)
	sched.boundByLongestLease(up, now)
	return r
}

// addAdopted adds a run that an earlier owner started.
func (sched *Scheduler) addAdopted(u *unit, number int, up *upstream, now time.Time) *run {
	r := sched.addRun(u, number, up, now)
	r.phase, r.confirmedAt, r.adopted, r.answered = phaseRunning, now, true, true
	if u.step.spec.BestEffort {
		r.pace = unknownPace
	}
	return r
}

// findUnit returns the work unit of a name, or nil.
func (sched *Scheduler) findUnit(name bbrwork.Unit) *unit {
	if job := sched.jobs[name.Job]; job != nil {
		return job.findUnit(name)
	}
	return nil
}
