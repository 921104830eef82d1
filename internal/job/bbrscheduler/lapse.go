package bbrscheduler

import (
	"maps"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// LapseCause is why the lease of a run expired on an upstream that lives.
type LapseCause string

// Values of LapseCause.
const (
	// LapseNoRenewal: this owner sent no renewal that extends the lease while the lease
	// lasted, since it was late or its claim was not confirmed.
	LapseNoRenewal LapseCause = "noRenewal"
	// LapseLostRenewals: renewals were sent within the lease and got no answer, or none
	// that extends the lease, since the upstream did not answer another call.
	LapseLostRenewals LapseCause = "lostRenewals"
	// LapseTakeover: this owner did not know the run, or adopted it at most a lease ago and
	// had not sent a renewal yet.
	LapseTakeover LapseCause = "takeover"
)

// LapseCauses lists all causes.
var LapseCauses = [...]LapseCause{LapseNoRenewal, LapseLostRenewals, LapseTakeover}

// extensions has when renewals that extend the lease of an upstream were sent and answered.
// A renewal counts in sentAt and answeredAt only once its outcome is known and the ends in
// its answer are applied: it did not prevent these.
type extensions struct {
	// inFlightSince is when the renewal in flight was planned; zero if none is in flight or
	// if it extends nothing. An upstream has at most one renewal in flight.
	inFlightSince time.Time
	// sentAt is when the last renewal with a known outcome was planned, and answeredAt
	// when one was last answered; zero for never. sentAt is later than answeredAt exactly
	// if the last renewal was lost.
	sentAt, answeredAt time.Time
}

// planned records that a renewal is sent that extends the lease until a time on the
// upstream's clock; 0 if it extends nothing.
func (e *extensions) planned(until time.Duration, now time.Time) {
	if until > 0 {
		e.inFlightSince = now
	}
}

// answered records that the renewal in flight was answered.
func (e *extensions) answered(now time.Time) {
	if !e.inFlightSince.IsZero() {
		e.sentAt, e.answeredAt, e.inFlightSince = e.inFlightSince, now, time.Time{}
	}
}

// lost records that the renewal in flight was not answered.
func (e *extensions) lost() {
	if !e.inFlightSince.IsZero() {
		e.sentAt, e.inFlightSince = e.inFlightSince, time.Time{}
	}
}

// silence is a number of consecutive calls that an upstream did not answer, and when the
// first of these answers was lost.
type silence struct {
	lostAnswers int
	since       time.Time
}

// lapse is what is known of a run whose lease expired.
type lapse struct {
	extensions
	// silence is the one before the listing that has the end of the run.
	silence silence
	// known means that this owner knew the run. Then knownSince is when it was started or
	// adopted.
	known, adopted bool
	knownSince     time.Time
}

// newLapse returns what is known of a run on the upstream. r is nil if the run was not
// known.
func newLapse(r *run, up *upstream, before silence) lapse {
	l := lapse{extensions: up.extensions, silence: before}
	if r != nil {
		l.known, l.adopted, l.knownSince = true, r.adopted, r.orderedAt
	}
	return l
}

// cause returns why the lease expired that a renewal extends by length.
func (l *lapse) cause(length time.Duration, now time.Time) LapseCause {
	if !l.known {
		return LapseTakeover
	}
	covered, unanswered := later(l.knownSince, l.answeredAt), l.unansweredSince()
	switch {
	case !unanswered.IsZero() && unanswered.Sub(covered) <= length:
		return LapseLostRenewals
	case l.adopted && l.sentAt.IsZero() && now.Sub(l.knownSince) <= length:
		return LapseTakeover
	default:
		return LapseNoRenewal
	}
}

// unansweredSince returns when a renewal for the run was sent that was lost, or else since
// when the upstream gave no answer to other calls; zero if neither happened.
func (l *lapse) unansweredSince() time.Time {
	if l.sentAt.After(l.answeredAt) && !l.sentAt.Before(l.knownSince) {
		return l.sentAt
	}
	return l.silence.since
}

// noteLapse logs and counts the end of a run whose lease expired. r is nil if the run was
// not known.
func (sched *Scheduler) noteLapse(end bbrwork.RunEnd, r *run, up *upstream, before silence, now time.Time) {
	l := newLapse(r, up, before)
	cause := l.cause(sched.Timing.RunLease, now)
	sched.lapses[cause]++
	sched.note(now, "Run ended", "job", end.Unit.Job, "unit", end.Unit.String(), "run", end.Run, "upstream", up.ID, "how", end.Outcome,
		"cause", cause, "renewalAnswered", ageText(l.answeredAt, now), "renewalSent", ageText(l.sentAt, now),
		"lostAnswers", before.lostAnswers, "adopted", l.adopted, "age", ageText(l.knownSince, now))
}

// ageText returns the time since at for the log, and "none" if at is zero.
func ageText(at, now time.Time) string {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

// Lapses returns the number of runs whose lease expired on an upstream that lives, by cause.
func (sched *Scheduler) Lapses() map[LapseCause]int { return maps.Clone(sched.lapses) }
