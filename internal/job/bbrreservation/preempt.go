package bbrreservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// MaxStopsPerSecond bounds the stops for preemption of a shard.
const MaxStopsPerSecond = 8

// Victim is a run that may be stopped for more urgent work.
type Victim struct {
	// Index identifies the run for the caller.
	Index int
	Frees bbrwork.Resources
	// Discarded is the processor time since its last checkpoint, in millicore-seconds.
	Discarded float64
}

// ChooseVictims returns the runs of one upstream to stop so that a work unit fits, those
// that discard least, and what they discard. It returns false if they do not suffice, are
// more than maxStops, or discard as much as gain or more.
func ChooseVictims(unit, free bbrwork.Resources, victims []Victim, gain float64, maxStops int) (chosen []Victim, discarded float64, ok bool) {
	victims = slices.Clone(victims)
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Discarded, b.Discarded), cmp.Compare(a.Index, b.Index))
	})
	for _, victim := range victims {
		if unit.Fits(free) {
			break
		}
		chosen = append(chosen, victim)
		free = free.Plus(victim.Frees)
	}
	if !unit.Fits(free) {
		return nil, 0, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].Frees); unit.Fits(without) {
			free, chosen = without, slices.Delete(chosen, i, i+1)
		}
	}
	for _, victim := range chosen {
		discarded += victim.Discarded
	}
	if len(chosen) == 0 || len(chosen) > maxStops || discarded >= gain {
		return nil, 0, false
	}
	return chosen, discarded, true
}

// StopBudget bounds the stops for preemption. The zero value has all of it left.
type StopBudget struct {
	// stops are the times of the stops within the last second.
	stops []time.Time
}

// Left returns how many stops are left now.
func (b *StopBudget) Left(now time.Time) int {
	b.stops = slices.DeleteFunc(b.stops, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return MaxStopsPerSecond - len(b.stops)
}

// Spend records stops.
func (b *StopBudget) Spend(count int, now time.Time) {
	for range count {
		b.stops = append(b.stops, now)
	}
}
