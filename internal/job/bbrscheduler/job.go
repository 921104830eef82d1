package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// job is a job that is not stored as ended.
type job struct {
	*bbrwork.Job
	// policy are what is last known of the job's queue; nil if nothing is.
	policy      *bbrwork.Policy
	occurrences []*occurrence
	// started means that a work unit was started.
	started   bool
	cancelled bool
	// finalState is the state in which the job has ended; it is told only once it is
	// stored.
	finalState bbrwork.State
	// mayHaveStoredProgress means that the store may have progress of the job.
	mayHaveStoredProgress bool
	// criticalPath is the longest chain of estimated work.
	criticalPath time.Duration
	// learnedAt is when the ledger learnt of the job, and stored the revision at which
	// the store took it.
	learnedAt      time.Time
	storedRevision bbrkv.Revision
	// version rises with each change that has to be stored.
	version int
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	// unitsLeft counts the work units of steps that end which are not done.
	unitsLeft int
}

// step is the state of a step in one occurrence.
type step struct {
	job   *job
	shape *bbrwork.Step
	// occurrence and number name the step.
	occurrence *occurrence
	number     int
	units      []*unit
	// unitsLeft counts the work units that are not done.
	unitsLeft int
	// idleUnits counts the work units that are not done and have no run.
	idleUnits int
	// remainingPath is the longest chain of estimated work from this step on.
	remainingPath time.Duration
}

// unit is the state of a work unit.
type unit struct {
	step  *step
	index int
	done  bool
	// slowCounted means that the wait since freed was counted as a long one, and told that
	// the log names the work unit as waiting.
	slowCounted, slowLogged bool
	// failedRuns has the numbers of the runs that ended as failed, each once.
	failedRuns []int
	// lastRun is the highest run number known.
	lastRun    int
	checkpoint string
	runs       []*run
	notBefore  time.Time
	// freedAt is when its last run was dropped while it was not done, or when the store
	// told that it is done; zero before.
	freedAt time.Time
	// avoidUpstream is the upstream on which the work unit failed or stood still last.
	avoidUpstream string
	// stalledRuns counts the runs that were stopped because they stood still.
	stalledRuns int
	// away is when a lasting work unit was last seen at work.
	notWorkingSince time.Time
}

// run is an order to start a work unit, from its sending until its end is
// known.
type run struct {
	unit       *unit
	number     int
	up         *upstream
	allocation bbrwork.Resources
	phase      phase
	// orderedAt and confirmed are when the start was sent and answered.
	orderedAt, confirmedAt time.Time
	// startDeadline is the start's deadline on the upstream's clock.
	startDeadline time.Duration
	// percent and tail are as last listed, and listed is when that was.
	percent     int
	tailLatency time.Duration
	listedAt    time.Time
	// stalledFor is for how long the run was listed since percent last rose.
	stalledFor time.Duration
	// pace is the share of speed that was last ordered, in percent.
	pace       int
	pacedAt    time.Time
	stopSentAt time.Time
	stopReason string
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

func newJob(in *bbrwork.Job, policy *bbrwork.Policy, storedRevision bbrkv.Revision, now time.Time) *job {
	j := &job{Job: in, policy: policy, learnedAt: now, storedRevision: storedRevision}
	paths := remainingPaths(in.Steps)
	for i := range in.Steps {
		j.criticalPath = max(j.criticalPath, paths[i])
	}
	for number := range in.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, number, paths))
	}
	return j
}

func newOccurrence(j *job, number int, remainingPaths []time.Duration) *occurrence {
	o := &occurrence{number: number}
	for i := range j.Steps {
		shape := &j.Steps[i]
		s := &step{job: j, shape: shape, occurrence: o, number: i, unitsLeft: shape.Count, idleUnits: shape.Count, remainingPath: remainingPaths[i]}
		for index := range shape.Count {
			s.units = append(s.units, &unit{step: s, index: index})
		}
		o.unitsLeft += shape.Count
		o.steps = append(o.steps, s)
	}
	return o
}

// remainingPaths returns, for each step, the longest chain of estimates that
// begins with it.
func remainingPaths(steps []bbrwork.Step) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += steps[i].Estimate
		for _, earlier := range steps[i].DependsOn {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

func (u *unit) name() bbrwork.Unit {
	return bbrwork.Unit{Job: u.step.job.ID, Occurrence: u.step.occurrence.number, Step: u.step.number, Index: u.index}
}

// findUnit returns the work unit of a name, or nil.
func (j *job) findUnit(name bbrwork.Unit) *unit {
	if name.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[name.Occurrence]
	if name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step].units) {
		return nil
	}
	return o.steps[name.Step].units[name.Index]
}

// runnable tells whether the step's turn has come.
func (s *step) runnable(now time.Time) bool {
	if now.Before(s.job.Schedule.Due(s.occurrence.number)) {
		return false
	}
	for _, earlier := range s.shape.DependsOn {
		if s.occurrence.steps[earlier].unitsLeft > 0 {
			return false
		}
	}
	return true
}

// maxAttempts returns how often a work unit may fail.
func (j *job) maxAttempts() int {
	if j.policy == nil {
		return 1
	}
	return j.policy.Attempts
}

// objective returns the time by which the occurrence should be completed.
func (j *job) objective(o *occurrence) time.Time {
	from := j.Accepted
	if due := j.Schedule.Due(o.number); due.After(from) {
		from = due
	}
	if j.policy == nil {
		return from.Add(j.criticalPath)
	}
	return from.Add(time.Duration(j.policy.Stretch*float64(j.criticalPath)) + j.policy.Objective)
}

// markDone marks a work unit as done and returns whether it was not before.
func (u *unit) markDone() bool {
	if u.done || u.step.shape.LongRunning {
		return false
	}
	u.done = true
	u.step.unitsLeft--
	u.step.occurrence.unitsLeft--
	if len(u.runs) == 0 {
		u.step.idleUnits--
	}
	return true
}

// completed tells whether every work unit of the job is done.
func (j *job) completed() bool {
	for _, o := range j.occurrences {
		if o.unitsLeft > 0 {
			return false
		}
	}
	return true
}

// failureCount returns how often the work unit, or its gang, has failed.
func (u *unit) failureCount() int {
	if !u.step.shape.Gang {
		return len(u.failedRuns)
	}
	numbers := make(map[int]bool)
	for _, member := range u.step.units {
		for _, number := range member.failedRuns {
			numbers[number] = true
		}
	}
	return len(numbers)
}
