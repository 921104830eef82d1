package bbrexperiment

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Pair has the trials of both builds for the same site, day and seed. It is encoded as
// JSON under its field names.
type Pair struct {
	Before, After Trial
}

// MatchPairs pairs the trials of the same site, day and seed in their order. It returns
// the number of trials that have no counterpart as unpaired.
func MatchPairs(before, after []Trial) (pairs []Pair, unpaired int) {
	unmatched := make(map[pairKey][]Trial)
	for _, trial := range before {
		unmatched[trial.key()] = append(unmatched[trial.key()], trial)
	}
	for _, trial := range after {
		candidates := unmatched[trial.key()]
		if len(candidates) == 0 {
			unpaired++
			continue
		}
		pairs = append(pairs, Pair{Before: candidates[0], After: trial})
		unmatched[trial.key()] = candidates[1:]
	}
	for _, candidates := range unmatched {
		unpaired += len(candidates)
	}
	return pairs, unpaired
}

// Mean is a mean with its standard error, which is NaN for fewer than two values.
type Mean struct {
	Value, Error float64
}

// NewMean returns the mean of the values, which is NaN if there are none.
func NewMean(values []float64) Mean {
	mean, deviation := stat.MeanStdDev(values, nil)
	return Mean{Value: mean, Error: deviation / math.Sqrt(float64(len(values)))}
}

// Row summarizes the pairs of a day, or of all days, of a site.
type Row struct {
	Site, Day string
	Pairs     int
	// Before and After are the means of Worth for each build. Worth, Windows, Served
	// and Pools are the means of the differences, after less before.
	Before, After, Worth, Windows, Served, Pools Mean
	// Broken counts the trials that broke a rule, before and after.
	Broken [2]int
}

// allDays is the day of the row for all days of a site.
const allDays = "all"

// Summarize returns a row for each site and day, and one for all days of each site.
func Summarize(pairs []Pair) []Row {
	type group struct{ site, day string }
	groups := make(map[group][]Pair)
	for _, pair := range pairs {
		for _, day := range [...]string{pair.Before.Day, allDays} {
			g := group{site: pair.Before.Site, day: day}
			groups[g] = append(groups[g], pair)
		}
	}
	order := slices.SortedFunc(maps.Keys(groups), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.site, b.site), compareDays(a.day, b.day))
	})
	var rows []Row
	for _, g := range order {
		rows = append(rows, newRow(g.site, g.day, groups[g]))
	}
	return rows
}

// compareDays orders days by name, with allDays last.
func compareDays(a, b string) int {
	if (a == allDays) != (b == allDays) {
		if a == allDays {
			return 1
		}
		return -1
	}
	return cmp.Compare(a, b)
}

func newRow(site, day string, pairs []Pair) Row {
	row := Row{Site: site, Day: day, Pairs: len(pairs)}
	row.Before = newMeanOf(pairs, func(p Pair) float64 { return p.Before.Worth })
	row.After = newMeanOf(pairs, func(p Pair) float64 { return p.After.Worth })
	row.Worth = newMeanOf(pairs, func(p Pair) float64 { return p.After.Worth - p.Before.Worth })
	row.Windows = newMeanOf(pairs, func(p Pair) float64 { return p.After.Windows - p.Before.Windows })
	row.Served = newMeanOf(pairs, func(p Pair) float64 { return p.After.Served - p.Before.Served })
	row.Pools = newMeanOf(pairs, func(p Pair) float64 { return p.After.Pools - p.Before.Pools })
	for _, pair := range pairs {
		for side, trial := range [...]Trial{pair.Before, pair.After} {
			if len(trial.Broken) > 0 {
				row.Broken[side]++
			}
		}
	}
	return row
}

func newMeanOf(pairs []Pair, value func(Pair) float64) Mean {
	values := make([]float64, len(pairs))
	for i, pair := range pairs {
		values[i] = value(pair)
	}
	return NewMean(values)
}
