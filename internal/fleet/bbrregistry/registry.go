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
	// PlacedRacks is how many racks were known to have a cell.
	PlacedRacks int
}

// Registry is the upstreams by the key of their registration.
type Registry struct {
	// Decode reads a registration.
	Decode func(key string, value []byte) (bbrwork.Upstream, error)

	mu        sync.Mutex
	upstreams map[string]bbrwork.Upstream
	// registrationsByID counts the registrations of each upstream's ID.
	registrationsByID map[string]int
	revisions         map[string]bbrkv.Revision
	// changes rise, by service, with each change of its upstreams.
	changes map[string]int64
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
	for key := range r.upstreams {
		if !listed[key] {
			r.remove(key)
		}
	}
}

// Reset forgets everything.
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

// Change applies one event.
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
		klog.InfoS("Registration unusable", "key", item.Key, "revision", item.Revision, "reason", err.Error())
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

func (r *Registry) removeID(id string) {
	if r.registrationsByID[id]--; r.registrationsByID[id] <= 0 {
		delete(r.registrationsByID, id)
	}
}

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

// Has tells whether an upstream of the ID is listed.
func (r *Registry) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registrationsByID[id] > 0
}

// Len returns how many upstreams are listed.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.upstreams)
}

// UpstreamsOf returns the upstreams of a shard with their version; none where that is the
// known one.
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
