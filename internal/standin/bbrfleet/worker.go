package bbrfleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// worker is one machine with its present life as an upstream.
type worker struct {
	fleet   *Fleet
	name    string
	address string
	rack    string

	mu   sync.Mutex
	pool string
	// state is the machine's, as the list of machines has it.
	state          string
	id             string
	startMillis    int64
	startTime      time.Time
	fencingToken   int64
	leaseEndMillis int64
	acknowledged   int64
	lastEnd        int64
	running        map[string]*activeRun
	highestRun     map[string]int
	ends           []*runEnd
	changed        chan struct{}
}

// runEnd is the end of a work unit as it is listed.
type runEnd struct {
	sequence int64
	task     string
	run      int
	outcome  string
	endTime  time.Time
	// leaseEnded means that the lease ended after this end.
	leaseEnded bool
}

func (end *runEnd) row() []any { return []any{end.sequence, end.task, end.run, end.outcome, ""} }

// activeRun is a work unit at work.
type activeRun struct {
	task    string
	run     int
	endTime time.Time
	// outcome is what the end will be.
	outcome string
}

type workerCall struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	LeaseEndMillis int64  `json:"deadline_ms"`
	Token          int64  `json:"fencing_token"`
	LastSeen       int64  `json:"last_seen"`
	WaitMillis     int64  `json:"wait_ms"`
}

type workerReply struct {
	ClockMillis int64   `json:"clock_ms"`
	Reason      string  `json:"reason,omitempty"`
	StartMillis int64   `json:"born"`
	Running     [][]any `json:"running,omitempty"`
	Finished    [][]any `json:"finished,omitempty"`
}

// tickInterval is how often a worker looks for ends.
const tickInterval = 20 * time.Millisecond

// boot begins a life; mu is held.
func (w *worker) boot(now time.Time) {
	w.id = w.fleet.nextID()
	w.startMillis, w.startTime, w.state = now.UnixMilli(), now, "up"
	w.fencingToken, w.leaseEndMillis, w.acknowledged, w.lastEnd = 0, 0, 0, 0
	w.running, w.highestRun, w.ends = make(map[string]*activeRun), make(map[string]int), nil
	w.changed = make(chan struct{})
}

func (w *worker) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/run-start", w.serve(w.start)).Methods(http.MethodPost)
	router.HandleFunc("/run-stop", w.serve(w.stop)).Methods(http.MethodPost)
	router.HandleFunc("/pace", w.serve(func(workerCall, time.Time) (int, string) { return http.StatusOK, "" })).Methods(http.MethodPost)
	router.HandleFunc("/hold", w.serveRenewal).Methods(http.MethodPost)
	return router
}

// run lets time pass for the worker until the fleet ends.
func (w *worker) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.fleet.ctx.Done():
			return
		case now := <-ticker.C:
			w.tick(now)
		}
	}
}

func (w *worker) clockMillis(now time.Time) int64 { return now.Sub(w.startTime).Milliseconds() }

func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	leaseEnded := w.clockMillis(now) > w.leaseEndMillis
	if leaseEnded {
		for _, end := range w.ends {
			end.leaseEnded = true
		}
	}
	for _, run := range w.running {
		switch {
		case leaseEnded:
			w.end(run, "lapsed")
		case now.After(run.endTime):
			w.end(run, run.outcome)
		}
	}
}

