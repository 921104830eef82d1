package bbrlink

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// reportTTL is how long a peer's report of its free slots is used.
const reportTTL = 5 * time.Second

// FreeSlotDirectory contains the free slots that the other entries last reported. The
// zero value is empty.
type FreeSlotDirectory struct {
	mu      sync.Mutex
	reports map[netip.AddrPort]slotReport
}

// slotReport is one entry's report of its free slots.
type slotReport struct {
	receivedAt time.Time
	// freeByPool contains the reported free slots of each pool of which the entry has
	// slots, reduced since by Choose and MarkFull.
	freeByPool map[string]int32
}

// Update records a peer's report of its free slots by pool.
func (d *FreeSlotDirectory) Update(peer netip.AddrPort, free map[string]int32, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports == nil {
		d.reports = make(map[netip.AddrPort]slotReport)
	}
	d.reports[peer] = slotReport{receivedAt: now, freeByPool: maps.Clone(free)}
}

// MarkFull records that a peer refused a request because it had no free slot of the
// pool.
func (d *FreeSlotDirectory) MarkFull(peer netip.AddrPort, pool string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.reports[peer].freeByPool[pool]; ok {
		d.reports[peer].freeByPool[pool] = 0
	}
}

// Choose returns the peer with the most free slots of the pool, and subtracts one from
// them, so that the next requests are sent to other peers. If mayWait is set, it may
// return a peer that has slots of the pool, but none free.
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
