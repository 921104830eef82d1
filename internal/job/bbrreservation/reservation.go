package bbrreservation

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// MaxReservations bounds the reservations of a shard.
	MaxReservations = 4
	// MaxLead is how far ahead capacity may be reserved.
	MaxLead = 1500 * time.Millisecond
	// minMargin is the least time by which the reserved time may pass.
	minMargin = 250 * time.Millisecond
	// MaxLife bounds how long a reservation lasts, and so how long it keeps any
	// capacity idle: its lead and its margin.
	MaxLife = 2*MaxLead + minMargin
	// RetryDelay is the time before work may reserve again whose reservation ended without a
	// start, so that at least a part of the time is left to other work.
	RetryDelay = time.Second
	// backfillFactor is the factor by which work may take longer than expected and still
	// end before the reserved time: estimates of run times are often off by this much.
	backfillFactor = 2.5
	// maxHeldShare is the part of the usable upstreams, one in maxHeldShare, that may be
	// held by more than one reservation together.
	maxHeldShare = 2
)

// Rank orders work as far as reservations are concerned.
type Rank struct {
	// Tier and Priority are lower for work that is more important. Tier comes first.
	Tier, Priority int
}

// Before reports whether work of the rank is more important than that of the other.
func (r Rank) Before(other Rank) bool {
	return r.Tier < other.Tier || r.Tier == other.Tier && r.Priority < other.Priority
}

// Reservation is capacity that is kept for work from a time on.
type Reservation struct {
	MadeAt, At time.Time
	// Holder is the present rank of the work that it is for. Work before it is never
	// held back.
	Holder Rank
}

// HoldsBack reports whether other work may start only in the spare capacity: it is not
// more important than the holder, and may run at the reserved time.
func (r *Reservation) HoldsBack(other Rank, runTime time.Duration, now time.Time) bool {
	return !other.Before(r.Holder) && !r.backfills(now, runTime)
}

// backfills reports whether work that starts at the time certainly enough ends before the
// reserved time.
func (r *Reservation) backfills(start time.Time, runTime time.Duration) bool {
	return !start.Add(time.Duration(backfillFactor * float64(runTime))).After(r.At)
}

// Run is a run on an upstream with reserved capacity.
type Run struct {
	StartedAt, ExpectedEnd time.Time
	RunTime                time.Duration
	// LongRunning means that the run does not end by itself.
	LongRunning bool
}

// Outlasts reports whether a run counts as present at the reserved time. Runs that were
// there before the reservation count as expected, and later ones conservatively.
func (r *Reservation) Outlasts(run Run, now time.Time) bool {
	switch {
	case run.LongRunning:
		return true
	case !run.StartedAt.Before(r.MadeAt):
		return !r.backfills(run.StartedAt, run.RunTime)
	default:
		return RemainingEnd(run.ExpectedEnd, now).After(later(r.At, now))
	}
}

// Spare returns what is left of an upstream's capacity beside the runs that outlast the
// reserved time and the reserved units.
func Spare(capacity, outlasting, unit bbrwork.Resources, units int) bbrwork.Resources {
	return capacity.Minus(outlasting).Minus(unit.Times(units))
}

// Deadline returns when the reservation ends if its work has not started by then. Its time
// may pass by as long as it was ahead.
func (r *Reservation) Deadline() time.Time {
	return r.At.Add(min(MaxLead, r.At.Sub(r.MadeAt)) + minMargin)
}

// Cause is why a reservation ended.
type Cause string

// Causes of the end of a reservation.
const (
	// CauseStarted: the work started.
	CauseStarted Cause = "started"
	// CauseGone: the work has ended or was cancelled.
	CauseGone Cause = "gone"
	// CauseUpstreamLost: an upstream can take no work any more.
	CauseUpstreamLost Cause = "upstreamLost"
	// CauseTooLate: the work would complete when it has no value any more.
	CauseTooLate Cause = "tooLate"
	// CauseOverdue: the capacity did not become free in time.
	CauseOverdue Cause = "overdue"
)

// Causes lists all causes, for metrics.
var Causes = [...]Cause{CauseStarted, CauseGone, CauseUpstreamLost, CauseTooLate, CauseOverdue}

// DelaysRetry reports whether the work waits for RetryDelay before it may reserve again.
func (c Cause) DelaysRetry() bool { return c == CauseUpstreamLost || c == CauseOverdue }

// Expired returns why a reservation ends whose work still waits, or "". latestStart is the
// time from which the work has no value.
func (r *Reservation) Expired(latestStart, now time.Time) Cause {
	switch {
	case now.After(latestStart):
		return CauseTooLate
	case now.After(r.Deadline()):
		return CauseOverdue
	default:
		return ""
	}
}

// LatestStart returns the latest start of work with a remaining path that has any value.
// from is when the time of its objective began.
func LatestStart(from, objective time.Time, path time.Duration) time.Time {
	return from.Add(bbrwork.ValuableFactor * objective.Sub(from)).Add(-path)
}

// MayHold reports whether further upstreams may be held. The first reservation may hold
// any number, as its work would never run otherwise.
func MayHold(reservations, held, further, usable int) bool {
	switch {
	case reservations >= MaxReservations:
		return false
	case reservations == 0:
		return true
	default:
		return held+further <= usable/maxHeldShare
	}
}
