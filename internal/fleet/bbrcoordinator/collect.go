package bbrcoordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
)

// Collector requests acknowledgements from the registered entries.
type Collector struct {
	State  *bbrentry.State
	Client *bbrlink.Client
	// Timeout bounds one request for an acknowledgement.
	Timeout time.Duration
	// SuspectAfter is how long an entry may fail to answer before it is suspected.
	SuspectAfter time.Duration

	mu sync.Mutex
	// silentSince is when each entry that does not answer first failed to.
	silentSince map[netip.AddrPort]time.Time
}

// Collect requests an acknowledgement from every entry of the view and returns
// those that arrive in time.
func (c *Collector) Collect(ctx context.Context, snapshot *bbrentry.Snapshot) bbrview.Acks {
	acks := bbrview.Acks{Version: snapshot.Version, Entries: make(map[netip.AddrPort]bbrview.Ack)}
	var mu sync.Mutex
	var round sync.WaitGroup
	for peer := range snapshot.View.Entries {
		round.Go(func() {
			ack, ok := c.request(ctx, peer)
			c.record(peer, ok, time.Now())
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acks.Entries[peer] = ack
		})
	}
	round.Wait()
	return acks
}

func (c *Collector) request(ctx context.Context, peer netip.AddrPort) (bbrview.Ack, bool) {
	if peer == c.State.Identity.Peer {
		return c.State.Acknowledge(), true
	}
	ack, _, err := c.Client.Acknowledge(ctx, peer, c.Timeout)
	return ack, err == nil
}

// record updates silentSince after a request to the peer.
func (c *Collector) record(peer netip.AddrPort, answered bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince == nil {
		c.silentSince = make(map[netip.AddrPort]time.Time)
	}
	_, silent := c.silentSince[peer]
	switch {
	case answered:
		delete(c.silentSince, peer)
	case !silent:
		c.silentSince[peer] = now
	}
}

// NewSuspicions returns a new suspicion ID for each registered entry that has not
// answered for SuspectAfter and is not yet suspected.
func (c *Collector) NewSuspicions(view *bbrview.View, now time.Time) map[netip.AddrPort]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspicions := make(map[netip.AddrPort]string)
	for peer, since := range c.silentSince {
		entry, ok := view.Entries[peer]
		switch {
		case !ok:
			delete(c.silentSince, peer)
		case !entry.Suspected() && now.Sub(since) >= c.SuspectAfter:
			suspicions[peer] = uuid.NewString()
		}
	}
	return suspicions
}
