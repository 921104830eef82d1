package bbrintake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// slowShard is a store with a shard without a report, whose jobs take a second to read.
type slowShard struct {
	mu    sync.Mutex
	jobs  []bbrkv.Item
	reads atomic.Int64
}

var slowShardName = bbrwork.Shard{Service: "press"}

// add stores jobs of queue "q".
func (s *slowShard) add(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		s.jobs = append(s.jobs, bbrkv.Item{Key: bbrrecord.JobKey(slowShardName, fmt.Sprint(len(s.jobs))), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "q"})})
	}
}

func (s *slowShard) readRange(ctx context.Context, prefix, _ string) (bbrkv.Page, error) {
	if !strings.HasPrefix(prefix, bbrrecord.JobPrefix) {
		return bbrkv.Page{}, nil
	}
	s.reads.Add(1)
	s.mu.Lock()
	page := bbrkv.Page{Items: s.jobs}
	s.mu.Unlock()
	select {
	case <-time.After(time.Second):
		return page, nil
	case <-ctx.Done():
		return bbrkv.Page{}, ctx.Err()
	}
}

func (s *slowShard) intake() *Intake {
	return &Intake{
		Cells: func() *bbrcell.Cells { return nil }, Store: &bbrkv.Store{Range: s.readRange},
		OwnerToken: func(bbrwork.Shard) (bbrkv.Revision, bool) { return 0, false },
	}
}

// TestQueriesShareReadOfStoredJobs guards against queries that fill the entry's link, as
// each of them reads all jobs of a shard whose owner has not reported.
func TestQueriesShareReadOfStoredJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shard := &slowShard{}
		shard.add(7)
		intake := shard.intake()
		var queries sync.WaitGroup
		for i := range 50 {
			queries.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				waiting, code := intake.Waiting(t.Context(), &bbrwork.Queue{Name: "q", Service: "press"})
				require.Equal(t, bbrcode.StateReported, code)
				require.Equal(t, 7, waiting)
			})
		}
		queries.Wait()
		require.Equal(t, int64(1), shard.reads.Load())
	})
}

// TestShardsAreCountedTogether guards against queries that end without an answer after the loss
// of several owners, as they wait for one shard after the other.
func TestShardsAreCountedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shard := &slowShard{}
		shard.add(2)
		intake := shard.intake()
		intake.Cells = func() *bbrcell.Cells { return &bbrcell.Cells{Sizes: []int{1, 1, 1}} }
		began := time.Now()
		waiting, code := intake.Waiting(t.Context(), &bbrwork.Queue{Name: "q", Service: "press"})
		require.Equal(t, bbrcode.StateReported, code)
		require.Equal(t, 6, waiting)
		require.Equal(t, time.Second, time.Since(began), "as long as one shard takes")
	})
}

// TestSharedReadIsRecent guards against a count of jobs that is older than a query accepts,
// or that ends with the deadline of another query.
func TestSharedReadIsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shard := &slowShard{}
		shard.add(1)
		intake := shard.intake()
		queue := &bbrwork.Queue{Name: "q", Service: "press"}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, code := intake.Waiting(ctx, queue)
		require.Equal(t, bbrcode.StoreUnavailable, code)
		waiting, _ := intake.Waiting(t.Context(), queue)
		require.Equal(t, 1, waiting)
		require.Equal(t, int64(1), shard.reads.Load())

		shard.add(1)
		time.Sleep(quickCountAge)
		waiting, _ = intake.Waiting(t.Context(), queue)
		require.Equal(t, 2, waiting)
	})
}
