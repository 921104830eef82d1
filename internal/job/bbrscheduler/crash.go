package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// provenAfter is how long a long-running work unit works until a crash of its
	// upstream no longer accuses it.
	provenAfter = 3 * time.Second
	// cohortSpan is how much older than the youngest run of a crashed upstream a run
	// may be to count as equally young: starts that were sent together arrive, and
	// are answered, at different times.
	cohortSpan = 100 * time.Millisecond
	// promptAge is the age up to which a run is accused of a crash even in an outage.
	promptAge = 250 * time.Millisecond
	// failureRetention is how long failures of upstreams are kept to recognize outages.
	failureRetention = 5 * time.Second
)

// CrashCounts counts what crashes of upstreams led to since the owner started.
type CrashCounts struct {
	// Accused counts crashes by the work units under which they happened, Outages the
	// crashes that were part of an outage, Cleared the suspects that ended well, and GivenUp
	// the jobs that were given up.
	Accused, Outages, Cleared, GivenUp int
	// Suspects counts the present suspects, and Isolated those of them that run or
	// wait for a run alone.
	Suspects, Isolated int
}

// CrashCounts returns the counts.
func (sched *Scheduler) CrashCounts() CrashCounts {
	counts := sched.crashCounts
	for u := range sched.suspects {
		if u.step.job.finalState != "" {
			continue
		}
		counts.Suspects++
		if u.crashes.Standing() == bbrcrash.Isolated {
			counts.Isolated++
		}
	}
	return counts
}

// recordCrash counts the end of an incarnation for the work units that may have caused
// it. An end that this system ordered, or that was announced, accuses none, and one that
// is part of an outage only those that had just begun: crashing units may be several, and
// after a takeover they start together.
func (sched *Scheduler) recordCrash(up *upstream, now time.Time) {
	if up.mayEndByOrder() {
		return
	}
	sched.accuseInheritedTrials(up.Incarnation, now)
	suspects := up.crashSuspects(now)
	if len(suspects)+len(up.unknownRuns) == 0 {
		return
	}
	failure := bbrcrash.Failure{At: up.failedAt(now), Rack: up.Rack(), Zone: up.Zone}
	outage := sched.isOutage(up, failure, now)
	sched.keepFailure(failure, now)
	if outage {
		sched.crashCounts.Outages++
		sched.note(now, "Upstream ended in an outage, accusing only runs that had just begun", "upstream", up.ID, "rack", failure.Rack, "zone", failure.Zone, "runs", len(suspects)+len(up.unknownRuns))
	} else {
		sched.recordUnknownCrashes(up, len(suspects), now)
	}
	for _, r := range suspects {
		if r.unit.crashes.HasRun(r.number) {
			continue
		}
		if crash := r.crash(suspects, now); !outage || crash.Youngest && r.age(now) <= promptAge {
			sched.accuse(r.unit, crash, now)
		}
	}
}

// mayEndByOrder reports whether the end of the upstream may have been ordered, or was announced. The
// fleet leader orders the end of a reserved upstream only once it is reported as drained.
func (up *upstream) mayEndByOrder() bool {
	return !up.reservedAt.IsZero() && up.drained || up.Draining
}

// failedAt returns since when the upstream has given no answer at all, or now if its
// last one was not lost. A single answer that was lost before does not count: the
// upstream may have crashed much later.
func (up *upstream) failedAt(now time.Time) time.Time {
	if up.lostSince.IsZero() {
		return now
	}
	return up.lostSince
}

