package bbrfleet

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// awayTime is how long a machine is away for a move or its upkeep.
const awayTime = 300 * time.Millisecond

type machineRow struct {
	Machine  string         `json:"machine"`
	Pool     string         `json:"pool"`
	State    string         `json:"state"`
	Zone     string         `json:"zone"`
	Labels   []string       `json:"labels"`
	Headroom map[string]int `json:"headroom"`
	ID       string         `json:"id"`
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (f *Fleet) routeMachines(router *mux.Router) {
	router.HandleFunc("/machines", f.serveMachines).Methods(http.MethodGet)
	router.HandleFunc("/machine-move", f.serveMove).Methods(http.MethodPost)
	router.HandleFunc("/machine-upkeep", f.serveUpkeep).Methods(http.MethodPost)
}

// RoomMilliCPU and RoomMB are the room of each upstream.
const (
	CapacityMilliCPU = 4000
	CapacityMB       = 16000
)

func room() map[string]int {
	return map[string]int{"cpu": CapacityMilliCPU, "mem_mb": CapacityMB, "gpu": 0}
}

func (f *Fleet) serveMachines(w http.ResponseWriter, _ *http.Request) {
	rows := []machineRow{}
	for _, worker := range f.workers {
		worker.mu.Lock()
		rows = append(rows, machineRow{
			Machine: worker.name, Pool: worker.pool, State: worker.state, Zone: "a",
			Labels: []string{"a", worker.rack}, Headroom: room(), ID: worker.id,
		})
		worker.mu.Unlock()
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next": nil})
}

// order finds the machine of an order and lets begin take it away.
func (f *Fleet) order(w http.ResponseWriter, r *http.Request, begin func(worker *worker, order machineOrder) (done bool, state string)) {
	var order machineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, worker := range f.workers {
		if worker.name != order.Machine {
			continue
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		done, state := begin(worker, order)
		if done {
			reply(w, http.StatusOK, struct{}{})
			return
		}
		if worker.state != "up" {
			reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
			return
		}
		f.noteTakenAway(worker)
		worker.state = state
		worker.running = make(map[string]*running)
		back := &comingBack{worker: worker, pool: order.Pool}
		time.AfterFunc(awayTime, back.run)
		reply(w, http.StatusOK, struct{}{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// comingBack is a machine on its way back, in another pool where one is named.
type comingBack struct {
	worker *worker
	pool   string
}

func (c *comingBack) run() {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	if c.pool != "" {
		c.worker.pool = c.pool
	}
	c.worker.boot(time.Now())
}

func (f *Fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	f.order(w, r, func(worker *worker, order machineOrder) (bool, string) { return worker.pool == order.Pool, "moving" })
}

func (f *Fleet) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	f.order(w, r, func(worker *worker, order machineOrder) (bool, string) {
		done := f.maintained(order.Machine + "/" + strconv.FormatInt(order.Wave, 10))
		return done, "upkeep"
	})
}
