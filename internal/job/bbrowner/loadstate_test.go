package bbrowner

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

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestFailedReadsOfALoadAreNamed guards against a shard that is not loaded without a log line
// or metric that tells which read fails, how much has arrived and how old the claim is.
func TestFailedReadsOfALoadAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := captureLog(t)
		o := newLoopOwner(0)
		o.Store = &bbrkv.Store{
			Get: func(context.Context, string) (bbrkv.Item, error) { return bbrkv.Item{}, bbrkv.ErrNotFound },
			Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
				time.Sleep(400 * time.Millisecond)
				if prefix == bbrrecord.JobPrefixOf(o.Shard) {
					return bbrkv.Page{}, bbrkv.ErrAnswerLost
				}
				return bbrkv.Page{Items: []bbrkv.Item{{Key: "k", Value: []byte("{}")}}}, nil
			},
			Watch: quietWatch,
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second+10*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() { o.Run(ctx) })
		time.Sleep(4 * time.Second)
		age, unloaded := o.UnloadedFor(time.Now())
		require.True(t, unloaded)
		require.Equal(t, 4*time.Second, age)
		require.InDelta(t, 4, valuesByReason(t, o.Metrics, "bbr_unloaded_claim_seconds")["press/2"], 0.3)
		wg.Wait()
		require.Contains(t, log.String(), `"Failed to load the stored state of the shard, will retry" shard="press/2" token=7 stage="jobs" attempt=1 took="400ms" claimAge=`)
		require.Contains(t, log.String(), `"Shard claimed and not loaded" shard="press/2" token=7 claimAge="2`)
		require.Empty(t, valuesByReason(t, o.Metrics, "bbr_unloaded_claim_seconds"), "an owner that has ended leaves no gauge")
		require.NotZero(t, valuesOfCounter(t, o.Metrics, "bbr_load_reads_total")["lost,jobs"])
	})
}

// TestOwnerThatLoadsNothingReleasesItsClaim guards against an owner that keeps its claim for
// as long as it lives while its reads fail, and against one that releases it while its shard
// arrives or the store cannot be told.
func TestOwnerThatLoadsNothingReleasesItsClaim(t *testing.T) {
	for _, test := range []struct {
		name                       string
		advances, refused, unknown bool
		released                   bool
	}{
		{name: "nothing arrives", released: true},
		{name: "slow progress", advances: true},
		{name: "no successor", refused: true},
		{name: "claim not confirmed", unknown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newLoopOwner(0)
				o.Confirmed = func(time.Time) bool { return !test.unknown }
				asked := 0
				var pages atomic.Int64
				o.HandOverUnloaded = func(idle time.Duration, ownedSince, _ time.Time) bool {
					require.GreaterOrEqual(t, idle, bbrclaim.MaxLoadIdleTime)
					require.Equal(t, o.startedAt, ownedSince)
					asked++
					return !test.refused
				}
				o.Store = &bbrkv.Store{
					Get: func(context.Context, string) (bbrkv.Item, error) {
						time.Sleep(300 * time.Millisecond)
						if test.advances {
							return bbrkv.Item{}, bbrkv.ErrNotFound
						}
						return bbrkv.Item{}, bbrkv.ErrAnswerLost
					},
					Range: func(ctx context.Context, prefix, _ string) (bbrkv.Page, error) {
						if !test.advances || ctx.Err() != nil {
							return bbrkv.Page{}, bbrkv.ErrAnswerLost
						}
						time.Sleep(time.Second)
						return bbrkv.Page{Items: []bbrkv.Item{{Key: fmt.Sprintf("%s%06d", prefix, pages.Add(1))}}, More: true}, nil
					},
					Watch: quietWatch,
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				o.Run(ctx)
				require.Equal(t, test.released, ctx.Err() == nil)
				if test.refused {
					require.InDelta(t, 7, asked, 1, "it asks again after a pause")
				}
			})
		})
	}
}

// quietWatch is a watch without events.
func quietWatch(ctx context.Context, _ string, after bbrkv.Revision, wait time.Duration) (bbrkv.Page, error) {
	bbrpause.For(ctx, wait)
	return bbrkv.Page{AsOf: after}, nil
}

// valuesOfCounter returns the values of a counter, by the values of its labels.
func valuesOfCounter(t *testing.T, metrics *bbrmetric.Set, name string) map[string]float64 {
	t.Helper()
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() != name {
				continue
			}
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			values[strings.Join(labels, ",")] = metric.GetCounter().GetValue()
		}
	}
	return values
}