func (w *worker) end(run *activeRun, outcome string) {
	delete(w.running, run.task)
	w.highestRun[run.task] = max(w.highestRun[run.task], run.run)
	w.lastEnd++
	w.ends = append(w.ends, &runEnd{sequence: w.lastEnd, task: run.task, run: run.run, outcome: outcome, endTime: time.Now()})
	w.fleet.recordEnd(run.task, w, outcome == "done")
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkCall checks the life and the fencing token; mu is held.
func (w *worker) checkCall(r *http.Request, call workerCall) (int, string) {
	switch {
	case w.state != "up":
		return http.StatusServiceUnavailable, ""
	case r.Header.Get("Bluebellridge-Target-Instance") != w.id:
		return http.StatusMisdirectedRequest, ""
	case call.Token < w.fencingToken:
		return http.StatusConflict, "fence"
	}
	w.fencingToken = call.Token
	return 0, ""
}

func (w *worker) serve(handle func(call workerCall, now time.Time) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var call workerCall
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		now := time.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		status, reason := w.checkCall(r, call)
		if status == 0 {
			status, reason = handle(call, now)
		}
		writeJSON(out, status, workerReply{ClockMillis: w.clockMillis(now), Reason: reason, StartMillis: w.startMillis})
	}
}

func (w *worker) start(call workerCall, now time.Time) (int, string) {
	if r := w.running[call.Task]; r != nil && r.run == call.Run {
		return http.StatusOK, ""
	}
	if call.LeaseEndMillis < w.clockMillis(now) {
		return http.StatusConflict, "late"
	}
	w.leaseEndMillis = max(w.leaseEndMillis, call.LeaseEndMillis)
	if call.Run <= w.highestRun[call.Task] {
		return http.StatusConflict, "old"
	}
	duration, err := time.ParseDuration(call.Spec)
	if err != nil {
		duration = defaultDuration
	}
	outcome := "done"
	if call.Spec == PoisonSpec {
		outcome = "failed"
	}
	w.fleet.recordStart(call.Task, w, now)
	w.running[call.Task] = &activeRun{task: call.Task, run: call.Run, endTime: now.Add(duration), outcome: outcome}
	return http.StatusOK, ""
}

// PoisonSpec is that of work units that always fail.
const PoisonSpec = "poison"

// defaultDuration is how long a work unit takes whose spec is not a duration.
const defaultDuration = 200 * time.Millisecond

func (w *worker) stop(call workerCall, now time.Time) (int, string) {
	w.highestRun[call.Task] = max(w.highestRun[call.Task], call.Run)
	if r := w.running[call.Task]; r != nil && r.run <= call.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, ""
}

// acknowledge forgets the ends up to a number; mu is held.
func (w *worker) acknowledge(sequence int64) {
	for _, end := range w.ends {
		if end.sequence > w.acknowledged && end.sequence <= sequence && end.outcome == "done" && !end.leaseEnded {
			w.fleet.recordAcknowledgement(end.task, end.endTime)
		}
	}
	w.acknowledged = max(w.acknowledged, sequence)
	w.ends = slices.DeleteFunc(w.ends, func(end *runEnd) bool { return end.sequence <= w.acknowledged })
}

func (w *worker) serveRenewal(out http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(call.WaitMillis) * time.Millisecond)
	for first := true; ; first = false {
		status, body, changed := w.renew(r, call, time.Now(), first)
		if status != http.StatusOK || len(body.Finished) > 0 || call.WaitMillis == 0 {
			writeJSON(out, status, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			call.WaitMillis = 0
		}
	}
}

func (w *worker) renew(r *http.Request, call workerCall, now time.Time, first bool) (int, workerReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := workerReply{ClockMillis: w.clockMillis(now), StartMillis: w.startMillis}
	if status, reason := w.checkCall(r, call); status != 0 {
		body.Reason = reason
		return status, body, nil
	}
	if first {
		w.leaseEndMillis = max(w.leaseEndMillis, min(call.LeaseEndMillis, w.clockMillis(now)+maxLease.Milliseconds()))
		w.acknowledge(call.LastSeen)
	}
	for _, run := range w.running {
		body.Running = append(body.Running, []any{run.task, run.run, "", fullPercent, 0})
	}
	for _, end := range w.ends {
		if end.sequence > w.acknowledged {
			body.Finished = append(body.Finished, end.row())
		}
	}
	return http.StatusOK, body, w.changed
}

const (
	maxLease    = 6 * time.Second
	fullPercent = 100
)
