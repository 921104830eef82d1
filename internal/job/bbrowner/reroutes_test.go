package bbrowner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// routedTo returns a configuration that routes the queues q0 to q(count-1) to a service.
func routedTo(version int64, service string, count int) *bbrwork.Config {
	var queues []*bbrwork.Queue
	for n := range count {
		queues = append(queues, &bbrwork.Queue{Name: fmt.Sprintf("q%d", n), Service: service, Attempts: 1})
	}
	return bbrwork.NewConfig(version, queues, nil, bbrwork.Limits{})
}

// TestReroutedQueueIsRecorded guards against queries that miss the waiting jobs of a queue that was
// routed to another service: the owner stores that its shard has them, a successor that has no record
// of its own removes it, and transactions stay within the store's limit.
func TestReroutedQueueIsRecorded(t *testing.T) {
	const queues, jobs = 2*maxRerouteChanges + 1, 400
	directory := &bbrclaim.Directory{}
	directory.Snapshot(nil, 1, time.Now())
	shard := bbrwork.Shard{Service: "press"}
	revision := bbrkv.Revision(1)
	commit := func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		require.LessOrEqual(t, transaction.Size(), bbrkv.MaxTransactionSize)
		revision++
		for _, put := range transaction.Puts {
			directory.Change(bbrkv.Item{Key: put.Key, Value: put.Value, Revision: revision}, time.Now())
		}
		for _, key := range transaction.Removals {
			directory.Change(bbrkv.Item{Key: key, Revision: revision, Deleted: true}, time.Now())
		}
		return revision, nil
	}
	config := routedTo(1, "press", queues)
	now := time.Now()
	newFlusher := func() *flusher {
		o := &Owner{
			Held: bbrclaim.HeldClaim{Name: "press/0", Token: 7}, Shard: shard, Store: &bbrkv.Store{Commit: commit}, Metrics: bbrmetric.New(),
			Config: func() *bbrwork.Config { return config }, ReroutedQueues: directory.ReroutedQueues,
			scheduler: bbrscheduler.New(shard, 7, bbrscheduler.Timing{}, true, now), flushNow: make(chan struct{}, 1), cancelRun: func() {},
		}
		for n := range jobs {
			o.scheduler.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016d", n), Queue: fmt.Sprintf("q%d", n%queues), Service: "press", Steps: []bbrwork.Step{{Count: 1}}}, 0, nil, now)
		}
		return &flusher{owner: o}
	}
	flush := func(f *flusher) {
		for range 8 {
			now = now.Add(time.Second)
			_, err := f.flushBatch(t.Context(), now)
			require.NoError(t, err)
		}
	}
	f := newFlusher()
	flush(f)
	require.Empty(t, directory.ReroutedQueues(shard))

	config = routedTo(2, "board", queues)
	// Writes fill the transactions meanwhile.
	for n := 0; n < jobs; n += queues {
		f.owner.scheduler.Cancel(fmt.Sprintf("%016d", n), now)
	}
	flush(f)
	require.Len(t, directory.ReroutedQueues(shard), queues-1, "all jobs of one queue are cancelled")
	require.Equal(t, []string{"press"}, directory.ReroutedServices("q1"))
	require.Empty(t, directory.ReroutedServices("q0"))
	require.Equal(t, []string{"press"}, directory.ServicesOfReroutedQueues())

	config = bbrwork.NewConfig(3, nil, nil, bbrwork.Limits{})
	flush(f)
	require.Len(t, directory.ReroutedQueues(shard), queues-1, "the configuration has no such queues")

	config = routedTo(4, "press", queues)
	flush(newFlusher())
	require.Empty(t, directory.ReroutedQueues(shard))
}
