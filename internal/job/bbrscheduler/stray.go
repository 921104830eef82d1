package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// stray is a listed run whose job the ledger does not know: it has ended, or was
// accepted a moment ago and is not known yet. What it takes is not known either,
// so nothing starts beside it.
type stray struct {
	since    time.Time
	stopSent time.Time
}

// stray notes a run of a job that is not known.
func (l *Scheduler) stray(up *upstream, key runKey, now time.Time) {
	if up.strays == nil {
		up.strays = make(map[runKey]*stray)
	}
	if up.strays[key] == nil {
		up.strays[key] = &stray{since: now}
	}
}

// stopStrays plans the stops of runs whose job has ended.
func (p *planner) stopStrays(up *upstream) {
	for key, s := range up.strays {
		job := p.ledger.jobs[key.unit.Job]
		known := job != nil && job.find(key.unit) != nil
		if known || p.now.Sub(s.since) < strayPause || p.now.Sub(s.stopSent) < stopAgain {
			continue
		}
		if s.stopSent.IsZero() {
			p.ledger.note(p.now, "Run stopped", "job", key.unit.Job, "unit", key.unit.String(), "run", key.number, "upstream", up.ID, "reason", "no such job")
		}
		s.stopSent = p.now
		p.plan.Stops = append(p.plan.Stops, StopOrder{Upstream: up.Upstream, Stop: bbrorder.Stop{Unit: key.unit, Run: key.number, Token: p.ledger.Token}})
	}
}
