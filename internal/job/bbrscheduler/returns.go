package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Starts that were sent to an upstream may be carried out by its next incarnation, until that has
// received a call with a higher token. So for as long as such a start may arrive, the addresses of
// upstreams that do not answer, or that have ended, are called at short intervals, also while the
// platform does not list them.

const (
	// The pause between two calls to an upstream that may return is returnRetryDelay. It is
	// returnRetryPerUpstream times the number of such upstreams if that is more, which bounds the
	// calls that the owner makes in vain.
	returnRetryDelay       = 10 * time.Millisecond
	returnRetryPerUpstream = 4 * time.Millisecond
)

// awaitedReturn is an upstream that has ended, and whose next incarnation may receive starts that
// were meant for earlier ones.
type awaitedReturn struct {
	upstream bbrwork.Upstream
	// until is when no such start can arrive any more.
	until time.Time
}

// recordLostStart records that a start that was ordered at the time got no answer.
func (sched *Scheduler) recordLostStart(id string, orderedAt time.Time) {
	sched.lostStarts[id] = later(sched.lostStarts[id], orderedAt)
}

// earlierStartsEnd returns when no start without an answer, of this owner or of an earlier one, can
// reach an upstream with the ID any more; zero if there was none.
func (sched *Scheduler) earlierStartsEnd(id string) time.Time {
	var end time.Time
	if !sched.firstOwner {
		end = sched.claimedAt.Add(sched.Timing.Handover + maxOrderDelay)
	}
	if orderedAt, lost := sched.lostStarts[id]; lost {
		end = later(end, sched.startArrivesBefore(orderedAt))
	}
	return end
}

// startArrivesBefore returns when a start that was ordered at the time cannot be carried out any more.
func (sched *Scheduler) startArrivesBefore(orderedAt time.Time) time.Time {
	return orderedAt.Add(sched.Timing.StartTimeout + maxOrderDelay)
}

// awaitReturn records that an upstream has ended, if starts may still reach it.
func (sched *Scheduler) awaitReturn(up bbrwork.Upstream, now time.Time) {
	if until := sched.earlierStartsEnd(up.ID); until.After(now) {
		sched.returns[up.ID] = awaitedReturn{up, until}
	}
}

// planReturn returns a call to an upstream that has ended, and false if none is needed.
func (sched *Scheduler) planReturn(id string, now time.Time) (RenewalPlan, bool) {
	awaited, ok := sched.returns[id]
	if !ok || !now.Before(awaited.until) {
		delete(sched.returns, id)
		return RenewalPlan{}, false
	}
	sched.raiseTokenForReturn(id, now)
	return RenewalPlan{Upstream: awaited.upstream, Token: sched.tokenOf(id), AnswerTimeout: maxAnswerTimeout, RetryDelay: sched.returnRetryDelay()}, true
}

// raiseTokenForReturn raises the token for the incarnation that follows one that has ended, whose
// start is not known yet.
func (sched *Scheduler) raiseTokenForReturn(id string, now time.Time) {
	sched.raiseToken(bbrwork.Incarnation{ID: id}, now)
}

// assignRaisedToken assigns a token that was raised for the next incarnation to the one that
// turned out to be it.
func (sched *Scheduler) assignRaisedToken(incarnation bbrwork.Incarnation) {
	if raised, ok := sched.tokens[incarnation.ID]; ok && raised.incarnation.StartMillis == 0 {
		raised.incarnation = incarnation
		sched.tokens[incarnation.ID] = raised
	}
}

// recordReturn adds the incarnation that answered a call to one that has ended. It returns nil if
// that is the ended one, or if its return is not awaited any more.
func (sched *Scheduler) recordReturn(called bbrwork.Incarnation, listing *bbrwork.Listing, now time.Time) *upstream {
	awaited, ok := sched.returns[called.ID]
	next := bbrwork.Incarnation{ID: called.ID, StartMillis: listing.StartMillis}
	if !ok || awaited.upstream.Incarnation != called || next.StartMillis == 0 || next == called || sched.endedIncarnations[next] {
		return nil
	}
	up := &upstream{Upstream: awaited.upstream, runs: make(map[runKey]*run), unregisteredAt: now}
	up.Incarnation, up.Draining = next, false
	if sched.reserved[up.ID] {
		up.reservedAt = now
	}
	sched.note(now, "Upstream returned before it was registered", "upstream", up.ID, "born", up.StartMillis)
	sched.addUpstream(up, next)
	return up
}

// retryDelay returns the pause after a renewal that the upstream did not answer.
func (sched *Scheduler) retryDelay(id string, now time.Time) time.Duration {
	if now.Before(sched.earlierStartsEnd(id)) {
		return min(RenewalRetryDelay, sched.returnRetryDelay())
	}
	return RenewalRetryDelay
}

// returnRetryDelay returns the pause between two calls to an upstream that may return.
func (sched *Scheduler) returnRetryDelay() time.Duration {
	count := len(sched.returns)
	for _, up := range sched.upstreams {
		if up.lostAnswers > 0 {
			count++
		}
	}
	return max(returnRetryDelay, time.Duration(count)*returnRetryPerUpstream)
}

// forgetReturns forgets the upstreams and starts that need not be awaited any more.
func (sched *Scheduler) forgetReturns(now time.Time) {
	for id, awaited := range sched.returns {
		if !now.Before(awaited.until) {
			delete(sched.returns, id)
		}
	}
	for id, orderedAt := range sched.lostStarts {
		if !now.Before(sched.startArrivesBefore(orderedAt)) {
			delete(sched.lostStarts, id)
		}
	}
}

// recordStartsInFlight records the starts on an upstream that has ended whose answers are
// outstanding or lost.
func (sched *Scheduler) recordStartsInFlight(up *upstream) {
	for _, r := range up.runs {
		if r.phase == phaseStarting || r.phase == phaseUnknown {
			sched.recordLostStart(up.ID, r.orderedAt)
		}
	}
}
