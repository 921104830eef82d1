package bbrfleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value, as the store returns it.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Condition requires a key to have a revision, 0 for a key that does not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put is a write of a transaction. Lease is 0 for a key without a lease.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// Transaction is a set of writes and removals that are applied together if all
// conditions are met.
type Transaction struct {
	Conditions []Condition `json:"expected_rev"`
	Puts       []Put       `json:"puts"`
	Removals   []string    `json:"remove"`
}

// Store is the key-value store. Its zero value is empty and ready for use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	// history has the changes after revision compacted.
	history   []Item
	compacted int64
	leases    map[int64]*lease
	// changed is closed and replaced at each change, to wake the watches.
	changed chan struct{}
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

func (s *Store) init() {
	if s.items == nil {
		s.items = make(map[string]Item)
		s.leases = make(map[int64]*lease)
		s.changed = make(chan struct{})
		s.revision = 1
	}
}

// expire removes the leases that have expired and the keys attached to them. The
// caller holds mu.
func (s *Store) expire(now time.Time) {
	s.init()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys attached to it. The caller holds mu.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(Transaction{Removals: keys})
	}
}

// apply applies a transaction under one revision, without a check of its
// conditions. The caller holds mu.
func (s *Store) apply(transaction Transaction) int64 {
	s.revision++
	for _, put := range transaction.Puts {
		item := Item{Key: put.Key, Value: put.Value, Revision: s.revision, Created: s.revision, Lease: put.Lease}
		if previous, ok := s.items[put.Key]; ok {
			item.Created = previous.Created
		}
		s.items[put.Key] = item
		s.history = append(s.history, item)
	}
	for _, key := range transaction.Removals {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, Item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Commit applies the transaction. If a condition is not met, it returns the present
// items of all conditions as conflict instead. leaseMissing reports that a lease of
// the transaction does not exist.
func (s *Store) Commit(transaction Transaction, now time.Time) (revision int64, conflict []Item, leaseMissing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	conditionsMet := true
	for _, condition := range transaction.Conditions {
		item := s.items[condition.Key]
		conditionsMet = conditionsMet && item.Revision == condition.Revision
		conflict = append(conflict, Item{Key: condition.Key, Value: item.Value, Revision: item.Revision, Created: item.Created, Lease: item.Lease})
	}
	if !conditionsMet {
		return 0, conflict, false
	}
	for _, put := range transaction.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return 0, nil, true
		}
	}
	return s.apply(transaction), nil, false
}

// Get returns the item of a key, the store's revision and whether the key exists.
func (s *Store) Get(key string, now time.Time) (item Item, asOf int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	item, ok = s.items[key]
	return item, s.revision, ok
}

// Range returns the items whose keys have the prefix and follow after, sorted by
// key, with the store's revision.
func (s *Store) Range(prefix, after string, now time.Time) ([]Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items, s.revision
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Watch returns the changes under a prefix after a revision. If there are none, it
// waits for one up to the given time. gone reports that the history after that
// revision was discarded.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Item, asOf int64, gone bool) {
	deadline := time.After(wait)
	for {
		events, asOf, changed, gone := s.events(prefix, after)
		if len(events) > 0 || gone {
			return events, asOf, gone
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return events, asOf, false
		case <-deadline:
			return events, asOf, false
		}
	}
}

// events returns the changes under a prefix after a revision, and the channel that
// is closed at the next change.
func (s *Store) events(prefix string, after int64) (events []Item, asOf int64, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if after < s.compacted {
		return nil, s.revision, s.changed, true
	}
	events = []Item{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, false
}

// Grant creates a lease and returns its ID.
func (s *Store) Grant(ttl time.Duration, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expiry: now.Add(ttl)}
	return s.revision
}

// Renew renews a lease and returns its time to live. It reports whether the lease
// exists.
func (s *Store) Renew(id int64, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.expiry = now.Add(l.ttl)
	return l.ttl, true
}

// Revoke removes a lease and the keys attached to it.
func (s *Store) Revoke(id int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.removeLease(id)
}
