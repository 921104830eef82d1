package bbrscheduler

import (
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
	Upstreams UpstreamCounts    `json:"upstreams"`
	Steps     []StepExplanation `json:"steps"`
}

// UpstreamCounts is how many upstreams the owner has, and how many may take work.
// The others are counted by the first thing that keeps work off them.
type UpstreamCounts struct {
	Total  int `json:"all"`
	Usable int `json:"usable"`
	// Unregistered upstreams are not listed by the store any more, and Unlisted
	// ones not yet for a successor.
	Unregistered int `json:"unregistered,omitempty"`
	Unrecorded   int `json:"unlisted,omitempty"`
	Draining     int `json:"draining,omitempty"`
	Reserved     int `json:"reserved,omitempty"`
	Unreached    int `json:"unreached,omitempty"`
	// WithOrphans counts those with runs of jobs that are not known.
	WithOrphans int `json:"strays,omitempty"`
	Silent      int `json:"silent,omitempty"`
	// Full ones have just refused a start.
	Full int `json:"full,omitempty"`
	// Suspect ones are used where there are no others.
	Suspect int `json:"suspect,omitempty"`
}

func (p *planner) upstreamCounts() UpstreamCounts {
	return UpstreamCounts{
		Total:        len(p.sched.upstreams),
		Usable:       len(p.usable),
		Unregistered: p.excluded[excludedUnregistered],
		Unrecorded:   p.excluded[excludedUnrecorded],
		Draining:     p.excluded[excludedDraining],
		Reserved:     p.excluded[excludedReserved],
		Unreached:    p.excluded[excludedUnreached],
		WithOrphans:  p.excluded[excludedOrphans],
		Silent:       p.excluded[excludedSilent],
		Full:         p.excluded[excludedFull],
		Suspect:      p.excluded[excludedSuspect],
	}
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
	Failures  int      `json:"failures"`
	Upstreams []string `json:"on,omitempty"`
	// WaitDetail is why the work units without a run have none, and Reason the same for
	// programs. They and the fields below are empty where nothing waits.
	WaitDetail  string      `json:"waits,omitempty"`
	Reason      Reason      `json:"reason,omitempty"`
	WaitsFor    Awaited     `json:"for,omitempty"`
	Responsible Responsible `json:"duty,omitempty"`
	// LongestWaiting names the work unit that has waited longest since its turn came, at
	// Since; both are empty before the step's turn.
	LongestWaiting string    `json:"longest,omitempty"`
	WaitingSince   time.Time `json:"since,omitzero"`
}

// Explain returns why a job is where it is. confirmed tells whether the claim
// still stands.
func (sched *Scheduler) Explain(id string, confirmed bool, now time.Time) (Explanation, bool) {
	if ended, ok := sched.endedJobs[id]; ok {
		return Explanation{State: ended.state}, true
	}
	job := sched.jobs[id]
	if job == nil {
		return Explanation{}, false
	}
	p := sched.survey(now)
	e := Explanation{Queue: job.Queue, Accepted: job.Accepted, Upstreams: p.upstreamCounts()}
	e.State, _ = sched.State(id)
	for _, o := range job.occurrences {
		e.Objective = job.objective(o)
		for _, s := range o.steps {
			e.Steps = append(e.Steps, p.explainStep(s, confirmed))
		}
	}
	return e, true
}

func (p *planner) explainStep(s *step, confirmed bool) StepExplanation {
	e := StepExplanation{Occurrence: s.occurrence.number, Step: s.number, Units: len(s.units), Done: len(s.units) - s.unitsLeft}
	for _, u := range s.units {
		e.Failures = max(e.Failures, u.failureCount())
		if len(u.runs) > 0 {
			e.Running++
			e.Upstreams = append(e.Upstreams, u.runs[0].up.ID)
		}
	}
	if s.idleUnits > 0 && s.unitsLeft > 0 && s.job.finalState == "" {
		w := p.wait(s, confirmed)
		e.WaitDetail, e.Reason = w.String(), w.reason
		e.WaitsFor, e.Responsible = w.awaits()
		if s.runnable(p.now) {
			e.LongestWaiting, e.WaitingSince = w.unit.name().String(), w.since
		}
	}
	return e
}
