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
	// upstreamBatchDelay is the pause after events of upstreams. Each writes whenever
	// it reports that it lives.
	upstreamBatchDelay = 200 * time.Millisecond
	// upstreamWatchTimeout is how long a watch for upstreams lasts. One that hears nothing
	// of what changes delays the use of new ones by that much.
	upstreamWatchTimeout = 300 * time.Millisecond
	// minReportingUpstreams are so many that one of them reports within upstreamWatchTimeout.
	minReportingUpstreams = 24
	// claimCheckInterval is how often the watch looks whether it is needed.
	claimCheckInterval = 20 * time.Millisecond
)

// upstreamWatcher follows what only holders of a claim need: the registrations of
// upstreams, and which of them are reserved.
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

// follow follows until no claim is left, and then forgets what it knew.
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
