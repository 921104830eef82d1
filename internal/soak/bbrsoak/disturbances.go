package bbrsoak

import (
	"sync"
	"time"
)

// disturbances knows when faults are active that excuse work from running.
type disturbances struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
}

func (d *disturbances) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

func (d *disturbances) end(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.lastEnd = now
}

// calmSince returns the time since which no fault has been active, which is now if one is.
func (d *disturbances) calmSince(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active > 0 {
		return now
	}
	return d.lastEnd
}
