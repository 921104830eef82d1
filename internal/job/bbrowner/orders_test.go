package bbrowner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestStoredRunNumberRequestsPlan guards against long-running work that waits for the next
// regular plan after the number of its next run was stored.
func TestStoredRunNumberRequestsPlan(t *testing.T) {
	const id = "00000000000000a1"
	shard, now := bbrwork.Shard{Service: "press"}, time.Now()
	var committed bbrkv.Transaction
	commit := func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		committed = transaction
		return 9, nil
	}
	sched := bbrscheduler.New(shard, 7, bbrscheduler.Timing{StartTimeout: time.Second}, true, now)
	sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Accepted: now, Steps: []bbrwork.Step{{Count: 1, LongRunning: true}}}, 5, nil, now)
	upstream := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1000}, Service: "press"}
	sched.RegisterUpstream(upstream, now)
	end := bbrwork.RunEnd{Sequence: 1, Unit: bbrwork.Unit{Job: id}, Run: 1, Outcome: bbrwork.OutcomeStopped}
	sched.ApplyListing(upstream.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1000, Ended: []bbrwork.RunEnd{end}}, now, now)
	o := &Owner{
		Held: bbrclaim.HeldClaim{Name: "press/0", Token: 7}, Shard: shard, Store: &bbrkv.Store{Commit: commit}, Metrics: bbrmetric.New(),
		scheduler: sched, wake: make(chan struct{}, 1),
	}
	f := &flusher{owner: o}
	for range 2 { // The first transaction has the horizon and the recorded upstream.
		require.Empty(t, sched.Plan(true, now).Starts)
		_, err := f.flushBatch(t.Context(), now)
		require.NoError(t, err)
		require.Len(t, o.wake, 1)
		<-o.wake
	}
	require.Equal(t, bbrrecord.ProgressKey(shard, id), committed.Puts[len(committed.Puts)-1].Key)
	require.Contains(t, string(committed.Puts[len(committed.Puts)-1].Value), `"ordered":{"0":2}`)
	require.True(t, storedSequence(bbrkv.Item{Value: committed.Puts[0].Value}).OrdersStored)
	starts := sched.Plan(true, now).Starts
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Start.Run)
}

// TestEarlierVersionTakesRunNumbersBack guards against a successor that relies on run
// numbers after an owner of an earlier version, which orders runs without storing them.
func TestEarlierVersionTakesRunNumbersBack(t *testing.T) {
	// earlierSequence is the record as versions without OrdersStored read and write it.
	type earlierSequence struct {
		Token   int64          `json:"token"`
		Number  int64          `json:"number"`
		Horizon bbrkv.Revision `json:"horizon,omitempty"`
	}
	stored := bbrrecord.Encode(bbrrecord.Sequence{Token: 3, Number: 9, Horizon: 44, OrdersStored: true})
	var earlier earlierSequence
	require.NoError(t, json.Unmarshal(stored, &earlier))
	require.Equal(t, earlierSequence{Token: 3, Number: 9, Horizon: 44}, earlier)
	earlier.Number++
	require.False(t, storedSequence(bbrkv.Item{Value: bbrrecord.Encode(earlier)}).OrdersStored)
}
