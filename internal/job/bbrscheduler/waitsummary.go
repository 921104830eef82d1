package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// WaitSummary is what a shard's work units wait for whose turn has come and that have
// no run.
type WaitSummary struct {
	Units int
	// Oldest has waited longest; its reason is empty where none waits.
	Oldest Wait
	// LongestByReason is for how long the work unit has waited that waits longest for a
	// reason.
	LongestByReason map[Reason]time.Duration
	// SlowByReason counts, by reason, the work units that have waited for slowAfter since
	// the last look; each wait counts once.
	SlowByReason map[Reason]int
}

// Wait is one work unit's wait.
type Wait struct {
	Unit        bbrwork.Unit
	Since       time.Time
	Reason      Reason
	WaitsFor    Awaited
	Responsible Responsible
}

const (
	// slowWait is how long a work unit waits before that is counted and logged.
	slowWait = 3 * time.Second
	// maxEvaluated bounds the steps whose reason is decided at each look, those that
	// have waited longest first: what cannot go on is passed by the rest, and comes
	// to be among them.
	maxEvaluated = 128
	// maxLogged bounds the steps that are logged at each look. The others follow
	// later, if they still wait.
	maxLogged = 20
)

// summarizeWaits looks at all that waits.
func (p *planner) summarizeWaits(confirmed bool) WaitSummary {
	all := WaitSummary{LongestByReason: make(map[Reason]time.Duration), SlowByReason: make(map[Reason]int)}
	logged := 0
	for i, w := range p.waitingSteps() {
		if i < maxEvaluated {
			w = p.wait(w.step, confirmed)
		}
		age := max(0, p.now.Sub(w.since))
		all.add(&w, age)
		if age < slowWait {
			continue
		}
		all.SlowByReason[w.reason] += p.countSlow(w.step)
		if !w.step.slowLogged() && logged < maxLogged && w.reason != ReasonNotEvaluated {
			logged++
			p.noteWait(&w, age)
		}
	}
	return all
}

// waitingSteps returns the steps with work units that wait, those first that wait
// longest. Their reasons are not decided yet.
func (p *planner) waitingSteps() []wait {
	var list []wait
	for _, j := range p.sched.jobs {
		if j.finalState != "" {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.idleUnits > 0 && s.unitsLeft > 0 && s.runnable(p.now) {
					w := wait{step: s, reason: ReasonNotEvaluated}
					w.unit, w.since = s.longestIdle()
					list = append(list, w)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b wait) int { return a.since.Compare(b.since) })
	return list
}

func (all *WaitSummary) add(w *wait, age time.Duration) {
	all.Units += w.step.idleUnits
	all.LongestByReason[w.reason] = max(all.LongestByReason[w.reason], age)
	if all.Oldest.Reason == "" {
		all.Oldest = Wait{Unit: w.unit.name(), Since: w.since, Reason: w.reason}
		all.Oldest.WaitsFor, all.Oldest.Responsible = w.awaits()
	}
}

// countSlow counts the step's work units whose wait has become a long one.
func (p *planner) countSlow(s *step) int {
	count := 0
	runnableSince := s.runnableSince()
	for _, u := range s.units {
		if u.idle() && !u.slowCounted && p.now.Sub(u.eligibleSince(runnableSince)) >= slowWait {
			u.slowCounted = true
			count++
		}
	}
	return count
}

// slowLogged tells whether the log has that the step waits for long.
func (s *step) slowLogged() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return u.slowLogged })
}

// noteWait notes that a step waits for long, with what the reason rests on.
func (p *planner) noteWait(w *wait, age time.Duration) {
	w.unit.slowLogged = true
	need := w.step.shape.Allocation()
	awaits, responsible := w.awaits()
	p.sched.note(p.now, "Work unit waits", "job", w.step.job.ID, "unit", w.unit.name().String(), "waiting", w.step.idleUnits, "of", len(w.step.units),
		"waited", age.Round(time.Millisecond), "reason", w.reason, "for", awaits, "duty", responsible,
		"milliCPU", need.MilliCPU, "memoryMB", need.MemoryMB, "accelerators", need.Accelerators, "lasting", w.step.shape.LongRunning, "because", w.String())
}
