package bbrreservation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func drawResources(t *rapid.T, limit int, label string) bbrwork.Resources {
	return bbrwork.Resources{MilliCPU: rapid.IntRange(0, limit).Draw(t, label+" cpu"), MemoryMB: rapid.IntRange(1, limit).Draw(t, label+" memory")}
}

// fits returns how many work units fit on the suitable upstreams at a time.
func fits(need Need, free []bbrwork.Resources, ends []End, suits func(int) bool, when time.Time) (total int, byUpstream []int) {
	byUpstream = make([]int, len(free))
	for i, left := range free {
		for _, end := range ends {
			if end.Upstream == i && !end.At.After(when) {
				left = left.Plus(end.Freed)
			}
		}
		if suits(i) {
			byUpstream[i] = need.fitCount(left)
			total += byUpstream[i]
		}
	}
	return total, byUpstream
}

// TestEarliestSlot guards against a reservation that is later than necessary, or at a time
// or place at which the work does not fit.
func TestEarliestSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := rapid.IntRange(1, 5).Draw(t, "upstreams")
		free := make([]bbrwork.Resources, upstreams)
		for i := range free {
			free[i] = drawResources(t, 10, "free")
		}
		var ends []End
		for range rapid.IntRange(0, 12).Draw(t, "ends") {
			ends = append(ends, End{Upstream: rapid.IntRange(0, upstreams-1).Draw(t, "on"), At: at(rapid.IntRange(0, 1000).Draw(t, "end")), Freed: drawResources(t, 10, "freed")})
		}
		need := Need{Unit: drawResources(t, 12, "unit"), Count: rapid.IntRange(1, 6).Draw(t, "count"), PerUpstream: rapid.IntRange(0, 2).Draw(t, "per upstream")}
		odd := rapid.Bool().Draw(t, "odd ones only")
		suits := func(i int) bool { return !odd || i%2 == 1 }
		limit := at(rapid.IntRange(0, 1000).Draw(t, "limit"))
		forecast := NewForecast(start, free, ends)
		slot, ok := forecast.Earliest(need, suits, limit)
		atLimit, _ := fits(need, free, ends, suits, limit)
		require.Equal(t, atLimit >= need.Count, ok)
		require.Equal(t, min(atLimit, need.Count), forecast.FitUntil(need, suits, limit))
		if !ok {
			return
		}
		require.False(t, slot.At.After(limit))
		earlier, _ := fits(need, free, ends, suits, slot.At.Add(-time.Nanosecond))
		require.True(t, slot.At.Equal(start) || earlier < need.Count, "it fits before")
		_, byUpstream := fits(need, free, ends, suits, slot.At)
		units := 0
		for _, place := range slot.Places {
			require.Positive(t, place.Units)
			require.LessOrEqual(t, place.Units, byUpstream[place.Upstream])
			units += place.Units
		}
		require.Equal(t, need.Count, units)
	})
}

// simulated is a run on an upstream with reserved capacity.
type simulated struct {
	Run
	need bbrwork.Resources
	ends time.Time
}

// TestBackfilledWorkDelaysNoReservation fills an upstream with work of any rank that the
// rules let start, among it the work of later reservations. It guards against work that is
// still there at the reserved time although no run takes longer than the estimates allow:
// those that ran before end as expected, and the others take up to 2.5 times as long.
func TestBackfilledWorkDelaysNoReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := bbrwork.Resources{MilliCPU: 20, MemoryMB: 20}
		var runs []simulated
		free := func(now time.Time) bbrwork.Resources {
			left := capacity
			for _, run := range runs {
				if run.LongRunning || run.ends.After(now) {
					left = left.Minus(run.need)
				}
			}
			return left
		}
		var ends []End
		for range rapid.IntRange(0, 8).Draw(t, "runs") {
			need := drawResources(t, 8, "run")
			if !need.Fits(free(start)) {
				continue
			}
			run := simulated{need: need, ends: at(rapid.IntRange(1, int(MaxLead.Milliseconds())).Draw(t, "end"))}
			run.StartedAt, run.ExpectedEnd, run.LongRunning = at(-100), run.ends, rapid.IntRange(0, 5).Draw(t, "long-running") == 0
			runs = append(runs, run)
			if !run.LongRunning {
				ends = append(ends, End{At: run.ends, Freed: need})
			}
		}
		need := Need{Unit: drawResources(t, 20, "reserved"), Count: rapid.IntRange(1, 2).Draw(t, "units")}
		slot, ok := NewForecast(start, []bbrwork.Resources{free(start)}, ends).Earliest(need, func(int) bool { return true }, start.Add(MaxLead))
		if !ok {
			return
		}
		r := Reservation{MadeAt: start, At: slot.At, Holder: Rank{Tier: 1, Priority: 1}}
		for now := start; now.Before(r.At); now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond) {
			other := simulated{need: drawResources(t, 8, "other")}
			other.StartedAt, other.RunTime = now, time.Duration(rapid.IntRange(1, 1500).Draw(t, "run time"))*time.Millisecond
			other.ExpectedEnd = now.Add(other.RunTime)
			other.ends = now.Add(time.Duration(rapid.Float64Range(0.1, backfillFactor).Draw(t, "factor") * float64(other.RunTime)))
			rank := Rank{Tier: rapid.IntRange(1, 2).Draw(t, "tier"), Priority: rapid.IntRange(1, 2).Draw(t, "priority")}
			available := free(now)
			if r.HoldsBack(rank, other.RunTime, now) {
				var outlasting bbrwork.Resources
				for _, run := range runs {
					if (run.LongRunning || run.ends.After(now)) && r.Outlasts(run.Run, now) {
						outlasting = outlasting.Plus(run.need)
					}
				}
				available = available.Min(Spare(capacity, outlasting, need.Unit, need.Count))
			}
			if other.need.Fits(available) {
				runs = append(runs, other)
			}
		}
		require.True(t, need.Unit.Times(need.Count).Fits(free(r.At)), "the reserved capacity is not free")
	})
}

