package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Load is a summary of what a shard has and uses, for the log.
type Load struct {
	Jobs, Late int
	// Deferred counts the jobs of which something is due that finds no memory, and HeldBytes is
	// the memory for what is held.
	Deferred, HeldBytes                           int
	Upstreams, Reached, Reserved, Suspect, Silent int
	Runs, Unconfirmed                             int
	// Usable counts the upstreams that may take work.
	Usable int
	// UsableExclusive counts those of them without long-running work.
	UsableExclusive int
	// Excluded counts the other upstreams by the reason for which they may not take work.
	// Suspect ones are in use nonetheless if there are no others.
	Excluded       map[string]int
	Waits          WaitSummary
	Capacity, Used bbrwork.Resources
	// LongRunning is the part of Used that long-running work takes.
	LongRunning bbrwork.Resources
	// LargestFree is the free capacity of the usable upstream with the most free
	// memory.
	LargestFree bbrwork.Resources
	Demand      Demand
}

// Load returns what the shard has and uses now, and logs the steps whose wait has
// become a slow one. The counts of jobs and units, and the demand, are partial while jobs are
// loaded.
func (sched *Scheduler) Load(confirmed bool, now time.Time) Load {
	p := sched.survey(now)
	load := Load{Jobs: len(sched.jobs), Deferred: sched.deferredJobs, HeldBytes: sched.held.used, Upstreams: len(sched.upstreams), Usable: len(p.usable), Excluded: p.excludedCounts(),
		Waits: p.summarizeWaits(confirmed), Demand: sched.Demand(now)}
	for _, up := range sched.upstreams {
		load.add(up, now)
	}
	for _, up := range p.usable {
		if free := up.free(); free.MemoryMB > load.LargestFree.MemoryMB {
			load.LargestFree = free
		}
		if !up.hasLongRunning() {
			load.UsableExclusive++
		}
	}
	for _, j := range sched.jobs {
		for _, o := range j.occurrences {
			if o.unitsLeft > 0 && now.After(j.objective(o)) {
				load.Late++
			}
		}
	}
	return load
}

func (load *Load) add(up *upstream, now time.Time) {
	if up.reached {
		load.Reached++
	}
	if !up.reservedAt.IsZero() {
		load.Reserved++
	}
	if up.health.suspect(now) {
		load.Suspect++
	}
	if up.lostAnswers > 0 {
		load.Silent++
	}
	for _, r := range up.runs {
		load.Runs++
		if r.phase == phaseUnknown || r.phase == phaseStarting {
			load.Unconfirmed++
		}
	}
	if up.registered && !up.Draining {
		load.Capacity = load.Capacity.Plus(up.Capacity)
	}
	load.Used = load.Used.Plus(up.used)
	load.LongRunning = load.LongRunning.Plus(up.longRunningUsage)
}
