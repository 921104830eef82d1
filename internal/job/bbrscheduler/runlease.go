package bbrscheduler

import (
	"maps"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// The owner knows two bounds of the lease on an upstream. leaseEnd bounds it from above:
// what any order may have granted. confirmedLease bounds it from below: what the upstream
// has certainly granted. Renewals are timed by the latter, so that a lost one is noticed
// and repeated while the runs still have a lease.

const (
	// maxRenewalWait is the longest that an upstream may delay the answer to a renewal
	// until a run ends. It is also the interval of renewals while no run ends.
	maxRenewalWait = time.Second
	// maxAnswerTimeout is how much longer than it waits a renewal may take to be
	// answered. It is shorter where the lease could expire before the second repetition,
	// but at least minAnswerTimeout, the time of an answer that is delayed by one
	// retransmission at an upstream that is at work.
	maxAnswerTimeout = 700 * time.Millisecond
	minAnswerTimeout = 400 * time.Millisecond
	// RenewalRetryDelay is the pause before a renewal that was not answered is repeated.
	RenewalRetryDelay = 150 * time.Millisecond
	// repetitions is how often a lost renewal can be repeated within the confirmed lease.
	repetitions = 2
	// renewalTransit is the time that a repeated renewal needs to arrive.
	renewalTransit = 100 * time.Millisecond
)

// LeaseSource is the kind of order that set the upper bound of the lease on an upstream.
type LeaseSource string

// Values of LeaseSource.
const (
	LeaseOfStart   LeaseSource = "start"
	LeaseOfRenewal LeaseSource = "renewal"
	// LongestLease is the longest lease that upstreams allow: which order granted it, and
	// until when, is not known.
	LongestLease LeaseSource = "longest"
)

// LeaseSources lists all sources.
var LeaseSources = [...]LeaseSource{LeaseOfStart, LeaseOfRenewal, LongestLease}

// LeaseCounts counts what happened to the leases and the incarnations of upstreams.
type LeaseCounts struct {
	// Expired counts the leases of silent upstreams that ended with runs, by what bounded
	// them.
	Expired map[LeaseSource]int
	// OtherIncarnations counts the listings that showed another incarnation than the
	// known one.
	OtherIncarnations int
}

// LeaseCounts returns the counts.
func (sched *Scheduler) LeaseCounts() LeaseCounts {
	counts := sched.leaseCounts
	counts.Expired = maps.Clone(counts.Expired)
	return counts
}

// boundLease records that an order may keep runs on the upstream until end.
func (up *upstream) boundLease(end time.Time, by LeaseSource) {
	if end.After(up.leaseEnd) {
		up.leaseEnd, up.boundBy = end, by
	}
}

// ConfirmLease records that the incarnation answered a renewal that granted a lease
// until the time on its clock.
func (sched *Scheduler) ConfirmLease(incarnation bbrwork.Incarnation, until time.Duration) {
	if up := sched.upstreams[incarnation.ID]; up != nil && up.Incarnation == incarnation {
		up.confirmLease(until)
	}
}

func (up *upstream) confirmLease(until time.Duration) {
	up.confirmedLease = max(up.confirmedLease, until)
}

// leaseLeft returns how long the runs on the upstream certainly have a lease; 0 if that
// is not known.
func (up *upstream) leaseLeft(now time.Time) time.Duration {
	if !up.clockKnown() || !up.hasRuns() {
		return 0
	}
	return max(0, up.confirmedLease-up.clockNow(now))
}

// repeatableLease returns the deadline of the last renewal, which may have been lost on its
// way; 0 if it has passed or must not be sent again. Another incarnation would take a
// deadline on the earlier clock as one of its own, so that no start may be on its way to it.
func (up *upstream) repeatableLease(now time.Time) time.Duration {
	for _, r := range up.runs {
		if r.phase == phaseStarting || r.phase == phaseUnknown {
			return 0
		}
	}
	if up.sentLease <= up.clockNow(now) {
		return 0
	}
	return up.sentLease
}

// setTimes sets how long the renewal of an upstream waits for the end of a run and for its
// answer, and records when the answer is due. The wait is what the answer and two
// repetitions leave of the lease: an answer that counts as lost too early takes the upstream
// out of use, a shorter wait costs one call.
func (plan *RenewalPlan) setTimes(up *upstream, now time.Time) {
	left := up.leaseLeft(now)
	plan.AnswerTimeout = answerTimeout(left)
	if plan.LeaseUntil > 0 && up.lostAnswers == 0 {
		spare := left - repetitions*(plan.AnswerTimeout+RenewalRetryDelay) - renewalTransit
		plan.Wait = min(maxRenewalWait, max(0, spare))
	}
	up.renewalDue = now.Add(plan.Wait + plan.AnswerTimeout)
}

// answerTimeout returns the timeout that leaves time for the repetitions in what is left of
// the lease. Without a lease that could be saved there is no hurry.
func answerTimeout(left time.Duration) time.Duration {
	if left <= 0 {
		return maxAnswerTimeout
	}
	return min(maxAnswerTimeout, max(minAnswerTimeout, (left-renewalTransit)/repetitions-RenewalRetryDelay))
}
