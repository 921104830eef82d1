package bbrledger

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Load is what a service has and uses, for the log.
type Load struct {
	Jobs, Late                                    int
	Upstreams, Reached, Reserved, Suspect, Silent int
	Runs, Unconfirmed                             int
	// WaitingUnits counts the work units whose turn has come and that have no run.
	WaitingUnits int
	Room, Used   bbrwork.Resources
	Demand       Demand
}

// Load returns what the service has and uses now.
func (l *Ledger) Load(now time.Time) Load {
	load := Load{Jobs: len(l.jobs), Upstreams: len(l.upstreams), Demand: l.Demand(now)}
	for _, up := range l.upstreams {
		load.add(up, now)
	}
	for _, j := range l.jobs {
		for _, o := range j.occurrences {
			if o.left > 0 && now.After(j.objective(o)) {
				load.Late++
			}
			for _, s := range o.steps {
				if s.idle > 0 && j.final == "" && s.open(now) {
					load.WaitingUnits += s.idle
				}
			}
		}
	}
	return load
}

func (load *Load) add(up *upstream, now time.Time) {
	if up.reached {
		load.Reached++
	}
	if !up.reserved.IsZero() {
		load.Reserved++
	}
	if up.health.suspect(now) {
		load.Suspect++
	}
	if up.lost > 0 {
		load.Silent++
	}
	for _, r := range up.runs {
		load.Runs++
		if r.phase == phaseUnknown || r.phase == phaseStarting {
			load.Unconfirmed++
		}
	}
	if up.registered && !up.Draining {
		load.Room = load.Room.Plus(up.Room)
	}
	load.Used = load.Used.Plus(up.used)
}
