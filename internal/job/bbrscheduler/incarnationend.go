package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// EndIncarnation records that an incarnation has certainly ended.
func (sched *Scheduler) EndIncarnation(incarnation bbrwork.Incarnation, reason string, now time.Time) {
	if up := sched.upstreams[incarnation.ID]; up != nil && up.StartMillis == incarnation.StartMillis {
		sched.endUpstream(up, reason, now)
	}
}

// verifyAfter is how long an upstream with runs may be silent before it is to be
// verified.
const verifyAfter = 300 * time.Millisecond

// Unverified returns the incarnations whose existence matters and is in doubt:
// those recorded by an earlier owner that do not answer this one, and silent ones
// with runs. Incarnations that received orders, or announced a restart, at now or
// later are left out.
func (sched *Scheduler) Unverified(now time.Time) []bbrwork.Incarnation {
	var incarnations []bbrwork.Incarnation
	for _, up := range sched.sortedUpstreams() {
		if !up.announcedAt.Before(now) || up.orderedSince(now) {
			continue
		}
		silent := up.hasRuns() && up.silentFor(now) > verifyAfter
		if silent || sched.unlocated[up.Incarnation] && up.lostAnswers > 0 {
			incarnations = append(incarnations, up.Incarnation)
		}
	}
	return incarnations
}

// silentFor returns how long the upstream has been silent.
func (up *upstream) silentFor(now time.Time) time.Duration {
	if up.silentSince.IsZero() {
		return 0
	}
	return now.Sub(up.silentSince)
}

// orderedSince reports whether a start was sent at the time or later.
func (up *upstream) orderedSince(at time.Time) bool {
	for _, r := range up.runs {
		if !r.adopted && !r.orderedAt.Before(at) {
			return true
		}
	}
	return false
}

// endUpstream drops an incarnation that has ended with all its runs.
func (sched *Scheduler) endUpstream(up *upstream, reason string, now time.Time) {
	sched.recordEnd(up, reason, now)
	sched.dropUpstream(up, now)
}

// endReplacedUpstream drops an incarnation at whose address another upstream answers, so that its
// return need not be awaited there.
func (sched *Scheduler) endReplacedUpstream(up *upstream, now time.Time) {
	sched.endUpstream(up, "another life answers at its address", now)
	delete(sched.returns, up.ID)
}

// recordEnd records that an incarnation has ended, and what may have caused it.
func (sched *Scheduler) recordEnd(up *upstream, reason string, now time.Time) {
	sched.note(now, "Upstream incarnation ended", "upstream", up.ID, "born", up.StartMillis, "reason", reason, "runs", len(up.runs),
		"reserved", !up.reservedAt.IsZero(), "draining", up.Draining, "youngest", describeLostRuns(up, now))
	if sched.unlocated[up.Incarnation] {
		sched.recordUnlocatedEnd(up, now)
	}
	sched.recordCrash(up, now)
}

// dropUpstream drops an incarnation that has ended, with the runs that it has left.
func (sched *Scheduler) dropUpstream(up *upstream, now time.Time) {
	sched.recordStartsInFlight(up)
	for _, r := range up.runs {
		sched.dropRun(r, now)
	}
	sched.dropUnknownRuns(up)
	sched.endedIncarnations[up.Incarnation] = true
	sched.markLocated(up.Incarnation, now)
	sched.removeUpstream(up, now)
}

// markLocated records that the runs of an incarnation are known.
func (sched *Scheduler) markLocated(incarnation bbrwork.Incarnation, now time.Time) {
	if !sched.unlocated[incarnation] {
		return
	}
	delete(sched.unlocated, incarnation)
	if len(sched.unlocated) == 0 {
		sched.note(now, "All work of earlier owners located", "after", now.Sub(sched.claimedAt).Round(time.Millisecond))
	}
}
