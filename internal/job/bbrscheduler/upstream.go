package bbrscheduler

import (
	"time"

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
	// reached means that the upstream has answered under this owner's fencing
	// token, and that all its ends were read.
	reached bool
	// partlyListed means that the last listing may be continued: how further runs ended
	// is not known yet.
	partlyListed bool
	runs         map[runKey]*run
	used         bbrwork.Resources
	// clock is the upstream's clock as of clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when, by this process's clock, everything that an order of this
	// owner keeps running there has certainly ended.
	leaseEnd time.Time
	// applied is the sequence number of the last applied run end, and acknowledged
	// that of the last whose effects are stored.
	applied, acknowledged int64
	health                health
	// fullUntil is until when no starts are sent, after a refusal for lack of
	// capacity.
	fullUntil time.Time
	// startsInFlight counts the starts in flight.
	startsInFlight int
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
	// lapsedRuns has the runs that were dropped when the lease expired. Their ends
	// no longer count.
	lapsedRuns map[runKey]bool
	// lapsedSuspects has the runs that were dropped when the lease expired, until the
	// upstream answers again. It may have crashed under them.
	lapsedSuspects []*run
	// trialUnit is the work unit for which the upstream is reserved; nil for none.
	// trialSince is when it was.
	trialUnit  *unit
	trialSince time.Time
	// orphans has the listed runs of unknown jobs.
	orphans map[runKey]*orphan
	// announced is the registration of another incarnation under the same ID, since
	// announcedAt; nil for none. announcedLater means that it is certainly later than
	// the known one.
	announced      *bbrwork.Upstream
	announcedLater bool
	announcedAt    time.Time
	// restartSuspected means that an answer had an earlier clock than possible. It is
	// false again after the next listing.
	restartSuspected bool
	// idled means that no renewal was needed since the last listing.
	idled bool
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

// recordClock records the upstream's clock, with the arrival of the answer as the
// time of the reading.
func (up *upstream) recordClock(clock time.Duration, now time.Time) {
	up.clock, up.clockAt = clock, now
	up.lostAnswers, up.lostSince = 0, time.Time{}
}

// recordSilence records a call that was not answered, and reports whether it is the first
// since the upstream last answered.
func (up *upstream) recordSilence(now time.Time) bool {
	up.lostAnswers++
	if up.lostSince.IsZero() {
		up.lostSince = now
	}
	first := up.silentSince.IsZero()
	if first {
		up.silentSince = now
	}
	return first
}

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
		sched.addUpstream(known, in.ID)
	}
	if in.Draining && !known.Draining {
		sched.note(now, "Upstream is draining", "upstream", in.ID, "runs", len(known.runs), "leaves", in.LeavesIn)
	}
	known.Upstream = in
	known.registered = true
}

// UnregisterUpstream records that the store no longer lists the upstream.
func (sched *Scheduler) UnregisterUpstream(id string, now time.Time) {
	up := sched.upstreams[id]
	if up == nil {
		return
	}
	up.registered, up.unregisteredAt, up.announced = false, now, nil
	if len(up.runs) == 0 && up.reached && len(up.lapsedRuns) == 0 {
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
			up.reservedAt = time.Time{}
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
		if !up.reservedAt.IsZero() && len(up.runs) == 0 && up.reached {
			ids = append(ids, up.ID)
		}
	}
	return ids
}

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
		silent := len(up.runs) > 0 && up.silentFor(now) > verifyAfter
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
	for _, r := range up.runs {
		sched.dropRun(r, now)
	}
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

// ExpireLeases drops the runs on silent upstreams whose lease has certainly ended.
// An upstream that answers lists how its runs ended, even if this owner was late to
// renew the lease.
func (sched *Scheduler) ExpireLeases(now time.Time) {
	for _, up := range sched.sortedUpstreams() {
		if len(up.runs) > 0 && up.lostAnswers > 0 && !up.leaseEnd.IsZero() && now.After(up.leaseEnd) {
			sched.expireRuns(up, now)
		}
	}
	sched.forgetUnregistered(now)
	if len(sched.unlocated) > 0 && now.After(sched.earlierLeasesEnd) {
		sched.giveUpUnlocated(now)
	}
}

// giveUpUnlocated gives up the incarnations that do not answer: what an earlier
// owner started there has ended with its lease.
func (sched *Scheduler) giveUpUnlocated(now time.Time) {
	silent := 0
	for incarnation := range sched.unlocated {
		if !sched.readsEnds(incarnation) {
			delete(sched.unlocated, incarnation)
			silent++
		}
	}
	if silent == 0 {
		return
	}
	sched.note(now, "All leases of earlier owners expired", "unreached", silent, "reading", len(sched.unlocated))
	for _, up := range sched.sortedUpstreams() {
		if !up.registered && !up.reached {
			sched.note(now, "Upstream dropped", "upstream", up.ID, "reason", "unregistered and never reached")
			sched.accuseInheritedTrials(up.Incarnation, now)
			sched.removeUpstream(up, now)
		}
	}
}