// TestHoldsBack guards against a reservation that holds back more important work, or that
// lets work start that may outlast the reserved time.
func TestHoldsBack(t *testing.T) {
	r := Reservation{MadeAt: start, At: at(1000), Holder: Rank{Tier: 1, Priority: 2}}
	for _, test := range []struct {
		name    string
		rank    Rank
		runTime time.Duration
		now     time.Time
		want    bool
	}{
		{"long-running", Rank{Tier: 0, Priority: 9}, time.Hour, start, false},
		{"better priority", Rank{Tier: 1, Priority: 1}, time.Hour, start, false},
		{"same rank", Rank{Tier: 1, Priority: 2}, time.Hour, start, true},
		{"can no longer be in time", Rank{Tier: 2, Priority: 0}, time.Hour, start, true},
		{"ends before even if it takes 2.5 times as long", Rank{Tier: 1, Priority: 2}, 400 * time.Millisecond, start, false},
		{"may not", Rank{Tier: 1, Priority: 2}, 401 * time.Millisecond, start, true},
		{"the time has passed", Rank{Tier: 1, Priority: 2}, time.Millisecond, at(1001), true},
	} {
		require.Equal(t, test.want, r.HoldsBack(test.rank, test.runTime, test.now), test.name)
	}
}

// TestLifeIsBounded guards against a reservation that keeps capacity idle beyond the bound,
// and against many that hold more than half of a shard together.
func TestLifeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Reservation{MadeAt: start, At: start.Add(time.Duration(rapid.Int64Range(0, int64(MaxLead)).Draw(t, "lead")))}
		require.Empty(t, r.Expired(start.Add(time.Hour), r.At))
		require.Equal(t, CauseOverdue, r.Expired(start.Add(time.Hour), start.Add(MaxLife+1)))
		require.Equal(t, CauseTooLate, r.Expired(start.Add(-1), start))
		usable, held := rapid.IntRange(0, 100).Draw(t, "usable"), 0
		for count := 0; ; count++ {
			further := rapid.IntRange(1, 20).Draw(t, "further")
			if !MayHold(count, held, further, usable) {
				require.Positive(t, count)
				break
			}
			held += further
			require.Less(t, count, MaxReservations)
			require.True(t, count == 0 || 2*held <= usable)
		}
	})
}

// TestRemainingEnd guards against runs that are expected to end at any moment however long
// they are overdue.
func TestRemainingEnd(t *testing.T) {
	require.Equal(t, at(100), RemainingEnd(at(100), start))
	require.Equal(t, at(300), RemainingEnd(at(100), at(200)))
}

// TestVictims guards against stops that do not suffice, that are not needed, or that
// discard too much.
func TestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit, free := drawResources(t, 12, "unit"), drawResources(t, 6, "free")
		var victims []Victim
		for i := range rapid.IntRange(0, 6).Draw(t, "victims") {
			victims = append(victims, Victim{Index: i, Frees: drawResources(t, 6, "victim"), Discarded: rapid.Float64Range(0, 100).Draw(t, "discarded")})
		}
		gain, maxStops := rapid.Float64Range(0, 200).Draw(t, "gain"), rapid.IntRange(0, 4).Draw(t, "stops")
		chosen, discarded, ok := ChooseVictims(unit, free, victims, gain, maxStops)
		if !ok {
			require.Empty(t, chosen)
			return
		}
		require.NotEmpty(t, chosen)
		require.LessOrEqual(t, len(chosen), maxStops)
		sum := 0.0
		for _, victim := range chosen {
			free, sum = free.Plus(victim.Frees), sum+victim.Discarded
		}
		require.InDelta(t, sum, discarded, 1e-9)
		require.Less(t, discarded, gain)
		require.True(t, unit.Fits(free))
		for _, victim := range chosen {
			require.False(t, unit.Fits(free.Minus(victim.Frees)), "a stop is not needed")
		}
	})
}

// TestCheapestVictimIsChosen guards against stopping work that is almost done.
func TestCheapestVictimIsChosen(t *testing.T) {
	one := bbrwork.Resources{MilliCPU: 1}
	chosen, discarded, ok := ChooseVictims(one, bbrwork.Resources{}, []Victim{{Index: 0, Frees: one, Discarded: 5}, {Index: 1, Frees: one, Discarded: 2}}, 3, 1)
	require.True(t, ok)
	require.Equal(t, 1, chosen[0].Index)
	require.Equal(t, 2.0, discarded)
}

// TestStopBudget guards against more stops within any second than the bound.
func TestStopBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget StopBudget
		var stops []time.Time
		now := start
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			count := min(budget.Left(now), rapid.IntRange(0, 5).Draw(t, "stops"))
			budget.Spend(count, now)
			for range count {
				stops = append(stops, now)
			}
		}
		for i := range len(stops) - MaxStopsPerSecond {
			require.GreaterOrEqual(t, stops[i+MaxStopsPerSecond].Sub(stops[i]), time.Second)
		}
	})
}
