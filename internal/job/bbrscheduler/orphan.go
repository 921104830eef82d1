package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// orphan is a listed run of a job that the scheduler does not know and that is not to be
// loaded: the job has ended, or was accepted a moment ago. The resources that the run takes are not
// known either, so nothing is started on its upstream.
type orphan struct {
	since    time.Time
	stopSent time.Time
}

// addOrphan records a run of an unknown job.
func (sched *Scheduler) addOrphan(up *upstream, key runKey, now time.Time) {
	if up.orphans == nil {
		up.orphans = make(map[runKey]*orphan)
	}
	if up.orphans[key] == nil {
		up.orphans[key] = &orphan{since: now}
	}
}

// planOrphanStops plans the stops of orphaned runs.
func (p *planner) planOrphanStops(up *upstream) {
	for key, orphaned := range up.orphans {
		job := p.sched.jobs[key.unit.Job]
		known := job != nil && job.findUnit(key.unit) != nil
		if known || p.now.Sub(orphaned.since) < orphanGrace || p.now.Sub(orphaned.stopSent) < stopRetryInterval {
			continue
		}
		if orphaned.stopSent.IsZero() {
			p.sched.note(p.now, "Run stopped", "job", key.unit.Job, "unit", key.unit.String(), "run", key.number, "upstream", up.ID, "reason", "no such job")
		}
		orphaned.stopSent = p.now
		p.plan.Stops = append(p.plan.Stops, StopOrder{Upstream: up.Upstream, Stop: bbrorder.Stop{Unit: key.unit, Run: key.number, Token: p.sched.tokenOf(up.ID)}})
	}
}
