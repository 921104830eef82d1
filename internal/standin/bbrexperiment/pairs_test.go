package bbrexperiment

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMatchPairsByDayAndSeed checks that trials are paired by day and seed, and that
// those without a counterpart are counted.
func TestMatchPairsByDayAndSeed(t *testing.T) {
	before := []Trial{{Day: "a", Seed: 1, Worth: 0.2}, {Day: "a", Seed: 2, Worth: 0.4}, {Day: "b", Seed: 1, Worth: 0.9}}
	after := []Trial{{Day: "a", Seed: 2, Worth: 0.5}, {Day: "a", Seed: 1, Worth: 0.4}, {Day: "a", Seed: 1, Worth: 0.6}}
	pairs, unpaired := MatchPairs(before, after)
	require.Equal(t, 2, unpaired)
	require.Equal(t, []Pair{{Before: before[1], After: after[0]}, {Before: before[0], After: after[1]}}, pairs)
}

// TestSummarizeReportsErrorOfDifference checks that the reported error is that of the
// differences within the pairs, and not that of the days.
func TestSummarizeReportsErrorOfDifference(t *testing.T) {
	rows := Summarize([]Pair{
		{Before: Trial{Day: "a", Worth: 0.1}, After: Trial{Day: "a", Worth: 0.2}},
		{Before: Trial{Day: "a", Worth: 0.9, Broken: []string{"x"}}, After: Trial{Day: "a", Worth: 1.2}},
		{Before: Trial{Day: "b", Worth: 0.5}, After: Trial{Day: "b", Worth: 0.5}},
	})
	require.Len(t, rows, 3)
	require.Equal(t, "a", rows[0].Day)
	require.InDelta(t, 0.2, rows[0].Worth.Value, 1e-9)
	// The two pairs of the day differ far more than the two trials of a pair do.
	require.InDelta(t, 0.1, rows[0].Worth.Error, 1e-9)
	require.Equal(t, [2]int{1, 0}, rows[0].Broken)
	require.True(t, math.IsNaN(rows[1].Worth.Error))
	require.Equal(t, allDays, rows[2].Day)
	require.Equal(t, 3, rows[2].Pairs)

	var out strings.Builder
	require.NoError(t, Table(&out, rows))
	require.Contains(t, out.String(), "+0.200 ± 0.100")
}
