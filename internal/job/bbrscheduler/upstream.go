package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// upstream is one incarnation of an upstream as the scheduler knows it.
type upstream struct {
	bbrwork.Upstream
	// registered means that the store lists this incarnation. If it does not,
	// unregisteredAt is when it ceased to.
	registered     bool
	unregisteredAt time.Time
	// reservedAt is when the instance was reserved for maintenance or a move, zero
	// if it is not. Nothing new is started on a reserved upstream.
	reservedAt time.Time
	// drained means that Drained has named the upstream since it was reserved: orders of the fleet
	// leader may end it from then on, and not before.
	drained bool
	// reached means that the upstream has answered under this owner's fencing
	// token, and that all its ends were read.
	reached bool
	// partlyListed means that the last listing may be continued: how further runs ended
	// is not known yet.
	partlyListed bool
	runs         map[runKey]*run
	used         bbrwork.Resources
	// clock is the upstream's clock as of clockAt, and latestClock the latest that it can
	// have then.
	clock, latestClock time.Duration
	clockAt            time.Time
	// leaseEnd is when, by this process's clock, everything that an order of this
	// owner keeps running there has certainly ended; zero if there was none. It is changed
	// by boundLease, and boundBy is what set it.
	leaseEnd time.Time
	boundBy  LeaseSource
	// firstListedAt is when the first listing of this incarnation was applied.
	firstListedAt time.Time
	// earlierOrders means that this incarnation may have carried out orders that were
	// computed for an earlier one under its ID, or by an earlier owner.
	earlierOrders bool
	// follows means that this owner has known an earlier incarnation under the ID, and
	// fenced that this one refuses all orders that were meant for it.
	follows, fenced bool
	// sentLease is the deadline of the last renewal that extended the lease, by the
	// upstream's clock.
	sentLease time.Duration
	// confirmedLease is until when, by the upstream's clock, its runs certainly have a
	// lease: by an order that was answered, or by the start that began the first of them.
	confirmedLease time.Duration
	// renewalDue is when the answer to the last renewal is due.
	renewalDue time.Time
	// extendedAt is when a renewal with a later deadline was last sent. Unlike
	// extensions.sentAt, it counts neither repeated renewals nor outcomes.
	extendedAt time.Time
	// extensionExcused means that a reason other than a late owner (a lost answer, an
	// unconfirmed claim, an unknown clock) has prevented an extension since extendedAt.
	extensionExcused bool
	// applied is the sequence number of the last run end that was applied or is in
	// unapplied, and acknowledged that of the last whose effects are stored.
	applied, acknowledged int64
	health                health
	// fullUntil is until when no starts are sent, after a refusal for lack of
	// capacity.
	fullUntil time.Time
	// refused is the smallest need that was refused for lack of capacity of late, and
	// refusedUntil is until when only smaller work starts here.
	refused      bbrwork.Resources
	refusedUntil time.Time
	// startsInFlight counts the starts in flight.
	startsInFlight int
	// failedStarts has the starts that failed, or whose answer was lost, since the last
	// one that succeeded.
	failedStarts failedStarts
	// longRunning counts the runs of long-running work, which are also in runs.
	longRunning int
	// longRunningUsage is the part of used that long-running work takes.
	longRunningUsage bbrwork.Resources
	// lostAnswers counts the consecutive lost answers. silentSince is when the first
	// renewal since the last listing failed, or a later start got no answer; zero
	// if neither happened.
	// lostSince is when the first of the consecutive answers was lost.
	lostAnswers int
	silentSince time.Time
	lostSince   time.Time
	// extensions has the renewals that extend the lease.
	extensions extensions
	// lapsedRuns has the runs that were dropped when the lease expired, and why it did.
	// Their ends no longer count.
	lapsedRuns map[runKey]LapseCause
	// lapsedSuspects has the runs that were dropped when the lease expired, until the
	// upstream answers again. It may have crashed under them.
	lapsedSuspects []*run
	// trialUnit is the work unit for which the upstream is reserved; nil for none.
	// trialSince is when it was.
	trialUnit  *unit
	trialSince time.Time
	// hold is the reserved capacity; nil for none.
	hold *hold
	// vacancy has the step for which the upstream was vacated; nil for none.
	vacancy *vacancy
	// orphans has the listed runs of jobs that do not exist as far as this owner knows.
	orphans map[runKey]*orphan
	// unknownRuns has the listed runs of jobs that are still to be loaded, and unapplied the
	// sequence numbers of their ends, in ascending order. Both are empty once all jobs are.
	unknownRuns map[runKey]*unknownRun
	unapplied   []int64
	// announced is the registration of another incarnation under the same ID, since
	// announcedAt; nil for none. announcedLater means that it is certainly later than
	// the known one.
	announced      *bbrwork.Upstream
	announcedLater bool
	announcedAt    time.Time
	// restartSuspected means that an answer since suspectedAt had another clock than possible,
	// or that an announced restart is not registered any more. It is false again after a listing
	// that was requested later.
	restartSuspected bool
	suspectedAt      time.Time
	// idled means that no renewal was needed since the last listing.
	idled bool
	// site has the images on the upstream; nil if they are not considered.
	site *bbrinterference.Site
}

// clockKnown reports whether the upstream's clock is known.
func (up *upstream) clockKnown() bool { return !up.clockAt.IsZero() }

