package bbrfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fleet is the whole stand-in.
type Fleet struct {
	ctx     context.Context
	store   Store
	workers []*worker

	mu     sync.Mutex
	lives  int
	upkeep map[string]bool
	// starts counts the starts of each work unit; done has those that ended so.
	starts map[string]int
	done   map[string]bool
	faults []string
}

// Setup is what a fleet consists of.
type Setup struct {
	// Workers are the addresses of the upstreams, one each, dealt to the pools
	// in turn.
	Workers []netip.AddrPort
	Pools   []string
}

// New returns a fleet whose upstreams are served until ctx ends.
func New(ctx context.Context, setup Setup) *Fleet {
	f := &Fleet{ctx: ctx, upkeep: make(map[string]bool), starts: make(map[string]int), done: make(map[string]bool)}
	for i, address := range setup.Workers {
		w := &worker{
			fleet: f, name: fmt.Sprintf("m-%d", i+1), address: address.String(),
			rack: fmt.Sprintf("rack-%d", i/2+1), pool: setup.Pools[i%len(setup.Pools)],
		}
		w.boot(time.Now())
		f.workers = append(f.workers, w)
		go w.loop()
		s := &served{server: http.Server{Addr: address.String(), Handler: w.handler(), ReadHeaderTimeout: time.Minute}}
		go s.run()
	}
	r := &registrar{fleet: f}
	go r.loop()
	return f
}

// served is an HTTP server for the process's life.
type served struct{ server http.Server }

func (s *served) run() {
	if err := s.server.ListenAndServe(); err != nil {
		fmt.Println("upstream not served:", err)
	}
}

// Handler returns the handler of the store, the machines and the operators.
func (f *Fleet) Handler() http.Handler {
	router := mux.NewRouter()
	f.routeStore(router)
	f.routeMachines(router)
	router.HandleFunc("/operator/{key:.*}", f.serveOperator).Methods(http.MethodPut)
	router.HandleFunc("/facts", f.serveFacts).Methods(http.MethodGet)
	return router
}

// serveOperator writes a key as operators do, past the rule for the system.
func (f *Fleet) serveOperator(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, _, _ := f.store.Commit(Transaction{Puts: []Put{{Key: mux.Vars(r)["key"], Value: value}}}, time.Now())
	reply(w, http.StatusOK, Item{Revision: revision})
}

// Facts is what the upstreams saw.
type Facts struct {
	Units, Starts, Done int
	// Faults name what broke a promise.
	Faults []string
}

// Facts returns what the upstreams saw.
func (f *Fleet) Facts() Facts {
	f.mu.Lock()
	defer f.mu.Unlock()
	facts := Facts{Units: len(f.starts), Done: len(f.done), Faults: slices.Clone(f.faults)}
	for _, starts := range f.starts {
		facts.Starts += starts
	}
	return facts
}

func (f *Fleet) serveFacts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, f.Facts())
}

func (f *Fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	return "i-" + strconv.Itoa(f.lives)
}

// maintained notes an upkeep and tells whether it was done before.
func (f *Fleet) maintained(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.upkeep[name]
	f.upkeep[name] = true
	return before
}

// noteStart checks a start on a worker, whose mu is held.
func (f *Fleet) noteStart(task string, at *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task]++
	if f.done[task] {
		f.faults = append(f.faults, task+" started after it was done")
	}
	for _, other := range f.workers {
		if other != at && other.runs(task) {
			f.faults = append(f.faults, task+" runs twice")
		}
	}
}

// runs tells whether a work unit is at work; a worker that is busy right now
// is not waited for.
func (w *worker) runs(task string) bool {
	if !w.mu.TryLock() {
		return false
	}
	defer w.mu.Unlock()
	return w.running[task] != nil
}

func (f *Fleet) noteDone(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done[task] = true
}

// noteTakenAway checks that planned work ends nothing; the worker's mu is held.
func (f *Fleet) noteTakenAway(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range w.running {
		f.faults = append(f.faults, task+" was ended by planned work on "+w.name)
	}
}

// registrar writes the upstreams' registrations.
type registrar struct {
	fleet *Fleet
	known map[string]string
}

// beatEvery is how often registrations are compared with the workers.
const beatEvery = 100 * time.Millisecond

func (r *registrar) loop() {
	r.known = make(map[string]string)
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.fleet.ctx.Done():
			return
		case now := <-ticker.C:
			r.round(now)
		}
	}
}

func (r *registrar) round(now time.Time) {
	for _, w := range r.fleet.workers {
		w.mu.Lock()
		id := ""
		if w.state == "up" {
			id = w.id
		}
		value, _ := json.Marshal(map[string]any{
			"service": w.pool, "address": w.address, "zone": "a", "capacity": 8, "state": "ready", "born": w.born,
			"headroom": room(), "labels": []string{"a", w.rack},
		})
		w.mu.Unlock()
		if r.known[w.name] == id {
			continue
		}
		var change Transaction
		if before := r.known[w.name]; before != "" {
			change.Removals = []string{"servers/" + before}
		}
		if id != "" {
			change.Puts = []Put{{Key: "servers/" + id, Value: value}}
		}
		r.known[w.name] = id
		r.fleet.store.Commit(change, now)
	}
}
