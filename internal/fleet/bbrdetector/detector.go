package bbrdetector

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// pingInterval is the pause between two pings of an owner by one entry.
const pingInterval = 300 * time.Millisecond

// Detector pings the owners that this entry watches. All function fields must be
// set.
type Detector struct {
	// Entry is this entry's name.
	Entry     string
	Directory *bbrclaim.Directory
	// Ping returns an error if the entry at the address does not answer within the
	// timeout.
	Ping func(ctx context.Context, address netip.AddrPort, timeout time.Duration, now time.Time) error
	// AskReachability asks the entry at the address whether the entry at the about
	// address answers its ping within the timeout.
	AskReachability func(ctx context.Context, address, about netip.AddrPort, timeout time.Duration, now time.Time) Reachability
	// RevokeLease revokes a lease in the store.
	RevokeLease func(ctx context.Context, lease bbrkv.Lease) error
	// Event counts an event in the metrics.
	Event func(name string)

	mu sync.Mutex
	// monitors contains the currently watched owners by lease.
	monitors map[bbrkv.Lease]*monitor
	wg       sync.WaitGroup
}

// Run watches until ctx ends, and then waits for the pings in flight.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.round(ctx, time.Now())
		bbrpause.For(ctx, pingInterval)
	}
	d.wg.Wait()
}

// round updates the watched owners and pings each whose last ping has ended.
func (d *Detector) round(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.monitors
	d.monitors = make(map[bbrkv.Lease]*monitor)
	for _, owner := range d.Directory.OwnersWatchedBy(d.Entry, now) {
		m := previous[owner.Lease]
		if m == nil {
			m = &monitor{detector: d, Owner: owner, watchedSince: now}
		}
		d.monitors[owner.Lease] = m
		m.RecentSuccessor = owner.RecentSuccessor
		if !m.pinging {
			m.pinging = true
			d.wg.Go(func() { m.run(ctx, now) })
		}
	}
}
