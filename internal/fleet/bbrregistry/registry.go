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

// Version identifies a state of the upstreams of a shard. Equal versions mean that
// the upstreams have not changed.
type Version struct {
	// ServiceChanges increases with each change of an upstream of the service.
	ServiceChanges int64
	// PlacedRacks is the number of racks that had a cell.
	PlacedRacks int
}

// Registry is a local copy of the upstream registrations in the store.
type Registry struct {
	// Decode decodes a registration.
	Decode func(key string, value []byte) (bbrwork.Upstream, error)

	mu sync.Mutex
	// upstreams contains the registered upstreams by the key of their registration.
	upstreams map[string]bbrwork.Upstream
	// registrationsByID counts the registrations with each upstream ID.
	registrationsByID map[string]int
	// revisions contains the last applied revision of each key. Older events are
	// ignored.
	revisions map[string]bbrkv.Revision
	// changes counts the changes of each service's upstreams.
	changes map[string]int64
}

// Snapshot replaces the registrations by the listed ones.
func (r *Registry) Snapshot(items []bbrkv.Item, _ bbrkv.Revision, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		r.apply(item)
	}
	for key := range r.upstreams {
		if !listed[key] {
			r.remove(key)
		}
	}
}

// Reset removes all registrations. The next snapshot is applied whatever its
// revisions, and the versions of all shards change.
func (r *Registry) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.upstreams)
	clear(r.registrationsByID)
	clear(r.revisions)
	for service := range r.changes {
		r.changes[service]++
	}
}

// Change applies one event of a watch.
func (r *Registry) Change(item bbrkv.Item, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(item)
}

func (r *Registry) apply(item bbrkv.Item) {
	if r.upstreams == nil {
		r.upstreams = make(map[string]bbrwork.Upstream)
		r.registrationsByID = make(map[string]int)
		r.revisions = make(map[string]bbrkv.Revision)
		r.changes = make(map[string]int64)
	}
	if item.Revision <= r.revisions[item.Key] {
		return
	}
	r.revisions[item.Key] = item.Revision
	if item.Deleted {
		r.remove(item.Key)
		return
	}
	upstream, err := r.Decode(item.Key, item.Value)
	if err != nil {
		klog.InfoS("Ignoring upstream registration that cannot be decoded", "key", item.Key, "revision", item.Revision, "reason", err.Error())
		r.remove(item.Key)
		return
	}
	previous, known := r.upstreams[item.Key]
	if known && equal(previous, upstream) {
		return
	}
	if known && previous.Service != upstream.Service {
		r.changes[previous.Service]++
	}
	if !known {
		klog.InfoS("Upstream registered", "upstream", upstream.ID, "service", upstream.Service, "revision", item.Revision)
	}
	if known {
		r.removeID(previous.ID)
	}
	r.upstreams[item.Key] = upstream
	r.registrationsByID[upstream.ID]++
	r.changes[upstream.Service]++
}

// removeID removes one registration of the upstream ID.
func (r *Registry) removeID(id string) {
	if r.registrationsByID[id]--; r.registrationsByID[id] <= 0 {
		delete(r.registrationsByID, id)
	}
}

// equal reports whether all fields are equal. Upstream is not comparable by == because
// of its labels.
func equal(a, b bbrwork.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.LeavesIn == b.LeavesIn && slices.Equal(a.Labels, b.Labels)
}

func (r *Registry) remove(key string) {
	upstream, known := r.upstreams[key]
	if !known {
		return
	}
	klog.InfoS("Upstream no longer registered", "upstream", upstream.ID, "service", upstream.Service)
	delete(r.upstreams, key)
	r.removeID(upstream.ID)
	r.changes[upstream.Service]++
}

// Has reports whether an upstream with the ID is registered.
func (r *Registry) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registrationsByID[id] > 0
}

// Len returns the number of registered upstreams.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.upstreams)
}

// UpstreamsOf returns the upstreams of a shard and their version, or no upstreams if
// the version is the known one.
func (r *Registry) UpstreamsOf(shard bbrwork.Shard, cells *bbrcell.Cells, known Version) ([]bbrwork.Upstream, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := Version{ServiceChanges: r.changes[shard.Service], PlacedRacks: cells.RackCount()}
	if version == known {
		return nil, version
	}
	var upstreams []bbrwork.Upstream
	for _, upstream := range r.upstreams {
		if upstream.Service != shard.Service {
			continue
		}
		if cell, placed := cells.CellOf(upstream.Rack()); placed && cell == shard.Cell {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams, version
}
