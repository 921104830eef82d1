package bbrscheduler

import (
	"time"
)

// anySuitable tells whether an upstream may take a work unit of the step, now or when
// work that ends has ended.
func (w *wideWork) anySuitable(need wideStep) bool {
	for _, up := range w.sched.upstreams {
		if up.acceptsWork(w.now) && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// countBesideLongRunning counts the work units of the step, at most so many, that have or
// find room on upstreams with lasting work.
func (w *wideWork) countBesideLongRunning(need wideStep, limit int) int {
	count := 0
	for _, up := range w.sched.upstreams {
		if count >= limit {
			return limit
		}
		if up.hasLongRunning() && up.acceptsWork(w.now) {
			count += w.placesOn(need, up)
		}
	}
	return min(count, limit)
}

// placesOn counts the places for work units of the step on the upstream. Work
// that shares an upstream with its like gets the room of other work that ends
// there; for larger ones only free room counts, since it is soon taken in parts.
func (w *wideWork) placesOn(need wideStep, up *upstream) int {
	if !up.HasLabel(need.shape.Label) || w.sched.adviceRefused(need.step, up) {
		return 0
	}
	if !need.shape.LongRunning && !w.fillsUpstream(need.step) {
		return need.fitCount(up.besideLongRunning())
	}
	running := need.runCounts[up]
	more := min(need.fitCount(up.free()), need.upstreamLimitLeft(running))
	if need.shape.LongRunning {
		return more
	}
	return running + more
}

// upstreamLimitLeft returns how many more work units of the step an upstream may have that
// has some.
func (s *step) upstreamLimitLeft(running int) int {
	if s.shape.MaxPerUpstream == 0 {
		return len(s.units)
	}
	return max(0, s.shape.MaxPerUpstream-running)
}

// occupied counts the upstreams that are no places for the steps without a label:
// they take no work, have lasting work, or have other work that leaves too little
// room.
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

// fitsWhenEmpty tells whether the upstream would take a work unit of the steps without a
// label if nothing ran there.
func (w *wideWork) fitsWhenEmpty(up *upstream) bool {
	for _, need := range w.steps {
		if need.shape.Label == "" && need.fitCount(up.Capacity) > 0 && !w.sched.adviceRefused(need.step, up) {
			return true
		}
	}
	return false
}

// suitableCount counts the upstreams that are places for the steps with the label.
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
		if need.shape.Label == label && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// acceptsWork tells whether the upstream may take work, now or when what runs there
// has ended. One that was just registered may, though it was not reached yet.
func (up *upstream) acceptsWork(now time.Time) bool {
	return up.registered && !up.Draining && up.reservedAt.IsZero() && up.lostAnswers < maxLostAnswers && len(up.orphans) == 0 && !up.health.suspect(now)
}
