package bbrscheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

const (
	// stopAgain is the time after which a stop that had no effect is sent again.
	stopAgain = 400 * time.Millisecond
	// strayPause gives a job that was just accepted time to become known.
	strayPause = 500 * time.Millisecond
)

// stops plans the stops of what should not be at work: jobs that have ended,
// and runs beside another of the same work unit.
func (p *planner) stops() {
	for _, up := range p.ledger.sortedUpstreams() {
		for _, r := range up.runs {
			if why := p.ledger.unwanted(r, p.now); why != "" {
				p.stop(r, why)
			}
		}
		p.stopStrays(up)
	}
}

// unwanted returns why a run should be stopped, or nothing.
func (l *Scheduler) unwanted(r *run, now time.Time) string {
	u := r.unit
	switch {
	case u.step.job.final != "":
		return "job ended"
	case u.step.job.cancelled:
		return "job cancelled"
	case u.done:
		return "work unit is done"
	case len(u.runs) > 1 && !u.step.shape.Duplicates && r != u.runs[0]:
		return "second run"
	case r.stopWhy != "":
		return r.stopWhy
	case r.up.Draining && u.step.shape.Lasting && r.phase == phaseRunning:
		return "upstream drains"
	case !r.up.reserved.IsZero() && r.phase == phaseRunning && l.evacuate(r, now):
		return "upstream is reserved"
	default:
		return ""
	}
}

func (p *planner) stop(r *run, why string) {
	if r.phase == phaseStarting || !r.stopSent.IsZero() && p.now.Sub(r.stopSent) < stopAgain {
		return
	}
	if r.stopSent.IsZero() {
		p.ledger.note(p.now, "Run stopped", "job", r.unit.step.job.ID, "unit", r.unit.name().String(), "run", r.number, "upstream", r.up.ID, "reason", why)
	}
	r.stopSent = p.now
	p.plan.Stops = append(p.plan.Stops, StopOrder{Upstream: r.up.Upstream, Stop: bbrorder.Stop{Unit: r.unit.name(), Run: r.number, Token: p.ledger.Token}})
}

// ApplyStopResult applies the answer to a stop.
func (l *Scheduler) ApplyStopResult(order StopOrder, err error, now time.Time) {
	up := l.upstreams[order.Upstream.ID]
	if up == nil || up.Born != order.Upstream.Born {
		return
	}
	if errors.Is(err, bbrorder.ErrOtherLife) {
		l.ended(up, "another life answers at its address", now)
		return
	}
	r := up.runs[runKey{order.Stop.Unit, order.Stop.Run}]
	if r == nil || err != nil {
		return
	}
	if r.phase != phaseStarting {
		r.phase, r.confirmed = phaseStopping, now
	}
}
