package bbrscheduler

import (
	"time"
)

// anySuitable reports whether an upstream can take a work unit of the step, now or
// once finite work has ended.
func (w *wideWork) anySuitable(need wideStep) bool {
	for _, up := range w.sched.upstreams {
		if up.acceptsWork(w.now) && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// countBesideLongRunning returns how many work units of the step, at most limit,
// run or fit on upstreams with long-running work, whatever other steps need there.
func (w *wideWork) countBesideLongRunning(need wideStep, limit int) int {
	count := 0
	for _, left := range w.left {
		if count >= limit {
			return limit
		}
		count += w.placesOn(need, left.up)
	}
	return min(count, limit)
}

// placesOn returns the number of places for work units of the step on the upstream.
// Units of which several fit on one upstream get the capacity of other finite work
// that ends there. For larger units only free capacity counts, since capacity that
// becomes free is soon taken in smaller parts.
func (w *wideWork) placesOn(need wideStep, up *upstream) int {
	if !up.HasLabel(need.spec.Label) || w.sched.adviceRefused(need.step, up) {
		return 0
	}
	if !need.spec.LongRunning && !w.fillsUpstream(need.step) {
		return need.fitCount(up.besideLongRunning())
	}
	running := need.runCounts[up]
	more := min(need.fitCount(up.free()), need.upstreamLimitLeft(running))
	if need.spec.LongRunning {
		return more
	}
	return running + more
}

// upstreamLimitLeft returns how many more work units of the step may run on an
// upstream that has running of them.
func (s *step) upstreamLimitLeft(running int) int {
	if s.spec.MaxPerUpstream == 0 {
		return len(s.units)
	}
	return max(0, s.spec.MaxPerUpstream-running)
}

// occupied returns the number of upstreams without a place for the steps without a
// label: those that take no work, run long-running work, or run other work that
// leaves too little capacity.
func (w *wideWork) occupied() int {
	count, unsuitable := 0, 0
	for _, up := range w.sched.upstreams {
		switch {
		case !up.registered || !up.reservedAt.IsZero() || w.isSuitable(up, ""):
		case up.hasLongRunning() || !up.acceptsWork(w.now) || w.fitsWhenEmpty(up):
			count++
		default:
			unsuitable++
		}
	}
	return count + min(unsuitable, maxUnsuitable)
}

// fitsWhenEmpty reports whether the upstream could take a work unit of the steps
// without a label if nothing ran there.
func (w *wideWork) fitsWhenEmpty(up *upstream) bool {
	for _, need := range w.steps {
		if need.spec.Label == "" && need.fitCount(up.Capacity) > 0 && !w.sched.adviceRefused(need.step, up) {
			return true
		}
	}
	return false
}

// suitableCount returns the number of upstreams with a place for the steps with the
// label.
func (w *wideWork) suitableCount(label string) int {
	count := 0
	for _, up := range w.sched.upstreams {
		if w.isSuitable(up, label) {
			count++
		}
	}
	return count
}

func (w *wideWork) isSuitable(up *upstream, label string) bool {
	if up.hasLongRunning() || !up.acceptsWork(w.now) {
		return false
	}
	for _, need := range w.steps {
		if need.spec.Label == label && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// acceptsWork reports whether the upstream may take work, now or once its runs have
// ended. An upstream that was just registered may, even if it has not answered yet.
func (up *upstream) acceptsWork(now time.Time) bool {
	return up.acceptsWorkOnceKnown(now) && len(up.unknownRuns) == 0
}

// acceptsWorkOnceKnown reports the same apart from runs of jobs that are still to be loaded.
func (up *upstream) acceptsWorkOnceKnown(now time.Time) bool {
	return up.registered && !up.Draining && up.reservedAt.IsZero() && up.lostAnswers < maxLostAnswers && len(up.orphans) == 0 && !up.health.suspect(now)
}
