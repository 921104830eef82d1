package bbrfairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestUseIsBoundedAndForgotten guards against use that counts for more than the most that
// ever ran, and against a share that is reduced long after a burst.
func TestUseIsBoundedAndForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var use Use
		most := 0
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond)
			if running := use.Running.MilliCPU; running > 0 && rapid.Bool().Draw(t, "end") {
				use.Remove(bbrwork.Resources{MilliCPU: running, MemoryMB: use.Running.MemoryMB}, now)
			} else {
				amount := rapid.IntRange(1, 5000).Draw(t, "amount")
				idle := use.Running == bbrwork.Resources{} && use.Counted(now).MilliCPU == 0
				before := use.Counted(now).MilliCPU
				use.Add(bbrwork.Resources{MilliCPU: amount, MemoryMB: amount}, now)
				require.GreaterOrEqual(t, use.Counted(now).MilliCPU, before+int(presentPart*float64(amount)), "a start counts immediately")
				if idle {
					require.Equal(t, amount, use.Counted(now).MilliCPU, "one plan counts what it starts in full")
				}
				use.BeginPlan()
			}
			most = max(most, use.Running.MilliCPU)
			require.LessOrEqual(t, use.Counted(now).MilliCPU, most)
		}
		use.Remove(use.Running, now)
		require.LessOrEqual(t, use.Counted(now.Add(3*averageTime)).MilliCPU, most/20)
	})
}
