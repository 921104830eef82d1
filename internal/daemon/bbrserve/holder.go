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
	// upstreamGather is the pause after events of upstreams. Each writes whenever
	// it reports that it lives.
	upstreamGather = 200 * time.Millisecond
	// upstreamWait is how long a watch for upstreams lasts. One that hears nothing
	// of what changes delays the use of new ones by that much.
	upstreamWait = 300 * time.Millisecond
	// livelyUpstreams are so many that one of them reports within upstreamWait.
	livelyUpstreams = 24
	// needCheck is how often the watch looks whether it is needed.
	needCheck = 20 * time.Millisecond
)

// holderWatch follows what only holders of a claim need: the registrations of
// upstreams, and which of them are reserved.
type holderWatch struct {
	service *service
}

func (h *holderWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.service.claimer.Count() > 0 {
			h.follow(ctx)
		}
		bbrpause.For(ctx, needCheck)
	}
}

// follow follows until no claim is left, and then forgets what it knew.
func (h *holderWatch) follow(ctx context.Context) {
	s := h.service
	following, end := context.WithCancel(ctx)
	defer end()
	upstreams := &bbrkv.Follower{
		Store: s.store, Prefix: bbrwire.UpstreamPrefix, WatchTimeout: upstreamWait, BatchDelay: upstreamGather,
		ExpectChanges: func() bool { return s.registry.Len() >= livelyUpstreams },
		OnSnapshot:    s.registry.Snapshot, OnChange: s.registry.Change,
	}
	reservations := &bbrkv.Follower{
		Store: s.store, Prefix: bbrclaim.ReservedKey, WatchTimeout: watchWait,
		OnSnapshot: s.reservations.Snapshot, OnChange: s.reservations.Change,
	}
	var wg sync.WaitGroup
	wg.Go(func() { upstreams.Run(following) })
	wg.Go(func() { reservations.Run(following) })
	for ctx.Err() == nil && s.claimer.Count() > 0 {
		bbrpause.For(ctx, needCheck)
	}
	end()
	wg.Wait()
	s.registry.Reset()
	s.reservations.Reset()
}
