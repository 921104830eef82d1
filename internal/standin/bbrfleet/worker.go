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
	state   string
	id      string
	born    int64
	started time.Time
	token   int64
	until   int64
	seen    int64
	count   int64
	running map[string]*running
	highest map[string]int
	ends    []*workerEnd
	changed chan struct{}
}

// workerEnd is the end of a work unit as it is listed.
type workerEnd struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
	// lapsed means that the lease ended after this end.
	lapsed bool
}

func (e *workerEnd) row() []any { return []any{e.number, e.task, e.run, e.how, ""} }

// running is a work unit at work.
type running struct {
	task string
	run  int
	ends time.Time
	// how is what the end will be.
	how string
}

type workerCall struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

type workerReply struct {
	ClockMs  int64   `json:"clock_ms"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// workTick is how often a worker looks for ends.
const workTick = 20 * time.Millisecond

// boot begins a life; mu is held.
func (w *worker) boot(now time.Time) {
	w.id = w.fleet.nextID()
	w.born, w.started, w.state = now.UnixMilli(), now, "up"
	w.token, w.until, w.seen, w.count = 0, 0, 0, 0
	w.running, w.highest, w.ends = make(map[string]*running), make(map[string]int), nil
	w.changed = make(chan struct{})
}

func (w *worker) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/run-start", w.serve(w.start)).Methods(http.MethodPost)
	router.HandleFunc("/run-stop", w.serve(w.stop)).Methods(http.MethodPost)
	router.HandleFunc("/pace", w.serve(func(workerCall, time.Time) (int, string) { return http.StatusOK, "" })).Methods(http.MethodPost)
	router.HandleFunc("/hold", w.serveHold).Methods(http.MethodPost)
	return router
}

// run lets time pass for the worker until the fleet ends.
func (w *worker) loop() {
	ticker := time.NewTicker(workTick)
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

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.started).Milliseconds() }

func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock(now) > w.until
	if lapsed {
		for _, end := range w.ends {
			end.lapsed = true
		}
	}
	for _, r := range w.running {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case now.After(r.ends):
			w.end(r, r.how)
		}
	}
}

func (w *worker) end(r *running, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.count++
	w.ends = append(w.ends, &workerEnd{number: w.count, task: r.task, run: r.run, how: how, at: time.Now()})
	w.fleet.noteEnd(r.task, w, how == "done")
	close(w.changed)
	w.changed = make(chan struct{})
}

// admit checks the life and the fencing token; mu is held.
func (w *worker) admit(r *http.Request, call workerCall) (int, string) {
	switch {
	case w.state != "up":
		return http.StatusServiceUnavailable, ""
	case r.Header.Get("Bluebellridge-Target-Instance") != w.id:
		return http.StatusMisdirectedRequest, ""
	case call.Token < w.token:
		return http.StatusConflict, "fence"
	}
	w.token = call.Token
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
		status, reason := w.admit(r, call)
		if status == 0 {
			status, reason = handle(call, now)
		}
		reply(out, status, workerReply{ClockMs: w.clock(now), Reason: reason, Born: w.born})
	}
}

func (w *worker) start(call workerCall, now time.Time) (int, string) {
	if r := w.running[call.Task]; r != nil && r.run == call.Run {
		return http.StatusOK, ""
	}
	if call.UntilMs < w.clock(now) {
		return http.StatusConflict, "late"
	}
	w.until = max(w.until, call.UntilMs)
	if call.Run <= w.highest[call.Task] {
		return http.StatusConflict, "old"
	}
	length, err := time.ParseDuration(call.Spec)
	if err != nil {
		length = defaultWork
	}
	how := "done"
	if call.Spec == PoisonSpec {
		how = "failed"
	}
	w.fleet.noteStart(call.Task, w, now)
	w.running[call.Task] = &running{task: call.Task, run: call.Run, ends: now.Add(length), how: how}
	return http.StatusOK, ""
}

// PoisonSpec is that of work units that always fail.
const PoisonSpec = "poison"

// defaultWork is how long a work unit takes whose spec is not a duration.
const defaultWork = 200 * time.Millisecond

func (w *worker) stop(call workerCall, now time.Time) (int, string) {
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	if r := w.running[call.Task]; r != nil && r.run <= call.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, ""
}

// acknowledge forgets the ends up to a number; mu is held.
func (w *worker) acknowledge(number int64) {
	for _, end := range w.ends {
		if end.number > w.seen && end.number <= number && end.how == "done" && !end.lapsed {
			w.fleet.noteAcknowledged(end.task, end.at)
		}
	}
	w.seen = max(w.seen, number)
	w.ends = slices.DeleteFunc(w.ends, func(end *workerEnd) bool { return end.number <= w.seen })
}

func (w *worker) serveHold(out http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(call.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		status, body, changed := w.hold(r, call, time.Now(), first)
		if status != http.StatusOK || len(body.Finished) > 0 || call.WaitMs == 0 {
			reply(out, status, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			call.WaitMs = 0
		}
	}
}

func (w *worker) hold(r *http.Request, call workerCall, now time.Time, first bool) (int, workerReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := workerReply{ClockMs: w.clock(now), Born: w.born}
	if status, reason := w.admit(r, call); status != 0 {
		body.Reason = reason
		return status, body, nil
	}
	if first {
		w.until = max(w.until, min(call.UntilMs, w.clock(now)+longestHold.Milliseconds()))
		w.acknowledge(call.LastSeen)
	}
	for _, run := range w.running {
		body.Running = append(body.Running, []any{run.task, run.run, "", fullPercent, 0})
	}
	for _, end := range w.ends {
		if end.number > w.seen {
			body.Finished = append(body.Finished, end.row())
		}
	}
	return http.StatusOK, body, w.changed
}

const (
	longestHold = 6 * time.Second
	fullPercent = 100
)
