package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Explanation is the state of a job and what its steps wait for, by the same rules
// that schedule it.
type Explanation struct {
	State bbrwork.State `json:"state"`
	Queue string        `json:"queue"`
	// Accepted is the accepting entry's time of day.
	Accepted time.Time `json:"accepted"`
	// Objective is the time by which the last occurrence should be completed.
	Objective time.Time      `json:"objective"`
	Upstreams UpstreamCounts `json:"upstreams"`
	// Occurrences is how often the steps run, and DoneOccurrences how often they have.
	Occurrences     int `json:"occurrences"`
	DoneOccurrences int `json:"doneOccurrences,omitempty"`
	// Deferred means that something is due that finds no memory at the owner.
	Deferred bool `json:"deferred,omitempty"`
	// Steps has the steps of the occurrences that are due, or of the next one.
	Steps []StepExplanation `json:"steps"`
}

// UpstreamCounts counts the owner's upstreams and those that may take work. Each of
// the others is counted under the first condition that excludes it.
type UpstreamCounts struct {
	Total  int `json:"all"`
	Usable int `json:"usable"`
	// Unregistered counts upstreams that the store lists no longer, and Unrecorded
	// those that are not yet recorded for a successor.
	Unregistered int `json:"unregistered,omitempty"`
	Unrecorded   int `json:"unlisted,omitempty"`
	Draining     int `json:"draining,omitempty"`
	Reserved     int `json:"reserved,omitempty"`
	Unreached    int `json:"unreached,omitempty"`
	// WithOrphans counts upstreams with runs of unknown jobs.
	WithOrphans int `json:"strays,omitempty"`
	Silent      int `json:"silent,omitempty"`
	// Full counts upstreams that have just refused a start.
	Full int `json:"full,omitempty"`
	// Suspect counts upstreams with repeated failures, which are used only if there
	// are no others.
	Suspect int `json:"suspect,omitempty"`
	// Trial counts upstreams that are reserved for a suspect work unit.
	Trial int `json:"trial,omitempty"`
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
		Trial:        p.excluded[excludedTrial],
	}
}

// StepExplanation is the progress of one step of an occurrence, and what its
// waiting work units wait for.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Units      int `json:"units"`
	Done       int `json:"done"`
	// Running counts the work units with a run, confirmed or not.
	Running int `json:"running"`
	// Failures is the highest failure count of a work unit of the step.
	Failures  int      `json:"failures"`
	Upstreams []string `json:"on,omitempty"`
	// WaitDetail says in words why the work units without a run have none, and
	// Reason is the same as a code. These and the fields below are empty if nothing
	// waits.
	WaitDetail  string      `json:"waits,omitempty"`
	Reason      Reason      `json:"reason,omitempty"`
	WaitsFor    Awaited     `json:"for,omitempty"`
	Responsible Responsible `json:"duty,omitempty"`
	// LongestWaiting names the work unit that has waited longest, and WaitingSince
	// is when it became eligible. Both are empty until the step is runnable.
	LongestWaiting string    `json:"longest,omitempty"`
	WaitingSince   time.Time `json:"since,omitzero"`
}

// Explain returns the explanation of a job, and false if the job is unknown.
// confirmed reports whether the owner's claim is confirmed.
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
	e.Objective = job.objectiveOf(job.numbers.total - 1)
	e.Occurrences, e.DoneOccurrences = job.numbers.total, job.numbers.done.count
	e.Deferred = job.numbers.deferred
	for _, o := range job.occurrences {
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
