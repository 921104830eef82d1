package bbrplatform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// record is the value of a key.
type record struct {
	data    []byte
	version uint64
	lease   bbrstore.LeaseID
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// KeyValue is the state of the key-value service. Its zero value is empty and
// ready for use. The methods take the present time, since leases expire.
type KeyValue struct {
	mu       sync.Mutex
	records  map[string]record
	leases   map[bbrstore.LeaseID]lease
	revision uint64
	// changed is closed and replaced at each change, to wake the watches.
	changed chan struct{}
}

// expire removes the leases that have expired and the keys attached to them. The
// caller holds mu.
func (kv *KeyValue) expire(now time.Time) {
	if kv.records == nil {
		kv.records = make(map[string]record)
		kv.leases = make(map[bbrstore.LeaseID]lease)
		kv.changed = make(chan struct{})
	}
	for id, l := range kv.leases {
		if now.Before(l.expiry) {
			continue
		}
		kv.removeLease(id)
	}
}

// removeLease removes a lease and the keys attached to it. The caller holds mu.
func (kv *KeyValue) removeLease(id bbrstore.LeaseID) {
	delete(kv.leases, id)
	maps.DeleteFunc(kv.records, func(_ string, r record) bool { return r.lease == id })
	kv.notifyWatchers()
}

// notifyWatchers wakes the watches. The caller holds mu.
func (kv *KeyValue) notifyWatchers() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// Get returns the value of a key, whether the key exists, and a channel that is
// closed at the next change of any key.
func (kv *KeyValue) Get(now time.Time, key string) (bbrstore.Value, bool, <-chan struct{}) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	r, ok := kv.records[key]
	return bbrstore.Value{Data: r.data, Version: r.version}, ok, kv.changed
}

// CompareAndSwap writes a value if the key has the expected version, 0 for a key that
// does not exist, and returns the new version. The key is attached to the lease unless
// that is empty.
func (kv *KeyValue) CompareAndSwap(now time.Time, key string, expectedVersion uint64, data []byte, lease bbrstore.LeaseID) (uint64, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	if kv.records[key].version != expectedVersion {
		return 0, bbrstore.ErrConflict
	}
	if _, ok := kv.leases[lease]; lease != "" && !ok {
		return 0, bbrstore.ErrNotFound
	}
	kv.revision++
	kv.records[key] = record{data: data, version: kv.revision, lease: lease}
	kv.notifyWatchers()
	return kv.revision, nil
}

// Keys returns the keys with the prefix, sorted.
func (kv *KeyValue) Keys(now time.Time, prefix string) []string {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	keys := slices.Sorted(maps.Keys(kv.records))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}

// Grant creates a lease.
func (kv *KeyValue) Grant(now time.Time, ttl time.Duration) bbrstore.LeaseID {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	kv.revision++
	id := bbrstore.LeaseID(fmt.Sprintf("lease-%d", kv.revision))
	kv.leases[id] = lease{ttl: ttl, expiry: now.Add(ttl)}
	return id
}

// Renew renews a lease for its time to live and reports whether it exists.
func (kv *KeyValue) Renew(now time.Time, id bbrstore.LeaseID) bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	l, ok := kv.leases[id]
	if !ok {
		return false
	}
	l.expiry = now.Add(l.ttl)
	kv.leases[id] = l
	return true
}

// Revoke removes a lease and the keys attached to it.
func (kv *KeyValue) Revoke(now time.Time, id bbrstore.LeaseID) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire(now)
	kv.removeLease(id)
}
