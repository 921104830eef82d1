package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wideWork finds the work that needs upstreams without lasting work: room that
// lasting work holds does not come back, and a work unit that takes most of an
// upstream finds no room beside others, however much all upstreams have left
// together. A place is an upstream on which a work unit of a step runs or could
// start (wholeplaces.go).
type wideWork struct {
	sched *Scheduler
	now   time.Time
	// emptyCapacity is the room of an upstream on which nothing runs.
	emptyCapacity bbrwork.Resources
	// hasLongRunning means that lasting work runs somewhere.
	hasLongRunning bool
	// steps are the steps whose work units need such upstreams, the widest first.
	steps []wideStep
	// freeByLabel has what is left on each upstream that is needed, by the label that it
	// must have.
	freeByLabel map[string][]bbrwork.Resources
}

// wideStep is a step with how many of its work units need a place.
type wideStep struct {
	*step
	unitCount int
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

// maxExclusive bounds the upstreams that are asked for at once, by label: more than a
// pool of a cell has.
const maxExclusive = 256

// maxUnsuitable bounds the upstreams that take no work unit of the steps, even empty,
// and are made up for: they are too small or refused by advice, and more may be so.
const maxUnsuitable = 8

// wideWork returns what the open steps need; nothing while work of an earlier
// owner is not located.
func (sched *Scheduler) wideWork(now time.Time) *wideWork {
	w := &wideWork{sched: sched, now: now, freeByLabel: make(map[string][]bbrwork.Resources)}
	if !sched.EarlierWorkLocated(now) {
		return w
	}
	w.inspectUpstreams()
	for _, s := range sched.runnableSteps(now) {
		w.addStep(s)
	}
	slices.SortFunc(w.steps, compareWideSteps)
	for _, need := range w.steps {
		w.placeStep(need)
	}
	return w
}

func compareWideSteps(left, right wideStep) int {
	leftNeed, rightNeed := left.shape.Allocation(), right.shape.Allocation()
	return cmp.Or(cmp.Compare(rightNeed.MemoryMB, leftNeed.MemoryMB), cmp.Compare(rightNeed.MilliCPU, leftNeed.MilliCPU), cmp.Compare(left.job.ID, right.job.ID),
		cmp.Compare(left.occurrence.number, right.occurrence.number), cmp.Compare(left.number, right.number))
}

// addExclusive notes how many upstreams are needed at once, and how many of the shard's
// are not such. Any upstream serves work without a label; of those with a label it
// notes how many are missing.
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

// isNeeded tells whether the upstream must not be given away: work runs there that
// needs such an upstream, or waits for one with its label.
func (w *wideWork) isNeeded(up *upstream) bool {
	for _, need := range w.steps {
		if need.runCounts[up] > 0 || need.shape.Label != "" && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// inspectUpstreams notes what the shard's upstreams are like.
func (w *wideWork) inspectUpstreams() {
	for _, up := range w.sched.sortedUpstreams() {
		w.hasLongRunning = w.hasLongRunning || up.hasLongRunning()
		if up.registered && w.emptyCapacity.Fits(up.Capacity) {
			w.emptyCapacity = up.Capacity
		}
	}
}

// addStep notes the work units of the step that find no room beside lasting work.
func (w *wideWork) addStep(s *step) {
	if s.fitCount(w.emptyCapacity) == 0 {
		return
	}
	need := wideStep{step: s}
	if s.shape.LongRunning || w.fillsUpstream(s) {
		need.runCounts = s.countRuns()
	}
	if !w.hasLongRunning && !w.fillsUpstream(s) && w.anySuitable(need) {
		return
	}
	toPlace := s.unitsToPlace()
	need.unitCount = toPlace - w.countBesideLongRunning(need, toPlace)
	if need.unitCount <= 0 {
		return
	}
	if need.runCounts == nil {
		need.runCounts = s.countRuns()
	}
	w.steps = append(w.steps, need)
}

// placeStep puts the work units of a step on upstreams of their own.
func (w *wideWork) placeStep(need wideStep) {
	left, free := need.unitCount, w.freeByLabel[need.shape.Label]
	for i := 0; i < len(free) && left > 0; i++ {
		left -= need.allocate(&free[i], left)
	}
	for left > 0 && len(free) < maxExclusive {
		room := w.emptyCapacity
		left -= need.allocate(&room, left)
		free = append(free, room)
	}
	w.freeByLabel[need.shape.Label] = free
}

// fillsUpstream tells whether an upstream has no room for two of the step's work units.
func (w *wideWork) fillsUpstream(s *step) bool {
	return !s.shape.Allocation().Times(2).Fits(w.emptyCapacity)
}

// allocate takes the room of at most so many work units of the step, and returns of
// how many.
func (s *step) allocate(capacity *bbrwork.Resources, limit int) int {
	count := min(limit, s.fitCount(*capacity))
	*capacity = capacity.Minus(s.shape.Allocation().Times(count))
	return count
}

// runnableSteps returns the steps whose turn has come and that are not done; of those
// that last, the ones with work units that do not run.
func (sched *Scheduler) runnableSteps(now time.Time) []*step {
	var runnable []*step
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unitsLeft > 0 && (s.idleUnits > 0 || !s.shape.LongRunning) && s.runnable(now) {
					runnable = append(runnable, s)
				}
			}
		}
	}
	return runnable
}

// unitsToPlace counts the work units that need a place: those that do not run, and where
// the step ends also those that do, since what they run on stays needed.
func (s *step) unitsToPlace() int {
	if s.shape.LongRunning {
		return s.idleUnits
	}
	return s.unitsLeft
}
