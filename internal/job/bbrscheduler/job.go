package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// job is a job that is not stored as ended.
type job struct {
	*bbrwork.Job
	// terms are what is last known of the job's queue; nil if nothing is.
	terms       *bbrwork.Terms
	occurrences []*occurrence
	// begun means that a work unit was started.
	begun     bool
	cancelled bool
	// final is the state in which the job has ended; it is told only once it is
	// stored.
	final bbrwork.State
	// hasProgress means that the store may have progress of the job.
	hasProgress bool
	// chain is the longest chain of estimated work.
	chain time.Duration
	// seen is when the ledger learnt of the job, and stored the revision at which
	// the store took it.
	seen   time.Time
	stored bbrkv.Revision
	// changed rises with each change that has to be stored.
	changed int
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	// left counts the work units of steps that end which are not done.
	left int
}

// step is the state of a step in one occurrence.
type step struct {
	job   *job
	shape *bbrwork.Step
	// occurrence and number name the step.
	occurrence *occurrence
	number     int
	units      []*unit
	// left counts the work units that are not done.
	left int
	// idle counts the work units that are not done and have no run.
	idle int
	// remaining is the longest chain of estimated work from this step on.
	remaining time.Duration
}

// unit is the state of a work unit.
type unit struct {
	step  *step
	index int
	done  bool
	// slow means that the wait since freed was counted as a long one, and told that
	// the log names the work unit as waiting.
	slow, told bool
	// failed has the numbers of the runs that ended as failed, each once.
	failed []int
	// last is the highest run number known.
	last       int
	checkpoint string
	runs       []*run
	notBefore  time.Time
	// freed is when its last run was dropped while it was not done, or when the store
	// told that it is done; zero before.
	freed time.Time
	// avoid is the upstream on which the work unit failed or stood still last.
	avoid string
	// stood counts the runs that were stopped because they stood still.
	stood int
	// away is when a lasting work unit was last seen at work.
	awaySince time.Time
}

// run is an order to start a work unit, from its sending until its end is
// known.
type run struct {
	unit   *unit
	number int
	up     *upstream
	taken  bbrwork.Resources
	phase  phase
	// ordered and confirmed are when the start was sent and answered.
	ordered, confirmed time.Time
	// until is the start's deadline on the upstream's clock.
	until time.Duration
	// percent and tail are as last listed, and listed is when that was.
	percent int
	tail    time.Duration
	listed  time.Time
	// stood is for how long the run was listed since percent last rose.
	stood time.Duration
	// pace is the share of speed that was last ordered, in percent.
	pace     int
	pacedAt  time.Time
	stopSent time.Time
	stopWhy  string
}

// phase is how far a run is.
type phase uint8

const (
	// phaseStarting: the start is on its way.
	phaseStarting phase = iota
	// phaseUnknown: the start's answer was lost.
	phaseUnknown
	phaseRunning
	// phaseStopping: a stop was ordered.
	phaseStopping
)

func newJob(in *bbrwork.Job, terms *bbrwork.Terms, stored bbrkv.Revision, now time.Time) *job {
	j := &job{Job: in, terms: terms, seen: now, stored: stored}
	remaining := remainingChains(in.Steps)
	for i := range in.Steps {
		j.chain = max(j.chain, remaining[i])
	}
	for number := range in.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, number, remaining))
	}
	return j
}

func newOccurrence(j *job, number int, remaining []time.Duration) *occurrence {
	o := &occurrence{number: number}
	for i := range j.Steps {
		shape := &j.Steps[i]
		s := &step{job: j, shape: shape, occurrence: o, number: i, left: shape.Count, idle: shape.Count, remaining: remaining[i]}
		for index := range shape.Count {
			s.units = append(s.units, &unit{step: s, index: index})
		}
		o.left += shape.Count
		o.steps = append(o.steps, s)
	}
	return o
}

// remainingChains returns, for each step, the longest chain of estimates that
// begins with it.
func remainingChains(steps []bbrwork.Step) []time.Duration {
	remaining := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		remaining[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			remaining[earlier] = max(remaining[earlier], remaining[i])
		}
	}
	return remaining
}

func (u *unit) name() bbrwork.Unit {
	return bbrwork.Unit{Job: u.step.job.ID, Occurrence: u.step.occurrence.number, Step: u.step.number, Index: u.index}
}

// find returns the work unit of a name, or nil.
func (j *job) find(name bbrwork.Unit) *unit {
	if name.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[name.Occurrence]
	if name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step].units) {
		return nil
	}
	return o.steps[name.Step].units[name.Index]
}

// open tells whether the step's turn has come.
func (s *step) open(now time.Time) bool {
	if now.Before(s.job.Schedule.Due(s.occurrence.number)) {
		return false
	}
	for _, earlier := range s.shape.After {
		if s.occurrence.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// attempts returns how often a work unit may fail.
func (j *job) attempts() int {
	if j.terms == nil {
		return 1
	}
	return j.terms.Attempts
}

// objective returns the time by which the occurrence should be completed.
func (j *job) objective(o *occurrence) time.Time {
	from := j.Accepted
	if due := j.Schedule.Due(o.number); due.After(from) {
		from = due
	}
	if j.terms == nil {
		return from.Add(j.chain)
	}
	return from.Add(time.Duration(j.terms.Stretch*float64(j.chain)) + j.terms.Objective)
}

// finish marks a work unit as done and returns whether it was not before.
func (u *unit) finish() bool {
	if u.done || u.step.shape.Lasting {
		return false
	}
	u.done = true
	u.step.left--
	u.step.occurrence.left--
	if len(u.runs) == 0 {
		u.step.idle--
	}
	return true
}

// completed tells whether every work unit of the job is done.
func (j *job) completed() bool {
	for _, o := range j.occurrences {
		if o.left > 0 {
			return false
		}
	}
	return true
}

// failures returns how often the work unit, or its gang, has failed.
func (u *unit) failures() int {
	if !u.step.shape.Gang {
		return len(u.failed)
	}
	numbers := make(map[int]bool)
	for _, member := range u.step.units {
		for _, number := range member.failed {
			numbers[number] = true
		}
	}
	return len(numbers)
}
