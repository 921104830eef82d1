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
	// violations describes the violations of the execution guarantees.
	violations []string
	// interrupted names the runs that a planned move or maintenance ended.
	interrupted []string
	faults      faultInjector
}

// unitRecord is what the upstreams saw of a work unit.
type unitRecord struct {
	starts    int
	lastStart time.Time
	// runningOn has the workers that run it at present.
	runningOn map[*worker]bool
	done      bool
	// acknowledged means that a successful end was acknowledged and that the run lease
	// of its worker had not ended between the end and the acknowledgement.
	acknowledged bool
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

// Facts is what the upstreams saw. It is served as JSON under its field names.
type Facts struct {
	// Units is the number of work units that were started, Starts that of their
	// starts, and Done that of the units that succeeded.
	Units, Starts, Done int
	// Faults describes the violations of the execution guarantees.
	Faults []string
	// TakenAway names the runs that a planned move or maintenance ended, which is
	// allowed only while other faults are present.
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

// recordMaintenance records the maintenance of a machine in a wave and reports
// whether it was recorded before.
func (f *Fleet) recordMaintenance(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	doneBefore := f.maintenanceDone[name]
	f.maintenanceDone[name] = true
	return doneBefore
}

// unit returns the record of a work unit. The caller holds mu.
func (f *Fleet) unit(task string) *unitRecord {
	if f.units[task] == nil {
		f.units[task] = &unitRecord{runningOn: make(map[*worker]bool)}
	}
	return f.units[task]
}

// recordStart records a start and checks that it is allowed. The caller holds the
// worker's mu.
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

// checkStepOrder checks that all known work units of the preceding step are done.
// The steps of the stand-in's jobs depend on each other in sequence. The caller
// holds mu.
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

// unitNameParts is the number of parts of a work unit's name: job, occurrence, step
// and index.
const unitNameParts = 4

// recordEnd records that a worker no longer runs a work unit.
func (f *Fleet) recordEnd(task string, on *worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	delete(unit.runningOn, on)
	unit.done = unit.done || done
}

// recordAcknowledgement records that the end of a successful run was acknowledged,
// and checks that the work unit was not started after that run ended at endTime.
func (f *Fleet) recordAcknowledgement(task string, endTime time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	unit.acknowledged = true
	if unit.lastStart.After(endTime) {
		f.violations = append(f.violations, task+" was started after it was done, and that end is acknowledged")
	}
}

// recordInterruptions records the runs that a planned move or maintenance ends.
// The caller holds the worker's mu.
func (f *Fleet) recordInterruptions(w *worker) {
	for task := range w.running {
		f.recordEnd(task, w, false)
		f.mu.Lock()
		f.interrupted = append(f.interrupted, task+" on "+w.name)
		f.mu.Unlock()
	}
}

// StartedJobs returns the jobs of which at least one work unit was started.
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

// CountRunning returns the number of work units of a job that run at present.
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
	// Tasks has the names of the work units that run there, sorted.
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

// IsDone reports whether a run of the work unit ended successfully.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.units[task]
	return unit != nil && unit.done
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

// Compact discards the store's history.
func (f *Fleet) Compact() { f.store.Compact() }

// Crash ends the incarnation of an upstream and all its runs, and starts another.
// It does nothing while the machine is down.
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

// registrar keeps the upstreams' registrations in the store up to date.
type registrar struct {
	fleet *Fleet
	// registered has the instance ID under which each worker is registered.
	registered map[string]string
}

// registrationInterval is the interval at which the registrations are updated.
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
