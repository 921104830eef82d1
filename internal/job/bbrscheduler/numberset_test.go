package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestNumberSet compares a set with a map, and guards against ranges that touch, whose number would
// grow with that of the occurrences that are done.
func TestNumberSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 24
		var set numberSet
		want := make(map[int]bool)
		for _, n := range rapid.SliceOf(rapid.IntRange(0, limit-1)).Draw(t, "numbers") {
			set.add(n)
			want[n] = true
			require.Equal(t, len(want), set.count)
			for i, r := range set.ranges {
				require.Less(t, r.from, r.to)
				require.True(t, i == 0 || set.ranges[i-1].to < r.from, "%v", set.ranges)
			}
			for n := range limit {
				require.Equal(t, want[n], set.has(n), "%d in %v", n, set.ranges)
				next := n
				for want[next] {
					next++
				}
				require.Equal(t, next, set.nextAbsent(n), "from %d in %v", n, set.ranges)
			}
		}
	})
}
