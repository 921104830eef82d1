package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// job is the state of a job whose end is not stored.
type job struct {
	*bbrwork.Job
	// policy is the last known policy of the job's queue; nil if none is known.
	policy *bbrwork.Policy
	// occurrences are those that are held, by ascending number, and numbers the others. held
	// accounts for the memory that the former take. See occurrences.go.
	occurrences []*occurrence
	numbers     numbers
	held        *heldBytes
	runTimes    runTimes
	// begun means that a work unit of the job has certainly started: an upstream accepted its
	// start, or listed its run or the end of it. See begun.go.
	begun bool
	// storedUnbegun means that the store may hold progress that says that nothing has begun.
	storedUnbegun bool
	// runCount is the number of runs of all work units, starts in flight included.
	runCount  int
	cancelled bool
	// begunInShare means that this owner ordered the first run of the job when its
	// organisation was within its share. It is false while mayHaveBegun is.
	begunInShare bool
	// finalState is the state in which the job has ended; it is reported to callers
	// only once it is stored.
	finalState bbrwork.State
	// mayHaveStoredProgress means that the store may hold progress of the job.
	mayHaveStoredProgress bool
	// endCode says why the job has ended; 0 if its final state says it.
	endCode bbrcode.Code
	// crashVersion increases with each change of the crash record, and
	// storedCrashVersion is that of the record in the store. mayHaveStoredCrashes means
	// that the store may hold one.
	crashVersion, storedCrashVersion int
	mayHaveStoredCrashes             bool
	// orderVersion increases with each run number that is to be stored before a start, and
	// storedOrderVersion is that of the progress in the store. ordersUnknown means that the
	// stored numbers are not complete.
	orderVersion, storedOrderVersion int
	ordersUnknown                    bool
	// criticalPath is the longest path of expected work.
	criticalPath time.Duration
	// learnedAt is when the scheduler learned of the job, and storedRevision the
	// store's revision with which the job was written.
	learnedAt      time.Time
	storedRevision bbrkv.Revision
	// version increases with each change that has to be stored.
	version  int
	transfer transferState
}

// occurrence is one scheduled repetition of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	// unitsLeft counts the work units of finite steps that are not done.
	unitsLeft int
}

// step is the state of a step in one occurrence.
type step struct {
	job  *job
	spec *bbrwork.Step
	// occurrence and number identify the step.
	occurrence *occurrence
	number     int
	units      []*unit
	// unitsLeft counts the work units that are not done.
	unitsLeft int
	// idleUnits counts the work units that are not done and have no run.
	idleUnits int
	// runTime is how long a work unit of the step is expected to run, and learned
	// means that half of them have ended and told so.
	runTime time.Duration
	learned bool
	// remainingPath is the longest path of expected work that begins with this step.
	remainingPath time.Duration
	// reservation is the capacity that is reserved for the step; nil for none.
	// reserveAfter is when it may be considered again.
	reservation  *reservation
	reserveAfter time.Time
	// vacateAfter is when the step may be considered again for a vacated upstream.
	vacateAfter time.Time
	// siblings has the run times of the ended work units; nil if they are not observed.
	siblings *bbrinterference.Siblings
}

// unit is the state of a work unit.
type unit struct {
	step  *step
	index int
	done  bool
	// slowCounted means that the wait since freedAt was counted as a slow one, and
	// slowLogged that the log names the work unit as waiting. Both concern the present
	// wait: slowLogged is false while the unit has a run.
	slowCounted, slowLogged bool
	// failedRuns has the numbers of the failed runs, each once.
	failedRuns []int
	// lastRun is the highest run number known.
	lastRun    int
	checkpoint string
	runs       []*run
	notBefore  time.Time
	// located means that no run of the work unit exists, or can still begin, that is not
	// known, even if earlier work on other upstreams is not located.
	located bool
	// order is what is stored of its starts, and what is known of those without an answer; nil for
	// nothing. Finite work, whose starts are not stored, mostly has none.
	order *startOrder
	// freedAt is when the last run of a unit that was not done was dropped, or when
	// the unit was read from the store as done; zero before.
	freedAt time.Time
	// avoidUpstream is the ID of the upstream on which the work unit last failed or
	// stalled.
	avoidUpstream string
	// crashes has the crashes of upstreams under the work unit since it was cleared.
	crashes bbrcrash.History
	// trial is the run alone for which an upstream is reserved; nil for none.
	// trialInherited means that an earlier owner planned it and that this one does not
	// know yet whether it took place.
	trial          *bbrcrash.Trial
	trialInherited bool
	// stalledRuns counts the runs that were stopped because they stalled.
	stalledRuns int
	// preempted means that a run was stopped for more urgent work.
	preempted bool
}

// run is a run of a work unit, from the sending of the start until the end is
// known.
type run struct {
	unit       *unit
	number     int
	up         *upstream
	allocation bbrwork.Resources
	phase      phase
	// orderedAt is when the start was sent. confirmedAt is when the start was
	// answered or the run first listed, and later when a stop was answered.
	orderedAt, confirmedAt time.Time
	// startDeadline is the deadline of the start by the upstream's clock, and
	// earliestAnswer the earliest clock that the upstream can have in its answer.
	startDeadline, earliestAnswer time.Duration
	// answered means that an upstream has accepted the start or listed the run, and refused
	// that the start was refused or not sent.
	answered, refused bool
	// moved means that the start was meant for an earlier incarnation of the upstream,
	// whose clock startDeadline refers to.
	moved bool
	// percent and tailLatency are as last listed, at listedAt.
	percent     int
	tailLatency time.Duration
	listedAt    time.Time
	// stalledFor is how long the run has been listed without a rise of percent.
	stalledFor time.Duration
	// checkpointedAt is when a listing last had a newer checkpoint than the one before;
	// zero for never.
	checkpointedAt time.Time
	// pace is the CPU throttle that was last ordered, in percent of full speed.
	pace       int
	pacedAt    time.Time
	stopSentAt time.Time
	stopReason string
	// adopted means that an earlier owner started the run, so that its age is not
	// known.
	adopted bool
	// fromStart means that this owner started the run, and without a checkpoint, so
	// that its end tells how long the work unit runs.
	fromStart bool
	// observed is nil if the run's image is not considered.
	observed *observation
}

