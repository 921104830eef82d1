package bbrfleet

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// outageDuration is how long a machine is down for a move or for maintenance.
const outageDuration = 300 * time.Millisecond

// machineRow is a row of the list of machines.
type machineRow struct {
	Machine  string         `json:"machine"`
	Pool     string         `json:"pool"`
	State    string         `json:"state"`
	Zone     string         `json:"zone"`
	Labels   []string       `json:"labels"`
	Headroom map[string]int `json:"headroom"`
	ID       string         `json:"id"`
}

// machineCall is the body of a call that moves a machine or starts its maintenance.
type machineCall struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (f *Fleet) routeMachines(router *mux.Router) {
	router.HandleFunc("/machines", f.serveMachines).Methods(http.MethodGet)
	router.HandleFunc("/machine-move", f.serveMove).Methods(http.MethodPost)
	router.HandleFunc("/machine-upkeep", f.serveMaintenance).Methods(http.MethodPost)
}

func (f *Fleet) serveMachines(w http.ResponseWriter, _ *http.Request) {
	rows := []machineRow{}
	for _, worker := range f.workers {
		worker.mu.Lock()
		rows = append(rows, machineRow{
			Machine: worker.name, Pool: worker.pool, State: worker.state, Zone: "a",
			Labels: []string{"a", worker.rack}, Headroom: reducedCapacity(worker.missingPercent).headroom(), ID: worker.id,
		})
		worker.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next": nil})
}

// takeDown takes down the machine named in a call and restarts it after
// outageDuration. check reports whether the call was carried out before, in which
// case nothing happens, and returns the state of the machine while it is down.
func (f *Fleet) takeDown(w http.ResponseWriter, r *http.Request, check func(worker *worker, call machineCall) (done bool, state string)) {
	var call machineCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, worker := range f.workers {
		if worker.name != call.Machine {
			continue
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		done, state := check(worker, call)
		if done {
			writeJSON(w, http.StatusOK, struct{}{})
			return
		}
		if worker.state != "up" {
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
			return
		}
		f.recordInterruptions(worker)
		worker.state, worker.restarting = state, false
		worker.running = make(map[string]*activeRun)
		returning := &machineReturn{worker: worker, pool: call.Pool}
		time.AfterFunc(outageDuration, returning.run)
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// machineReturn restarts a machine after its outage, in another pool if one is
// named.
type machineReturn struct {
	worker *worker
	pool   string
}

func (m *machineReturn) run() {
	m.worker.mu.Lock()
	defer m.worker.mu.Unlock()
	if m.pool != "" {
		m.worker.pool = m.pool
	}
	m.worker.boot(time.Now())
}

func (f *Fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	f.takeDown(w, r, func(worker *worker, call machineCall) (bool, string) { return worker.pool == call.Pool, "moving" })
}

func (f *Fleet) serveMaintenance(w http.ResponseWriter, r *http.Request) {
	f.takeDown(w, r, func(worker *worker, call machineCall) (bool, string) {
		done := f.recordMaintenance(call.Machine + "/" + strconv.FormatInt(call.Wave, 10))
		return done, "upkeep"
	})
}
