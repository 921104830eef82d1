package bbrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// A job has an occurrence for each time at which its steps run, and may have very many. Only those
// that are due, or the next one, and that are not done are held as objects; the others are numbers.
// Beyond one occurrence of each job, due ones are held within bounds of work units, of the job and of
// the shard, so that the time of a planning round is bounded. All are held within the memory of the
// entry. What does not fit follows when something of it is done or starts. Occurrences are held in the
// order in which they are due.

const (
	// holdAhead is how long before it is due an occurrence is held.
	holdAhead = time.Second
	// maxIdleUnits is the number of work units without a run up to which further occurrences of a
	// job are held that are due, and maxFurtherUnits the number of work units of all further
	// occurrences of the shard. Occurrences with long-running work never end, so that all due ones
	// are held.
	maxIdleUnits, maxFurtherUnits = 1024, 8192
	// wideShare is the part of the bound, one in wideShare, beyond which an occurrence is wide.
	// Wide ones leave one in reservedShare of the bound to others. A shard that holds nothing may
	// use one in beyondShare of the bound more.
	wideShare, reservedShare, beyondShare = 16, 4, 2
)

// HeldMemory accounts for the memory that the owners of an entry use for what they hold. The zero
// value has no bound.
type HeldMemory struct {
	// MaxBytes is the bound; 0 for none.
	MaxBytes int64

	used atomic.Int64
}

// Used returns what is used, in bytes.
func (m *HeldMemory) Used() int64 { return m.used.Load() }

// heldBytes is the part of a shard in it.
type heldBytes struct {
	// used is in bytes. entry is nil if the memory of the entry is not bounded.
	used  int
	entry *HeldMemory
	// furtherUnits counts the work units of all occurrences but one of each job.
	furtherUnits int
}

// add adds to what is used.
func (h *heldBytes) add(size int) {
	h.used += size
	if h.entry != nil {
		h.entry.used.Add(int64(size))
	}
}

// fits reports whether an occurrence of the size may be held. A shard that holds nothing gets
// something also beyond the bound, as what others hold may never end.
func (h *heldBytes) fits(size int) bool {
	if h.entry == nil || h.entry.MaxBytes == 0 {
		return true
	}
	limit, used := h.entry.MaxBytes, h.entry.Used()
	switch {
	case h.used == 0:
		limit += limit / beyondShare
	case int64(size) > limit/wideShare:
		limit -= limit / reservedShare
	}
	return used == 0 || used+int64(size) <= limit
}

// numbers are the occurrences of a job that are not held.
type numbers struct {
	// total is how many occurrences the job has.
	total int
	// done has those that are done and no longer held.
	done numberSet
	// next is the lowest one that may be neither held nor done.
	next int
	// lastRun is a run number that may have been used for any work unit, and releasedRun the
	// highest of those that were done.
	lastRun, releasedRun int
	// skipped has the times up to which what is due has skipped run numbers.
	skipped []time.Time
	// heldUnits counts the work units of the held occurrences, and doneUnits those of them that are
	// done. furtherUnits is the job's part in that of the shard.
	heldUnits, doneUnits, furtherUnits int
	// releasable means that a held occurrence is done.
	releasable bool
	// deferred means that the log names the job as one that finds no memory.
	deferred bool
}

// hold makes the occurrence of a number an object.
func (j *job) hold(number int) *occurrence {
	o := newOccurrence(j, number)
	at, _ := slices.BinarySearchFunc(j.occurrences, number, compareNumber)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	j.countHeld(1)
	o.updatePaths()
	for _, s := range o.steps {
		j.criticalPath = max(j.criticalPath, s.remainingPath)
	}
	return o
}

// countHeld accounts for a change of the number of held occurrences, which has been made.
func (j *job) countHeld(change int) {
	units := j.unitsPerOccurrence()
	j.numbers.heldUnits += change * units
	j.held.add(change * j.OccurrenceBytes())
	further := max(0, j.numbers.heldUnits-units)
	j.held.furtherUnits += further - j.numbers.furtherUnits
	j.numbers.furtherUnits = further
}

// idleUnits returns the number of held work units that are not done and have no run.
func (j *job) idleUnits() int { return j.numbers.heldUnits - j.numbers.doneUnits - j.runCount }

func compareNumber(o *occurrence, number int) int { return cmp.Compare(o.number, number) }

// heldOccurrence returns the occurrence of a number if it is held, or nil.
func (j *job) heldOccurrence(number int) *occurrence {
	if at, found := slices.BinarySearchFunc(j.occurrences, number, compareNumber); found {
		return j.occurrences[at]
	}
	return nil
}

// occurrence returns the occurrence of a number, which it holds if it is not; nil if it is done
// and not held, or if there is none.
func (j *job) occurrence(number int) *occurrence {
	if o := j.heldOccurrence(number); o != nil {
		return o
	}
	if number < 0 || number >= j.numbers.total || j.numbers.done.has(number) {
		return nil
	}
	return j.hold(number)
}

// nextNumber returns the lowest number that is neither held nor done; numbers.total if there is none.
func (j *job) nextNumber() int {
	n := &j.numbers
	for {
		n.next = n.done.nextAbsent(n.next)
		if n.next >= n.total || j.heldOccurrence(n.next) == nil {
			return n.next
		}
		n.next++
	}
}

