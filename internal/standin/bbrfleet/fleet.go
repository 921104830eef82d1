package bbrfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fleet is the stand-in: a store, a list of machines and one upstream on each.
type Fleet struct {
	ctx     context.Context
	store   Store
	workers []*worker

	mu sync.Mutex
	// instanceCount is how many instance IDs were assigned.
	instanceCount int
	// maintenanceDone has the machines with their wave, "machine/wave", that were
	// taken down for maintenance.
	maintenanceDone map[string]bool
	// units has the records of the work units by name.
	units map[string]*unitRecord
	// unitLimits has the jobs that belong together: all of them may run so many work
	// units at the same time.
	unitLimits       map[string]int
	unlimitedCrashes bool
	// needs has what the work units of each step of declared jobs need.
	needs map[string][]Amount
	// violations describes the violations of the execution guarantees.
	violations []string
	// interrupted names the runs that a planned move or maintenance ended.
	interrupted []string
	faults      faultInjector
}

// Config describes a fleet.
type Config struct {
	// Workers has the address at which each upstream listens. Upstreams are assigned
	// to the pools round-robin.
	Workers []netip.AddrPort
	Pools   []string
	// RegisteredAddresses has the addresses under which the first upstreams register,
	// such as those of relays; the others register the address of Workers.
	RegisteredAddresses []netip.AddrPort
	// UnlimitedCrashes means that starts of work units that crash their upstreams are
	// not checked.
	UnlimitedCrashes bool
}

func (c *Config) registeredAddress(number int) netip.AddrPort {
	if number < len(c.RegisteredAddresses) {
		return c.RegisteredAddresses[number]
	}
	return c.Workers[number]
}

// New returns a fleet whose upstreams execute work until ctx ends. Their HTTP
// servers run until the process exits.
func New(ctx context.Context, config Config) *Fleet {
	f := &Fleet{ctx: ctx, maintenanceDone: make(map[string]bool), units: make(map[string]*unitRecord), unitLimits: make(map[string]int), needs: make(map[string][]Amount), unlimitedCrashes: config.UnlimitedCrashes}
	for i, address := range config.Workers {
		w := &worker{
			fleet: f, name: fmt.Sprintf("m-%d", i+1), address: config.registeredAddress(i).String(),
			rack: fmt.Sprintf("rack-%d", i/2+1), pool: config.Pools[i%len(config.Pools)],
		}
		w.boot(time.Now().Add(-initialAge))
		f.workers = append(f.workers, w)
		go w.loop()
		s := &httpServer{server: http.Server{Addr: address.String(), Handler: w.handler(), ReadHeaderTimeout: time.Minute}}
		go s.run()
	}
	r := &registrar{fleet: f}
	go r.loop()
	return f
}

// httpServer is an HTTP server that runs until the process exits.
type httpServer struct{ server http.Server }

func (s *httpServer) run() {
	if err := s.server.ListenAndServe(); err != nil {
		fmt.Println("upstream server failed:", err)
	}
}

// Handler returns the HTTP handler of the store, the machine list and the
// operators' calls.
func (f *Fleet) Handler() http.Handler {
	router := mux.NewRouter()
	f.routeStore(router)
	f.routeMachines(router)
	router.Use(f.faults.middleware)
	router.HandleFunc("/operator/{key:.*}", f.serveOperator).Methods(http.MethodPut)
	router.HandleFunc("/facts", f.serveFacts).Methods(http.MethodGet)
	return router
}

// serveOperator writes a key on behalf of an operator, without the check that
// rejects keys reserved for operators and the platform.
func (f *Fleet) serveOperator(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, _, _ := f.store.Commit(Transaction{Puts: []Put{{Key: mux.Vars(r)["key"], Value: value}}}, time.Now())
	writeJSON(w, http.StatusOK, Item{Revision: revision})
}

func (f *Fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceCount++
	return "i-" + strconv.Itoa(f.instanceCount)
}

// recordMaintenance records the maintenance of a machine in a wave and reports
// whether it was recorded before.
func (f *Fleet) recordMaintenance(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	doneBefore := f.maintenanceDone[name]
	f.maintenanceDone[name] = true
	return doneBefore
}

// Upstream is an upstream that is up.
type Upstream struct {
	// Number counts the upstreams from 0.
	Number int
	Pool   string
	// Tasks has the names of the work units that run there, sorted.
	Tasks []string
}

// Upstreams returns the upstreams that are up.
func (f *Fleet) Upstreams() []Upstream {
	var list []Upstream
	for number, w := range f.workers {
		w.mu.Lock()
		if w.state == "up" {
			list = append(list, Upstream{Number: number, Pool: w.pool, Tasks: slices.Sorted(maps.Keys(w.running))})
		}
		w.mu.Unlock()
	}
	return list
}

// Put writes a key on behalf of an operator.
func (f *Fleet) Put(key string, value []byte) {
	f.store.Commit(Transaction{Puts: []Put{{Key: key, Value: value}}}, time.Now())
}

// Get returns the value of a key and reports whether the key exists.
func (f *Fleet) Get(key string) ([]byte, bool) {
	item, _, ok := f.store.Get(key, time.Now())
	return item.Value, ok
}

// List returns the items whose keys have the prefix, sorted by key.
func (f *Fleet) List(prefix string) []Item {
	items, _ := f.store.Range(prefix, "", time.Now())
	return items
}

// Compact discards the store's history.
func (f *Fleet) Compact() { f.store.Compact() }

// Crash ends the incarnation of an upstream and all its runs, and starts another.
// It does nothing while the machine is down.
func (f *Fleet) Crash(number int) { f.endIncarnation(number, (*worker).boot) }

// endIncarnation ends the incarnation of an upstream, and begins the next one.
func (f *Fleet) endIncarnation(number int, begin func(w *worker, now time.Time)) {
	w := f.workers[number%len(f.workers)]
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != "up" || w.restarting {
		return
	}
	w.dropRuns()
	begin(w, time.Now())
}
