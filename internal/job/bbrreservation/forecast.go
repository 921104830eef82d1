package bbrreservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Need is capacity that is needed at the same time.
type Need struct {
	// Unit is what each work unit takes.
	Unit bbrwork.Resources
	// Count is the number of work units, at least 1.
	Count int
	// PerUpstream bounds the work units on one upstream; 0 for no bound.
	PerUpstream int
}

// fitCount returns how many of the work units fit into the capacity of one upstream.
func (n Need) fitCount(free bbrwork.Resources) int {
	limit := n.Count
	if n.PerUpstream > 0 {
		limit = min(limit, n.PerUpstream)
	}
	return n.Unit.FitCount(free, limit)
}

// End is the expected end of a run.
type End struct {
	// Upstream is the index of the upstream on which the run is.
	Upstream int
	At       time.Time
	// Freed is what the run leaves free.
	Freed bbrwork.Resources
}

// Forecast is the capacity that is expected to become free.
type Forecast struct {
	now  time.Time
	free []bbrwork.Resources
	// ends are in the order of time.
	ends []End
}

// NewForecast returns the forecast for upstreams with the given free capacity on which
// runs are expected to end. It sorts ends.
func NewForecast(now time.Time, free []bbrwork.Resources, ends []End) *Forecast {
	slices.SortFunc(ends, compareEnds)
	return &Forecast{now: now, free: free, ends: ends}
}

// compareEnds orders ends by time. Ends that differ are never equal, so that the places do
// not depend on the order in which the runs are listed.
func compareEnds(a, b End) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Freed.MilliCPU, b.Freed.MilliCPU),
		cmp.Compare(a.Freed.MemoryMB, b.Freed.MemoryMB), cmp.Compare(a.Freed.Accelerators, b.Freed.Accelerators))
}

// Place is where work units of a need will fit.
type Place struct {
	// Upstream is the upstream's index in the forecast.
	Upstream int
	Units    int
}

// Slot is when and where a need fits.
type Slot struct {
	At     time.Time
	Places []Place
}

// Earliest returns the earliest time at which the need fits on upstreams that suit it, and
// the places: as few upstreams as possible. It returns false if the need does not fit
// until the limit.
func (f *Forecast) Earliest(need Need, suits func(upstream int) bool, limit time.Time) (Slot, bool) {
	fit, at, total := f.fill(need, suits, limit)
	if total < need.Count {
		return Slot{}, false
	}
	return Slot{At: at, Places: choosePlaces(fit, need.Count)}, true
}

// FitUntil returns how many work units of the need fit at the limit, at most its count.
func (f *Forecast) FitUntil(need Need, suits func(upstream int) bool, limit time.Time) int {
	_, _, total := f.fill(need, suits, limit)
	return min(total, need.Count)
}

// fill follows the capacity that becomes free until the need fits or the limit is reached.
// It returns how many work units then fit by upstream, the time, and their sum.
func (f *Forecast) fill(need Need, suits func(upstream int) bool, limit time.Time) (fit []int, at time.Time, total int) {
	free := slices.Clone(f.free)
	suitable := make([]bool, len(free))
	fit, at = make([]int, len(free)), f.now
	for i := range free {
		if suitable[i] = suits(i); suitable[i] {
			fit[i] = need.fitCount(free[i])
			total += fit[i]
		}
	}
	for _, end := range f.ends {
		if total >= need.Count || end.At.After(limit) {
			break
		}
		if !suitable[end.Upstream] {
			continue
		}
		free[end.Upstream] = free[end.Upstream].Plus(end.Freed)
		count := need.fitCount(free[end.Upstream])
		total += count - fit[end.Upstream]
		fit[end.Upstream], at = count, later(f.now, end.At)
	}
	return fit, at, total
}

// choosePlaces takes count work units from the upstreams that fit most.
func choosePlaces(fit []int, count int) []Place {
	var places []Place
	for i, units := range fit {
		if units > 0 {
			places = append(places, Place{Upstream: i, Units: units})
		}
	}
	slices.SortStableFunc(places, func(a, b Place) int { return cmp.Compare(b.Units, a.Units) })
	for i := range places {
		places[i].Units = min(places[i].Units, count)
		if count -= places[i].Units; count == 0 {
			return places[:i+1]
		}
	}
	return places
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RemainingEnd returns when a run is expected to end that has not ended yet. A run that is
// overdue is expected to be so for as long again: a few runs take several times as long
// as the others.
func RemainingEnd(expected, now time.Time) time.Time {
	if expected.After(now) {
		return expected
	}
	return now.Add(now.Sub(expected))
}
