package bbrledger

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Explanation is why a job is where it is, by the rules that decide it.
type Explanation struct {
	State bbrwork.State `json:"state"`
	Queue string        `json:"queue"`
	// Accepted is the accepting entry's time of day.
	Accepted time.Time `json:"accepted"`
	// Objective is until when the last occurrence should be completed.
	Objective time.Time         `json:"objective"`
	Steps     []StepExplanation `json:"steps"`
}

// StepExplanation is how far a step of an occurrence is, and what its waiting
// work units wait for.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Units      int `json:"units"`
	Done       int `json:"done"`
	// Running counts the work units with a run, also one that is not confirmed.
	Running int `json:"running"`
	// Failures is the most that a work unit of the step has failed.
	Failures int      `json:"failures"`
	On       []string `json:"on,omitempty"`
	// Waits is empty where nothing waits.
	Waits string `json:"waits,omitempty"`
}

// Explain returns why a job is where it is. confirmed tells whether the claim
// still stands.
func (l *Ledger) Explain(id string, confirmed bool, now time.Time) (Explanation, bool) {
	if ended, ok := l.endedJobs[id]; ok {
		return Explanation{State: ended.state}, true
	}
	job := l.jobs[id]
	if job == nil {
		return Explanation{}, false
	}
	p := &planner{ledger: l, now: now, tooBig: make(map[bbrwork.Resources]bool)}
	p.findUsable()
	e := Explanation{Queue: job.Queue, Accepted: job.Accepted}
	e.State, _ = l.State(id)
	for _, o := range job.occurrences {
		e.Objective = job.objective(o)
		for _, s := range o.steps {
			e.Steps = append(e.Steps, p.explainStep(s, confirmed))
		}
	}
	return e, true
}

func (p *planner) explainStep(s *step, confirmed bool) StepExplanation {
	e := StepExplanation{Occurrence: s.occurrence.number, Step: s.number, Units: len(s.units), Done: len(s.units) - s.left}
	for _, u := range s.units {
		e.Failures = max(e.Failures, u.failures())
		if len(u.runs) > 0 {
			e.Running++
			e.On = append(e.On, u.runs[0].up.ID)
		}
	}
	if s.idle > 0 && s.left > 0 && s.job.final == "" {
		e.Waits = p.waitsFor(s, confirmed)
	}
	return e
}

// waitsFor returns the first of the conditions of a start that does not hold.
func (p *planner) waitsFor(s *step, confirmed bool) string {
	due := s.job.Schedule.Due(s.occurrence.number)
	switch {
	case !confirmed:
		return "the store has not confirmed the owner's claim lately"
	case p.mayRunUnlocated(s.job):
		return fmt.Sprintf("work of the earlier owner may be on %d upstreams that were not reached yet, at most until %s",
			len(p.ledger.unlocated), p.ledger.settled.UTC().Format(time.RFC3339Nano))
	case p.now.Before(due):
		return "it is due at " + due.UTC().Format(time.RFC3339Nano)
	case !s.open(p.now):
		return fmt.Sprintf("earlier steps %v are not done", s.shape.After)
	}
	return p.waitsForRoom(s)
}

// waitsForRoom counts why the upstreams do not take a work unit of the step.
func (p *planner) waitsForRoom(s *step) string {
	taken := s.shape.Taken()
	var label, room, together, advice, far, fits int
	for _, up := range p.usable {
		_, advised := p.ledger.advised(s, up, p.now)
		switch {
		case !up.HasLabel(s.shape.Label):
			label++
		case !taken.Fits(up.free()):
			room++
		case s.shape.MaxPerUpstream > 0 && s.runsOn(up) >= s.shape.MaxPerUpstream:
			together++
		case !advised:
			advice++
		case s.shape.DataRack != "" && !up.HasLabel(s.shape.DataRack) && !p.mayRunFar(s):
			far++
		default:
			fits++
		}
	}
	reasons := []string{fmt.Sprintf("%d of %d upstreams may take work", len(p.usable), len(p.ledger.upstreams))}
	for _, reason := range []struct {
		count int
		text  string
	}{
		{label, "lack the label " + s.shape.Label},
		{room, fmt.Sprintf("lack the room of %d thousandths of a core and %d MB", taken.MilliCPU, taken.MemoryMB)},
		{together, "have as many of the step as they may"},
		{advice, "have no ticket"},
		{far, "are far from the data"},
		{fits, "fit and come next"},
	} {
		if reason.count > 0 {
			reasons = append(reasons, fmt.Sprintf("%d %s", reason.count, reason.text))
		}
	}
	return strings.Join(reasons, "; ")
}
