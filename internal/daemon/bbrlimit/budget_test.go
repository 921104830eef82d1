package bbrlimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetIsNeverExceeded guards against charges that are lost or counted twice: the sum
// of what clients hold stays within the budget, and everything is available again once
// they have released it.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(smallBody, 20*smallBody).Draw(t, "size")
		b := newBudget(size)
		charges := make([]charge, rapid.IntRange(1, 10).Draw(t, "charges"))
		for i := range charges {
			charges[i].budget = b
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			c := &charges[rapid.IntRange(0, len(charges)-1).Draw(t, "charge")]
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				c.release()
				require.Zero(t, c.held)
				continue
			}
			before, n := c.held, rapid.Int64Range(0, size).Draw(t, "bytes")
			if added := c.add(n); added {
				require.Equal(t, before+n, c.held)
			} else {
				require.Equal(t, before, c.held)
			}
			var held, large int64
			for i := range charges {
				held += charges[i].held
				large += beyondSmall(charges[i].held)
			}
			require.Equal(t, held, b.held.Load())
			require.LessOrEqual(t, held, size)
			require.LessOrEqual(t, large, size-size/4)
		}
		for i := range charges {
			charges[i].release()
		}
		require.True(t, b.all.TryAcquire(size))
		require.True(t, b.large.TryAcquire(size-size/4))
	})
}

// TestSmallBodiesAreAdmittedBesideLargeOnes guards against large bodies that leave nothing
// for ordinary jobs.
func TestSmallBodiesAreAdmittedBesideLargeOnes(t *testing.T) {
	b := newBudget(100 * smallBody)
	for large := (charge{budget: b}); large.add(smallBody); {
	}
	small := charge{budget: b}
	require.True(t, small.add(smallBody))
}
