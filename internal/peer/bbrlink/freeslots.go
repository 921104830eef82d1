package bbrlink

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// reportTTL is how long what a peer said of its free slots is believed.
const reportTTL = 5 * time.Second

// FreeSlotDirectory is what the other entries last said of their free slots. The zero
// value is empty.
type FreeSlotDirectory struct {
	mu      sync.Mutex
	reports map[netip.AddrPort]slotReport
}

type slotReport struct {
	receivedAt time.Time
	freeByPool map[string]int32
}

// Update records what a peer said at now.
func (d *FreeSlotDirectory) Update(peer netip.AddrPort, free map[string]int32, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports == nil {
		d.reports = make(map[netip.AddrPort]slotReport)
	}
	d.reports[peer] = slotReport{receivedAt: now, freeByPool: maps.Clone(free)}
}

// MarkFull records that a peer had no room in the pool after all.
func (d *FreeSlotDirectory) MarkFull(peer netip.AddrPort, pool string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.reports[peer].freeByPool[pool]; ok {
		d.reports[peer].freeByPool[pool] = 0
	}
}

// Choose returns the peer with the most free slots of the pool and takes one of
// them off, so that the next request looks elsewhere. With waiting, a peer that
// has slots of the pool at all is good enough.
func (d *FreeSlotDirectory) Choose(pool string, mayWait bool, now time.Time) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best netip.AddrPort
	mostFree := int32(0)
	if mayWait {
		mostFree = -1
	}
	for peer, report := range d.reports {
		if free, ok := report.freeByPool[pool]; ok && free > mostFree && now.Sub(report.receivedAt) < reportTTL {
			best, mostFree = peer, free
		}
	}
	if !best.IsValid() {
		return best, false
	}
	if mostFree > 0 {
		d.reports[best].freeByPool[pool]--
	}
	return best, true
}
