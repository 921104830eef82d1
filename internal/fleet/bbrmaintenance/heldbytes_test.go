package bbrmaintenance

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestHeldBytesOfAllShardsAreStored guards against entries that accept jobs by the memory that one shard
// needs, or by what was needed long ago: the sum is stored when it has changed, whether it grows or
// shrinks, also after a write whose outcome is unknown, and not while it changes little.
func TestHeldBytesOfAllShardsAreStored(t *testing.T) {
	now := time.Now()
	reports := map[bbrwork.Shard]bbrrecord.Report{{Service: requestingPool}: {At: now}, {Service: releasingPool}: {At: now}}
	controller := newTestController(now, nil, reports)
	var stored bbrkv.Item
	writes, lost := 0, false
	get, commit := controller.Store.Get, controller.Store.Commit
	controller.Store.Get = func(ctx context.Context, key string) (bbrkv.Item, error) {
		if key == bbrclaim.HeldBytesKey {
			return stored, nil
		}
		return get(ctx, key)
	}
	controller.Store.Commit = func(ctx context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		if len(transaction.Puts) == 0 || transaction.Puts[0].Key != bbrclaim.HeldBytesKey {
			return commit(ctx, transaction)
		}
		require.Equal(t, stored.Revision, transaction.Conditions[1].Revision)
		writes++
		stored = bbrkv.Item{Key: bbrclaim.HeldBytesKey, Value: transaction.Puts[0].Value, Revision: stored.Revision + 1}
		if lost {
			return 0, bbrkv.ErrAnswerLost
		}
		return stored.Revision, nil
	}
	require.NoError(t, controller.storeHeldBytes(t.Context(), now), "no reports have been read")
	require.Zero(t, writes)
	for round, step := range []struct {
		requesting, releasing int
		lost                  bool
		wantBytes             int64
		wantWrites            int
	}{
		{wantWrites: 0},
		{requesting: 40 << 20, releasing: 30 << 20, wantBytes: 70 << 20, wantWrites: 1},
		{requesting: 40<<20 + 1000, releasing: 30 << 20, wantBytes: 70 << 20, wantWrites: 1},
		{requesting: 10 << 20, releasing: 30 << 20, lost: true, wantBytes: 40 << 20, wantWrites: 2},
		{requesting: 10 << 20, releasing: 30 << 20, wantBytes: 40 << 20, wantWrites: 2},
		{wantBytes: 0, wantWrites: 3},
	} {
		reports[bbrwork.Shard{Service: requestingPool}] = bbrrecord.Report{At: now, HeldBytes: step.requesting}
		reports[bbrwork.Shard{Service: releasingPool}] = bbrrecord.Report{At: now, HeldBytes: step.releasing}
		require.NoError(t, controller.readReports(t.Context(), now))
		lost = step.lost
		err := controller.storeHeldBytes(t.Context(), now)
		require.Equal(t, step.lost, err != nil, "round %d", round)
		held, err := bbrclaim.ParseHeldBytes(stored)
		require.NoError(t, err)
		require.Equal(t, step.wantBytes, held.Bytes, "round %d", round)
		require.Equal(t, step.wantWrites, writes, "round %d", round)
		now = now.Add(time.Second)
	}
}
