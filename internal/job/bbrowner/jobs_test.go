package bbrowner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestCrashRecordsOfEndedJobsAreRemoved guards against records that stay for ever: an
// owner of an earlier build ends a job without removing its crash record.
func TestCrashRecordsOfEndedJobsAreRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	shard := bbrwork.Shard{Service: "press"}
	var removed []string
	commit := func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		require.LessOrEqual(t, transaction.Size(), bbrkv.MaxTransactionSize)
		removed = append(removed, transaction.Removals...)
		return 1, nil
	}
	o := &Owner{Shard: shard, Store: &bbrkv.Store{Commit: commit}, Metrics: bbrmetric.New(), Confirmed: func(time.Time) bool { return true }}
	o.scheduler = bbrscheduler.New(shard, 7, bbrscheduler.Timing{}, true, now)
	record := bbrrecord.Encode(bbrcrash.Record{Suspects: []bbrcrash.Suspect{{Crashes: bbrcrash.History{{Upstream: "i-1", Youngest: true}}}}})
	items := []bbrkv.Item{{Key: bbrrecord.CrashesKey(shard, "a1"), Value: record}}
	const stale = 2 * bbrkv.MaxTransactionSize
	for i := range int64(stale) {
		items = append(items, bbrkv.Item{Key: bbrrecord.CrashesKey(shard, "b"+bbrrecord.Number(i)), Value: record})
	}
	for _, item := range items {
		o.scheduler.RestoreCrashes(bbrrecord.JobID(item.Key), item.Value, now)
	}
	o.scheduler.BeginLoading(nil, 0, now)
	o.scheduler.AddJob(&bbrwork.Job{ID: "a1", Service: "press", Steps: []bbrwork.Step{{Count: 1}}, Accepted: now}, 0, nil, now)
	o.loading.start(now)
	newLoader(o).finish(now, now)
	require.Equal(t, 1, o.scheduler.CrashCounts().Suspects)
	f := &flusher{owner: o}
	for range 3 {
		require.NoError(t, f.commit(t.Context(), bbrscheduler.Batch{}, report{}, true, now))
	}
	require.Len(t, removed, stale)
	require.NotContains(t, removed, bbrrecord.CrashesKey(shard, "a1"))
	require.Empty(t, o.staleCrashKeys)
}

// TestEventReportedAgainStartsNoEndedJob guards against a job that runs again after its end:
// once the history is compacted, the watch may go on from a revision before the claim, or
// before events that were applied, and report jobs that have ended long since.
func TestEventReportedAgainStartsNoEndedJob(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newLoopOwner(0)
	o.followedRevision, o.eventRevision = 20, 20
	event := func(id string, revision bbrkv.Revision) bbrkv.Item {
		job := bbrwork.Job{ID: id, Service: "press", Cell: 2, Steps: []bbrwork.Step{{Count: 1}}, Accepted: now}
		return bbrkv.Item{Key: bbrrecord.JobKey(o.Shard, id), Value: bbrrecord.Encode(&job), Revision: revision, Created: revision}
	}
	o.jobChanged(event("a1", 10), now)
	require.Zero(t, o.scheduler.JobCount(), "an earlier owner may have ended it")
	for _, id := range []string{"b1", "b2"} {
		o.jobChanged(event(id, 30), now)
	}
	o.jobsFollowed(now)
	require.Equal(t, 2, o.scheduler.JobCount(), "stored by one transaction")
	for _, id := range []string{"b1", "b2"} {
		o.scheduler.Cancel(id, now)
	}
	for range 3 {
		now = now.Add(2 * time.Minute)
		o.scheduler.ApplyStored(o.scheduler.Batch(10, now), 31, now)
	}
	require.Zero(t, o.scheduler.JobCount())
	o.jobChanged(event("b1", 30), now)
	require.Zero(t, o.scheduler.JobCount(), "it has ended")
	o.jobChanged(event("c1", 32), now)
	require.Equal(t, 1, o.scheduler.JobCount())
}
