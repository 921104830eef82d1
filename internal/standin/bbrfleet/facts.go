package bbrfleet

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Facts is what the upstreams saw. It is served as JSON under its field names.
type Facts struct {
	// Units is the number of work units that were started, Starts that of their
	// starts, and Done that of the units that succeeded.
	Units, Starts, Done int
	// Faults describes the violations of the execution guarantees.
	Faults []string
	// TakenAway names the runs that a planned move or maintenance ended, which is
	// allowed only while other faults are present.
	TakenAway []string
}

// unitRecord is what the upstreams saw of a work unit.
type unitRecord struct {
	starts int
	// crashes counts the upstreams that crashed under the work unit, and
	// startsAfterCrashes its starts after the third of them.
	crashes, startsAfterCrashes int
	lastStart                   time.Time
	// runningOn has the workers that run it at present.
	runningOn map[*worker]startedRun
	done      bool
	// acknowledged means that a successful end was acknowledged and that the run lease
	// of its worker had not ended between the end and the acknowledgement.
	acknowledged bool
	// acknowledgement describes that acknowledgement.
	acknowledgement string
}

// startedRun describes a start for reports.
type startedRun struct {
	run  int
	time time.Time
	// late is set if the order was carried out late.
	late bool
	// age is how long the incarnation had been up.
	age time.Duration
}

func (s startedRun) String() string {
	late := ""
	if s.late {
		late = ", ordered before"
	}
	return fmt.Sprintf("run %d, at %s%s, %v after the start of the incarnation", s.run, s.time.Format("15:04:05.000"), late, s.age.Round(time.Millisecond))
}

// Facts returns what the upstreams saw.
func (f *Fleet) Facts() Facts {
	f.mu.Lock()
	defer f.mu.Unlock()
	facts := Facts{Units: len(f.units), Faults: slices.Clone(f.violations), TakenAway: slices.Clone(f.interrupted)}
	for _, unit := range f.units {
		facts.Starts += unit.starts
		if unit.done {
			facts.Done++
		}
	}
	return facts
}

func (f *Fleet) serveFacts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.Facts())
}

// unit returns the record of a work unit. The caller holds mu.
func (f *Fleet) unit(task string) *unitRecord {
	if f.units[task] == nil {
		f.units[task] = &unitRecord{runningOn: make(map[*worker]startedRun)}
	}
	return f.units[task]
}

// recordStart records a start and checks that it is allowed. The caller holds the
// worker's mu.
func (f *Fleet) recordStart(call workerCall, on *worker, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	task := call.Task
	unit := f.unit(task)
	started := startedRun{run: call.Run, time: now, late: call.late, age: now.Sub(on.startTime)}
	if unit.acknowledged {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s (%v) after its end as done was acknowledged (%s)", task, on.name, started, unit.acknowledgement))
	}
	for other, earlier := range unit.runningOn {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s (%v) while it runs on %s (%v)", task, on.name, started, other.name, earlier))
	}
	f.checkStepOrder(task)
	f.checkUnitLimit(task)
	unit.starts++
	unit.lastStart, unit.runningOn[on] = now, started
}

// LimitJob makes the job one of those that together may run so many work units at the
// same time.
func (f *Fleet) LimitJob(job string, units int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unitLimits[job] = units
}

// checkUnitLimit checks that a start does not exceed the limit of its job. The caller
// holds mu.
func (f *Fleet) checkUnitLimit(task string) {
	limit, limited := f.unitLimits[jobOf(task)]
	if !limited {
		return
	}
	running := 1
	for name, unit := range f.units {
		if _, counted := f.unitLimits[jobOf(name)]; counted && name != task {
			running += len(unit.runningOn)
		}
	}
	if running > limit {
		f.violations = append(f.violations, fmt.Sprintf("%s started as number %d of at most %d", task, running, limit))
	}
}

// jobOf returns the job of a work unit.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// checkStepOrder checks that all known work units of the preceding step are done.
// The steps of the stand-in's jobs depend on each other in sequence. The caller
// holds mu.
func (f *Fleet) checkStepOrder(task string) {
	parts := strings.Split(task, ".")
	if len(parts) != unitNameParts || parts[2] == "0" {
		return
	}
	step, _ := strconv.Atoi(parts[2])
	prefix := fmt.Sprintf("%s.%s.%d.", parts[0], parts[1], step-1)
	for name, unit := range f.units {
		if strings.HasPrefix(name, prefix) && !unit.done {
			f.violations = append(f.violations, task+" started before "+name+" was done")
		}
	}
}

// unitNameParts is the number of parts of a work unit's name: job, occurrence, step
// and index.
const unitNameParts = 4

// recordEnd records that a worker no longer runs a work unit.
func (f *Fleet) recordEnd(task string, on *worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	delete(unit.runningOn, on)
	unit.done = unit.done || done
}

// recordAcknowledgement records that a call to a worker acknowledged the end of a
// successful run, and checks that the work unit was not started after that run ended.
func (f *Fleet) recordAcknowledgement(end *runEnd, call workerCall, on *worker, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(end.task)
	unit.acknowledged = true
	unit.acknowledgement = describeAcknowledgement(end, call, on, now)
	if unit.lastStart.After(end.endTime) {
		f.violations = append(f.violations, end.task+" was started after it was done, and that end is acknowledged ("+unit.acknowledgement+")")
	}
}

func describeAcknowledgement(end *runEnd, call workerCall, on *worker, now time.Time) string {
	at := startedRun{run: end.run, time: now, late: call.late, age: now.Sub(on.startTime)}
	return fmt.Sprintf("end %d on %s, by %d: %v", end.sequence, on.name, call.LastSeen, at)
}

// recordInterruptions records the runs that a planned move or maintenance ends.
// The caller holds the worker's mu.
func (f *Fleet) recordInterruptions(w *worker) {
	for task := range w.running {
		f.recordEnd(task, w, false)
		f.mu.Lock()
		f.interrupted = append(f.interrupted, task+" on "+w.name)
		f.mu.Unlock()
	}
}

// StartedJobs returns the jobs of which at least one work unit was started.
func (f *Fleet) StartedJobs() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs := make(map[string]bool)
	for task := range f.units {
		job, _, _ := strings.Cut(task, ".")
		jobs[job] = true
	}
	return jobs
}

// CountRunning returns the number of work units of a job that run at present.
func (f *Fleet) CountRunning(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for task, unit := range f.units {
		if strings.HasPrefix(task, job+".") && len(unit.runningOn) > 0 {
			count++
		}
	}
	return count
}

// IsDone reports whether a run of the work unit ended successfully.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.units[task]
	return unit != nil && unit.done
}
