package bbrscheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// fullPause is how long no starts are sent to an upstream that lacked capacity.
	fullPause = 100 * time.Millisecond
	// refusedPause is how long only work starts there that needs less than what was
	// refused. It is longer than fullPause, so that smaller work gets a turn before the
	// same work is refused again.
	refusedPause = 2 * fullPause
	// startRetryDelay is the minimum time before a work unit whose start was
	// refused is started again.
	startRetryDelay = 30 * time.Millisecond
	// maxLostAnswers is the number of consecutive lost answers after which an
	// upstream is unusable until it answers again.
	maxLostAnswers = 2
	// staleRunSkip is added to the last run number after an upstream refused a run number as stale.
	staleRunSkip = 8
)

// ApplyStartResult applies the answer to a start. clock is the upstream's clock, or 0 if there
// is no answer or a refusal without it.
func (sched *Scheduler) ApplyStartResult(order StartOrder, clock time.Duration, err error, now time.Time) {
	up := sched.upstreams[order.Upstream.ID]
	if up == nil {
		return
	}
	r := up.runs[runKey{order.Start.Unit, order.Start.Run}]
	if up.StartMillis == order.Upstream.StartMillis {
		up.startsInFlight--
		if err == nil || clock > 0 {
			sched.applyStartClock(up, r, clock, now)
		}
	}
	if r == nil {
		sched.applyOutdatedStartResult(order, err)
		return
	}
	if err == nil {
		r.answered = true
		sched.settleLateStart(r.unit, up.ID, r.number)
		if up.StartMillis == order.Upstream.StartMillis {
			up.confirmLease(order.Start.Until)
			up.failedStarts = failedStarts{}
			sched.recordAnswer(up, r.orderedAt, now)
		}
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		sched.confirmBegun(r)
		return
	}
	sched.note(now, "Start failed", "job", order.Start.Unit.Job, "unit", order.Start.Unit.String(), "run", order.Start.Run,
		"upstream", up.ID, "reason", err.Error())
	if r.phase != phaseStarting {
		return
	}
	sched.startFailed(r, err, now)
}

// applyOutdatedStartResult applies the answer to a start whose run was dropped meanwhile.
func (sched *Scheduler) applyOutdatedStartResult(order StartOrder, err error) {
	u := sched.findUnit(order.Start.Unit)
	if u == nil || errors.Is(err, bbrorder.ErrAnswerLost) {
		return
	}
	sched.settleLateStart(u, order.Upstream.ID, order.Start.Run)
	if err == nil {
		sched.unitListed(u)
	}
}

// applyStartClock applies the upstream's clock in the answer to the start of a run. An
// upstream that may have restarted tells its clock only with its next listing: that of the next
// incarnation may be before or after the known one.
func (sched *Scheduler) applyStartClock(up *upstream, r *run, clock time.Duration, now time.Time) {
	switch {
	case up.restartSuspected:
	case r != nil && clock < r.earliestAnswer, up.clockKnown() && clock > up.latestClockNow(now):
		sched.suspectRestart(up, now)
	case r != nil:
		up.recordClock(clock, r.orderedAt, now)
	}
}

func (sched *Scheduler) startFailed(r *run, err error, now time.Time) {
	up := r.up
	if !errors.IsAny(err, bbrorder.ErrUnconfirmed, bbrorder.ErrTooManyStarts) {
		up.failedStarts.add(now)
	}
	if !errors.Is(err, bbrorder.ErrAnswerLost) {
		r.refused = true
		sched.settleLateStart(r.unit, up.ID, r.number)
	}
	switch {
	case errors.Is(err, bbrorder.ErrAnswerLost):
		r.phase = phaseUnknown
		sched.recordLostStart(up.ID, r.orderedAt)
		up.recordSilence(r.orderedAt.Add(bbrorder.Timeout), now)
		sched.boundByLongestLease(up, now)
		return
	case errors.Is(err, bbrorder.ErrOtherIncarnation) && !r.moved:
		// The start was not carried out, so that the upstream did not end under it.
		sched.dropRun(r, now)
		sched.endReplacedUpstream(up, now)
		return
	case errors.Is(err, bbrorder.ErrNoCapacity):
		up.recordRefusal(r.allocation, now)
	case errors.Is(err, bbrorder.ErrStaleRun):
		r.unit.lastRun += staleRunSkip
	case errors.Is(err, bbrorder.ErrNotSent):
		up.recordSilence(r.orderedAt.Add(bbrorder.Timeout), now)
	case errors.Is(err, bbrorder.ErrUnhealthy):
		up.health.recordEnd(unhealthyOutcome, now)
		up.fullUntil = now.Add(fullPause)
	case errors.Is(err, bbrorder.ErrTicketRejected):
		if known := sched.advice[r.unit.name().StepName()]; known != nil {
			delete(known.tickets, up.ID)
		}
	}
	r.unit.notBefore = now.Add(startRetryDelay)
	sched.dropRun(r, now)
}

// recordRefusal records that the upstream lacked the capacity for the need.
func (up *upstream) recordRefusal(need bbrwork.Resources, now time.Time) {
	if now.Before(up.refusedUntil) {
		need = need.Min(up.refused)
	}
	up.fullUntil, up.refusedUntil, up.refused = now.Add(fullPause), now.Add(refusedPause), need
}

// refuses reports whether the upstream is expected to refuse the need, as it has just
// refused no more than that.
func (up *upstream) refuses(need bbrwork.Resources, now time.Time) bool {
	return now.Before(up.refusedUntil) && (need == up.refused || !need.Fits(up.refused))
}

// ApplyRenewalFailure applies a failed lease renewal for the incarnation.
func (sched *Scheduler) ApplyRenewalFailure(incarnation bbrwork.Incarnation, err error, now time.Time) {
	up := sched.upstreams[incarnation.ID]
	if up == nil && errors.Is(err, bbrorder.ErrOtherIncarnation) {
		delete(sched.returns, incarnation.ID)
	}
	if up == nil || !up.isTarget(incarnation) {
		return
	}
	if errors.Is(err, bbrorder.ErrOtherIncarnation) {
		if up.announced != nil && up.announced.Incarnation == incarnation {
			up.announced = nil
			sched.endedIncarnations[incarnation] = true
		}
		sched.endReplacedUpstream(up, now)
		return
	}
	up.extensions.lost()
	if errors.Is(err, bbrorder.ErrFenced) {
		return
	}
	if up.recordSilence(up.renewalDue, now) {
		sched.note(now, "Upstream does not answer", "upstream", up.ID, "runs", len(up.runs), "leaseLeft", up.leaseEnd.Sub(now).Round(time.Millisecond), "reason", err.Error())
	}
}
