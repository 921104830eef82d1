package bbrlink

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// freshFor is how long what a peer said of its free slots is believed.
const freshFor = 5 * time.Second

// FreeSlotDirectory is what the other entries last said of their free slots. The zero
// value is empty.
type FreeSlotDirectory struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]offer
}

type offer struct {
	at   time.Time
	free map[string]int32
}

// Update records what a peer said at now.
func (d *FreeSlotDirectory) Update(peer netip.AddrPort, free map[string]int32, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[netip.AddrPort]offer)
	}
	d.peers[peer] = offer{at: now, free: maps.Clone(free)}
}

// MarkFull records that a peer had no room in the pool after all.
func (d *FreeSlotDirectory) MarkFull(peer netip.AddrPort, pool string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.peers[peer].free[pool]; ok {
		d.peers[peer].free[pool] = 0
	}
}

// Choose returns the peer with the most free slots of the pool and takes one of
// them off, so that the next request looks elsewhere. With waiting, a peer that
// has slots of the pool at all is good enough.
func (d *FreeSlotDirectory) Choose(pool string, waiting bool, now time.Time) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best netip.AddrPort
	most := int32(0)
	if waiting {
		most = -1
	}
	for peer, o := range d.peers {
		if free, ok := o.free[pool]; ok && free > most && now.Sub(o.at) < freshFor {
			best, most = peer, free
		}
	}
	if !best.IsValid() {
		return best, false
	}
	if most > 0 {
		d.peers[best].free[pool]--
	}
	return best, true
}
