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

	mu              sync.Mutex
	instanceCount   int
	maintenanceDone map[string]bool
	units           map[string]*unitRecord
	violations      []string
	// interrupted names work that planned work ended.
	interrupted []string
	faults      faultInjector
}

// unitRecord is what really happened to a work unit.
type unitRecord struct {
	starts    int
	lastStart time.Time
	// runningOn has the upstreams on which it is at work.
	runningOn map[*worker]bool
	done      bool
	// acknowledged means that an end as done was acknowledged under a lease that had not
	// ended since.
	acknowledged bool
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

func (c *Config) registeredAddress(number int) netip.AddrPort {
	if number < len(c.RegisteredAddresses) {
		return c.RegisteredAddresses[number]
	}
	return c.Workers[number]
}

// New returns a fleet whose upstreams are served until ctx ends.
func New(ctx context.Context, config Config) *Fleet {
	f := &Fleet{ctx: ctx, maintenanceDone: make(map[string]bool), units: make(map[string]*unitRecord)}
	for i, address := range config.Workers {
		w := &worker{
			fleet: f, name: fmt.Sprintf("m-%d", i+1), address: config.registeredAddress(i).String(),
			rack: fmt.Sprintf("rack-%d", i/2+1), pool: config.Pools[i%len(config.Pools)],
		}
		w.boot(time.Now())
		f.workers = append(f.workers, w)
		go w.loop()
		s := &httpServer{server: http.Server{Addr: address.String(), Handler: w.handler(), ReadHeaderTimeout: time.Minute}}
		go s.run()
	}
	r := &registrar{fleet: f}
	go r.loop()
	return f
}

// httpServer is an HTTP server for the process's life.
type httpServer struct{ server http.Server }

func (s *httpServer) run() {
	if err := s.server.ListenAndServe(); err != nil {
		fmt.Println("upstream not served:", err)
	}
}

// Handler returns the handler of the store, the machines and the operators.
func (f *Fleet) Handler() http.Handler {
	router := mux.NewRouter()
	f.routeStore(router)
	f.routeMachines(router)
	router.Use(f.faults.middleware)
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
	writeJSON(w, http.StatusOK, Item{Revision: revision})
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
	facts := Facts{Units: len(f.units), Faults: slices.Clone(f.violations), TakenAway: slices.Clone(f.interrupted)}
	for _, unit := range f.units {
		facts.Starts += unit.starts
		if unit.done {
			facts.Done++
		}
	}
	return facts
}

func (f *Fleet) serveFacts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.Facts())
}

func (f *Fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceCount++
	return "i-" + strconv.Itoa(f.instanceCount)
}

// recordMaintenance notes an upkeep and tells whether it was done before.
func (f *Fleet) recordMaintenance(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	doneBefore := f.maintenanceDone[name]
	f.maintenanceDone[name] = true
	return doneBefore
}

// unit returns the facts of a work unit; mu is held.
func (f *Fleet) unit(task string) *unitRecord {
	if f.units[task] == nil {
		f.units[task] = &unitRecord{runningOn: make(map[*worker]bool)}
	}
	return f.units[task]
}

// recordStart checks a start on a worker, whose mu is held.
func (f *Fleet) recordStart(task string, on *worker, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	if unit.acknowledged {
		f.violations = append(f.violations, task+" started after its end as done was acknowledged")
	}
	for other := range unit.runningOn {
		f.violations = append(f.violations, task+" started on "+on.name+" while it runs on "+other.name)
	}
	f.checkStepOrder(task)
	unit.starts++
	unit.lastStart, unit.runningOn[on] = now, true
}

// checkStepOrder checks that the step before is done. Steps of the stand-in's jobs
// follow each other.
func (f *Fleet) checkStepOrder(task string) {
	parts := strings.Split(task, ".")
	if len(parts) != unitNameParts || parts[2] == "0" {
		return
	}
	step, _ := strconv.Atoi(parts[2])
	prefix := fmt.Sprintf("%s.%s.%d.", parts[0], parts[1], step-1)
	for name, unit := range f.units {
		if strings.HasPrefix(name, prefix) && !unit.done {
			f.violations = append(f.violations, task+" started before "+name+" was done")
		}
	}
}

// unitNameParts is how many parts a work unit's name has: job, occurrence, step and
// index.
const unitNameParts = 4

// recordEnd notes that a work unit is at work no more on a worker.
func (f *Fleet) recordEnd(task string, on *worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	delete(unit.runningOn, on)
	unit.done = unit.done || done
}

// recordAcknowledgement checks an end as done that was acknowledged. It happened at
// ended.
func (f *Fleet) recordAcknowledgement(task string, endTime time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	unit.acknowledged = true
	if unit.lastStart.After(endTime) {
		f.violations = append(f.violations, task+" was started after it was done, and that end is acknowledged")
	}
}

// recordInterruptions notes what planned work ends; the worker's mu is held.
func (f *Fleet) recordInterruptions(w *worker) {
	for task := range w.running {
		f.recordEnd(task, w, false)
		f.mu.Lock()
		f.interrupted = append(f.interrupted, task+" on "+w.name)
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
		if strings.HasPrefix(task, job+".") && len(unit.runningOn) > 0 {
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
		f.recordEnd(task, w, false)
	}
	w.boot(time.Now())
}

// registrar writes the upstreams' registrations.
type registrar struct {
	fleet      *Fleet
	registered map[string]string
}

// registrationInterval is how often registrations are compared with the workers.
const registrationInterval = 100 * time.Millisecond

func (r *registrar) loop() {
	r.registered = make(map[string]string)
	ticker := time.NewTicker(registrationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.fleet.ctx.Done():
			return
		case now := <-ticker.C:
			r.registerAll(now)
		}
	}
}

func (r *registrar) registerAll(now time.Time) {
	for _, w := range r.fleet.workers {
		w.mu.Lock()
		id := ""
		if w.state == "up" {
			id = w.id
		}
		value, _ := json.Marshal(map[string]any{
			"service": w.pool, "address": w.address, "zone": "a", "capacity": 8, "state": "ready", "born": w.startMillis,
			"headroom": capacity(), "labels": []string{"a", w.rack},
		})
		w.mu.Unlock()
		if r.registered[w.name] == id {
			continue
		}
		var change Transaction
		if previous := r.registered[w.name]; previous != "" {
			change.Removals = []string{"servers/" + previous}
		}
		if id != "" {
			change.Puts = []Put{{Key: "servers/" + id, Value: value}}
		}
		r.registered[w.name] = id
		r.fleet.store.Commit(change, now)
	}
}
