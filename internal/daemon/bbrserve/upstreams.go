package bbrserve

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
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

// upstreamWatch follows the registrations of upstreams while the entry holds a
// claim; others need none of them.
type upstreamWatch struct {
	service *service
}

func (u *upstreamWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if u.service.claimer.Count() > 0 {
			u.follow(ctx)
		}
		bbrpause.For(ctx, needCheck)
	}
}

// follow follows until no claim is left, and then forgets what it knew.
func (u *upstreamWatch) follow(ctx context.Context) {
	s := u.service
	following, end := context.WithCancel(ctx)
	defer end()
	follower := &bbritem.Follower{
		Store: s.store, Prefix: bbrwire.UpstreamPrefix, Wait: upstreamWait, Gather: upstreamGather,
		Lively:   func() bool { return s.registry.Len() >= livelyUpstreams },
		Snapshot: s.registry.Snapshot, Change: s.registry.Change,
	}
	var wg sync.WaitGroup
	wg.Go(func() { follower.Run(following) })
	for ctx.Err() == nil && s.claimer.Count() > 0 {
		bbrpause.For(ctx, needCheck)
	}
	end()
	wg.Wait()
	s.registry.Reset()
}
