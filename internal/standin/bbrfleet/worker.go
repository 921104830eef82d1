package bbrfleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// worker is one machine with its present incarnation as an upstream.
type worker struct {
	fleet   *Fleet
	name    string
	address string
	rack    string

	mu   sync.Mutex
	pool string
	// state is the machine's state in the list of machines: up, moving, upkeep or down.
	state string
	// missingPercent is the percentage of the capacity that is missing since reducedAt.
	missingPercent int
	reducedAt      time.Time
	// restarting is set between two incarnations of the same ID. Nothing is answered then.
	restarting bool
	// registersAt is when the incarnation registers; zero if at once.
	registersAt time.Time
	// lateShare is the share of orders that are carried out late, 0 to 1.
	lateShare float64
	// crashAt is when the incarnation crashes; zero if it does not.
	crashAt time.Time
	// id is the instance ID of the incarnation.
	id string
	// startMillis is when the incarnation started, in milliseconds since 1970.
	startMillis int64
	startTime   time.Time
	// fencingToken is the highest fencing token of an accepted call.
	fencingToken int64
	// leaseEndMillis is when the run lease ends on the clock of clockMillis.
	leaseEndMillis int64
	// acknowledged is the sequence number up to which ends are acknowledged, and
	// lastEnd that of the latest end.
	acknowledged int64
	lastEnd      int64
	// running has the active runs by work unit.
	running map[string]*activeRun
	// highestRun has the highest run number of each work unit that ended or was
	// stopped. Runs up to it are not started any more.
	highestRun map[string]int
	// ends has the ends that are not acknowledged.
	ends []*runEnd
	// changed is closed and replaced at each end and with each incarnation, to wake
	// renewals that wait for an end.
	changed chan struct{}
}

// runEnd is the end of a run, as it is reported.
type runEnd struct {
	sequence int64
	task     string
	run      int
	outcome  string
	endTime  time.Time
	// leaseEnded means that the run lease ended after this end.
	leaseEnded bool
}

func (end *runEnd) row() []any { return []any{end.sequence, end.task, end.run, end.outcome, ""} }

// activeRun is a run that has not ended.
type activeRun struct {
	task    string
	run     int
	endTime time.Time
	// outcome is the outcome of the run at endTime.
	outcome string
}

// workerCall is the body of a call to an upstream.
type workerCall struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	LeaseEndMillis int64  `json:"deadline_ms"`
	Token          int64  `json:"fencing_token"`
	LastSeen       int64  `json:"last_seen"`
	WaitMillis     int64  `json:"wait_ms"`
	// late is set if the call is carried out late.
	late bool
	// incarnation is the startMillis of the incarnation at the call's arrival.
	incarnation int64
}

// workerReply is the body of an upstream's response.
type workerReply struct {
	ClockMillis int64   `json:"clock_ms"`
	Reason      string  `json:"reason,omitempty"`
	StartMillis int64   `json:"born"`
	Running     [][]any `json:"running,omitempty"`
	Finished    [][]any `json:"finished,omitempty"`
}

// tickInterval is the interval at which a worker ends runs that are due.
const tickInterval = 20 * time.Millisecond

// dropRuns ends all runs without a trace in the worker. The caller holds mu.
func (w *worker) dropRuns() {
	for task := range w.running {
		w.fleet.recordEnd(task, w, false)
	}
}

// boot starts a new incarnation under a new ID. The caller holds mu.
func (w *worker) boot(now time.Time) {
	w.id = w.fleet.nextID()
	w.restart(now)
}

// restart starts a new incarnation under the present ID. The caller holds mu.
func (w *worker) restart(now time.Time) {
	w.startMillis, w.startTime, w.state, w.restarting = now.UnixMilli(), now, "up", false
	w.fencingToken, w.leaseEndMillis, w.acknowledged, w.lastEnd = 0, 0, 0, 0
	w.running, w.highestRun, w.ends = make(map[string]*activeRun), make(map[string]int), nil
	w.crashAt, w.registersAt = time.Time{}, time.Time{}
	w.wakeRenewals()
}

// wakeRenewals wakes the renewals that wait. The caller holds mu.
func (w *worker) wakeRenewals() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *worker) handler() http.Handler {
	router := mux.NewRouter()
	router.Use(w.delayOrders)
	router.HandleFunc("/run-start", w.serve(w.start)).Methods(http.MethodPost)
	router.HandleFunc("/run-stop", w.serve(w.stop)).Methods(http.MethodPost)
	router.HandleFunc("/pace", w.serve(func(workerCall, time.Time) (int, string) { return http.StatusOK, "" })).Methods(http.MethodPost)
	router.HandleFunc("/hold", w.serveRenewal).Methods(http.MethodPost)
	return router
}

// loop ends the runs that are due until the fleet's context is cancelled.
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

// clockMillis returns the time since the start of the incarnation, in milliseconds.
func (w *worker) clockMillis(now time.Time) int64 { return now.Sub(w.startTime).Milliseconds() }

// tick ends the runs that are complete, or all of them once the run lease has ended.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "up" && !w.crashAt.IsZero() && now.After(w.crashAt) {
		w.crash()
		return
	}
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

