package bbrwork

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDueBeyondLongestDuration guards against occurrences that are started at once, since
// their due time is further away than a duration can be.
func TestDueBeyondLongestDuration(t *testing.T) {
	first := time.Date(2026, 12, 5, 0, 0, 0, 500_000_000, time.UTC)
	const month = 30 * 24 * time.Hour
	schedule := Schedule{Count: 12000, First: first, Every: month + 250*time.Millisecond}
	previous := first
	for n := 1; n < schedule.Count; n++ {
		due := schedule.Due(n)
		require.Equal(t, schedule.Every, due.Sub(previous), "occurrence %d", n)
		previous = due
	}
	require.Equal(t, 3012, previous.Year())
	// Earlier versions stored intervals whose occurrences are due after the year 9999.
	endless := Schedule{Count: 100_000, First: first, Every: math.MaxInt64}
	require.Equal(t, LatestDue, endless.Due(99_999))
}
