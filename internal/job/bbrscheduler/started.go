package bbrscheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// fullPause keeps starts away from an upstream that had no room.
	fullPause = 100 * time.Millisecond
	// retryPause is the least time before a work unit whose start was refused is
	// started again.
	retryPause = 30 * time.Millisecond
	// lostLimit is how many lost answers in a row make an upstream unusable until
	// it answers again.
	lostLimit = 2
	oldStep   = 8
)

// ApplyStartResult applies the answer to a start. clock is the upstream's, or 0.
func (l *Scheduler) ApplyStartResult(order StartOrder, clock time.Duration, err error, now time.Time) {
	up := l.upstreams[order.Upstream.ID]
	if up == nil || up.Born != order.Upstream.Born {
		return
	}
	up.starting--
	if clock != 0 {
		up.heard(clock, now)
	}
	r := up.runs[runKey{order.Start.Unit, order.Start.Run}]
	if r == nil {
		return
	}
	if err == nil {
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
		return
	}
	l.note(now, "Start not done", "job", order.Start.Unit.Job, "unit", order.Start.Unit.String(), "run", order.Start.Run,
		"upstream", up.ID, "reason", err.Error())
	if r.phase != phaseStarting {
		return
	}
	l.startFailed(r, err, now)
}

func (l *Scheduler) startFailed(r *run, err error, now time.Time) {
	up := r.up
	switch {
	case errors.Is(err, bbrorder.ErrLost):
		r.phase = phaseUnknown
		up.lost++
		up.silentAt = now
		return
	case errors.Is(err, bbrorder.ErrOtherLife):
		l.ended(up, "another life answers at its address", now)
		return
	case errors.Is(err, bbrorder.ErrNoRoom):
		up.fullUntil = now.Add(fullPause)
	case errors.Is(err, bbrorder.ErrOld):
		r.unit.last += oldStep
	case errors.Is(err, bbrorder.ErrNotSent):
		up.lost++
		up.silentAt = now
	case errors.Is(err, bbrorder.ErrUnhealthy):
		up.health.ended(howUnhealthy, now)
		up.fullUntil = now.Add(fullPause)
	case errors.Is(err, bbrorder.ErrTicket):
		if known := l.advice[r.unit.name().StepName()]; known != nil {
			delete(known.tickets, up.ID)
		}
	}
	r.unit.notBefore = now.Add(retryPause)
	l.dropRun(r, now)
}

// ApplyRenewalFailure tells the ledger that a renewal for the life brought no answer.
func (l *Scheduler) ApplyRenewalFailure(life bbrwork.Life, err error, now time.Time) {
	up := l.upstreams[life.ID]
	if up == nil || up.Born != life.Born {
		return
	}
	if errors.Is(err, bbrorder.ErrOtherLife) {
		l.ended(up, "another life answers at its address", now)
		return
	}
	up.lost++
	if up.silentAt.IsZero() {
		up.silentAt = now
		l.note(now, "Upstream does not answer", "upstream", up.ID, "runs", len(up.runs), "leaseLeft", up.leased.Sub(now).Round(time.Millisecond), "reason", err.Error())
	}
}
