package bbrowner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// slowStore has one claim and one sequence, and answers slowly.
type slowStore struct {
	mu        sync.Mutex
	revision  bbrkv.Revision
	conflicts int
	// delay is the time from the commit to its answer. A call that is cancelled in
	// between has been committed nevertheless.
	delay time.Duration
}

func (s *slowStore) commit(ctx context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.mu.Lock()
	for _, condition := range transaction.Conditions {
		if condition.Key == bbrrecord.SequenceKey(bbrwork.Shard{Service: "press"}) && condition.Revision != s.revision {
			s.conflicts++
			s.mu.Unlock()
			return 0, &bbrkv.Conflict{}
		}
	}
	s.revision++
	revision := s.revision
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
		return revision, nil
	case <-ctx.Done():
		return 0, bbrkv.ErrAnswerLost
	}
}

// TestFinalFlushWaitsForTransactionInFlight guards against a final flush that
// conflicts with the owner's own transaction: if the end of the owner cancels a
// transaction in flight, its outcome and therefore the revision that the final flush
// must name remain unknown.
func TestFinalFlushWaitsForTransactionInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{delay: 50 * time.Millisecond}
		o := &Owner{
			Held:      bbrclaim.HeldClaim{Name: "press/0", Token: 7},
			Shard:     bbrwork.Shard{Service: "press"},
			Store:     &bbrkv.Store{Commit: store.commit},
			Metrics:   bbrmetric.New(),
			Confirmed: func(time.Time) bool { return true },
			scheduler: bbrscheduler.New(bbrwork.Shard{Service: "press"}, 7, bbrscheduler.Timing{}, true, time.Now()),
			flushNow:  make(chan struct{}, 1),
			cancelRun: func() {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		f := &flusher{owner: o}
		var wg sync.WaitGroup
		wg.Go(func() { f.run(ctx) })
		signal(o.flushNow)
		time.Sleep(10 * time.Millisecond)
		cancel()
		wg.Wait()
		require.Zero(t, store.conflicts)
		require.NotZero(t, store.revision)
		require.Equal(t, store.revision, o.commits.revision)
	})
}

// TestTransactionEntriesOfJobs checks that a transaction has as many entries as were
// counted, and that the end of a job without stored progress needs only two: its
// status and its removal.
func TestTransactionEntriesOfJobs(t *testing.T) {
	tests := []struct {
		name  string
		write bbrscheduler.Write
		want  int
	}{
		{name: "nothing stored", write: bbrscheduler.Write{FinalState: bbrwork.Completed}, want: 2},
		{name: "with progress", write: bbrscheduler.Write{FinalState: bbrwork.Completed, HasProgress: true}, want: 3},
		{name: "cancelled, with progress", write: bbrscheduler.Write{FinalState: bbrwork.Cancelled, HasProgress: true, HasCancel: true}, want: 4},
		{name: "not ended", write: bbrscheduler.Write{HasProgress: true}, want: 1},
		{name: "with crashes", write: bbrscheduler.Write{Crashes: []byte("{}")}, want: 2},
		{name: "ended, with crashes", write: bbrscheduler.Write{FinalState: bbrwork.Failed, HasProgress: true, RemoveCrashes: true}, want: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.write.Job = &bbrwork.Job{ID: "00000000000000a1", Service: "press"}
			var batch bbrscheduler.Batch
			for range bbrkv.MaxTransactionSize {
				batch.Writes = append(batch.Writes, test.write)
			}
			fitting, complete := fitTransaction(batch, false)
			require.False(t, complete)
			require.Len(t, fitting.Writes, (bbrkv.MaxTransactionSize-fixedEntries)/test.want)
			var transaction bbrkv.Transaction
			for _, write := range fitting.Writes {
				addWrite(&transaction, write, time.Time{})
			}
			require.Equal(t, test.want*len(fitting.Writes), transaction.Size())
		})
	}
}

// TestSlowReportsAreComputedLessOften guards against an owner that computes reports all the
// time while its backlog is large.
func TestSlowReportsAreComputedLessOften(t *testing.T) {
	for _, test := range []struct{ took, ttl time.Duration }{
		{0, minReportTTL},
		{time.Millisecond, minReportTTL},
		{10 * time.Millisecond, 250 * time.Millisecond},
		{time.Second, maxReportTTL},
	} {
		require.Equal(t, test.ttl, reportTTL(test.took), "took %v", test.took)
	}
}