// clockNow estimates the upstream's clock from below: apart from the clock error,
// it lags behind by at most the time that the last answer was in transit.
func (up *upstream) clockNow(now time.Time) time.Duration {
	return up.clock + now.Sub(up.clockAt)
}

// earliestClock returns the earliest clock that the upstream can have now.
func (up *upstream) earliestClock(now time.Time) time.Duration {
	return up.clockNow(now) - time.Duration(clockError*float64(now.Sub(up.clockAt))) - clockMargin
}

// latestClockNow returns the latest clock that the upstream can have now.
func (up *upstream) latestClockNow(now time.Time) time.Duration {
	passed := now.Sub(up.clockAt)
	return up.latestClock + passed + time.Duration(clockError*float64(passed)) + clockMargin
}

// recordClock records the upstream's clock as read between the sending of an order and the
// arrival of its answer. If the answer was delayed, the bound from the earlier readings is the
// better estimate.
func (up *upstream) recordClock(clock time.Duration, sent, now time.Time) {
	latest := clock + now.Sub(sent)
	if up.clockKnown() {
		latest = min(latest, up.latestClockNow(now))
		clock = max(clock, up.earliestClock(now))
	}
	up.clock, up.latestClock, up.clockAt = clock, max(clock, latest), now
	up.lostAnswers, up.lostSince = 0, time.Time{}
}

// recordSilence records that a call was not answered that had to be by the time due, and
// reports whether it is the first since the upstream last answered.
func (up *upstream) recordSilence(due, now time.Time) bool {
	up.lostAnswers++
	if now.Sub(due) <= answerReadMargin {
		up.extensionExcused = true
	}
	if up.lostSince.IsZero() {
		up.lostSince = now
	}
	first := up.silentSince.IsZero()
	if first {
		up.silentSince = now
	}
	return first
}

// silence returns the answers that were lost since the last one that arrived.
func (up *upstream) silence() silence { return silence{up.lostAnswers, up.lostSince} }

// free returns the free capacity.
func (up *upstream) free() bbrwork.Resources { return up.Capacity.Minus(up.used) }

// besideLongRunning returns the capacity that is free once all finite work has
// ended.
func (up *upstream) besideLongRunning() bbrwork.Resources {
	return up.Capacity.Minus(up.longRunningUsage)
}

func (up *upstream) capacity() bbrwork.Resources { return up.Capacity }

// RegisterUpstream records that the store lists an upstream.
func (sched *Scheduler) RegisterUpstream(in bbrwork.Upstream, now time.Time) {
	if sched.endedIncarnations[in.Incarnation] {
		return
	}
	known := sched.upstreams[in.ID]
	if known != nil && known.StartMillis != in.StartMillis && known.StartMillis != 0 {
		sched.announceRestart(known, in, now)
		return
	}
	if known == nil {
		known = &upstream{runs: make(map[runKey]*run)}
		if sched.reserved[in.ID] {
			known.reservedAt = now
		}
		sched.addUpstream(known, in.Incarnation)
	}
	if in.Draining && !known.Draining {
		sched.note(now, "Upstream is draining", "upstream", in.ID, "runs", len(known.runs), "leaves", in.LeavesIn)
	}
	known.Upstream = in
	known.registered = true
	if known.follows {
		sched.raiseToken(in.Incarnation, now)
	}
}

// UnregisterUpstream records that the store no longer lists the upstream.
func (sched *Scheduler) UnregisterUpstream(id string, now time.Time) {
	up := sched.upstreams[id]
	if up == nil {
		return
	}
	if up.announced != nil && up.announcedLater {
		up.restartSuspected, up.suspectedAt = true, now
	}
	if up.registered || up.announced != nil {
		up.unregisteredAt = now
	}
	up.registered, up.announced = false, nil
	if len(up.runs) == 0 && !up.holdsUnknown() && up.reached && len(up.lapsedRuns) == 0 {
		sched.removeUpstream(up, now)
	}
}

// SetReserved sets the IDs of the reserved upstreams, on which no new work is
// started.
func (sched *Scheduler) SetReserved(ids map[string]bool, now time.Time) {
	sched.reserved = ids
	for id, up := range sched.upstreams {
		switch {
		case !ids[id]:
			up.reservedAt, up.drained = time.Time{}, false
		case up.reservedAt.IsZero():
			up.reservedAt = now
			sched.note(now, "Upstream reserved", "upstream", id, "runs", len(up.runs))
		}
	}
}

// Drained returns the IDs of the reserved upstreams, in order, on which nothing
// runs or may be starting. Upstreams that are not known to belong to this shard are
// left out.
func (sched *Scheduler) Drained(now time.Time) []string {
	if !sched.EarlierWorkLocated(now) {
		return nil
	}
	var ids []string
	for _, up := range sched.sortedUpstreams() {
		if !up.reservedAt.IsZero() && len(up.runs) == 0 && !up.holdsUnknown() && up.reached {
			up.drained = true
			ids = append(ids, up.ID)
		}
	}
	return ids
}

// UpstreamIDs returns the IDs of all known upstreams, and of those that have ended and may return.
func (sched *Scheduler) UpstreamIDs() []string {
	ids := make([]string, 0, len(sched.upstreams)+len(sched.returns))
	for id := range sched.upstreams {
		ids = append(ids, id)
	}
	for id := range sched.returns {
		ids = append(ids, id)
	}
	return ids
}
