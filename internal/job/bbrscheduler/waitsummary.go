package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// WaitSummary summarizes what the eligible work units of a shard without a run wait
// for.
type WaitSummary struct {
	Units int
	// Oldest is the longest wait; its reason is empty if nothing waits.
	Oldest Wait
	// LongestByReason is the longest wait for each reason.
	LongestByReason map[Reason]time.Duration
	// SlowByReason counts, by reason, the work units whose wait has reached
	// slowWait since the last summary. Each wait counts once.
	SlowByReason map[Reason]int
	// LateUnits counts the units of finite work that wait past the objective of their job.
	LateUnits int
	// ReservedFits is the number of reserved upstreams on which the finite work unit that
	// has waited longest would fit if they were not reserved.
	ReservedFits int
}

// Wait is the wait of one work unit.
type Wait struct {
	Unit        bbrwork.Unit
	Since       time.Time
	Reason      Reason
	WaitsFor    Awaited
	Responsible Responsible
}

const (
	// slowWait is how long a work unit waits before its wait is counted and logged
	// as a slow one.
	slowWait = 3 * time.Second
	// maxEvaluated bounds the steps whose reason is determined for a summary, those
	// that have waited longest first. As the other steps start, those that cannot
	// proceed move up and are evaluated in later summaries.
	maxEvaluated = 128
	// maxLogged bounds the waits that are logged for a summary. The others follow
	// later if they last.
	maxLogged = 20
)

// summarizeWaits returns the summary and logs the slow waits.
func (p *planner) summarizeWaits(confirmed bool) WaitSummary {
	summary := WaitSummary{LongestByReason: make(map[Reason]time.Duration), SlowByReason: make(map[Reason]int)}
	waiting := p.waitingSteps()
	logged := p.noteLongRunningWaits(waiting, confirmed)
	p.addFinite(&summary, waiting)
	for i, w := range waiting {
		if i < maxEvaluated {
			w = p.wait(w.step, confirmed)
		}
		age := max(0, p.now.Sub(w.since))
		summary.add(&w, age)
		if age < slowWait {
			continue
		}
		summary.SlowByReason[w.reason] += p.countSlow(w.step)
		if !w.step.spec.LongRunning && !w.step.slowLogged() && logged < maxLogged && w.reason != ReasonNotEvaluated {
			logged++
			p.noteWait(&w, age)
		}
	}
	return summary
}

// waitingSteps returns the runnable steps with idle work units, the longest wait
// first. Their reasons are not determined yet.
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

// addFinite sets LateUnits and ReservedFits, given the waiting steps, the longest wait first.
func (p *planner) addFinite(summary *WaitSummary, waiting []wait) {
	oldestSeen := false
	for _, w := range waiting {
		s := w.step
		if s.spec.LongRunning {
			continue
		}
		if !oldestSeen {
			oldestSeen, summary.ReservedFits = true, p.reservedFits(s)
		}
		if p.now.After(s.job.objective(s.occurrence)) {
			summary.LateUnits += s.idleUnits
		}
	}
}

func (summary *WaitSummary) add(w *wait, age time.Duration) {
	summary.Units += w.step.idleUnits
	summary.LongestByReason[w.reason] = max(summary.LongestByReason[w.reason], age)
	if summary.Oldest.Reason == "" {
		summary.Oldest = Wait{Unit: w.unit.name(), Since: w.since, Reason: w.reason}
		summary.Oldest.WaitsFor, summary.Oldest.Responsible = w.awaits()
	}
}

// countSlow returns the number of the step's work units whose wait has become a
// slow one.
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

// noteLongRunningWaits logs the slow waits of long-running work units, each once until the
// unit gets a run: callers are promised that each of them has a run, whatever the other units
// of their step do. It returns the number of logged waits, which go before those of finite
// work.
func (p *planner) noteLongRunningWaits(waiting []wait, confirmed bool) int {
	logged := 0
	for _, w := range waiting {
		if !w.step.spec.LongRunning || p.now.Sub(w.since) < slowWait {
			continue
		}
		runnableSince := w.step.runnableSince()
		for _, u := range w.step.units {
			since := u.eligibleSince(runnableSince)
			if !u.idle() || u.slowLogged || p.now.Sub(since) < slowWait {
				continue
			}
			if logged >= maxLogged {
				return logged
			}
			logged++
			waits := p.waitOf(u, since, confirmed)
			p.noteWait(&waits, p.now.Sub(since))
		}
	}
	return logged
}

// slowLogged reports whether the log names a work unit of the step that waits still.
func (s *step) slowLogged() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return u.slowLogged })
}

// noteWait logs the slow wait of a work unit and what its reason is based on.
func (p *planner) noteWait(w *wait, age time.Duration) {
	w.unit.slowLogged = true
	need := w.step.spec.Allocation()
	awaits, responsible := w.awaits()
	p.sched.note(p.now, "Work unit waits", "job", w.step.job.ID, "unit", w.unit.name().String(), "waiting", w.step.idleUnits, "of", len(w.step.units),
		"running", w.step.unitsLeft-w.step.idleUnits, "waited", age.Round(time.Millisecond), "reason", w.reason, "for", awaits, "duty", responsible,
		"milliCPU", need.MilliCPU, "memoryMB", need.MemoryMB, "accelerators", need.Accelerators, "lasting", w.step.spec.LongRunning,
		"fitsOnExcluded", p.fitsByExclusion(w.step), "fitsWhenEmpty", p.fitsWhenEmptyCount(w.step), "because", w.String())
}
