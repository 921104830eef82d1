package bbrowner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// newBulkyOwner returns an owner with count jobs whose progress of size bytes each is to be
// stored, and one job that waits for the horizon.
func newBulkyOwner(t *testing.T, count, size int) *Owner {
	o := newLoopOwner(0)
	now := time.Now()
	var ups []bbrwork.Upstream
	for i := range count {
		up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: fmt.Sprintf("i-%02d", i), StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 2000}}
		o.scheduler.RegisterUpstream(up, now)
		o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
		ups = append(ups, up)
	}
	steps := []bbrwork.Step{{Count: 2, Need: bbrwork.Resources{MilliCPU: 1000}, Estimate: time.Second, Checkpoints: true}}
	for i := range count {
		o.scheduler.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016x", i), Service: "press", Cell: 2, Steps: steps, Accepted: now}, 20, nil, now)
	}
	o.scheduler.Plan(true, now)
	o.scheduler.ApplyStored(o.scheduler.Batch(1000, now), 20, now)
	starts := o.scheduler.Plan(true, now).Starts
	require.Len(t, starts, 2*count)
	listings := make(map[bbrwork.Incarnation]*bbrwork.Listing)
	for _, up := range ups {
		listings[up.Incarnation] = &bbrwork.Listing{Clock: 2 * time.Second, StartMillis: 1}
	}
	for _, start := range starts {
		o.scheduler.ApplyStartResult(start, time.Second, nil, now)
		listing := listings[start.Upstream.Incarnation]
		end := bbrwork.RunEnd{Sequence: int64(len(listing.Ended) + 1), Unit: start.Start.Unit, Run: start.Start.Run, Outcome: bbrwork.OutcomeDone}
		if end.Unit.Index == 1 {
			end.Outcome, end.Checkpoint = bbrwork.OutcomeLeaseExpired, strings.Repeat("c", size)
		}
		listing.Ended = append(listing.Ended, end)
	}
	for incarnation, listing := range listings {
		o.scheduler.ApplyListing(incarnation, listing, now, now)
	}
	o.scheduler.AddJob(&bbrwork.Job{ID: "000000000000ffff", Service: "press", Cell: 2, Steps: steps, Accepted: now}, 5000, nil, now)
	o.scheduler.Plan(true, now)
	require.True(t, o.scheduler.NeedsHorizon())
	return o
}

// TestStartsDoNotWaitForBulk guards against starts that wait for the horizon while a
// transaction with much progress and a report crosses a small link.
func TestStartsDoNotWaitForBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const progressBytes = 20000
		o := newBulkyOwner(t, 20, progressBytes)
		var sizes []int
		stored, reports := make(map[string]bool), 0
		started := time.Now()
		horizonAfter := time.Duration(0)
		o.Store = &bbrkv.Store{Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			sizes = append(sizes, transactionBytes(&transaction))
			// 2 Mbit/s, with values in base64.
			time.Sleep(time.Duration(transactionBytes(&transaction)) * 4 / 3 * time.Second / 250000)
			if horizonAfter == 0 {
				horizonAfter = time.Since(started)
			}
			for _, put := range transaction.Puts {
				if put.Key == bbrrecord.ReportKey(o.Shard) {
					reports++
				}
				if strings.HasPrefix(put.Key, bbrrecord.ProgressPrefixOf(o.Shard)) {
					stored[put.Key] = true
				}
			}
			return bbrkv.Revision(100 + len(sizes)), nil
		}}
		f := &flusher{owner: o}
		require.NoError(t, f.flush(t.Context()))
		require.LessOrEqual(t, horizonAfter, 100*time.Millisecond, "transactions: %v", sizes)
		require.False(t, o.scheduler.NeedsHorizon())
		require.Len(t, stored, 20, "all progress is stored")
		require.NotZero(t, reports)
		for _, size := range sizes {
			require.LessOrEqual(t, size, maxTransactionBytes+progressBytes)
		}
	})
}

// TestBulkIsStoredWhileStartsWait guards against progress that is never stored because each
// transaction is urgent.
func TestBulkIsStoredWhileStartsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newBulkyOwner(t, 5, 20000)
		stored := make(map[string]bool)
		revision := bbrkv.Revision(5000)
		o.Store = &bbrkv.Store{Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			for _, put := range transaction.Puts {
				if strings.HasPrefix(put.Key, bbrrecord.ProgressPrefixOf(o.Shard)) {
					stored[put.Key] = true
				}
			}
			revision += 10000
			return revision, nil
		}}
		f := &flusher{owner: o}
		for i := range 4 {
			_, err := f.flushBatch(t.Context(), time.Now())
			require.NoError(t, err)
			job := bbrwork.Job{ID: fmt.Sprintf("%016x", 0xfff0+i), Service: "press", Cell: 2, Steps: []bbrwork.Step{{Count: 1, Estimate: time.Second}}, Accepted: time.Now()}
			o.scheduler.AddJob(&job, revision+5000, nil, time.Now())
			o.scheduler.Plan(true, time.Now())
			require.True(t, o.scheduler.NeedsHorizon(), "another job waits for the horizon")
		}
		require.Len(t, stored, 5)
	})
}

// TestLargeWritesFit checks that a transaction has no more bytes than an entry with a small
// link can send, and that a single larger write is stored nonetheless.
func TestLargeWritesFit(t *testing.T) {
	write := bbrscheduler.Write{Job: &bbrwork.Job{ID: "00000000000000a1", Service: "press"}, Progress: make([]byte, 2*maxTransactionBytes)}
	batch, complete := fitTransaction(bbrscheduler.Batch{Writes: []bbrscheduler.Write{write, write}}, false)
	require.Equal(t, 1, len(batch.Writes))
	require.False(t, complete)
	batch, complete = fitTransaction(bbrscheduler.Batch{Writes: []bbrscheduler.Write{write, write}}, true)
	require.Zero(t, len(batch.Writes))
	require.False(t, complete)
}
