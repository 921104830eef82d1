package bbrregistry

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Version tells whether the upstreams of a shard may have changed.
type Version struct {
	// ServiceChanges rises with each change of an upstream of the service.
	ServiceChanges int64
	// Racks is how many racks were known to have a cell.
	Racks int
}

// Registry is the upstreams by the key of their registration.
type Registry struct {
	// Decode reads a registration.
	Decode func(key string, value []byte) (bbrwork.Upstream, error)

	mu  sync.Mutex
	ups map[string]bbrwork.Upstream
	// ids counts the registrations of each upstream's ID.
	ids  map[string]int
	seen map[string]bbrkv.Revision
	// numbers rise, by service, with each change of its upstreams.
	numbers map[string]int64
}

// Snapshot replaces everything.
func (r *Registry) Snapshot(items []bbrkv.Item, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		r.apply(item)
	}
	for key := range r.ups {
		if !listed[key] {
			r.drop(key)
		}
	}
}

// Reset forgets everything.
func (r *Registry) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.ups)
	clear(r.ids)
	clear(r.seen)
	for service := range r.numbers {
		r.numbers[service]++
	}
}

// Change applies one event.
func (r *Registry) Change(item bbrkv.Item, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(item)
}

func (r *Registry) apply(item bbrkv.Item) {
	if r.ups == nil {
		r.ups = make(map[string]bbrwork.Upstream)
		r.ids = make(map[string]int)
		r.seen = make(map[string]bbrkv.Revision)
		r.numbers = make(map[string]int64)
	}
	if item.Revision <= r.seen[item.Key] {
		return
	}
	r.seen[item.Key] = item.Revision
	if item.Deleted {
		r.drop(item.Key)
		return
	}
	up, err := r.Decode(item.Key, item.Value)
	if err != nil {
		klog.InfoS("Registration unusable", "key", item.Key, "revision", item.Revision, "reason", err.Error())
		r.drop(item.Key)
		return
	}
	before, known := r.ups[item.Key]
	if known && same(before, up) {
		return
	}
	if known && before.Service != up.Service {
		r.numbers[before.Service]++
	}
	if !known {
		klog.InfoS("Upstream registered", "upstream", up.ID, "service", up.Service, "revision", item.Revision)
	}
	if known {
		r.forgetID(before.ID)
	}
	r.ups[item.Key] = up
	r.ids[up.ID]++
	r.numbers[up.Service]++
}

func (r *Registry) forgetID(id string) {
	if r.ids[id]--; r.ids[id] <= 0 {
		delete(r.ids, id)
	}
}

func same(a, b bbrwork.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.LeavesIn == b.LeavesIn && slices.Equal(a.Labels, b.Labels)
}

func (r *Registry) drop(key string) {
	up, known := r.ups[key]
	if !known {
		return
	}
	klog.InfoS("Upstream no longer registered", "upstream", up.ID, "service", up.Service)
	delete(r.ups, key)
	r.forgetID(up.ID)
	r.numbers[up.Service]++
}

// Has tells whether an upstream of the ID is listed.
func (r *Registry) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id] > 0
}

// Len returns how many upstreams are listed.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ups)
}

// UpstreamsOf returns the upstreams of a shard with their version; none where that is the
// known one.
func (r *Registry) UpstreamsOf(shard bbrwork.Shard, cells *bbrcell.Cells, known Version) ([]bbrwork.Upstream, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := Version{ServiceChanges: r.numbers[shard.Service], Racks: cells.RackCount()}
	if version == known {
		return nil, version
	}
	var list []bbrwork.Upstream
	for _, up := range r.ups {
		if up.Service != shard.Service {
			continue
		}
		if cell, placed := cells.CellOf(up.Rack()); placed && cell == shard.Cell {
			list = append(list, up)
		}
	}
	return list, version
}
