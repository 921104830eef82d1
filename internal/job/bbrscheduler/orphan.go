package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// orphan is a listed run whose job the ledger does not know: it has ended, or was
// accepted a moment ago and is not known yet. What it takes is not known either,
// so nothing starts beside it.
type orphan struct {
	since    time.Time
	stopSent time.Time
}

// addOrphan notes a run of a job that is not known.
func (sched *Scheduler) addOrphan(up *upstream, key runKey, now time.Time) {
	if up.orphans == nil {
		up.orphans = make(map[runKey]*orphan)
	}
	if up.orphans[key] == nil {
		up.orphans[key] = &orphan{since: now}
	}
}

// planOrphanStops plans the stops of runs whose job has ended.
func (p *planner) planOrphanStops(up *upstream) {
	for key, s := range up.orphans {
		job := p.sched.jobs[key.unit.Job]
		known := job != nil && job.findUnit(key.unit) != nil
		if known || p.now.Sub(s.since) < orphanGrace || p.now.Sub(s.stopSent) < stopRetryInterval {
			continue
		}
		if s.stopSent.IsZero() {
			p.sched.note(p.now, "Run stopped", "job", key.unit.Job, "unit", key.unit.String(), "run", key.number, "upstream", up.ID, "reason", "no such job")
		}
		s.stopSent = p.now
		p.plan.Stops = append(p.plan.Stops, StopOrder{Upstream: up.Upstream, Stop: bbrorder.Stop{Unit: key.unit, Run: key.number, Token: p.sched.Token}})
	}
}
