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
	"github.com/bluebellridge/bluebellridge/internal/job/bbrledger"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// sequenceStore holds one claim and one sequence, and answers slowly.
type sequenceStore struct {
	mu        sync.Mutex
	revision  bbritem.Revision
	conflicts int
	// delay is between the change and its answer; a call that is cancelled
	// meanwhile has been carried out all the same.
	delay time.Duration
}

func (s *sequenceStore) commit(ctx context.Context, transaction bbritem.Transaction) (bbritem.Revision, error) {
	s.mu.Lock()
	for _, condition := range transaction.Conditions {
		if condition.Key == bbrrecord.SequenceKey("press") && condition.Revision != s.revision {
			s.conflicts++
			s.mu.Unlock()
			return 0, &bbritem.Conflict{}
		}
	}
	s.revision++
	revision := s.revision
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
		return revision, nil
	case <-ctx.Done():
		return 0, bbritem.ErrLost
	}
}

func TestLastTransactionWaitsForTheOneOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sequenceStore{delay: 50 * time.Millisecond}
		o := &Owner{
			Held:      bbrclaim.Held{Service: "press", Token: 7},
			Store:     &bbritem.Store{Commit: store.commit},
			Metrics:   bbrmetric.New(),
			Confirmed: func(time.Time) bool { return true },
			ledger:    bbrledger.New("press", 7, bbrledger.Timing{}, true, time.Now()),
			flushNow:  make(chan struct{}, 1),
			replaced:  func() {},
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
		require.Equal(t, store.revision, o.sequence.revision)
	})
}
