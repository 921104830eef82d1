package bbrserve

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

const (
	// upstreamBatchDelay is the pause after events of upstreams, which batches
	// them: each upstream writes its registration with every heartbeat.
	upstreamBatchDelay = 200 * time.Millisecond
	// upstreamWatchTimeout is how long a watch for upstreams without events lasts. A
	// watch that misses changes delays the use of new upstreams by this long.
	upstreamWatchTimeout = 300 * time.Millisecond
	// minReportingUpstreams is the number of upstreams from which a heartbeat of at
	// least one is expected within upstreamWatchTimeout, so that a watch without
	// events must have missed some.
	minReportingUpstreams = 24
	// claimCheckInterval is the pause between two checks whether this entry holds
	// a claim.
	claimCheckInterval = 20 * time.Millisecond
)

// upstreamWatcher follows the registrations and the reservations of upstreams
// while this entry holds a claim. Other entries do not need them.
type upstreamWatcher struct {
	daemon *daemon
}

func (w *upstreamWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.daemon.claimer.Count() > 0 {
			w.follow(ctx)
		}
		bbrpause.For(ctx, claimCheckInterval)
	}
}

// follow follows upstreams until this entry holds no claim, and then discards
// what it has read.
func (w *upstreamWatcher) follow(ctx context.Context) {
	d := w.daemon
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	upstreams := &bbrkv.Follower{
		Store: d.store, Prefix: bbrwire.UpstreamPrefix, WatchTimeout: upstreamWatchTimeout, BatchDelay: upstreamBatchDelay,
		ExpectChanges: func() bool { return d.registry.Len() >= minReportingUpstreams },
		OnSnapshot:    d.registry.Snapshot, OnChange: d.registry.Change,
	}
	reservations := &bbrkv.Follower{
		Store: d.store, Prefix: bbrclaim.ReservedKey, WatchTimeout: watchTimeout,
		OnSnapshot: d.reservations.Snapshot, OnChange: d.reservations.Change,
	}
	var wg sync.WaitGroup
	wg.Go(func() { upstreams.Run(followCtx) })
	wg.Go(func() { reservations.Run(followCtx) })
	for ctx.Err() == nil && d.claimer.Count() > 0 {
		bbrpause.For(ctx, claimCheckInterval)
	}
	cancel()
	wg.Wait()
	d.registry.Reset()
	d.reservations.Reset()
}