// readsEnds reports whether the incarnation answers and has further ends, so that it is
// only a matter of time until it is known how the earlier owner's runs ended there.
func (sched *Scheduler) readsEnds(incarnation bbrwork.Incarnation) bool {
	up := sched.upstreams[incarnation.ID]
	return up != nil && up.Incarnation == incarnation && up.partlyListed && up.lostAnswers < maxLostAnswers
}

// unregisteredRetention is how long an upstream that the store no longer lists is
// remembered: the same incarnation may return, with run ends that no longer count.
const unregisteredRetention = time.Minute

func (sched *Scheduler) forgetUnregistered(now time.Time) {
	for _, up := range sched.upstreams {
		if !up.registered && up.reached && len(up.runs) == 0 && now.Sub(up.unregisteredAt) > unregisteredRetention {
			sched.removeUpstream(up, now)
		}
	}
}

// expireRuns drops the runs on an upstream whose lease ended without renewal. The
// upstream may return and list ends from before. They no longer count, since the
// work units may be running elsewhere.
func (sched *Scheduler) expireRuns(up *upstream, now time.Time) {
	sched.note(now, "Run lease of upstream expired", "upstream", up.ID, "runs", len(up.runs), "lostAnswers", up.lostAnswers)
	if up.lapsedRuns == nil {
		up.lapsedRuns = make(map[runKey]bool)
	}
	for key, r := range up.runs {
		up.lapsedRuns[key] = true
		up.lapsedSuspects = append(up.lapsedSuspects, r)
		sched.dropRun(r, now)
	}
	up.leaseEnd = time.Time{}
	if up.announced != nil && up.announcedLater {
		sched.endUpstream(up, "restarted", now)
	}
}

// RenewalPlan is the content of a lease renewal for an upstream.
type RenewalPlan struct {
	Upstream bbrwork.Upstream
	// LeaseUntil is 0 if the upstream's clock is not known yet, or if its lease
	// must not be extended.
	LeaseUntil   time.Duration
	Acknowledged int64
	// Idle means that nothing runs and no run end has to be acknowledged.
	Idle bool
	// HasRuns means that work runs or may run on the upstream.
	HasRuns bool
	// HasOrphans means that the upstream lists runs of unknown jobs.
	HasOrphans bool
}

// PlanRenewal returns the renewal to send to an upstream, and false if the upstream
// is unknown. confirmed reports whether the owner's claim is confirmed.
func (sched *Scheduler) PlanRenewal(id string, confirmed bool, now time.Time) (RenewalPlan, bool) {
	up := sched.upstreams[id]
	if up == nil {
		return RenewalPlan{}, false
	}
	plan := RenewalPlan{
		Upstream:   up.target(),
		HasOrphans: len(up.orphans) > 0,
		Idle:       len(up.runs) == 0 && len(up.orphans) == 0 && !sched.unlocated[up.Incarnation] && up.identified() && (!up.registered || up.acknowledged == up.applied && up.reached && up.lostAnswers == 0),
		HasRuns:    len(up.runs) > 0,
	}
	if plan.Idle {
		up.idled = true
		return plan, true
	}
	if up.maySendAcknowledgement() {
		plan.Acknowledged = up.acknowledged
	}
	// An upstream that does not answer, or may have restarted, is only queried: every
	// extension that may reach it would postpone the time from which its work can start
	// elsewhere.
	if up.clockKnown() && confirmed && len(up.runs) > 0 && up.lostAnswers == 0 && up.identified() {
		plan.LeaseUntil = up.clockNow(now) + sched.Timing.RunLease
		sched.extendLease(up, now)
	}
	return plan, true
}

// extendLease records that a renewal sent now keeps the runs on the upstream alive
// for RunLease.
func (sched *Scheduler) extendLease(up *upstream, now time.Time) {
	leaseEnd := now.Add(leaseBound(sched.Timing.RunLease) + time.Duration(clockError*float64(now.Sub(up.clockAt))))
	if leaseEnd.After(up.leaseEnd) {
		up.leaseEnd = leaseEnd
	}
}

// UpstreamIDs returns the IDs of all known upstreams.
func (sched *Scheduler) UpstreamIDs() []string {
	ids := make([]string, 0, len(sched.upstreams))
	for id := range sched.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// HasUnacknowledgedEnds reports whether run ends of the upstream are not stored
// yet.
func (sched *Scheduler) HasUnacknowledgedEnds(id string) bool {
	up := sched.upstreams[id]
	return up != nil && up.acknowledged < up.applied
}
