package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// upstream is one life of an upstream as the ledger knows it.
type upstream struct {
	bbrwork.Upstream
	// registered means that the store lists this life; left is since when it does
	// not.
	registered     bool
	unregisteredAt time.Time
	// reservedAt is when planned work took the instance: nothing new goes there.
	// It is zero while none does.
	reservedAt time.Time
	// reached means that it has answered under this token.
	reached bool
	runs    map[runKey]*run
	used    bbrwork.Resources
	// clock is the upstream's clock as of clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when, by this process's clock, all that an order of this owner
	// keeps running there has certainly ended.
	leaseEnd time.Time
	// applied is the highest end that was applied, and acknowledged the highest
	// whose effects are stored.
	applied, acknowledged int64
	health                health
	// fullUntil keeps starts away after a refusal for want of room.
	fullUntil time.Time
	// startsInFlight counts the starts on their way.
	startsInFlight int
	// longRunning counts the runs of lasting work, which are in runs as well.
	longRunning int
	// longRunningUsage is the part of used that lasting work takes.
	longRunningUsage bbrwork.Resources
	// lostAnswers counts the answers lost in a row, and silentAt is when the first was.
	lostAnswers int
	silentSince time.Time
	// lapsedRuns are runs that were dropped when the lease ended; their ends no
	// longer count.
	lapsedRuns map[runKey]bool
	// orphans are listed runs of jobs that are not known.
	orphans map[runKey]*orphan
}

// clockKnown tells whether the upstream's clock is known.
func (up *upstream) clockKnown() bool { return !up.clockAt.IsZero() }

// clockNow estimates the upstream's clock from below: it is not ahead of the
// real one by more than the time that the answer was on its way.
func (up *upstream) clockNow(now time.Time) time.Duration {
	return up.clock + now.Sub(up.clockAt)
}

// recordClock notes the upstream's clock. The answer's arrival is taken for the
// reading's time.
func (up *upstream) recordClock(clock time.Duration, now time.Time) {
	up.clock, up.clockAt = clock, now
	up.lostAnswers = 0
}

// free returns the room that is left.
func (up *upstream) free() bbrwork.Resources { return up.Capacity.Minus(up.used) }

// besideLongRunning returns the room that is left once all work that ends has ended.
func (up *upstream) besideLongRunning() bbrwork.Resources {
	return up.Capacity.Minus(up.longRunningUsage)
}

func (up *upstream) capacity() bbrwork.Resources { return up.Capacity }

// RegisterUpstream tells the ledger of a registration. Another life under the same ID
// ends what ran in the earlier one.
func (sched *Scheduler) RegisterUpstream(in bbrwork.Upstream, now time.Time) {
	if sched.endedIncarnations[in.Incarnation] {
		return
	}
	known := sched.upstreams[in.ID]
	if known != nil && known.StartMillis != in.StartMillis && known.StartMillis != 0 {
		if in.StartMillis < known.StartMillis {
			return
		}
		sched.endUpstream(known, "reborn", now)
		known = nil
	}
	if known == nil {
		known = &upstream{runs: make(map[runKey]*run)}
		if sched.reserved[in.ID] {
			known.reservedAt = now
		}
		sched.addUpstream(known, in.ID)
	}
	if in.Draining && !known.Draining {
		sched.note(now, "Upstream drains", "upstream", in.ID, "runs", len(known.runs), "leaves", in.LeavesIn)
	}
	known.Upstream = in
	known.registered = true
}

// UnregisterUpstream tells the ledger that the store lists the upstream no more.
func (sched *Scheduler) UnregisterUpstream(id string, now time.Time) {
	up := sched.upstreams[id]
	if up == nil {
		return
	}
	up.registered, up.unregisteredAt = false, now
	if len(up.runs) == 0 && up.reached && len(up.lapsedRuns) == 0 {
		sched.removeUpstream(id)
	}
}

// SetReserved keeps new work off the upstreams of these IDs, and lets it back to
// all others.
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

// Drained returns the reserved upstreams on which nothing runs or may be
// starting, in order. Those that are not known as this service's are left out.
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

// EndIncarnation tells the ledger that a life has certainly ended.
func (sched *Scheduler) EndIncarnation(incarnation bbrwork.Incarnation, reason string, now time.Time) {
	if up := sched.upstreams[incarnation.ID]; up != nil && up.StartMillis == incarnation.StartMillis {
		sched.endUpstream(up, reason, now)
	}
}

// verifyAfter is how long an upstream with work may be silent before it is
// doubted.
const verifyAfter = 300 * time.Millisecond

// Unverified returns the lives of which it matters whether they are still there:
// those that an earlier owner used and that were not reached yet, and silent
// ones with work.
func (sched *Scheduler) Unverified(now time.Time) []bbrwork.Incarnation {
	var incarnations []bbrwork.Incarnation
	for _, up := range sched.sortedUpstreams() {
		silent := len(up.runs) > 0 && !up.silentSince.IsZero() && now.Sub(up.silentSince) > verifyAfter
		if silent || sched.unlocated[up.Incarnation] && up.lostAnswers > 0 {
			incarnations = append(incarnations, up.Incarnation)
		}
	}
	return incarnations
}

