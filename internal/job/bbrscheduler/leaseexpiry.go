package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// ExpireLeases drops the runs on silent upstreams whose lease has certainly ended.
// An upstream that answers lists how its runs ended, even if this owner was late to
// renew the lease.
func (sched *Scheduler) ExpireLeases(now time.Time) {
	for _, up := range sched.sortedUpstreams() {
		if up.hasRuns() && up.lostAnswers > 0 && !up.leaseEnd.IsZero() && now.After(up.leaseEnd) {
			sched.expireRuns(up, now)
		}
	}
	sched.forgetUnregistered(now)
	sched.forgetReturns(now)
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
		// Runs that it listed in part end with their lease.
		if !up.registered && !up.reached && !up.hasRuns() {
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
		if !up.registered && up.reached && len(up.runs) == 0 && !up.holdsUnknown() && now.Sub(up.unregisteredAt) > unregisteredRetention {
			sched.removeUpstream(up, now)
		}
	}
}

// maxOrderDelay is how long after its sending an order without an answer may still be carried
// out.
const maxOrderDelay = 12 * time.Second

// lateStartEnd returns when a start without an answer has certainly ended, also if another
// incarnation of its silent upstream carries it out, which does not know its deadline; zero
// for other runs.
func (sched *Scheduler) lateStartEnd(r *run) time.Time {
	if r.phase != phaseUnknown {
		return time.Time{}
	}
	return r.orderedAt.Add(maxOrderDelay + leaseBound(sched.Timing.MaxRunLease))
}

// expireRuns drops the runs on an upstream whose lease ended without renewal, but starts that
// may still be carried out. The upstream may return and list ends from before. They no
// longer count if the work units run elsewhere by then, or did not end as done.
func (sched *Scheduler) expireRuns(up *upstream, now time.Time) {
	sched.note(now, "Run lease of upstream expired", "upstream", up.ID, "runs", len(up.runs), "unknownRuns", len(up.unknownRuns), "lostAnswers", up.lostAnswers,
		"renewalAnswered", ageText(up.extensions.answeredAt, now), "renewalSent", ageText(up.extensions.sentAt, now),
		"born", up.StartMillis, "firstListed", ageText(up.firstListedAt, now), "boundBy", up.boundBy, "bound", ageText(up.leaseEnd, now),
		"youngest", describeLostRuns(up, now))
	sched.leaseCounts.Expired[up.boundBy]++
	if up.lapsedRuns == nil {
		up.lapsedRuns = make(map[runKey]LapseCause)
	}
	var keptUntil time.Time
	for key, r := range up.runs {
		if end := sched.lateStartEnd(r); end.After(now) {
			keptUntil = later(keptUntil, end)
			continue
		}
		l := newLapse(r, up, up.silence())
		up.lapsedRuns[key] = l.cause(sched.Timing.RunLease, now)
		up.lapsedSuspects = append(up.lapsedSuspects, r)
		sched.dropRun(r, now)
	}
	for key := range up.unknownRuns {
		up.lapsedRuns[key] = LapseTakeover
		sched.dropUnknownRun(up, key)
	}
	up.leaseEnd, up.boundBy = time.Time{}, ""
	if !keptUntil.IsZero() {
		up.boundLease(keptUntil, LongestLease)
		return
	}
	if up.announced != nil && up.announcedLater {
		sched.endUpstream(up, "restarted", now)
	}
}
