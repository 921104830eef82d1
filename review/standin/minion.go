package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The figures of minions, as in the settings of a small deployment.
const (
	headroomCPU   = 32_000
	headroomMemMB = 131_072
	holdMax       = 6 * time.Second
	stopTime      = 200 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	listedEnds    = 500
	maxHoldWait   = 2 * time.Second
)

// work says how long a work unit runs and what it takes. Of these only cpu and memory
// are part of the submission.
type work struct {
	cpu, memMB int
	duration   time.Duration
	// deadly means that the work unit crashes each minion that starts it.
	deadly bool
	// until is when all work units of the job end; zero if each runs for duration.
	until time.Time
}

// end is the end of a run, as a minion lists it.
type end struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
	// start is the record of the start that this end belongs to.
	start *startRecord
	// lapsed means that the minion's lease has run out since.
	lapsed bool
}

type activeRun struct {
	task    string
	run     int
	work    work
	started time.Time
	endsAt  time.Time
	stopAt  time.Time
	record  *startRecord
}

// minion is one upstream. It keeps its id and its address over restarts.
type minion struct {
	world   *world
	id      string
	machine string
	rack    string
	zone    string
	pool    string
	address string
	server  *http.Server

	mu       sync.Mutex
	up       bool
	born     time.Time
	sequence int
	fence    int64
	lease    int64
	running  map[string]*activeRun
	highest  map[string]int
	ends     []*end
	lastN    int64
	changed  chan struct{}
}

// start begins a life of the minion: it listens, and registers at once.
func (m *minion) start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	m.mu.Lock()
	m.up, m.born, m.sequence, m.fence, m.lease, m.lastN = true, time.Now(), 0, 0, 0, 0
	m.running, m.highest, m.ends = map[string]*activeRun{}, map[string]int{}, nil
	m.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.serve(m.runStart))
	mux.HandleFunc("POST /run-stop", m.serve(m.runStop))
	mux.HandleFunc("POST /pace", m.serve(func(order, time.Time) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", m.hold)
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux}
	born := m.born
	m.mu.Unlock()
	go func(server *http.Server) { _ = server.Serve(listener) }(m.server)
	m.register()
	go m.heartbeats(born)
	go m.ticks(born)
	return nil
}

// crash ends the life: all runs end unlisted, and all connections are reset.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.running {
		m.world.log.ended(r.record, "crashed")
	}
	m.running = map[string]*activeRun{}
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	m.world.log.note("minion %s crashes", m.id)
}

func (m *minion) alive(born time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && m.born.Equal(born)
}

func (m *minion) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

func (m *minion) heartbeats(born time.Time) {
	for range time.Tick(heartbeat) {
		if !m.alive(born) {
			return
		}
		m.register()
	}
}

func (m *minion) register() {
	m.mu.Lock()
	m.sequence++
	value := map[string]any{
		"id": m.id, "service": m.pool, "address": m.address, "zone": m.zone, "version": "1", "capacity": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": m.sequence, "machine": m.machine, "labels": []string{"a", m.rack},
		"headroom": map[string]int{"cpu": headroomCPU, "mem_mb": headroomMemMB, "gpu": 0}, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	m.world.store.write("servers/"+m.id, value)
}

func (m *minion) ticks(born time.Time) {
	for now := range time.Tick(5 * time.Millisecond) {
		if !m.alive(born) {
			return
		}
		m.tick(now)
	}
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() }

// tick ends the runs whose time has come, and all of them once the lease has run out.
func (m *minion) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.clock(now) > m.lease
	if out {
		for _, e := range m.ends {
			e.lapsed = true
		}
	}
	var due []*activeRun
	for _, r := range m.running {
		if out || !r.stopAt.IsZero() && now.After(r.stopAt) || now.After(r.endsAt) {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].task < due[j].task })
	for _, r := range due {
		switch {
		case out:
			m.end(r, "lapsed")
		case now.After(r.endsAt):
			m.end(r, "done")
		default:
			m.end(r, "stopped")
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (m *minion) end(r *activeRun, how string) {
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.lastN++
	m.ends = append(m.ends, &end{n: m.lastN, task: r.task, run: r.run, how: how, start: r.record})
	m.world.log.ended(r.record, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of a call to a minion.
type order struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Deadline float64 `json:"deadline_ms"`
	Fence    int64   `json:"fencing_token"`
	LastSeen int64   `json:"last_seen"`
	Wait     float64 `json:"wait_ms"`
}

// check returns 0 if the call is for this minion and not fenced off. The caller holds mu.
func (m *minion) check(r *http.Request, o order) (int, string) {
	if r.Header.Get("Bluebellridge-Target-Instance") != m.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Fence
	return 0, ""
}

func (m *minion) serve(carryOut func(o order, now time.Time) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		now := time.Now()
		status, reason := m.check(r, o)
		if status == 0 {
			status, reason = carryOut(o, now)
		}
		body := map[string]any{"clock_ms": m.clock(now)}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
}

// extend takes a deadline over into the lease. The caller holds mu.
func (m *minion) extend(deadline float64, now time.Time) {
	if deadline <= 0 {
		return
	}
	m.lease = max(m.lease, min(int64(deadline), m.clock(now)+holdMax.Milliseconds()))
}

func (m *minion) runStart(o order, now time.Time) (int, string) {
	if r := m.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, ""
	}
	if int64(o.Deadline) < m.clock(now) {
		return http.StatusConflict, "late"
	}
	m.extend(o.Deadline, now)
	if o.Run <= m.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	unit, known := m.world.workOf(o.Task)
	cpu, mem := unit.cpu, unit.memMB
	for _, r := range m.running {
		cpu, mem = cpu+r.work.cpu, mem+r.work.memMB
	}
	if cpu > headroomCPU || mem > headroomMemMB {
		return http.StatusConflict, "room"
	}
	endsAt := now.Add(unit.duration)
	if !unit.until.IsZero() {
		endsAt = unit.until
	}
	record := m.world.log.started(o.Task, o.Run, m, o.Fence, known)
	m.world.ordered(o.Fence)
	if unit.deadly {
		time.AfterFunc(deadlyAfter, func() { m.world.crashUnder(m, record) })
	}
	m.running[o.Task] = &activeRun{task: o.Task, run: o.Run, work: unit, started: now, endsAt: endsAt, record: record}
	return http.StatusOK, ""
}

func (m *minion) runStop(o order, now time.Time) (int, string) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
		m.world.log.note("minion %s is told to stop %s run %d by fence %d", m.id, o.Task, o.Run, o.Fence)
	}
	return http.StatusOK, ""
}

