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
	// slowAfter is how long a work unit waits before that is counted and logged.
	slowAfter = 3 * time.Second
	// maxLooks bounds the steps whose reason is decided at each look, those that
	// have waited longest first: what cannot go on is passed by the rest, and comes
	// to be among them.
	maxLooks = 128
	// maxTold bounds the steps that are logged at each look. The others follow
	// later, if they still wait.
	maxTold = 20
)

// waits looks at all that waits.
func (p *planner) waits(confirmed bool) WaitSummary {
	all := WaitSummary{LongestByReason: make(map[Reason]time.Duration), SlowByReason: make(map[Reason]int)}
	told := 0
	for i, w := range p.waitingSteps() {
		if i < maxLooks {
			w = p.wait(w.step, confirmed)
		}
		age := max(0, p.now.Sub(w.since))
		all.add(&w, age)
		if age < slowAfter {
			continue
		}
		all.SlowByReason[w.reason] += p.countSlow(w.step)
		if !w.step.told() && told < maxTold && w.reason != ReasonNotEvaluated {
			told++
			p.tellWait(&w, age)
		}
	}
	return all
}

// waitingSteps returns the steps with work units that wait, those first that wait
// longest. Their reasons are not decided yet.
func (p *planner) waitingSteps() []wait {
	var list []wait
	for _, j := range p.ledger.jobs {
		if j.final != "" {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.idle > 0 && s.left > 0 && s.open(p.now) {
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
	all.Units += w.step.idle
	all.LongestByReason[w.reason] = max(all.LongestByReason[w.reason], age)
	if all.Oldest.Reason == "" {
		all.Oldest = Wait{Unit: w.unit.name(), Since: w.since, Reason: w.reason}
		all.Oldest.WaitsFor, all.Oldest.Responsible = w.awaits()
	}
}

// countSlow counts the step's work units whose wait has become a long one.
func (p *planner) countSlow(s *step) int {
	count := 0
	open := s.openSince()
	for _, u := range s.units {
		if u.idle() && !u.slow && p.now.Sub(u.idleSince(open)) >= slowAfter {
			u.slow = true
			count++
		}
	}
	return count
}

// told tells whether the log has that the step waits for long.
func (s *step) told() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return u.told })
}

// tellWait notes that a step waits for long, with what the reason rests on.
func (p *planner) tellWait(w *wait, age time.Duration) {
	w.unit.told = true
	taken := w.step.shape.Taken()
	awaits, duty := w.awaits()
	p.ledger.note(p.now, "Work unit waits", "job", w.step.job.ID, "unit", w.unit.name().String(), "waiting", w.step.idle, "of", len(w.step.units),
		"waited", age.Round(time.Millisecond), "reason", w.reason, "for", awaits, "duty", duty,
		"milliCPU", taken.MilliCPU, "memoryMB", taken.MemoryMB, "accelerators", taken.Accelerators, "lasting", w.step.shape.Lasting, "because", w.String())
}
