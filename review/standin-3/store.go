package main

import (
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	AsOf      int64  `json:"as_of,omitempty"`
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is the platform's key-value store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64
	leases    map[int64]*storeLease
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type txn struct {
	Expected []condition `json:"expected_rev"`
	Puts     []put       `json:"puts"`
	Remove   []string    `json:"remove"`
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(txn{Remove: keys})
	}
}

func (s *store) apply(t txn) int64 {
	s.revision++
	for _, p := range t.Puts {
		it := item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			it.Created = old.Created
		}
		s.items[p.Key] = it
		s.history = append(s.history, it)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Tombstone: true})
		}
	}
	if len(s.history) > 40000 {
		s.compacted = s.history[20000].Revision
		s.history = append([]item(nil), s.history[20001:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) set(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(txn{Puts: []put{{Key: key, Value: data}}})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(txn{Remove: []string{key}})
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// storeFaults are the disruptions of the store for one machine.
type storeFaults struct {
	down string // "", silent, busy, reset, many
	slow time.Duration
	lost float64 // share of writes that are done and not answered
	late bool    // those are done 1 to 6 s later
}

// storePort is the store as one machine reaches it.
type storePort struct {
	s    *store
	mu   sync.Mutex
	f    storeFaults
	wake chan struct{}
}

func newStorePort(s *store) *storePort { return &storePort{s: s, wake: make(chan struct{})} }

func (p *storePort) set(f storeFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.f = f
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *storePort) faults() (storeFaults, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.f, p.wake
}

func abort(w http.ResponseWriter) { panic(http.ErrAbortHandler) }

func (p *storePort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abort(w)
	}
	f, wake := p.faults()
	switch f.down {
	case "silent":
		select {
		case <-r.Context().Done():
		case <-wake:
			time.Sleep(50 * time.Millisecond)
		}
		abort(w)
	case "reset":
		abort(w)
	case "busy":
		w.WriteHeader(503)
		return
	case "many":
		w.WriteHeader(429)
		return
	}
	if f.slow > 0 {
		time.Sleep(f.slow)
	}
	write := r.Method == "POST" && r.URL.Path == "/kv-txn"
	if write && f.lost > 0 && rand.Float64() < f.lost {
		if f.late {
			delay := time.Second + time.Duration(rand.Int63n(int64(5*time.Second)))
			go func() {
				time.Sleep(delay)
				p.s.commit(body)
			}()
		} else {
			p.s.commit(body)
		}
		select {
		case <-r.Context().Done():
		case <-time.After(8 * time.Second):
		}
		abort(w)
	}
	p.s.serve(w, r, body, wake)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) commit(body []byte) (int, any) {
	var t txn
	if json.Unmarshal(body, &t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 32 {
		return 400, struct{}{}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, struct{}{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	met := true
	var now []item
	for _, c := range t.Expected {
		it := s.items[c.Key]
		if it.Revision != c.Revision {
			met = false
		}
		it.Key = c.Key
		now = append(now, it)
	}
	if !met {
		return 412, map[string]any{"items": now}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, struct{}{}
		}
	}
	return 200, map[string]any{"revision": s.apply(t)}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte, cut chan struct{}) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		s.expire(time.Now())
		it, ok := s.items[q.Get("key")]
		it.AsOf = s.revision
		s.mu.Unlock()
		if !ok {
			writeJSON(w, 404, struct{}{})
			return
		}
		writeJSON(w, 200, it)
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		s.expire(time.Now())
		var list []item
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				list = append(list, it)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		size, more := 0, false
		for i := range list {
			size += len(list[i].Value)
			if i == 500 || i > 0 && size > 1<<20 {
				list, more = list[:i], true
				break
			}
		}
		if list == nil {
			list = []item{}
		}
		writeJSON(w, 200, map[string]any{"items": list, "has_more": more, "as_of": asOf})
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			if after < s.compacted {
				s.mu.Unlock()
				w.WriteHeader(410)
				return
			}
			events := []item{}
			from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
			for _, it := range s.history[from:] {
				if strings.HasPrefix(it.Key, q.Get("prefix")) {
					events = append(events, it)
				}
			}
			asOf, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				writeJSON(w, 200, map[string]any{"events": events, "as_of": asOf})
				return
			}
			select {
			case <-changed:
			case <-cut:
				abort(w)
			case <-r.Context().Done():
				return
			case <-deadline:
				writeJSON(w, 200, map[string]any{"events": events, "as_of": asOf})
				return
			}
		}
	case r.URL.Path == "/kv-txn":
		status, out := s.commit(body)
		writeJSON(w, status, out)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &in)
		in.TTL = max(1000, min(in.TTL, 600000))
		s.mu.Lock()
		s.expire(time.Now())
		s.revision++
		id := s.revision
		s.leases[id] = &storeLease{ttl: time.Duration(in.TTL) * time.Millisecond, expiry: time.Now().Add(time.Duration(in.TTL) * time.Millisecond)}
		s.mu.Unlock()
		writeJSON(w, 200, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/kv-keep/"):], 10, 64)
		s.mu.Lock()
		s.expire(time.Now())
		l := s.leases[id]
		if l != nil {
			l.expiry = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			writeJSON(w, 404, struct{}{})
			return
		}
		writeJSON(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		writeJSON(w, 200, struct{}{})
	default:
		w.WriteHeader(404)
	}
}