// endUpstream drops a life with all that ran in it.
func (sched *Scheduler) endUpstream(up *upstream, reason string, now time.Time) {
	sched.note(now, "Upstream ended", "upstream", up.ID, "born", up.StartMillis, "reason", reason, "runs", len(up.runs))
	for _, r := range up.runs {
		sched.dropRun(r, now)
	}
	sched.removeUpstream(up.ID)
	sched.endedIncarnations[up.Incarnation] = true
	sched.markLocated(up.Incarnation, now)
}

// markLocated notes that what runs in a life is known.
func (sched *Scheduler) markLocated(incarnation bbrwork.Incarnation, now time.Time) {
	if !sched.unlocated[incarnation] {
		return
	}
	delete(sched.unlocated, incarnation)
	if len(sched.unlocated) == 0 {
		sched.note(now, "All earlier work located", "after", now.Sub(sched.claimedAt).Round(time.Millisecond))
	}
}

// ExpireLeases drops what ran on silent upstreams whose lease has certainly ended. One
// that answers lists how its runs ended, also where this owner was late to renew.
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

// giveUpUnlocated gives up the lives that were never reached: what an earlier owner
// started there has ended with its lease.
func (sched *Scheduler) giveUpUnlocated(now time.Time) {
	sched.note(now, "Earlier work settled by time", "unreached", len(sched.unlocated))
	clear(sched.unlocated)
	for _, up := range sched.sortedUpstreams() {
		if !up.registered && !up.reached {
			sched.note(now, "Upstream given up", "upstream", up.ID, "reason", "unregistered and never reached")
			sched.removeUpstream(up.ID)
		}
	}
}

// unregisteredRetention is how long an upstream that the store lists no more is kept in
// mind: it may come back in the same life, with ends that no longer count.
const unregisteredRetention = time.Minute

func (sched *Scheduler) forgetUnregistered(now time.Time) {
	for id, up := range sched.upstreams {
		if !up.registered && up.reached && len(up.runs) == 0 && now.Sub(up.unregisteredAt) > unregisteredRetention {
			sched.removeUpstream(id)
		}
	}
}

// expireRuns drops what ran on an upstream whose lease ended unrenewed. The upstream
// may come back with ends from before; they no longer count, since the work
// units may be at work elsewhere.
func (sched *Scheduler) expireRuns(up *upstream, now time.Time) {
	sched.note(now, "Upstream's lease ended unrenewed", "upstream", up.ID, "runs", len(up.runs), "lostAnswers", up.lostAnswers)
	if up.lapsedRuns == nil {
		up.lapsedRuns = make(map[runKey]bool)
	}
	for key, r := range up.runs {
		up.lapsedRuns[key] = true
		sched.dropRun(r, now)
	}
	up.leaseEnd = time.Time{}
}

// RenewalPlan is what a renewal of an upstream's lease should say.
type RenewalPlan struct {
	Upstream bbrwork.Upstream
	// LeaseUntil is 0 where the clock is not known yet, or where nothing may be
	// extended.
	LeaseUntil   time.Duration
	Acknowledged int64
	// Idle means that nothing runs and nothing is to be acknowledged.
	Idle bool
	// HasRuns means that work is or may be running there.
	HasRuns bool
	// HasOrphans means that runs of jobs that are not known are listed there.
	HasOrphans bool
}

// PlanRenewal returns what to tell an upstream. confirmed tells whether the claim
// still stands.
func (sched *Scheduler) PlanRenewal(id string, confirmed bool, now time.Time) (RenewalPlan, bool) {
	up := sched.upstreams[id]
	if up == nil {
		return RenewalPlan{}, false
	}
	plan := RenewalPlan{
		Upstream:     up.Upstream,
		Acknowledged: up.acknowledged,
		HasOrphans:   len(up.orphans) > 0,
		Idle:         len(up.runs) == 0 && len(up.orphans) == 0 && !sched.unlocated[up.Incarnation] && (!up.registered || up.acknowledged == up.applied && up.reached && up.lostAnswers == 0),
		HasRuns:      len(up.runs) > 0,
	}
	// An upstream that does not answer is only asked: each order that may reach
	// it would put off the time from which its work can start elsewhere.
	if up.clockKnown() && confirmed && len(up.runs) > 0 && up.lostAnswers == 0 {
		plan.LeaseUntil = up.clockNow(now) + sched.Timing.RunLease
		sched.extendLease(up, now)
	}
	return plan, true
}

// extendLease notes that an order sent now keeps what runs there alive for a hold.
func (sched *Scheduler) extendLease(up *upstream, now time.Time) {
	leaseEnd := now.Add(leaseBound(sched.Timing.RunLease) + time.Duration(clockError*float64(now.Sub(up.clockAt))))
	if leaseEnd.After(up.leaseEnd) {
		up.leaseEnd = leaseEnd
	}
}

// UpstreamIDs returns the IDs of all upstreams that are known.
func (sched *Scheduler) UpstreamIDs() []string {
	ids := make([]string, 0, len(sched.upstreams))
	for id := range sched.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// HasUnacknowledgedEnds tells whether ends of the upstream are not stored yet.
func (sched *Scheduler) HasUnacknowledgedEnds(id string) bool {
	up := sched.upstreams[id]
	return up != nil && up.acknowledged < up.applied
}
