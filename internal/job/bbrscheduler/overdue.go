package bbrscheduler

import "time"

// answerReadMargin is how long after the timeout of a call its failure counts as read in
// time. A failure that is read later may be an answer that this owner was too late to read.
// It is shorter than the pauses of a process that lacks processor time.
const answerReadMargin = 40 * time.Millisecond

// RenewalOverdueAt returns when the owner was last overdue with a lease renewal; zero for
// never. It is overdue if work has run on an upstream for two thirds of RunLease without
// an extension, and nothing else explains that: an unconfirmed claim, an unknown clock or
// incarnation, or a lost answer whose failure was read in time.
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

// recordRenewal records that a renewal is sent. extends means that it has a later deadline
// than those before. A renewal without one excuses the owner, except after lost answers:
// recordSilence decides about these.
func (sched *Scheduler) recordRenewal(up *upstream, extends, confirmed bool, now time.Time) {
	if sched.overdue(up, now) {
		sched.overdueAt = now
	}
	switch {
	case extends:
		up.extendedAt, up.extensionExcused = now, false
	case up.hasRuns() && (!confirmed || up.lostAnswers == 0):
		up.extensionExcused = true
	}
}