// phase is the state of a run.
type phase uint8

const (
	// phaseStarting: the start is in flight.
	phaseStarting phase = iota
	// phaseUnknown: the answer to the start was lost.
	phaseUnknown
	phaseRunning
	// phaseStopping: the upstream has accepted a stop.
	phaseStopping
)

var phaseNames = [...]string{"starting", "unknown", "running", "stopping"}

// String returns the phase's name for logs.
func (p phase) String() string { return phaseNames[p] }

// newJob returns a job of which nothing is held yet.
func newJob(in *bbrwork.Job, policy *bbrwork.Policy, storedRevision bbrkv.Revision, predicted runTimes, held *heldBytes, now time.Time) *job {
	return &job{Job: in, policy: policy, learnedAt: now, storedRevision: storedRevision, runTimes: predicted, held: held,
		numbers: numbers{total: in.Occurrences()}, criticalPath: predicted.criticalPath(in)}
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number}
	usedRun := j.usedRun(number)
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{job: j, spec: spec, occurrence: o, number: i, unitsLeft: spec.Count, idleUnits: spec.Count, runTime: j.runTimes.of(j.Queue, spec)}
		s.units = make([]*unit, spec.Count)
		for index := range s.units {
			s.units[index] = &unit{step: s, index: index, lastRun: usedRun}
		}
		o.unitsLeft += spec.Count
		o.steps = append(o.steps, s)
	}
	return o
}

// updatePaths sets the remaining paths of all held steps and the critical path.
func (j *job) updatePaths() {
	if len(j.occurrences) > 0 {
		j.criticalPath = 0
	}
	for _, o := range j.occurrences {
		o.updatePaths()
		for _, s := range o.steps {
			j.criticalPath = max(j.criticalPath, s.remainingPath)
		}
	}
}

// updatePaths sets the remaining path of each step.
func (o *occurrence) updatePaths() {
	for _, s := range o.steps {
		s.remainingPath = 0
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.remainingPath += s.runTime
		for _, earlier := range s.spec.DependsOn {
			o.steps[earlier].remainingPath = max(o.steps[earlier].remainingPath, s.remainingPath)
		}
	}
}

func (u *unit) name() bbrwork.Unit {
	return bbrwork.Unit{Job: u.step.job.ID, Occurrence: u.step.occurrence.number, Step: u.step.number, Index: u.index}
}

// findUnit returns the work unit of a name, whose occurrence it holds if it is not; nil if there is
// none, or if its occurrence is done and released.
func (j *job) findUnit(name bbrwork.Unit) *unit {
	if min(name.Step, name.Index) < 0 || name.Step >= len(j.Steps) || name.Index >= j.Steps[name.Step].Count {
		return nil
	}
	o := j.occurrence(name.Occurrence)
	if o == nil {
		return nil
	}
	return o.steps[name.Step].units[name.Index]
}

// runnable reports whether the occurrence is due and the steps on which this one
// depends are done.
func (s *step) runnable(now time.Time) bool {
	if now.Before(s.job.Schedule.Due(s.occurrence.number)) {
		return false
	}
	for _, earlier := range s.spec.DependsOn {
		if s.occurrence.steps[earlier].unitsLeft > 0 {
			return false
		}
	}
	return true
}

// maxAttempts returns the number of failures after which a work unit fails its job.
func (j *job) maxAttempts() int {
	if j.policy == nil {
		return 1
	}
	return j.policy.Attempts
}

// objective returns the time by which the occurrence should be completed.
func (j *job) objective(o *occurrence) time.Time { return j.objectiveOf(o.number) }

// objectiveOf does the same for the occurrence of a number.
func (j *job) objectiveOf(number int) time.Time {
	from := j.Accepted
	if due := j.Schedule.Due(number); due.After(from) {
		from = due
	}
	if j.policy == nil {
		return from.Add(j.criticalPath)
	}
	return from.Add(time.Duration(j.policy.Stretch*float64(j.criticalPath)) + j.policy.Objective)
}

// markDone marks a work unit as done, and reports whether it was not done before.
// Long-running units are never done.
func (u *unit) markDone() bool {
	if u.done || u.step.spec.LongRunning {
		return false
	}
	u.done = true
	u.step.job.numbers.doneUnits++
	u.step.unitsLeft--
	if u.step.occurrence.unitsLeft--; u.step.occurrence.unitsLeft == 0 {
		u.step.job.numbers.releasable = true
	}
	if len(u.runs) == 0 {
		u.step.idleUnits--
	}
	return true
}

// completed reports whether every finite work unit of the job is done.
func (j *job) completed() bool {
	if j.numbers.done.count+len(j.occurrences) < j.numbers.total {
		return false
	}
	for _, o := range j.occurrences {
		if o.unitsLeft > 0 {
			return false
		}
	}
	return true
}

// failureCount returns the number of failed runs of the work unit, or of its gang.
func (u *unit) failureCount() int {
	if !u.step.spec.Gang {
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
