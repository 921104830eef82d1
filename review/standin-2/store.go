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

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type cond struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type txn struct {
	Cond   []cond   `json:"expected_rev"`
	Puts   []put    `json:"puts"`
	Remove []string `json:"remove"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	hist    []item
	compact int64
	leases  map[int64]*lease
	changed chan struct{}
	// paused means that leases do not run out.
	paused   bool
	pausedAt time.Time
	// lastWriter is the entry that last wrote under a condition.
	lastWriter string
	claims     map[string]string
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), claims: map[string]string{}}
}

func (s *store) expire(now time.Time) {
	if s.paused {
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
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
	s.rev++
	for _, p := range t.Puts {
		it := item{Key: p.Key, Value: p.Value, Revision: s.rev, Created: s.rev, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			it.Created = old.Created
		}
		s.items[p.Key] = it
		s.hist = append(s.hist, it)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.hist = append(s.hist, item{Key: k, Revision: s.rev, Tombstone: true})
		}
	}
	if len(s.hist) > 60000 {
		s.compact = s.hist[20000].Revision
		s.hist = append([]item(nil), s.hist[20001:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *store) commit(t txn, who string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	ok := true
	var cur []item
	for _, c := range t.Cond {
		it := s.items[c.Key]
		ok = ok && it.Revision == c.Revision
		it.Key = c.Key
		cur = append(cur, it)
	}
	if !ok {
		return 412, map[string]any{"items": cur}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, nil
		}
	}
	if len(t.Cond) > 0 && who != "" {
		s.lastWriter = who
		for _, c := range t.Cond {
			if strings.Contains(c.Key, "claim") {
				s.claims[c.Key] = who
			}
		}
	}
	return 200, map[string]any{"revision": s.apply(t)}
}

func (s *store) put(key string, v any) int64 {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(txn{Puts: []put{{Key: key, Value: b}}})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(txn{Remove: []string{key}})
}

// front is the store as one entry sees it.
type front struct {
	s   *store
	who string
	mu  sync.Mutex
	// mode is "", "busy", "many", "reset" or "silent".
	mode  string
	delay time.Duration
	lost  float64
	late  bool
	rnd   func() float64
	wake  chan struct{}
	// hook may take over a call; it returns true if it has.
	hook func(w http.ResponseWriter, r *http.Request) bool
}

func (f *front) set(mode string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	if f.wake != nil {
		close(f.wake)
	}
	f.wake = make(chan struct{})
}

func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			c.Close()
		}
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if v != nil {
		json.NewEncoder(w).Encode(v)
	}
}

func (f *front) blocked(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	mode, delay := f.mode, f.delay
	if f.wake == nil {
		f.wake = make(chan struct{})
	}
	wake := f.wake
	f.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(503)
		return true
	case "many":
		w.WriteHeader(429)
		return true
	case "reset":
		drop(w)
		return true
	case "silent":
		select {
		case <-wake:
		case <-r.Context().Done():
		}
		drop(w)
		return true
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return false
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.blocked(w, r) {
		return
	}
	if f.hook != nil && f.hook(w, r) {
		return
	}
	s, q := f.s, r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		s.expire(time.Now())
		it, ok := s.items[q.Get("key")]
		asof := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"as_of": asof})
			return
		}
		reply(w, 200, struct {
			item
			AsOf int64 `json:"as_of"`
		}{it, asof})
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		s.expire(time.Now())
		out := []item{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				out = append(out, it)
			}
		}
		asof := s.rev
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		size, n := 0, 0
		for n < len(out) && n < 500 && size < 1<<20 {
			size += len(out[n].Value) + len(out[n].Key)
			n++
		}
		reply(w, 200, map[string]any{"items": out[:n], "has_more": n < len(out), "as_of": asof})
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		deadline := time.After(time.Duration(ms) * time.Millisecond)
		for {
			s.mu.Lock()
			s.expire(time.Now())
			gone := after < s.compact
			ev := []item{}
			i := sort.Search(len(s.hist), func(i int) bool { return s.hist[i].Revision > after })
			for _, it := range s.hist[i:] {
				if strings.HasPrefix(it.Key, q.Get("prefix")) {
					ev = append(ev, it)
				}
			}
			asof, ch := s.rev, s.changed
			s.mu.Unlock()
			if gone {
				w.WriteHeader(410)
				return
			}
			if len(ev) > 0 {
				reply(w, 200, map[string]any{"events": ev, "as_of": asof})
				return
			}
			select {
			case <-ch:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
			reply(w, 200, map[string]any{"events": ev, "as_of": asof})
			return
		}
	case r.URL.Path == "/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Cond)+len(t.Puts)+len(t.Remove) > 32 {
			w.WriteHeader(400)
			return
		}
		for _, p := range t.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				w.WriteHeader(403)
				return
			}
		}
		f.mu.Lock()
		lost := f.lost > 0 && f.rnd() < f.lost
		late := f.late
		wait := time.Duration(1000+f.rndn(5000)) * time.Millisecond
		f.mu.Unlock()
		if lost && late {
			time.AfterFunc(wait, func() { s.commit(t, f.who) })
			drop(w)
			return
		}
		code, v := s.commit(t, f.who)
		if lost {
			drop(w)
			return
		}
		reply(w, code, v)
	case r.URL.Path == "/kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		s.rev++
		id := s.rev
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": b.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(r.URL.Path[9:], 10, 64)
		s.mu.Lock()
		s.expire(time.Now())
		l := s.leases[id]
		if l != nil {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[14:], 10, 64)
		s.mu.Lock()
		s.expire(time.Now())
		_, ok := s.leases[id]
		s.dropLease(id)
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, struct{}{})
	default:
		w.WriteHeader(404)
	}
}

func (f *front) rndn(n int) int {
	if f.rnd == nil {
		return 0
	}
	return int(f.rnd() * float64(n))
}

// pause stops or continues the running out of leases, as the store may while it is down.
func (s *store) pause(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.paused {
		s.pausedAt = time.Now()
	}
	if !on && s.paused {
		d := time.Since(s.pausedAt)
		for _, l := range s.leases {
			l.end = l.end.Add(d)
		}
	}
	s.paused = on
}
