package bbrclaim

import (
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Reservations are the upstreams that planned work takes, as the store tells
// them.
type Reservations struct {
	mu sync.Mutex
	// reserved is replaced whole.
	reserved map[string]bool
	// revision rises with each change; 0 before the first.
	revision bbrkv.Revision
}

// Snapshot replaces everything.
func (r *Reservations) Snapshot(items []bbrkv.Item, now time.Time) {
	if len(items) == 0 {
		r.set(nil, 0)
	}
	for _, item := range items {
		r.Change(item, now)
	}
}

// Change applies one event.
func (r *Reservations) Change(item bbrkv.Item, _ time.Time) {
	if item.Key != ReservedKey {
		return
	}
	reserved, err := ParseReserved(item)
	if err != nil {
		klog.ErrorS(err, "Reservations unreadable", "revision", item.Revision)
		return
	}
	r.set(reserved, item.Revision)
}

// set takes reservations of a revision, unless newer ones are known. Revision 0
// forgets all.
func (r *Reservations) set(reserved map[string]bool, revision bbrkv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 || revision > r.revision {
		r.reserved, r.revision = reserved, revision
	}
}

// Reset forgets what is known.
func (r *Reservations) Reset() { r.set(nil, 0) }

// Reserved returns the reserved upstreams, not to be changed, and the revision
// of their last change.
func (r *Reservations) Reserved() (map[string]bool, bbrkv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved, r.revision
}

// ParseReserved reads the reserved upstreams.
func ParseReserved(item bbrkv.Item) (map[string]bool, error) {
	reserved := make(map[string]bool)
	if item.Deleted || len(item.Value) == 0 {
		return reserved, nil
	}
	var ids []string
	if err := json.Unmarshal(item.Value, &ids); err != nil {
		return nil, err
	}
	for _, id := range ids {
		reserved[id] = true
	}
	return reserved, nil
}
