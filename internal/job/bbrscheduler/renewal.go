package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// RenewalPlan is the content of a lease renewal for an upstream.
type RenewalPlan struct {
	Upstream bbrwork.Upstream
	// LeaseUntil is 0 if the upstream's clock is not known yet, or if its lease
	// must not be extended.
	LeaseUntil   time.Duration
	Acknowledged int64
	// Token is the fencing token.
	Token int64
	// Wait is how long the upstream may delay the answer until a run ends, and
	// AnswerTimeout how much longer the answer may take.
	Wait, AnswerTimeout time.Duration
	// RetryDelay is the pause after the renewal if it is not answered.
	RetryDelay time.Duration
	// Idle means that nothing runs and no run end has to be acknowledged.
	Idle bool
	// HasRuns means that work runs or may run on the upstream.
	HasRuns bool
	// Unconfirmed means that no lease may be extended, as the owner's claim is not
	// confirmed.
	Unconfirmed bool
	// HasOrphans means that the upstream lists runs of unknown jobs.
	HasOrphans bool
}

// PlanRenewal returns the renewal to send to an upstream, and false if the upstream
// is unknown. confirmed reports whether the owner's claim is confirmed.
func (sched *Scheduler) PlanRenewal(id string, confirmed bool, now time.Time) (RenewalPlan, bool) {
	up := sched.upstreams[id]
	if up == nil {
		return sched.planReturn(id, now)
	}
	up.extensions.inFlightSince = time.Time{}
	plan := RenewalPlan{
		Upstream:    up.target(),
		Token:       sched.tokenOf(id),
		HasOrphans:  len(up.orphans) > 0,
		Idle:        !up.hasRuns() && len(up.orphans) == 0 && !sched.unlocated[up.Incarnation] && (up.isGone() || up.identified() && up.needsNoRenewal() && !sched.awaitsFence(up)),
		HasRuns:     up.hasRuns(),
		Unconfirmed: !confirmed,
		RetryDelay:  sched.retryDelay(id, now),
	}
	if plan.Idle {
		up.idled = true
		return plan, true
	}
	if up.maySendAcknowledgement() {
		plan.Acknowledged = up.acknowledged
	}
	if confirmed && up.hasRuns() {
		plan.LeaseUntil = sched.nextLease(up, now)
		up.extensions.planned(plan.LeaseUntil, now)
	}
	plan.setTimes(up, now)
	sched.recordRenewal(up, plan.LeaseUntil > 0 && up.lostAnswers == 0, confirmed, now)
	return plan, true
}

// isGone reports whether the store lists no incarnation of the upstream.
func (up *upstream) isGone() bool { return !up.registered && up.announced == nil }

// needsNoRenewal reports whether a registered upstream without runs can go without renewals:
// the owner has all ends from it and has lost no answers, and the upstream is not silent. Only
// a listing ends its silence, and a silent upstream gets no work.
func (up *upstream) needsNoRenewal() bool {
	return up.reached && up.acknowledged == up.applied && up.lostAnswers == 0 && up.silentSince.IsZero()
}

// nextLease returns the deadline of the next renewal of an upstream with runs; 0 for none.
//
// An upstream that may have restarted is only queried. One that does not answer gets no
// later deadline than before, since each that may reach it would postpone the time from
// which its work can start elsewhere.
func (sched *Scheduler) nextLease(up *upstream, now time.Time) time.Duration {
	switch {
	case !up.clockKnown() || !up.identified():
		return 0
	case up.lostAnswers > 0:
		return up.repeatableLease(now)
	}
	up.sentLease = up.clockNow(now) + sched.Timing.RunLease
	sched.extendLease(up, now)
	return up.sentLease
}

// extendLease records that a renewal sent now keeps the runs on the upstream alive
// for RunLease.
func (sched *Scheduler) extendLease(up *upstream, now time.Time) {
	up.boundLease(now.Add(leaseBound(sched.Timing.RunLease)+time.Duration(clockError*float64(now.Sub(up.clockAt)))), LeaseOfRenewal)
}

// HasUnacknowledgedEnds reports whether run ends of the upstream are not stored
// yet, apart from those that wait for their job to be loaded.
func (sched *Scheduler) HasUnacknowledgedEnds(id string) bool {
	up := sched.upstreams[id]
	return up != nil && up.acknowledged < up.acknowledgeable()
}
