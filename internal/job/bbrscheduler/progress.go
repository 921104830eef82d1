package bbrscheduler

import (
	"encoding/json"
	"slices"
	"time"
)

// Progress is the stored progress of a job. Occurrences of which nothing has begun are
// left out.
type Progress struct {
	// Begun means that a work unit of the job has certainly started. Earlier versions leave it
	// out.
	Begun       bool                   `json:"begun,omitempty"`
	Occurrences map[int][]StepProgress `json:"occurrences"`
	// Compact is set instead of Occurrences if these would take too much room. Earlier
	// versions do not know it.
	Compact *CompactProgress `json:"compact,omitempty"`
	// OrdersUnknown means that Ordered is not complete.
	OrdersUnknown bool `json:"ordersUnknown,omitempty"`
}

// StepProgress is the progress of one step in one occurrence.
type StepProgress struct {
	// Done has one bit for each work unit.
	Done []byte `json:"done,omitempty"`
	// FailedRuns has, by work unit, the numbers of the failed runs.
	FailedRuns map[int][]int `json:"failed,omitempty"`
	// LastRuns has, by work unit, the highest known run number.
	LastRuns map[int]int `json:"last,omitempty"`
	// Ordered has, by long-running work unit, the highest run number with which a start may have
	// been ordered. Earlier versions do not know it.
	Ordered map[int]int `json:"ordered,omitempty"`
	// Targets has, by long-running work unit, the upstream to which the start of the run in Ordered
	// may have been sent, until the start is answered. Earlier versions do not know it.
	Targets     map[int]string `json:"targets,omitempty"`
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

// CompactProgress is the progress of a job with many work units, which are numbered
// over all occurrences and steps.
type CompactProgress struct {
	// Done has one bit for each work unit.
	Done []byte `json:"done"`
	// LastRun is the highest known run number of any work unit.
	LastRun int `json:"last,omitempty"`
	// Ordered and Targets are as in StepProgress.
	Ordered     map[int]int    `json:"ordered,omitempty"`
	Targets     map[int]string `json:"targets,omitempty"`
	FailedRuns  map[int][]int  `json:"failed,omitempty"`
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

const (
	// defaultMaxValueBytes bounds a value in the store if no other bound is set.
	defaultMaxValueBytes = 1 << 20
	// fullFormShare is the part of the largest value, one in fullFormShare, up to which
	// progress is stored in the form that earlier versions know.
	fullFormShare = 2
)

// maxValueBytes returns the size of the largest value that the store takes.
func (sched *Scheduler) maxValueBytes() int {
	if sched.MaxValueBytes > 0 {
		return sched.MaxValueBytes
	}
	return defaultMaxValueBytes
}

// progress returns the progress to store of a job that has not ended, at most maxBytes
// long. dropped is the number of checkpoints and failures that found no room.
func (j *job) progress(maxBytes int) (data []byte, dropped int) {
	if j.numbers.done.count <= maxListedOccurrences && j.fullFormEstimate() <= maxBytes {
		data = encodeProgress(Progress{Begun: j.begun, Occurrences: j.occurrencesProgress(), OrdersUnknown: j.ordersUnknown})
		if len(data) <= maxBytes/fullFormShare {
			return data, 0
		}
	}
	compact := j.compactProgress()
	progress := Progress{Begun: j.begun, Compact: compact, OrdersUnknown: j.ordersUnknown}
	data = encodeProgress(progress)
	if len(data) > maxBytes {
		// Work repeats without its checkpoints, but is not lost.
		dropped += len(compact.Checkpoints)
		compact.Checkpoints = nil
		data = encodeProgress(progress)
	}
	if len(data) > maxBytes && len(compact.Targets) > 0 {
		// A successor does not know which upstreams may carry out a late start.
		compact.Targets = nil
		data = encodeProgress(progress)
	}
	if len(data) > maxBytes && len(compact.Ordered) > 0 {
		// A successor waits until all earlier work is located.
		compact.Ordered, progress.OrdersUnknown = nil, true
		data = encodeProgress(progress)
	}
	for len(data) > maxBytes && len(compact.FailedRuns) > 0 {
		dropped += dropHalf(compact.FailedRuns)
		data = encodeProgress(progress)
	}
	return data, dropped
}

// dropHalf removes every second entry, and returns how many it removed.
func dropHalf(runs map[int][]int) int {
	before := len(runs)
	drop := false
	for n := range runs {
		if drop = !drop; drop {
			delete(runs, n)
		}
	}
	return before - len(runs)
}

func encodeProgress(progress Progress) []byte {
	data, err := json.Marshal(progress)
	if err != nil {
		panic(err) // Unreachable: maps, slices and numbers can always be encoded.
	}
	return data
}

// bytesPerStep is the least that a step takes in StepProgress.
const bytesPerStep = 16

// maxListedOccurrences bounds the occurrences that are done and listed one by one: the progress is
// stored at each of their ends.
const maxListedOccurrences = 256

// hasProgress reports whether there is anything to store of the job.
func (j *job) hasProgress() bool {
	return j.numbers.done.count > 0 || j.numbers.lastRun > 0 || slices.ContainsFunc(j.occurrences, (*occurrence).begun)
}

// fullFormEstimate returns a lower bound of the size of the job's progress in
// StepProgress, so that much of it need not be encoded in vain.
func (j *job) fullFormEstimate() int {
	size := bytesPerStep * len(j.Steps) * j.numbers.done.count
	for _, o := range j.occurrences {
		if o.begun() {
			size += bytesPerStep * len(o.steps)
		}
	}
	return size
}

func (j *job) occurrencesProgress() map[int][]StepProgress {
	occurrences := make(map[int][]StepProgress)
	for _, r := range j.numbers.done.ranges {
		for number := r.from; number < r.to; number++ {
			occurrences[number] = j.doneProgress()
		}
	}
	for _, o := range j.occurrences {
		if !o.begun() {
			continue
		}
		steps := make([]StepProgress, 0, len(o.steps))
		for _, s := range o.steps {
			steps = append(steps, s.progress())
		}
		occurrences[o.number] = steps
	}
	return occurrences
}

// doneProgress returns the progress of an occurrence that is done.
func (j *job) doneProgress() []StepProgress {
	steps := make([]StepProgress, len(j.Steps))
	for i := range steps {
		count := j.Steps[i].Count
		steps[i].Done = make([]byte, bitsetSize(count))
		setBits(steps[i].Done, 0, count)
	}
	return steps
}

// begun reports whether there is anything to store of the occurrence.
func (o *occurrence) begun() bool {
	for _, s := range o.steps {
		for _, u := range s.units {
			if u.done || u.lastRun > 0 || u.stored().ordered > 0 {
				return true
			}
		}
	}
	return false
}

func (s *step) progress() StepProgress {
	p := StepProgress{FailedRuns: make(map[int][]int), LastRuns: make(map[int]int), Ordered: make(map[int]int), Targets: make(map[int]string), Checkpoints: make(map[int]string)}
	for i, u := range s.units {
		if u.done {
			if p.Done == nil {
				p.Done = make([]byte, bitsetSize(len(s.units)))
			}
			setBit(p.Done, i)
			continue
		}
		if u.lastRun > 0 {
			p.LastRuns[i] = u.lastRun
		}
		if order := u.stored(); order.ordered > 0 {
			p.Ordered[i] = order.ordered
			if order.target != "" {
				p.Targets[i] = order.target
			}
		}
		if len(u.failedRuns) > 0 {
			p.FailedRuns[i] = u.failedRuns
		}
		if u.checkpoint != "" {
			p.Checkpoints[i] = u.checkpoint
		}
	}
	return p
}

func (j *job) compactProgress() *CompactProgress {
	p := &CompactProgress{Done: make([]byte, bitsetSize(j.unitCount())), FailedRuns: make(map[int][]int), Ordered: make(map[int]int), Targets: make(map[int]string), Checkpoints: make(map[int]string)}
	p.LastRun = max(j.numbers.lastRun, j.numbers.releasedRun)
	width := j.unitsPerOccurrence()
	for _, r := range j.numbers.done.ranges {
		setBits(p.Done, r.from*width, r.to*width)
	}
	j.eachUnit(func(n int, u *unit) {
		p.LastRun = max(p.LastRun, u.lastRun)
		if u.done {
			setBit(p.Done, n)
			return
		}
		if order := u.stored(); order.ordered > 0 {
			p.Ordered[n] = order.ordered
			if order.target != "" {
				p.Targets[n] = order.target
			}
		}
		if len(u.failedRuns) > 0 {
			p.FailedRuns[n] = u.failedRuns
		}
		if u.checkpoint != "" {
			p.Checkpoints[n] = u.checkpoint
		}
	})
	return p
}

// eachUnit visits the work units of the held occurrences, with their numbers over all
// occurrences and steps.
func (j *job) eachUnit(visit func(n int, u *unit)) {
	width := j.unitsPerOccurrence()
	for _, o := range j.occurrences {
		n := o.number * width
		for _, s := range o.steps {
			for _, u := range s.units {
				visit(n, u)
				n++
			}
		}
	}
}

func (j *job) unitCount() int {
	return j.unitsPerOccurrence() * j.numbers.total
}

func bitsetSize(bits int) int     { return (bits + 7) / 8 }
func setBit(bitset []byte, i int) { bitset[i/8] |= 1 << (i % 8) }

// setBits sets the bits from from up to, but not including, to.
func setBits(bitset []byte, from, to int) {
	for i := from; i < to; i++ {
		setBit(bitset, i)
	}
}

func hasBit(bitset []byte, i int) bool { return i/8 < len(bitset) && bitset[i/8]&(1<<(i%8)) != 0 }

func (j *job) restore(stored *Progress, now time.Time) {
	j.ordersUnknown = stored.OrdersUnknown
	j.begun = j.begun || stored.HasBegun()
	for _, number := range sortedKeys(stored.Occurrences) {
		if steps := stored.Occurrences[number]; number >= 0 && number < j.numbers.total && len(steps) == len(j.Steps) {
			j.restoreOccurrence(number, steps, now)
		}
	}
	if stored.Compact != nil {
		j.restoreCompact(stored.Compact, now)
	}
}

// restoreOccurrence restores an occurrence that had begun. It is held unless it is done.
func (j *job) restoreOccurrence(number int, steps []StepProgress, now time.Time) {
	done := true
	for i := range steps {
		done = done && !j.Steps[i].LongRunning && hasBits(steps[i].Done, 0, j.Steps[i].Count)
	}
	if done {
		j.numbers.done.add(number)
		return
	}
	o := j.occurrence(number)
	if o == nil {
		return
	}
	for i, s := range o.steps {
		p := &steps[i]
		for index, u := range s.units {
			u.restore(hasBit(p.Done, index), p.LastRuns[index], p.FailedRuns[index], p.Checkpoints[index], now)
			u.restoreOrdered(p.Ordered[index], p.Targets[index])
		}
	}
}

// restoreCompact restores the occurrences of which something is known but the last run. Those
// that are done are not held.
func (j *job) restoreCompact(p *CompactProgress, now time.Time) {
	j.numbers.lastRun = p.LastRun
	width, longRunning := j.unitsPerOccurrence(), j.LongRunning()
	begun := make(map[int]bool)
	for number := range j.numbers.total {
		from, to := number*width, (number+1)*width
		switch {
		case !longRunning && hasBits(p.Done, from, to):
			j.numbers.done.add(number)
		case hasAnyBitIn(p.Done, from, to):
			begun[number] = true
		}
	}
	addOccurrences(begun, p.FailedRuns, width)
	addOccurrences(begun, p.Ordered, width)
	addOccurrences(begun, p.Checkpoints, width)
	for _, number := range sortedKeys(begun) {
		j.occurrence(number)
	}
	j.eachUnit(func(n int, u *unit) {
		u.restore(hasBit(p.Done, n), p.LastRun, p.FailedRuns[n], p.Checkpoints[n], now)
		u.restoreOrdered(p.Ordered[n], p.Targets[n])
	})
}

// addOccurrences adds the occurrences to which the numbers of the work units belong.
func addOccurrences[V any](occurrences map[int]bool, units map[int]V, width int) {
	for n := range units {
		occurrences[n/max(1, width)] = true
	}
}

// hasBits reports whether all bits from from up to, but not including, to are set.
func hasBits(bitset []byte, from, to int) bool {
	for i := from; i < to; i++ {
		if !hasBit(bitset, i) {
			return false
		}
	}
	return true
}

// hasAnyBitIn reports whether any of these bits is set.
func hasAnyBitIn(bitset []byte, from, to int) bool {
	for i := from; i < to; i++ {
		if hasBit(bitset, i) {
			return true
		}
	}
	return false
}

func (u *unit) restore(done bool, lastRun int, failedRuns []int, checkpoint string, now time.Time) {
	u.lastRun, u.failedRuns, u.checkpoint = lastRun, failedRuns, checkpoint
	if done {
		u.markDone()
		u.freedAt = now
	}
}

func (u *unit) restoreOrdered(number int, target string) {
	if number == 0 {
		return
	}
	order := u.changeOrder()
	order.ordered, order.target = number, target
	u.lastRun = max(u.lastRun, number)
}
