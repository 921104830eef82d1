package bbrclaim

import (
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Reservations is a local copy of the list under ReservedKey: the upstreams that
// are reserved for maintenance and moves.
type Reservations struct {
	mu sync.Mutex
	// reserved is replaced and never modified, so that readers may keep it without
	// the lock.
	reserved map[string]bool
	// revision is the revision of the last applied change; 0 before the first.
	revision bbrkv.Revision
}

// Snapshot applies the listed items. An empty list clears the reservations.
func (r *Reservations) Snapshot(items []bbrkv.Item, _ bbrkv.Revision, now time.Time) {
	if len(items) == 0 {
		r.set(nil, 0)
	}
	for _, item := range items {
		r.Change(item, now)
	}
}

// Change applies one event of a watch.
func (r *Reservations) Change(item bbrkv.Item, _ time.Time) {
	if item.Key != ReservedKey {
		return
	}
	reserved, err := ParseReserved(item)
	if err != nil {
		klog.ErrorS(err, "Failed to decode reservations", "revision", item.Revision)
		return
	}
	r.set(reserved, item.Revision)
}

// set stores the reservations of a revision unless newer ones are known. A
// revision of 0 clears them unconditionally.
func (r *Reservations) set(reserved map[string]bool, revision bbrkv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 || revision > r.revision {
		r.reserved, r.revision = reserved, revision
	}
}

// Reset clears the reservations and their revision.
func (r *Reservations) Reset() { r.set(nil, 0) }

// Reserved returns the set of reserved upstreams and the revision of its last
// change. The caller must not modify the set.
func (r *Reservations) Reserved() (map[string]bool, bbrkv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved, r.revision
}

// ParseReserved decodes the value of ReservedKey into the set of reserved
// upstreams. A deleted or empty value has none.
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
