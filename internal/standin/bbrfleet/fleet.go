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
	"strings"
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
	units  map[string]*unitFacts
	faults []string
	// takenAway names work that planned work ended.
	takenAway []string
	weather   weather
}

// unitFacts is what really happened to a work unit.
type unitFacts struct {
	starts    int
	lastStart time.Time
	// at has the upstreams on which it is at work.
	at   map[*worker]bool
	done bool
	// noted means that an end as done was acknowledged under a lease that had not
	// ended since.
	noted bool
}

// Config is what a fleet consists of.
type Config struct {
	// Workers are the addresses of the upstreams, one each, dealt to the pools
	// in turn.
	Workers []netip.AddrPort
	Pools   []string
	// RegisteredAddresses are the addresses that the upstreams register, where these are others.
	RegisteredAddresses []netip.AddrPort
}

func (s *Config) shown(number int) netip.AddrPort {
	if number < len(s.RegisteredAddresses) {
		return s.RegisteredAddresses[number]
	}
	return s.Workers[number]
}

// New returns a fleet whose upstreams are served until ctx ends.
func New(ctx context.Context, setup Config) *Fleet {
	f := &Fleet{ctx: ctx, upkeep: make(map[string]bool), units: make(map[string]*unitFacts)}
	for i, address := range setup.Workers {
		w := &worker{
			fleet: f, name: fmt.Sprintf("m-%d", i+1), address: setup.shown(i).String(),
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
	router.Use(f.weather.pass)
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
	// TakenAway names work that planned work ended, which it may do only beside
	// other trouble.
	TakenAway []string
}

// Facts returns what the upstreams saw.
func (f *Fleet) Facts() Facts {
	f.mu.Lock()
	defer f.mu.Unlock()
	facts := Facts{Units: len(f.units), Faults: slices.Clone(f.faults), TakenAway: slices.Clone(f.takenAway)}
	for _, unit := range f.units {
		facts.Starts += unit.starts
		if unit.done {
			facts.Done++
		}
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

// unit returns the facts of a work unit; mu is held.
func (f *Fleet) unit(task string) *unitFacts {
	if f.units[task] == nil {
		f.units[task] = &unitFacts{at: make(map[*worker]bool)}
	}
	return f.units[task]
}

// noteStart checks a start on a worker, whose mu is held.
func (f *Fleet) noteStart(task string, at *worker, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	if unit.noted {
		f.faults = append(f.faults, task+" started after its end as done was acknowledged")
	}
	for other := range unit.at {
		f.faults = append(f.faults, task+" started on "+at.name+" while it runs on "+other.name)
	}
	f.checkOrder(task)
	unit.starts++
	unit.lastStart, unit.at[at] = now, true
}

// checkOrder checks that the step before is done. Steps of the stand-in's jobs
// follow each other.
func (f *Fleet) checkOrder(task string) {
	parts := strings.Split(task, ".")
	if len(parts) != nameParts || parts[2] == "0" {
		return
	}
	step, _ := strconv.Atoi(parts[2])
	earlier := fmt.Sprintf("%s.%s.%d.", parts[0], parts[1], step-1)
	for name, unit := range f.units {
		if strings.HasPrefix(name, earlier) && !unit.done {
			f.faults = append(f.faults, task+" started before "+name+" was done")
		}
	}
}

// nameParts is how many parts a work unit's name has: job, occurrence, step and
// index.
const nameParts = 4

// noteEnd notes that a work unit is at work no more on a worker.
func (f *Fleet) noteEnd(task string, at *worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	delete(unit.at, at)
	unit.done = unit.done || done
}

// noteAcknowledged checks an end as done that was acknowledged. It happened at
// ended.
func (f *Fleet) noteAcknowledged(task string, ended time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	unit.noted = true
	if unit.lastStart.After(ended) {
		f.faults = append(f.faults, task+" was started after it was done, and that end is acknowledged")
	}
}

// noteTakenAway notes what planned work ends; the worker's mu is held.
func (f *Fleet) noteTakenAway(w *worker) {
	for task := range w.running {
		f.noteEnd(task, w, false)
		f.mu.Lock()
		f.takenAway = append(f.takenAway, task+" on "+w.name)
		f.mu.Unlock()
	}
}

// StartedJobs returns the jobs of which a work unit was started.
func (f *Fleet) StartedJobs() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs := make(map[string]bool)
	for task := range f.units {
		job, _, _ := strings.Cut(task, ".")
		jobs[job] = true
	}
	return jobs
}

// CountRunning counts the work units of a job that are at work.
func (f *Fleet) CountRunning(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for task, unit := range f.units {
		if strings.HasPrefix(task, job+".") && len(unit.at) > 0 {
			count++
		}
	}
	return count
}

// Upstream is an upstream that is up.
type Upstream struct {
	Pool string
	// Tasks are the work units at work there, in order.
	Tasks []string
}

// Upstreams returns the upstreams that are up.
func (f *Fleet) Upstreams() []Upstream {
	var list []Upstream
	for _, w := range f.workers {
		w.mu.Lock()
		if w.state == "up" {
			list = append(list, Upstream{Pool: w.pool, Tasks: slices.Sorted(maps.Keys(w.running))})
		}
		w.mu.Unlock()
	}
	return list
}

// IsDone tells whether a work unit has ended as done.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.units[task]
	return unit != nil && unit.done
}

// Put writes a key as operators do, and Get reads one.
func (f *Fleet) Put(key string, value []byte) {
	f.store.Commit(Transaction{Puts: []Put{{Key: key, Value: value}}}, time.Now())
}

// Get reads a key.
func (f *Fleet) Get(key string) ([]byte, bool) {
	item, _, ok := f.store.Get(key, time.Now())
	return item.Value, ok
}

// Compact forgets the store's history.
func (f *Fleet) Compact() { f.store.Compact() }

// Crash ends the life of an upstream and begins another.
func (f *Fleet) Crash(number int) {
	w := f.workers[number%len(f.workers)]
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != "up" {
		return
	}
	for task := range w.running {
		f.noteEnd(task, w, false)
	}
	w.boot(time.Now())
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
