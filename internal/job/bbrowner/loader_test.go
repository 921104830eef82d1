package bbrowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestNothingPartialIsPublishedWhileJobsAreLoaded guards against reports, rooms, previews and
// states that are based on a part of the shard's jobs.
func TestNothingPartialIsPublishedWhileJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLoopOwner(0)
		reports := 0
		o.Store = &bbrkv.Store{Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			for _, put := range transaction.Puts {
				if put.Key == bbrrecord.ReportKey(o.Shard) {
					reports++
				}
			}
			return 100, nil
		}}
		o.PublishRoom, o.FairShares = true, true
		o.loading.start(time.Now())
		o.begin(&storedRecords{sequence: bbrkv.Item{Revision: 5, Value: bbrrecord.Encode(bbrrecord.Sequence{Horizon: 9})}}, time.Now(), time.Now())
		time.Sleep(5 * time.Second)
		job := bbrwork.Job{ID: "00000000000000a1", Service: "press", Cell: 2, Steps: []bbrwork.Step{{Count: 1}}, Accepted: time.Now()}
		f := &flusher{owner: o}
		published := func() (state, placed, room, waits bool) {
			require.NoError(t, f.flush(t.Context()))
			o.mu.Lock()
			o.updateRoom(time.Now())
			o.mu.Unlock()
			_, state = o.State(job.ID, time.Now())
			_, placed = o.Place(&bbrwork.Job{ID: "00000000000000a2", Service: "press", Cell: 2, Steps: job.Steps}, time.Now())
			_, room = o.Room(time.Now())
			return state, placed, room, o.ExpectedWaits(time.Now()) != nil
		}
		state, placed, room, waits := published()
		require.False(t, state || placed || room || waits)
		require.Zero(t, reports)

		l := newLoader(o)
		l.addJob(bbrkv.Item{Key: bbrrecord.JobKey(o.Shard, job.ID), Value: bbrrecord.Encode(&job), Revision: 3}, nil)
		l.finish(time.Now(), time.Now())
		time.Sleep(time.Second)
		state, placed, room, _ = published()
		require.True(t, state && placed && room)
		require.Equal(t, 1, reports)
	})
}

// TestLoadingCountsAsNoLateness guards against an owner that releases a shard with a large
// backlog, as its rounds are late while it adds the jobs.
func TestLoadingCountsAsNoLateness(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newLoopOwner(0)
	asked := 0
	o.HandOver = func(time.Time, time.Time) bool {
		asked++
		return true
	}
	o.loading.start(now)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		require.False(t, o.mustHandOver(now))
	}
	o.loading.finish()
	now = now.Add(500 * time.Millisecond)
	require.False(t, o.mustHandOver(now), "lateness counts from the end of loading")
	require.Zero(t, asked)
	for range 9 {
		now = now.Add(500 * time.Millisecond)
		o.mustHandOver(now)
	}
	require.NotZero(t, asked)
}
