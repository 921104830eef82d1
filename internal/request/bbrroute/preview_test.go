package bbrroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPreviewIsTheNextAcquired guards against a preview that differs from the choice that
// follows, and against one that takes a slot.
func TestPreviewIsTheNextAcquired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, revision := benchZone(1, 3*76)
		var registry Registry
		pool := registry.Build(view, 1, revision, benchSelf).Queues["q-0"].Pool
		now := time.Now()
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			criteria := Criteria{TieBreaker: rapid.Uint64().Draw(t, "tie"), Urgent: rapid.Bool().Draw(t, "urgent")}
			free := pool.FreeSlots()
			target := pool.Preview(criteria, now)
			require.Equal(t, free, pool.FreeSlots())
			require.Same(t, target, pool.Acquire(criteria, now))
		}
	})
}
