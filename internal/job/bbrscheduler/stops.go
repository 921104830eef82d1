package bbrscheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

const (
	// stopRetryInterval is the time after which a stop without effect is sent
	// again.
	stopRetryInterval = 400 * time.Millisecond
	// orphanGrace is how long a run of an unknown job is left alone: the job may
	// just have been accepted and not be known yet.
	orphanGrace = 500 * time.Millisecond
)

// planStops plans the stops of runs that should not continue, like those of ended
// jobs and second runs of a work unit.
func (p *planner) planStops() {
	for _, up := range p.sched.sortedUpstreams() {
		for _, r := range up.runs {
			if reason := p.sched.unwantedReason(r, p.now); reason != "" {
				p.planStop(r, reason)
			}
		}
		p.planOrphanStops(up)
	}
}

// unwantedReason returns why a run should be stopped, or "" if it should not.
func (sched *Scheduler) unwantedReason(r *run, now time.Time) string {
	u := r.unit
	switch {
	case u.step.job.finalState != "":
		return "job ended"
	case u.step.job.cancelled:
		return "job cancelled"
	case u.done:
		return "work unit is done"
	case len(u.runs) > 1 && !u.step.spec.AllowDuplicates && r != u.runs[0]:
		return "second run"
	case r.stopReason != "":
		return r.stopReason
	case r.moved && r.phase == phaseUnknown:
		return "the upstream restarted and may still start it"
	case r.up.Draining && u.step.spec.LongRunning && r.phase == phaseRunning:
		return "upstream drains"
	case !r.up.reservedAt.IsZero() && r.phase == phaseRunning && sched.shouldEvacuate(r, now):
		return "upstream is reserved"
	case sched.shouldMakeRoom(r, now):
		return "makes room for wide work"
	default:
		return ""
	}
}

func (p *planner) planStop(r *run, reason string) {
	if r.phase == phaseStarting || !r.stopSentAt.IsZero() && p.now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	if r.stopSentAt.IsZero() {
		p.sched.countMove(r)
		p.sched.note(p.now, "Run stopped", "job", r.unit.step.job.ID, "unit", r.unit.name().String(), "run", r.number, "upstream", r.up.ID, "reason", reason)
	}
	r.stopSentAt = p.now
	p.plan.Stops = append(p.plan.Stops, StopOrder{Upstream: r.up.Upstream, Stop: bbrorder.Stop{Unit: r.unit.name(), Run: r.number, Token: p.sched.tokenOf(r.up.ID)}})
}

// ApplyStopResult applies the answer to a stop.
func (sched *Scheduler) ApplyStopResult(order StopOrder, err error, now time.Time) {
	up := sched.upstreams[order.Upstream.ID]
	if up == nil || up.StartMillis != order.Upstream.StartMillis {
		return
	}
	if errors.Is(err, bbrorder.ErrOtherIncarnation) {
		sched.endReplacedUpstream(up, now)
		return
	}
	r := up.runs[runKey{order.Stop.Unit, order.Stop.Run}]
	if r == nil || err != nil {
		return
	}
	if r.phase != phaseStarting {
		r.phase, r.confirmedAt = phaseStopping, now
	}
}
