package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wideWork determines which work needs exclusive upstreams, that is upstreams
// without long-running work. Capacity that long-running work takes does not become
// free again, and a wide work unit, which takes most of an upstream, does not fit
// beside other work however much capacity all upstreams have left together. A place
// is the capacity for a work unit of a step on an upstream, where it runs or could
// start (suitable.go).
type wideWork struct {
	sched *Scheduler
	now   time.Time
	// emptyCapacity is the capacity of the largest upstream when nothing runs
	// there.
	emptyCapacity bbrwork.Resources
	// hasLongRunning means that long-running work runs on some upstream.
	hasLongRunning bool
	// steps are the steps whose work units need exclusive upstreams, widest first.
	steps []wideStep
	// freeByLabel has the free capacity of each exclusive upstream that is needed,
	// by the label that it must have.
	freeByLabel map[string][]bbrwork.Resources
	// left has the upstreams with long-running work that may take other work, by ID.
	left []leftCapacity
}

// wideStep is a step with the number of its work units that need a place.
type wideStep struct {
	*step
	// unitCount is not a whole number if the units need their places for a part of the time
	// only.
	unitCount float64
	// runCounts counts the step's runs by upstream.
	runCounts map[*upstream]int
}

// countRuns counts the step's runs on each upstream.
func (s *step) countRuns() map[*upstream]int {
	counts := make(map[*upstream]int)
	for _, u := range s.units {
		for _, r := range u.runs {
			counts[r.up]++
		}
	}
	return counts
}

// maxExclusive bounds the exclusive upstreams requested at once for a label. It
// exceeds the number that a pool has in one cell.
const maxExclusive = 256

// maxUnsuitable bounds the upstreams for which replacements are requested because
// they can take no work unit of the steps even when empty. They are too small or
// refused by the advice service, and their replacements may be as well.
const maxUnsuitable = 8

// wideWork returns the exclusive upstreams that the runnable steps need; none while
// work of an earlier owner is not located or jobs are loaded.
func (sched *Scheduler) wideWork(now time.Time) *wideWork {
	w := &wideWork{sched: sched, now: now, freeByLabel: make(map[string][]bbrwork.Resources)}
	if !sched.EarlierWorkKnown(now) {
		return w
	}
	w.inspectUpstreams()
	runnable := sched.runnableSteps(now)
	slices.SortFunc(runnable, compareWideSteps)
	for _, s := range runnable {
		w.addStep(s)
	}
	for _, need := range w.steps {
		w.placeStep(need)
	}
	return w
}

func compareWideSteps(left, right *step) int {
	leftNeed, rightNeed := left.spec.Allocation(), right.spec.Allocation()
	return cmp.Or(cmp.Compare(rightNeed.MemoryMB, leftNeed.MemoryMB), cmp.Compare(rightNeed.MilliCPU, leftNeed.MilliCPU), cmp.Compare(left.job.ID, right.job.ID),
		cmp.Compare(left.occurrence.number, right.occurrence.number), cmp.Compare(left.number, right.number))
}

// addExclusive sets how many exclusive upstreams are needed at once, and how many
// of the shard's upstreams cannot be among them. Any upstream can run work without
// a label. For work with a label, it sets how many upstreams with the label are
// missing.
func (d *Demand) addExclusive(w *wideWork) {
	for label, free := range w.freeByLabel {
		if label == "" {
			d.Exclusive, d.Occupied = len(free), w.occupied()
			continue
		}
		if missing := len(free) - w.suitableCount(label); missing > 0 {
			if d.ExclusiveByLabel == nil {
				d.ExclusiveByLabel = make(map[string]int)
			}
			d.ExclusiveByLabel[label] = missing
		}
	}
}

