package bbrfleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key as the store answers it.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Condition is a row of a transaction's conditions.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put is a row of a transaction's writes.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// Transaction is the body of a change.
type Transaction struct {
	Conditions []Condition `json:"expected_rev"`
	Puts       []Put       `json:"puts"`
	Removals   []string    `json:"remove"`
}

// Store is the key-value store.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	// history has the changes after compacted.
	history   []Item
	compacted int64
	leases    map[int64]*lease
	changed   chan struct{}
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

// expire removes what hangs on leases that have ended.
func (s *Store) expire(now time.Time) {
	s.init()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.removeLease(id)
		}
	}
}

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

// apply carries out a transaction under one revision.
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

// Commit carries out the transaction, or returns the items of its conditions.
// noLease tells that a lease of it does not exist.
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

// Get returns an item.
func (s *Store) Get(key string, now time.Time) (item Item, asOf int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	item, ok = s.items[key]
	return item, s.revision, ok
}

// Range returns the items under a prefix.
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

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Watch returns the changes under a prefix after a revision, and waits for one.
// gone means that this history is forgotten.
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

// Grant gives a lease.
func (s *Store) Grant(ttl time.Duration, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expiry: now.Add(ttl)}
	return s.revision
}

// Renew renews a lease and tells whether it exists.
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

// Revoke ends a lease.
func (s *Store) Revoke(id int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.removeLease(id)
}
