package bbrclaim

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// HeldBytes is the memory that owners need for the jobs of all shards, as the fleet leader adds it
// up from their reports.
type HeldBytes struct {
	Bytes int64 `json:"bytes"`
	// Age is how old the oldest report was when the record was written.
	Age time.Duration `json:"age"`
	// At is as of when the sum is, by the clock of the entry that follows the record.
	At time.Time `json:"-"`
	// Revision is that of the record; 0 if there is none.
	Revision bbrkv.Revision `json:"-"`
}

// ParseHeldBytes returns what an item under HeldBytesKey says.
func ParseHeldBytes(item bbrkv.Item) (HeldBytes, error) {
	held := HeldBytes{Revision: item.Revision}
	if item.Deleted || len(item.Value) == 0 {
		return held, nil
	}
	return held, json.Unmarshal(item.Value, &held)
}

// applyHeldBytes applies an item under HeldBytesKey. The caller holds the lock.
func (d *Directory) applyHeldBytes(item bbrkv.Item, now time.Time) {
	held, err := ParseHeldBytes(item)
	if err != nil {
		klog.ErrorS(err, "Failed to decode the memory that the jobs need", "revision", item.Revision)
		return
	}
	held.At = now.Add(-held.Age)
	d.held = held
}

// HeldBytes returns the memory that the jobs of all shards need as last stored.
func (d *Directory) HeldBytes() HeldBytes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// SmallestMemory returns the smallest known memory of the registered entries, in megabytes, and the
// number of entries. The memory is 0 if no entry has published one.
func (d *Directory) SmallestMemory() (memoryMB, entries int) {
	return d.smallest(func(record entryRecord) int { return record.MemoryMB })
}