// mayHoldNext reports whether the next occurrence is to be held now, as far as the job itself is
// concerned.
func (j *job) mayHoldNext(now time.Time) bool {
	next := j.nextNumber()
	if j.finalState != "" || next >= j.numbers.total {
		return false
	}
	if len(j.occurrences) == 0 {
		return true
	}
	if j.Schedule.Due(next).After(now.Add(holdAhead)) {
		return false
	}
	return j.LongRunning() || j.idleUnits() < maxIdleUnits && j.held.furtherUnits < maxFurtherUnits
}

// holdDue holds what is due of the job and fits. It returns false if something does not fit.
func (j *job) holdDue(now time.Time) bool {
	for j.mayHoldNext(now) {
		if !j.held.fits(j.OccurrenceBytes()) {
			return false
		}
		j.hold(j.numbers.next)
	}
	return true
}

// release releases the held occurrences that are done and have no runs.
func (j *job) release(dropAdvice func(o *occurrence)) {
	if !j.numbers.releasable || j.finalState != "" || j.numbers.total == 1 {
		return
	}
	j.numbers.releasable = false
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if o.unitsLeft > 0 || o.hasLongRunning() {
			return false
		}
		if o.hasRuns() {
			j.numbers.releasable = true
			return false
		}
		j.numbers.done.add(o.number)
		j.countHeld(-1)
		j.numbers.doneUnits -= j.unitsPerOccurrence()
		j.numbers.releasedRun = max(j.numbers.releasedRun, o.lastRun())
		dropAdvice(o)
		return true
	})
}

// dropOccurrences accounts for the end of the job.
func (j *job) dropOccurrences() {
	j.countHeld(-len(j.occurrences))
	j.occurrences = nil
}

// unitsPerOccurrence returns the number of work units of one occurrence.
func (j *job) unitsPerOccurrence() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// skipRunNumbers skips the run numbers that may have been used for the work units that are due at
// the time.
func (j *job) skipRunNumbers(due time.Time) {
	j.numbers.skipped = append(j.numbers.skipped, due)
	for _, o := range j.occurrences {
		if j.Schedule.Due(o.number).After(due) {
			continue
		}
		for _, s := range o.steps {
			for _, u := range s.units {
				u.lastRun += runNumberGap
			}
		}
	}
}

// usedRun returns the highest run number that may have been used for the work units of an
// occurrence that is not held.
func (j *job) usedRun(number int) int {
	used, due := j.numbers.lastRun, j.Schedule.Due(number)
	for _, until := range j.numbers.skipped {
		if !due.After(until) {
			used += runNumberGap
		}
	}
	return used
}

// hasLongRunning reports whether a step is long-running, so that the occurrence is never done.
func (o *occurrence) hasLongRunning() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.spec.LongRunning })
}

func (o *occurrence) hasRuns() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool {
		return slices.ContainsFunc(s.units, func(u *unit) bool { return len(u.runs) > 0 })
	})
}

// lastRun returns the highest run number of its work units.
func (o *occurrence) lastRun() int {
	last := 0
	for _, s := range o.steps {
		for _, u := range s.units {
			last = max(last, u.lastRun)
		}
	}
	return last
}

// updateHeld releases the occurrences that are done, and holds those that are due. Jobs that were
// accepted first come first where memory is short. A trial, which shares the jobs, changes nothing.
func (sched *Scheduler) updateHeld(now time.Time) {
	if sched.trial {
		return
	}
	var wanting []*job
	for id, j := range sched.unheld {
		j.release(sched.dropAdviceOf)
		if j.numbers.total == 1 && len(j.occurrences) > 0 {
			delete(sched.unheld, id)
		} else if j.mayHoldNext(now) {
			wanting = append(wanting, j)
		}
	}
	slices.SortFunc(wanting, func(a, b *job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	sched.deferredJobs = 0
	for _, j := range wanting {
		fits := j.holdDue(now)
		if !fits {
			sched.deferredJobs++
		}
		if deferred := !fits && len(j.occurrences) == 0; deferred != j.numbers.deferred {
			j.numbers.deferred = deferred
			sched.note(now, "Job waits for memory of its owner", "job", j.ID, "queue", j.Queue, "waits", deferred, "bytes", j.OccurrenceBytes(), "held", sched.held.used)
		}
	}
}

// ShareHeldMemory makes the shard use a part of the entry's memory for what it holds. It is called
// before jobs are added.
func (sched *Scheduler) ShareHeldMemory(entry *HeldMemory) { sched.held.entry = entry }

// Discard gives back the memory of the entry. The scheduler must not plan any more.
func (sched *Scheduler) Discard() {
	clear(sched.unheld)
	for _, j := range sched.jobs {
		j.dropOccurrences()
	}
}

// HeldBytes estimates the memory that the owner of the shard needs for its jobs whatever is due, in
// bytes.
func (sched *Scheduler) HeldBytes() int {
	total := 0
	for _, j := range sched.jobs {
		if j.finalState == "" {
			total += j.Job.HeldBytes()
		}
	}
	return total
}

// dropAdviceOf removes the tickets of an occurrence.
func (sched *Scheduler) dropAdviceOf(o *occurrence) {
	for _, s := range o.steps {
		delete(sched.advice, bbrwork.Unit{Job: s.job.ID, Occurrence: o.number, Step: s.number}.StepName())
	}
}

// dropJob removes a job and what is held of it.
func (sched *Scheduler) dropJob(j *job) {
	for _, o := range j.occurrences {
		sched.dropAdviceOf(o)
	}
	sched.dropSuspects(j)
	j.dropOccurrences()
	delete(sched.jobs, j.ID)
	delete(sched.unheld, j.ID)
}

// sortedKeys returns the keys in ascending order.
func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }
