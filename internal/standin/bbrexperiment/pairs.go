package bbrexperiment

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Pair is a day and seed played by both builds.
type Pair struct {
	Before, After Trial
}

// MatchPairs matches plays of the same site, day and seed in their order. Plays that
// have no partner are left out and counted.
func MatchPairs(before, after []Trial) (pairs []Pair, single int) {
	waiting := make(map[key][]Trial)
	for _, play := range before {
		waiting[play.key()] = append(waiting[play.key()], play)
	}
	for _, play := range after {
		partners := waiting[play.key()]
		if len(partners) == 0 {
			single++
			continue
		}
		pairs = append(pairs, Pair{Before: partners[0], After: play})
		waiting[play.key()] = partners[1:]
	}
	for _, partners := range waiting {
		single += len(partners)
	}
	return pairs, single
}

// Mean is a mean with its standard error, which is NaN for fewer than two values.
type Mean struct {
	Value, Error float64
}

// NewMean returns the mean of the values; NaN for none.
func NewMean(values []float64) Mean {
	mean, deviation := stat.MeanStdDev(values, nil)
	return Mean{Value: mean, Error: deviation / math.Sqrt(float64(len(values)))}
}

// Row is what the pairs of a day, or of all days, say.
type Row struct {
	Site, Day string
	Pairs     int
	// Before and After are the worth, and Worth, Windows, Served and Pools the
	// differences.
	Before, After, Worth, Windows, Served, Pools Mean
	// Broken counts the plays that broke a rule, before and after.
	Broken [2]int
}

// allDays names the row of all days of a site.
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
		rows = append(rows, rowOf(g.site, g.day, groups[g]))
	}
	return rows
}

// compareDays puts the row of all days last.
func compareDays(a, b string) int {
	if (a == allDays) != (b == allDays) {
		if a == allDays {
			return 1
		}
		return -1
	}
	return cmp.Compare(a, b)
}

func rowOf(site, day string, pairs []Pair) Row {
	row := Row{Site: site, Day: day, Pairs: len(pairs)}
	row.Before = meanOver(pairs, func(p Pair) float64 { return p.Before.Worth })
	row.After = meanOver(pairs, func(p Pair) float64 { return p.After.Worth })
	row.Worth = meanOver(pairs, func(p Pair) float64 { return p.After.Worth - p.Before.Worth })
	row.Windows = meanOver(pairs, func(p Pair) float64 { return p.After.Windows - p.Before.Windows })
	row.Served = meanOver(pairs, func(p Pair) float64 { return p.After.Served - p.Before.Served })
	row.Pools = meanOver(pairs, func(p Pair) float64 { return p.After.Pools - p.Before.Pools })
	for _, pair := range pairs {
		for side, play := range [...]Trial{pair.Before, pair.After} {
			if len(play.Broken) > 0 {
				row.Broken[side]++
			}
		}
	}
	return row
}

func meanOver(pairs []Pair, value func(Pair) float64) Mean {
	values := make([]float64, len(pairs))
	for i, pair := range pairs {
		values[i] = value(pair)
	}
	return NewMean(values)
}
