package bbrowner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestUnsettledTransactionIsReported guards against an owner that waits for the answer to a
// transaction for seconds, while its jobs wait for the horizon, without a line or a metric
// that says so.
func TestUnsettledTransactionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := captureLog(t)
		o := newLoopOwner(0)
		calls := 0
		o.Store = &bbrkv.Store{Commit: func(context.Context, bbrkv.Transaction) (bbrkv.Revision, error) {
			calls++
			time.Sleep(800 * time.Millisecond)
			if calls < 4 {
				return 0, bbrkv.ErrAnswerLost
			}
			return 50, nil
		}}
		now := time.Now()
		up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 4000}}
		o.scheduler.RegisterUpstream(up, now)
		o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
		o.scheduler.AddJob(&bbrwork.Job{ID: "a", Service: "press", Cell: 2, Steps: []bbrwork.Step{{Count: 1, Estimate: time.Second}}, Accepted: now}, 20, nil, now)
		o.scheduler.Plan(true, now)
		f := &flusher{owner: o}
		var wg sync.WaitGroup
		wg.Go(func() { require.NoError(t, f.flush(t.Context())) })
		report := func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.recordHorizon(time.Now())
			o.reportUnsettled(time.Now())
		}
		for range 20 {
			report()
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 1.9, valuesByReason(t, o.Metrics, "bbr_unsettled_transaction_seconds")["press/2"], 0.01)
		wg.Wait()
		report()
		require.Zero(t, valuesByReason(t, o.Metrics, "bbr_unsettled_transaction_seconds")["press/2"])
		require.Contains(t, log.String(), `"Transaction not settled" shard="press/2" token=7 age="1s" attempts=2 entries=4 bytes=`)
		require.Contains(t, log.String(), `horizonWanted="1s"`)
		require.InDelta(t, 3.5+0.8, histogramOf(t, o.Metrics, "bbr_transaction_seconds")["stored"].GetSampleSum(), 0.01, "the horizon, and then the report")
		require.InDelta(t, 3.5, histogramOf(t, o.Metrics, "bbr_horizon_wait_seconds")[""].GetSampleSum(), 0.01)
		o.clearMetrics()
		require.Empty(t, valuesByReason(t, o.Metrics, "bbr_unsettled_transaction_seconds"))
	})
}
