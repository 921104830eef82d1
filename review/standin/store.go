package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the platform's store, as in the settings of a small deployment.
const (
	valueBytes    = 1 << 20
	keyBytes      = 200
	txnEntries    = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	maxWatch      = 30 * time.Second
	storeLatency  = 4 * time.Millisecond
	writesPerSec  = 400
	readsPerSec   = 2000
	renewalWeight = 0.1
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// bucket is a rate limit.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64, now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// store is the platform's key-value store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]*storeLease
	revision int64
	history  []item
	changed  chan struct{}
	writes   bucket
	reads    bucket
	// writers has the entry that wrote each revision.
	writers map[int64]string
	// lastConditional names the entry that last wrote under a condition.
	lastConditional string
	// rejected counts transactions that exceeded a limit of the store.
	rejected int
	log      *recorder
}

func newStore(log *recorder) *store {
	s := &store{
		items: map[string]item{}, leases: map[int64]*storeLease{}, writers: map[int64]string{}, revision: 1, changed: make(chan struct{}), log: log,
		writes: bucket{rate: writesPerSec}, reads: bucket{rate: readsPerSec},
	}
	go s.expireLoop()
	return s
}

func (s *store) expireLoop() {
	for now := range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.expiry) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease with its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) put(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key for the operator or for a minion.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.wake()
}

// drop removes a key for a minion.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handler serves the store for one entry, whose name it knows by the address.
func (s *store) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	read := func(weight float64, serve http.HandlerFunc) http.HandlerFunc {
		return s.limited(&s.reads, weight, serve)
	}
	mux.HandleFunc("GET /kv-key", read(1, s.get))
	mux.HandleFunc("GET /kv-range", read(1, s.list))
	mux.HandleFunc("GET /kv-watch", read(1, s.watch))
	mux.HandleFunc("POST /kv-txn", s.limited(&s.writes, 1, func(w http.ResponseWriter, r *http.Request) { s.txn(entry, w, r) }))
	mux.HandleFunc("POST /kv-lease", s.limited(&s.writes, 1, s.grant))
	mux.HandleFunc("POST /kv-keep/{id}", read(renewalWeight, s.keep))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.limited(&s.writes, 1, s.revoke))
	return mux
}

func (s *store) limited(b *bucket, weight float64, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ok := b.take(weight, time.Now())
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(storeLatency)
		serve(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, size := 0, 0
	for n < len(found) && n < pageItems && (n == 0 || size+len(found[n].Value) <= pageBytes) {
		size += len(found[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": found[:n], "has_more": n < len(found), "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(min(maxWatch, time.Duration(ms)*time.Millisecond))
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type putRow struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type transaction struct {
	Expected []condition `json:"expected_rev"`
	Puts     []putRow    `json:"puts"`
	Remove   []string    `json:"remove"`
}

func (s *store) txn(entry string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > txnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if len(p.Key) > keyBytes || len(p.Value) > valueBytes {
			s.mu.Lock()
			s.rejected++
			n := s.rejected
			s.mu.Unlock()
			if n <= 5 || n%50 == 0 {
				s.log.note("store rejects transaction %d of %s: %d bytes under %s, at most %d are allowed", n, entry, len(p.Value), p.Key, valueBytes)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, met := []item{}, true
	for _, c := range t.Expected {
		it, ok := s.items[c.Key]
		if !ok {
			it = item{Key: c.Key}
		}
		met = met && it.Revision == c.Revision
		conflict = append(conflict, it)
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": conflict})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if len(t.Expected) > 0 {
		s.lastConditional = entry
	}
	s.revision++
	s.writers[s.revision] = entry
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// writerOf returns the entry that wrote the revision. A fence number is the revision with
// which its holder became one.
func (s *store) writerOf(revision int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[revision]
}

// lastConditionalWriter returns the entry that last wrote under a condition.
func (s *store) lastConditionalWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttl_ms"`
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMs < 1000 || body.TTLMs > 600_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	id := int64(len(s.leases)+1)<<32 + time.Now().UnixNano()%(1<<32)
	s.leases[id] = &storeLease{ttl: ttl, expiry: time.Now().Add(ttl)}
	reply(w, http.StatusOK, leaseBody{Lease: id, TTLMs: body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