// end ends a run with an outcome. The caller holds mu.
func (w *worker) end(run *activeRun, outcome string) {
	delete(w.running, run.task)
	w.highestRun[run.task] = max(w.highestRun[run.task], run.run)
	w.lastEnd++
	w.ends = append(w.ends, &runEnd{sequence: w.lastEnd, task: run.task, run: run.run, outcome: outcome, endTime: time.Now()})
	w.fleet.recordEnd(run.task, w, outcome == "done")
	w.wakeRenewals()
}

// checkCall checks that a call is meant for this incarnation and that its fencing
// token is not outdated. It returns a status of 0 for an accepted call. The caller
// holds mu.
func (w *worker) checkCall(r *http.Request, call workerCall) (int, string) {
	switch {
	case w.state == stateDown, w.restarting:
		panic(http.ErrAbortHandler) // It closes the connection without an answer.
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

// serve returns the HTTP handler of a call, which handle carries out while mu is
// held.
func (w *worker) serve(handle func(call workerCall, now time.Time) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var call workerCall
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		call.late = isLate(r)
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

// start starts a run unless it is active already. The caller holds mu.
func (w *worker) start(call workerCall, now time.Time) (int, string) {
	if r := w.running[call.Task]; r != nil && r.run == call.Run {
		return http.StatusOK, ""
	}
	if call.LeaseEndMillis < w.clockMillis(now) {
		return http.StatusConflict, "late"
	}
	w.extendLease(call.LeaseEndMillis, now)
	if call.Run <= w.highestRun[call.Task] {
		return http.StatusConflict, "old"
	}
	duration, err := time.ParseDuration(strings.TrimSpace(call.Spec))
	if err != nil {
		duration = defaultDuration
	}
	outcome := "done"
	if call.Spec == PoisonSpec {
		outcome = "failed"
	}
	if call.Spec == CrashSpec {
		w.fleet.checkCrashes(call.Task)
		w.crashAt = now.Add(crashDelay)
	}
	w.fleet.checkCapacity(call.Task, w, now)
	w.fleet.recordStart(call, w, now)
	w.running[call.Task] = &activeRun{task: call.Task, run: call.Run, endTime: now.Add(duration), outcome: outcome}
	return http.StatusOK, ""
}

// PoisonSpec is the spec of work units that always fail.
const PoisonSpec = "poison"

// defaultDuration is how long a run takes if the spec of its work unit is not a
// duration.
const defaultDuration = 200 * time.Millisecond

// stop stops the run of a work unit and prevents later starts of runs up to it. The
// caller holds mu.
func (w *worker) stop(call workerCall, now time.Time) (int, string) {
	w.highestRun[call.Task] = max(w.highestRun[call.Task], call.Run)
	if r := w.running[call.Task]; r != nil && r.run <= call.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, ""
}

// acknowledge removes the ends that a call acknowledges. The caller holds mu.
func (w *worker) acknowledge(call workerCall, now time.Time) {
	for _, end := range w.ends {
		if end.sequence > w.acknowledged && end.sequence <= call.LastSeen && end.outcome == "done" && !end.leaseEnded {
			w.fleet.recordAcknowledgement(end, call, w, now)
		}
	}
	w.acknowledged = max(w.acknowledged, call.LastSeen)
	w.ends = slices.DeleteFunc(w.ends, func(end *runEnd) bool { return end.sequence <= w.acknowledged })
}

// serveRenewal renews the run lease and reports the active runs and the ends that
// are not acknowledged. If there are no ends, it waits for one as long as the call
// allows.
func (w *worker) serveRenewal(out http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	call.late = isLate(r)
	deadline := time.After(time.Duration(call.WaitMillis) * time.Millisecond)
	for first := true; ; first = false {
		status, body, changed := w.renew(r, &call, time.Now(), first)
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

// renew renews the run lease and acknowledges ends if this is the first attempt of a
// call. It returns the response and the channel that is closed at the next end. A call
// that waits when its incarnation ends gets no response.
func (w *worker) renew(r *http.Request, call *workerCall, now time.Time, first bool) (int, workerReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if first {
		call.incarnation = w.startMillis
	}
	if call.incarnation != w.startMillis {
		panic(http.ErrAbortHandler)
	}
	body := workerReply{ClockMillis: w.clockMillis(now), StartMillis: w.startMillis}
	if status, reason := w.checkCall(r, *call); status != 0 {
		body.Reason = reason
		return status, body, nil
	}
	if first {
		w.extendLease(call.LeaseEndMillis, now)
		w.acknowledge(*call, now)
	}
	for _, run := range w.running {
		body.Running = append(body.Running, []any{run.task, run.run, "", fullPercent, 0})
	}
	for _, end := range w.ends {
		if end.sequence > w.acknowledged && len(body.Finished) < maxListedEnds {
			body.Finished = append(body.Finished, end.row())
		}
	}
	return http.StatusOK, body, w.changed
}

// extendLease extends the run lease, at most to maxLease from now. The caller holds mu.
func (w *worker) extendLease(untilMillis int64, now time.Time) {
	w.leaseEndMillis = max(w.leaseEndMillis, min(untilMillis, w.clockMillis(now)+maxLease.Milliseconds()))
}

const (
	// maxLease bounds the run lease, counted from the call that extends it.
	maxLease = 6 * time.Second
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
	// fullPercent is the pace that is reported for every run.
	fullPercent = 100
)