// crashSuspects returns the runs that may have caused a crash of the upstream, the
// youngest first. Starts that were sent to an upstream that did not answer any more are
// left out, and so is long-running work that has proven itself.
func (up *upstream) crashSuspects(now time.Time) []*run {
	var suspects []*run
	for _, r := range append(runsByAge(up), up.lapsedSuspects...) {
		u := r.unit
		sentTooLate := r.confirmedAt.IsZero() && !up.lostSince.IsZero() && !r.orderedAt.Before(up.lostSince)
		if !u.done && u.step.job.finalState == "" && !sentTooLate && !r.proven(up.failedAt(now)) {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// proven reports whether the run is of a long-running work unit that has worked for
// long enough.
func (r *run) proven(now time.Time) bool {
	return r.unit.step.spec.LongRunning && r.percent == fullPercent && !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) >= provenAfter
}

// crash returns the crash of the run's upstream as evidence against its work unit.
// suspects are the runs that may have caused it.
func (r *run) crash(suspects []*run, now time.Time) bbrcrash.Crash {
	age := r.age(now)
	crash := bbrcrash.Crash{
		Upstream: r.up.ID, StartMillis: r.up.StartMillis, Run: r.number, At: now, Age: age,
		Youngest: !r.adopted, Certain: !r.confirmedAt.IsZero(),
	}
	crash.Others = len(r.up.unknownRuns)
	for _, other := range suspects {
		if other == r || other.unit.step == r.unit.step && r.unit.step.spec.Gang {
			continue
		}
		crash.Others++
		if !other.adopted && other.age(now)+cohortSpan < age {
			crash.Youngest = false
		}
	}
	return crash
}

// accuse adds a crash to the history of a work unit whose job has not ended, and gives
// the job up if the history suffices.
func (sched *Scheduler) accuse(u *unit, crash bbrcrash.Crash, now time.Time) {
	job := u.step.job
	if job.finalState != "" {
		return
	}
	u.crashes = append(u.crashes, crash)
	u.trial, u.trialInherited = nil, false
	sched.suspects[u] = true
	sched.crashCounts.Accused++
	sched.markCrashesChanged(job)
	standing := u.crashes.Standing()
	if standing == bbrcrash.Clear {
		return
	}
	sched.note(now, "Upstream crashed under a suspect", "job", job.ID, "unit", u.name().String(), "crash", crash.String(), "crashes", len(u.crashes), "standing", standing)
	if standing == bbrcrash.GivenUp {
		sched.crashCounts.GivenUp++
		job.endCode = bbrcode.CrashesUpstreams
		sched.endJob(job, bbrwork.Failed, "upstreams crashed under work unit "+u.name().String()+": "+u.crashes.String(), now)
	}
}

// clearHistory removes the history of a work unit that ended well or has proven itself.
func (sched *Scheduler) clearHistory(u *unit, now time.Time) {
	if len(u.crashes) == 0 {
		return
	}
	if u.crashes.Standing() != bbrcrash.Clear {
		sched.note(now, "Suspect cleared", "job", u.step.job.ID, "unit", u.name().String(), "crashes", len(u.crashes))
	}
	u.crashes, u.trial, u.trialInherited = nil, nil, false
	delete(sched.suspects, u)
	sched.crashCounts.Cleared++
	sched.markCrashesChanged(u.step.job)
}

// isOutage reports whether the upstream failed together with its rack or zone.
func (sched *Scheduler) isOutage(up *upstream, failure bbrcrash.Failure, now time.Time) bool {
	failures := []bbrcrash.Failure{failure}
	for _, earlier := range sched.failures {
		if now.Sub(earlier.At) < failureRetention {
			failures = append(failures, earlier)
		}
	}
	sameRack, sameZone := 0, 0
	for _, other := range sched.upstreams {
		switch {
		case other == up:
		case !other.lostSince.IsZero() && other.hasRuns():
			failures = append(failures, bbrcrash.Failure{At: other.lostSince, Rack: other.Rack(), Zone: other.Zone})
		case other.registered:
			if other.Rack() == failure.Rack {
				sameRack++
			}
			if other.Zone == failure.Zone {
				sameZone++
			}
		}
	}
	return bbrcrash.Outage(failure, failures, sameRack, sameZone)
}

// keepFailure adds a failure and drops those that are too old to matter.
func (sched *Scheduler) keepFailure(failure bbrcrash.Failure, now time.Time) {
	kept := sched.failures[:0]
	for _, earlier := range sched.failures {
		if now.Sub(earlier.At) < failureRetention {
			kept = append(kept, earlier)
		}
	}
	sched.failures = append(kept, failure)
}