// hold takes note of ends, renews the lease and lists runs and ends.
func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	now := time.Now()
	if status, reason := m.check(r, o); status != 0 {
		body := map[string]any{"clock_ms": m.clock(now)}
		if reason != "" {
			body["reason"] = reason
		}
		m.mu.Unlock()
		reply(w, status, body)
		return
	}
	m.extend(o.Deadline, now)
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.n > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		m.world.log.noted(e)
	}
	m.ends = kept
	waiting := len(m.ends) == 0 && o.Wait > 0
	changed := m.changed
	m.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(min(maxHoldWait, time.Duration(o.Wait)*time.Millisecond)):
		}
	}
	m.mu.Lock()
	body := m.listing(time.Now())
	m.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// listing returns both lists. The caller holds mu.
func (m *minion) listing(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		total := r.endsAt.Sub(r.started)
		percent := 99
		if total > 0 {
			percent = min(99, int(100*now.Sub(r.started)/total))
		}
		running = append(running, []any{r.task, r.run, "", percent, r.work.cpu})
	}
	for _, e := range m.ends[:min(len(m.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": m.clock(now), "born": m.born.UnixMilli(), "running": running, "finished": finished}
}

// unlisted returns how many ends have not been taken note of.
func (m *minion) unlisted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ends)
}

// used returns the CPU that the runs take, in thousandths of a core.
func (m *minion) used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	cpu := 0
	for _, r := range m.running {
		cpu += r.work.cpu
	}
	return cpu
}

func (m *minion) runs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

// machines serves the list of machines. Moves and upkeep are not part of these cases.
func (w *world) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(out http.ResponseWriter, _ *http.Request) {
		rows := []map[string]any{}
		for _, m := range w.minions {
			m.mu.Lock()
			state := "up"
			if !m.up {
				state = "down"
			}
			m.mu.Unlock()
			rows = append(rows, map[string]any{
				"machine": m.machine, "pool": m.pool, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
				"headroom": map[string]int{"cpu": headroomCPU, "mem_mb": headroomMemMB, "gpu": 0}, "id": m.id,
			})
		}
		reply(out, http.StatusOK, map[string]any{"machines": rows, "next": nil})
	})
	refuse := func(out http.ResponseWriter, _ *http.Request) {
		w.log.note("a machine order came, which this case does not expect")
		reply(out, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", refuse)
	mux.HandleFunc("POST /machine-upkeep", refuse)
	return mux
}

func newMinion(w *world, n int, pool string) *minion {
	return &minion{
		world: w, id: fmt.Sprintf("i-%04x", 0x3a00+n*17), machine: "m-" + strconv.Itoa(n), rack: "r-" + strconv.Itoa(n/4+1),
		zone: zones[n%len(zones)], pool: pool, address: "127.0.0.1:0",
	}
}
