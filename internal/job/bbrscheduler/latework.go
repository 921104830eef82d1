package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// freePlace is an upstream with the capacity that is free and not assigned to late work.
type freePlace struct {
	up   *upstream
	free bbrwork.Resources
}

// neededByLateWork returns the upstreams on which late work units that wait for capacity are
// likely to start: those where they fit now and, for a step whose units do not all fit, also
// those of the candidates that can take one once finite work has ended.
func (sched *Scheduler) neededByLateWork(candidates []*upstream, now time.Time) map[*upstream]bool {
	needed := make(map[*upstream]bool)
	steps := slices.DeleteFunc(sched.runnableSteps(now), func(s *step) bool { return sched.waitingLate(s, now) == 0 })
	if len(steps) == 0 {
		return needed
	}
	slices.SortFunc(steps, compareWideSteps)
	places := sched.freePlaces(now)
	for _, s := range steps {
		if sched.placeLate(s, places, needed, now) == 0 {
			continue
		}
		allNeeded := true
		for _, up := range candidates {
			if !needed[up] && sched.canEverFit(s, up) {
				needed[up] = true
			}
			allNeeded = allNeeded && needed[up]
		}
		if allNeeded {
			break
		}
	}
	return needed
}

// placeLate assigns places to the late work units of the step that wait, adds their upstreams
// to needed, and returns the number of units that get no place.
func (sched *Scheduler) placeLate(s *step, places []freePlace, needed map[*upstream]bool, now time.Time) int {
	unplaced := sched.waitingLate(s, now)
	runCounts := s.runCountsIfLimited()
	for i := range places {
		place := &places[i]
		if unplaced == 0 {
			break
		}
		if !sched.canEverFit(s, place.up) {
			continue
		}
		count := min(unplaced, s.fitCount(place.free), s.upstreamLimitLeft(runCounts[place.up]))
		if count > 0 {
			place.free = place.free.Minus(s.spec.Allocation().Times(count))
			unplaced -= count
			needed[place.up] = true
		}
	}
	return unplaced
}

// freePlaces returns the upstreams that accept work, in the order in which finite work is
// placed on them.
func (sched *Scheduler) freePlaces(now time.Time) []freePlace {
	var places []freePlace
	for _, up := range sched.sortedUpstreams() {
		if up.acceptsWork(now) {
			places = append(places, freePlace{up: up, free: up.free()})
		}
	}
	slices.SortStableFunc(places, func(a, b freePlace) int {
		if a.up.hasLongRunning() != b.up.hasLongRunning() {
			if a.up.hasLongRunning() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.free.MilliCPU, b.free.MilliCPU)
	})
	return places
}

// waitingLate returns the number of work units of a finite step that wait although they may
// start, if the job cannot meet its objective. If the cap of the organisation does not let all
// of them start, one counts.
func (sched *Scheduler) waitingLate(s *step, now time.Time) int {
	if s.spec.LongRunning || s.idleUnits == 0 || s.occurrence.canMeet(s.job.objective(s.occurrence), now) {
		return 0
	}
	if sched.beyondHorizon(s.job) || sched.beyondCap(s) {
		return 0
	}
	count := 0
	for _, u := range s.units {
		if u.idle() && len(u.crashes) == 0 && !now.Before(u.notBefore) {
			count++
		}
	}
	if count > 1 && !sched.capAllows(s, count) {
		return 1
	}
	return count
}

// runCountsIfLimited counts the step's runs by upstream if their number is limited; nil if
// not.
func (s *step) runCountsIfLimited() map[*upstream]int {
	if s.spec.MaxPerUpstream == 0 {
		return nil
	}
	return s.countRuns()
}