// isNeeded reports whether the upstream must not be released: work that needs an
// exclusive upstream runs there, or waits for an upstream with its label.
func (w *wideWork) isNeeded(up *upstream) bool {
	for _, need := range w.steps {
		if need.runCounts[up] > 0 || need.spec.Label != "" && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// inspectUpstreams determines emptyCapacity, hasLongRunning and left.
func (w *wideWork) inspectUpstreams() {
	for _, up := range w.sched.sortedUpstreams() {
		w.hasLongRunning = w.hasLongRunning || up.hasLongRunning()
		if up.registered && w.emptyCapacity.Fits(up.Capacity) {
			w.emptyCapacity = up.Capacity
		}
		if up.hasLongRunning() && up.acceptsWork(w.now) {
			w.left = append(w.left, leftCapacity{up: up, free: up.free(), besideLongRunning: up.besideLongRunning()})
		}
	}
}

// addStep adds the step with its work units that get no place beside long-running work,
// because there are too few places or earlier steps need them.
func (w *wideWork) addStep(s *step) {
	if s.fitCount(w.emptyCapacity) == 0 {
		return
	}
	need := wideStep{step: s}
	if s.spec.LongRunning || w.fillsUpstream(s) {
		need.runCounts = s.countRuns()
	}
	if !w.hasLongRunning && !w.fillsUpstream(s) && w.anySuitable(need) {
		return
	}
	toPlace := s.unitsToPlace() - s.heldUnits()
	lacking := toPlace - w.countBesideLongRunning(need, toPlace)
	// Earlier steps may need the same places, so those that this step takes are assigned.
	unassigned := w.assignBesideLongRunning(need, need.unitsAtOnce(toPlace, w.now))
	need.unitCount = max(float64(lacking), unassigned)
	if need.unitCount <= 0 {
		return
	}
	if need.runCounts == nil {
		need.runCounts = s.countRuns()
	}
	w.steps = append(w.steps, need)
}

// placeStep assigns the work units of a step to exclusive upstreams.
func (w *wideWork) placeStep(need wideStep) {
	remaining, free := need.unitCount, w.freeByLabel[need.spec.Label]
	for i := 0; i < len(free) && remaining > 0; i++ {
		remaining -= need.allocate(&free[i], remaining)
	}
	for remaining > 0 && len(free) < maxExclusive {
		capacity := w.emptyCapacity
		remaining -= need.allocate(&capacity, remaining)
		free = append(free, capacity)
	}
	w.freeByLabel[need.spec.Label] = free
}

// fillsUpstream reports whether two of the step's work units do not fit on an empty
// upstream.
func (w *wideWork) fillsUpstream(s *step) bool {
	return !s.spec.Allocation().Times(2).Fits(w.emptyCapacity)
}

// allocate takes the resources of at most limit work units of the step from
// capacity, and returns the number of units.
func (s *step) allocate(capacity *bbrwork.Resources, limit float64) float64 {
	count := min(limit, float64(s.fitCount(*capacity)))
	*capacity = capacity.Minus(s.allocationOf(count))
	return count
}

// allocationOf returns the resources that a number of the step's work units take on average.
func (s *step) allocationOf(count float64) bbrwork.Resources {
	allocation := s.spec.Allocation()
	return bbrwork.Resources{MilliCPU: int(float64(allocation.MilliCPU) * count), MemoryMB: int(float64(allocation.MemoryMB) * count)}
}

// runnableSteps returns the runnable steps that are not done. Long-running steps
// are included only if they have idle work units.
func (sched *Scheduler) runnableSteps(now time.Time) []*step {
	var runnable []*step
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unitsLeft > 0 && (s.idleUnits > 0 || !s.spec.LongRunning) && s.runnable(now) {
					runnable = append(runnable, s)
				}
			}
		}
	}
	return runnable
}

// unitsToPlace returns the number of work units that need a place: those without a
// run, and for a finite step also those with one, since the upstreams on which they
// run stay needed.
func (s *step) unitsToPlace() int {
	if s.spec.LongRunning {
		return s.idleUnits
	}
	return s.unitsLeft
}
