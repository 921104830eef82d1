package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// An upstream may restart under its ID: the new incarnation has no runs and has seen
// no fencing token, and its clock and the numbers of its ends begin anew. Until this
// owner learns of it, the new incarnation receives and carries out orders that are
// meant for the earlier one. So the runs of an upstream belong to its ID, until a
// listing of the new incarnation shows which of them ended with the earlier one.

// announceRestart records that the store lists another incarnation than the known one.
func (sched *Scheduler) announceRestart(up *upstream, in bbrwork.Upstream, now time.Time) {
	if up.announced != nil && up.announced.Incarnation == in.Incarnation {
		up.announced = &in
		return
	}
	// An incarnation that was not learned from a registration may be newer than this
	// one: registrations are read late.
	up.announcedLater = up.registered || in.StartMillis > up.StartMillis
	up.announced, up.announcedAt = &in, now
	if !up.announcedLater {
		return
	}
	if !up.hasRuns() && !sched.unlocated[up.Incarnation] {
		sched.endUpstream(up, "restarted", now)
		return
	}
	sched.note(now, "Upstream announces a restart", "upstream", up.ID, "born", up.StartMillis, "announced", in.StartMillis, "runs", len(up.runs))
	sched.boundByLongestLease(up, now)
	sched.raiseToken(in.Incarnation, now)
}

// target returns the upstream as it is to be asked for its runs.
func (up *upstream) target() bbrwork.Upstream {
	if up.announced != nil && up.announcedLater {
		return *up.announced
	}
	return up.Upstream
}

// isTarget reports whether a renewal for the incarnation was meant for this upstream.
func (up *upstream) isTarget(incarnation bbrwork.Incarnation) bool {
	return incarnation == up.Incarnation || up.announced != nil && incarnation == up.announced.Incarnation
}

// suspectRestart records that an answer had another clock than the known
// incarnation can have. Nothing is started until a listing shows who answers.
func (sched *Scheduler) suspectRestart(up *upstream, now time.Time) {
	if !up.restartSuspected {
		sched.note(now, "Upstream's clock is another one", "upstream", up.ID, "born", up.StartMillis, "runs", len(up.runs))
	}
	up.restartSuspected, up.suspectedAt = true, now
	up.clockAt = time.Time{}
	sched.boundByLongestLease(up, now)
}

// boundEarlierLease bounds the lease that an incarnation may have from orders for earlier
// ones, once it has answered. Such a lease keeps all that runs there, also what starts later.
func (sched *Scheduler) boundEarlierLease(up *upstream, now time.Time) {
	if up.earlierOrders {
		sched.boundByLongestLease(up, now)
	}
}

// boundByLongestLease extends the bound of the lease to the longest that upstreams allow. An
// incarnation that this owner may not know grants it, since deadlines by the clock of an
// earlier one may be far in its future.
func (sched *Scheduler) boundByLongestLease(up *upstream, now time.Time) {
	up.boundLease(now.Add(leaseBound(sched.Timing.MaxRunLease)), LongestLease)
}

// identified reports whether nothing suggests that another incarnation than the known
// one answers.
func (up *upstream) identified() bool { return up.announced == nil && !up.restartSuspected }

// maySendAcknowledgement reports whether the next renewal certainly reaches the
// incarnation whose ends it acknowledges. Another one would forget ends that nobody
// has read.
func (up *upstream) maySendAcknowledgement() bool {
	return up.identified() && up.lostAnswers == 0 && up.silentSince.IsZero() && !up.idled
}

// restartUpstream replaces the known incarnation by the one that answered with the
// listing, requested at the time sent. Runs in the listing continue there, and starts
// that were not answered before may still take effect there; all others have ended
// with the known incarnation.
func (sched *Scheduler) restartUpstream(old *upstream, startMillis int64, listing *bbrwork.Listing, sent, now time.Time) *upstream {
	next := &upstream{Upstream: old.Upstream, runs: make(map[runKey]*run), reservedAt: old.reservedAt}
	next.StartMillis = startMillis
	if announced := old.announced; announced != nil && announced.StartMillis == startMillis {
		next.Upstream, next.registered = *announced, true
	} else {
		next.unregisteredAt, next.Draining = now, false
		next.announced, next.announcedLater, next.announcedAt = announced, old.announcedLater, old.announcedAt
	}
	old.announced = nil
	sched.noteOtherIncarnation(old, listing, startMillis, sent, now)
	listed := listedRuns(listing)
	sched.moveInheritedTrials(old, next, listed)
	for _, key := range listed {
		if r := old.runs[key]; r != nil {
			r.moveTo(next)
		}
		// It is kept again as a run or end of the next incarnation.
		sched.dropUnknownRun(old, key)
	}
	sched.recordEnd(old, "restarted", now)
	for _, r := range old.runs {
		if r.mayTakeEffect(sent) || listing.MayBeContinued() && r.listedAt.IsZero() {
			r.moveTo(next)
		}
	}
	sched.dropUpstream(old, now)
	delete(sched.endedIncarnations, next.Incarnation)
	sched.addUpstream(next, next.Incarnation)
	sched.raiseToken(next.Incarnation, now)
	return next
}

// noteOtherIncarnation logs that another incarnation answered than the known one. lastDeadline
// is the last deadline sent to the known one, by whose clock it is; beyond clock, it granted
// the longest lease if the incarnation that answered has received it.
func (sched *Scheduler) noteOtherIncarnation(old *upstream, listing *bbrwork.Listing, startMillis int64, sent, now time.Time) {
	sched.leaseCounts.OtherIncarnations++
	sched.note(now, "Another incarnation answered", "upstream", old.ID, "known", old.StartMillis, "born", startMillis, "clock", listing.Clock,
		"lastDeadline", old.sentLease, "sent", ageText(sent, now), "lostAnswers", old.lostAnswers, "runs", len(old.runs), "running", len(listing.Running), "ended", len(listing.Ended))
}

// listedRuns returns the runs that the listing names, also those that have ended.
func listedRuns(listing *bbrwork.Listing) []runKey {
	keys := make([]runKey, 0, len(listing.Running)+len(listing.Ended))
	for _, running := range listing.Running {
		keys = append(keys, runKey{running.Unit, running.Number})
	}
	for _, end := range listing.Ended {
		keys = append(keys, runKey{end.Unit, end.Run})
	}
	return keys
}

// mayTakeEffect reports whether the start of a run may still be carried out after a
// listing that was requested at the time sent.
func (r *run) mayTakeEffect(sent time.Time) bool {
	switch r.phase {
	case phaseStarting, phaseUnknown:
		return true
	default:
		return r.listedAt.IsZero() && !r.confirmedAt.Before(sent)
	}
}

// moveTo moves the run to a later incarnation of its upstream.
func (r *run) moveTo(next *upstream) {
	r.up.release(r)
	r.up, r.moved = next, true
	next.allocate(r)
}
