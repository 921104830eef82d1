package bbrscheduler

import "time"

// answerReadMargin is how long after the timeout of a call its failure counts as read in
// time. A failure that is read later may be an answer that this owner was too late to read.
// It is shorter than the pauses of a process that lacks processor time.
const answerReadMargin = 40 * time.Millisecond

// RenewalOverdueAt returns when the owner was last overdue with the renewal of a lease; zero
// if it never was. It is overdue if work has run on an upstream for two thirds of RunLease
// without an extension of its lease, though the claim was confirmed and no answer was lost,
// or at most such that were read too late. So neither upstreams nor links that lose answers
// make an owner overdue, nor does an outage of the store.
func (sched *Scheduler) RenewalOverdueAt(now time.Time) time.Time {
	for _, up := range sched.upstreams {
		if sched.overdue(up, now) {
			sched.overdueAt = now
			break
		}
	}
	return sched.overdueAt
}

// overdue reports whether the owner is overdue with the extension of the upstream's lease.
func (sched *Scheduler) overdue(up *upstream, now time.Time) bool {
	since := now.Add(-2 * sched.Timing.RunLease / 3)
	if up.extensionExcused || up.extendedAt.After(since) {
		return false
	}
	for _, r := range up.runs {
		if r.phase == phaseRunning && !r.confirmedAt.IsZero() && !r.confirmedAt.After(since) {
			return true
		}
	}
	return false
}

// recordRenewal records that a renewal is sent now, which extends the lease or not. Only an
// answer that was lost leaves open whether the owner is to blame if it does not.
func (sched *Scheduler) recordRenewal(up *upstream, extends, confirmed bool, now time.Time) {
	if sched.overdue(up, now) {
		sched.overdueAt = now
	}
	switch {
	case extends:
		up.extendedAt, up.extensionExcused = now, false
	case len(up.runs) > 0 && (!confirmed || up.lostAnswers == 0):
		up.extensionExcused = true
	}
}
