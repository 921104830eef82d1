package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Mem      int    `json:"mem_mb"`
	Estimate int64  `json:"estimate_ms"`
	After    []int  `json:"after,omitempty"`
	Ckpt     bool   `json:"checkpointing,omitempty"`
	Gang     bool   `json:"gang,omitempty"`
	SameRack bool   `json:"same_rack,omitempty"`
	Requires string `json:"requires,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	Anti     int    `json:"anti_affinity,omitempty"`
	Dup      bool   `json:"allow_duplicates,omitempty"`
	Long     bool   `json:"long_running,omitempty"`
	MayMiss  int    `json:"may_miss,omitempty"`
	Fills    bool   `json:"fills,omitempty"`
	Image    string `json:"image,omitempty"`
	dur      time.Duration
	poison   float64
	deadly   bool
}

type job struct {
	id       string
	queue    string
	service  string
	spec     string
	Steps    []step
	runCount int
	first    int64
	every    int64
	attempts int
	advice   bool

	mu         sync.Mutex
	sentAt     time.Time
	accepted   time.Time
	only4xx    bool // every attempt so far was rejected
	cancelSent time.Time
	cancelAck  time.Time
	shown      string
	shownAt    time.Time
	started    bool
}

func (j *job) occ() int {
	if j.runCount > 0 {
		return j.runCount
	}
	return 1
}

type unitRec struct {
	j         *job
	st        *step
	k, s, i   int
	active    map[*run]bool
	doneAt    time.Time
	doneAcked time.Time
	failed    map[int]bool
	failAcked map[int]time.Time
	lastStart time.Time
	lastEnd   time.Time
	everEnd   bool
	ckpts     map[string]bool
	crashes   int
	log       []string
}

type run struct {
	u        *unitRec
	task     string
	n        int
	m        *minion
	begun    time.Time
	work     time.Duration // done so far
	need     time.Duration
	ckpt     string
	startCk  string
	present  bool
	stopAt   time.Time
	stopping bool
	gangKey  string
	fail     bool
	late     bool
	lastSave time.Duration
	sender   string
}

type end struct {
	n    int64
	task string
	run  int
	how  string
	save string
	u    *unitRec
	at   time.Time
	laps bool
}

type minion struct {
	w         *world
	num       int
	machine   string
	addr      string
	rack      string
	kind      string
	pool      string
	zone      string
	guards    bool
	cpu, mem  int
	state     string // up, down, moving, upkeep
	draining  bool
	id        string
	born      int64
	t0        time.Time
	fence     int64
	leaseEnd  int64
	run       map[string]*run
	highest   map[string]int
	fin       []*end
	lastN     int64
	acked     int64
	seq       int64
	lateX     float64
	changed   chan struct{}
	regAt     time.Time
	cut       bool // from the store
	silent    bool // to all
	wake      chan struct{}
	wavesDone map[int64]bool
	// moves counts the moves of the machine.
	moves    int
	grey     float64
	crashAt  time.Time
	shrunkAt time.Time
}

// clock returns the minion's own steady clock, which may be 2% slow.
func (m *minion) clock(now time.Time) int64 {
	d := now.Sub(m.t0)
	if m.num%2 == 1 {
		d = d * 98 / 100
	}
	return d.Milliseconds()
}

func (m *minion) kick() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// boot begins a life under a new id. The caller holds w.mu.
func (m *minion) boot() {
	m.w.ids++
	m.id = fmt.Sprintf("i%06x", m.w.ids*7919+int(m.w.seed)*13)
	m.life()
	m.w.logf("minion %s boots as %s pool %s", m.machine, m.id, m.pool)
}

func (m *minion) life() {
	now := time.Now()
	m.born, m.t0, m.state, m.draining = now.UnixMilli(), now, "up", false
	m.fence, m.leaseEnd, m.lastN, m.acked, m.seq = 0, 0, 0, 0, 0
	m.run, m.highest, m.fin = map[string]*run{}, map[string]int{}, nil
	m.crashAt = time.Time{}
	m.kick()
}

func (m *minion) register() {
	if m.state != "up" || m.cut || m.silent {
		return
	}
	m.seq++
	st := "ready"
	if m.draining {
		st = "draining"
	}
	v := map[string]any{"service": m.pool, "address": m.addr, "zone": m.zone, "version": "1", "capacity": 8, "state": st, "cold_remaining_ms": 0, "sequence": m.seq,
		"headroom": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{m.kind, m.rack}, "born": m.born, "machine": m.machine}
	if m.draining {
		v["remaining_ms"] = 2000
	}
	m.regAt = time.Now()
	m.w.st.put("servers/"+m.id, v)
	m.w.regs[m.id] = time.Now()
}

func (r *run) alloc() (int, int) {
	c := r.u.st.CPU
	if r.u.st.Fills {
		c = 0
	}
	return c, r.u.st.Mem
}

func (m *minion) used() (c, mem int) {
	for _, r := range m.run {
		a, b := r.alloc()
		c, mem = c+a, mem+b
	}
	return
}

func (m *minion) finish(r *run, how string) {
	delete(m.run, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.n)
	m.lastN++
	now := time.Now()
	save := ""
	if r.u.st.Ckpt && how != "done" {
		save = r.ckpt
		if how == "stopped" {
			r.save()
			save = r.ckpt
		}
	}
	m.fin = append(m.fin, &end{n: m.lastN, task: r.task, run: r.n, how: how, save: save, u: r.u, at: now})
	m.w.ended(r, how, now)
	m.kick()
	if r.u.st.Gang && how != "done" && how != "broken" {
		m.w.breakGang(r)
	}
}

func (r *run) save() {
	if r.work == r.lastSave && r.ckpt != "" {
		return
	}
	r.lastSave = r.work
	key := fmt.Sprintf("%s.%d.%d", r.u.j.id, r.u.k, r.u.s)
	if !r.u.st.Gang {
		key = r.task
	}
	r.ckpt = fmt.Sprintf("%012d/%s", r.work.Milliseconds(), key)
	r.u.ckpts[r.ckpt] = true
}

func (m *minion) tick(now time.Time) {
	if m.state != "up" {
		return
	}
	if !m.crashAt.IsZero() && now.After(m.crashAt) {
		m.crash(3 * time.Second)
		return
	}
	if m.clock(now) > m.leaseEnd {
		for _, e := range m.fin {
			e.laps = true
		}
		for _, r := range m.run {
			m.finish(r, "lapsed")
		}
	}
	for _, r := range m.run {
		st := r.u.st
		if st.Gang {
			if !r.present {
				if m.w.gangPresent(r) {
					for _, o := range m.w.gang(r) {
						o.present = true
					}
				} else if now.Sub(r.begun) > time.Duration(m.w.gangMs)*time.Millisecond {
					m.finish(r, "alone")
					continue
				}
			}
		} else {
			r.present = true
		}
		if r.stopping && now.After(r.stopAt) {
			m.finish(r, "stopped")
			continue
		}
		if r.present && !r.stopping {
			r.work += 10 * time.Millisecond
		}
		if st.Ckpt && r.work-r.lastSave >= time.Second {
			r.save()
		}
		if !st.Long && r.work >= r.need && !r.stopping {
			if r.fail {
				m.finish(r, "failed")
				continue
			}
			if st.Gang {
				all := m.w.gang(r)
				for _, o := range all {
					if o.m.run[o.task] == o && !o.stopping {
						o.m.finish(o, "done")
					}
				}
				continue
			}
			m.finish(r, "done")
		}
	}
}

func (m *minion) crash(d time.Duration) {
	if m.state != "up" {
		return
	}
	m.w.logf("minion %s %s crashes, %d runs", m.machine, m.id, len(m.run))
	m.state = "down"
	for _, r := range m.run {
		r.u.crashes++
		m.w.gone(r, "crash")
	}
	m.run = map[string]*run{}
	m.kick()
	time.AfterFunc(d, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.state == "down" {
			m.boot()
			m.register()
		}
	})
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (m *minion) extend(until int64, now time.Time) {
	until = min(until, m.clock(now)+m.w.holdMax)
	m.leaseEnd = max(m.leaseEnd, until)
}

// do carries out a call other than hold. The caller holds w.mu.
func (m *minion) do(path, target string, c call, late bool, from string) (int, string) {
	now := time.Now()
	if target != m.id {
		return 421, ""
	}
	if m.state != "up" {
		return -1, ""
	}
	if c.Fence < m.fence {
		return 409, "fence"
	}
	m.fence = c.Fence
	switch path {
	case "/run-start":
		if r := m.run[c.Task]; r != nil && r.n == c.Run {
			return 200, ""
		}
		if c.Deadline < m.clock(now) {
			return 409, "late"
		}
		m.extend(c.Deadline, now)
		if c.Run <= m.highest[c.Task] {
			return 409, "old"
		}
		u := m.w.unit(c.Task)
		if u == nil {
			m.w.bad("UNASKED", "start of unknown %s on %s", c.Task, m.id)
			return 400, ""
		}
		cpu, mem := m.used()
		ac := u.st.CPU
		if u.st.Fills {
			ac = 0
		}
		room := m.cpu
		if !m.guards && time.Since(m.shrunkAt) < 4500*time.Millisecond {
			room = 8000
		}
		over := cpu+ac > room || mem+u.st.Mem > m.mem
		if over && m.guards {
			return 409, "room"
		}
		if u.j.advice && !m.w.ticketOK(c.Ticket, c.Task, m.id) {
			return 409, "ticket"
		}
		if m.grey > 0 && rand.Float64() < m.grey {
			return 503, ""
		}
		r := &run{u: u, task: c.Task, n: c.Run, m: m, begun: now, late: late, ckpt: c.Checkpoint, startCk: c.Checkpoint, sender: from}
		r.need = u.st.dur
		r.gangKey = fmt.Sprintf("%s.%d.%d#%d", u.j.id, u.k, u.s, c.Run)
		if u.st.Ckpt && c.Checkpoint != "" {
			ms, _ := strconv.ParseInt(strings.TrimLeft(c.Checkpoint[:12], "0"), 10, 64)
			r.work = time.Duration(ms) * time.Millisecond
			r.lastSave = r.work
		}
		r.fail = rand.Float64() < u.st.poison
		m.w.begun(r, c, over, now)
		if old := m.run[c.Task]; old != nil {
			m.w.bad("TWICE", "%s run %d beside run %d on the same minion %s", c.Task, c.Run, old.n, m.id)
		}
		m.run[c.Task] = r
		if u.st.deadly {
			m.crashAt = now.Add(50 * time.Millisecond)
		}
		return 200, ""
	case "/run-stop":
		m.highest[c.Task] = max(m.highest[c.Task], c.Run)
		if r := m.run[c.Task]; r != nil && r.n <= c.Run && !r.stopping {
			r.stopping, r.stopAt = true, now.Add(time.Duration(rand.Int63n(m.w.stopMs))*time.Millisecond)
			m.w.logf("stop %s run %d on %s late=%v", c.Task, c.Run, m.id, late)
		}
		return 200, ""
	case "/pace":
		return 200, ""
	}
	return 404, ""
}

func (m *minion) ack(c call, now time.Time) {
	keep := m.fin[:0]
	for _, e := range m.fin {
		if e.n <= c.LastSeen {
			if e.n > m.acked {
				m.w.noted(e, now)
			}
			continue
		}
		keep = append(keep, e)
	}
	m.fin = keep
	m.acked = max(m.acked, c.LastSeen)
}

func (m *minion) listing(now time.Time) map[string]any {
	running, fin := [][]any{}, [][]any{}
	for _, r := range m.run {
		pct := 0
		if r.u.st.Long {
			if r.work > 700*time.Millisecond {
				pct = 100
			}
		} else if r.need > 0 {
			pct = int(min(99, r.work*100/r.need))
		}
		load := r.u.st.CPU
		running = append(running, []any{r.task, r.n, r.ckpt, pct, load})
	}
	for _, e := range m.fin {
		if len(fin) < 500 {
			fin = append(fin, []any{e.n, e.task, e.run, e.how, e.save})
		}
	}
	return map[string]any{"clock_ms": m.clock(now), "running": running, "finished": fin, "born": m.born}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(400)
		return
	}
	target := r.Header.Get("Bluebellridge-Target-Instance")
	m.w.mu.Lock()
	late := m.lateX > 0 && rand.Float64() < m.lateX
	silent, wake := m.silent, m.wake
	kept := m.w.keep != nil && m.w.keep(m, r.URL.Path, c)
	m.w.mu.Unlock()
	if kept {
		// The call gets no answer.
		<-r.Context().Done()
		drop(w)
		return
	}
	if silent {
		select {
		case <-wake:
		case <-r.Context().Done():
		}
		drop(w)
		return
	}
	if late {
		path := r.URL.Path
		time.AfterFunc(time.Duration(2000+rand.Intn(10000))*time.Millisecond, func() {
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			if path == "/hold" {
				now := time.Now()
				if target == m.id && m.state == "up" && c.Fence >= m.fence {
					m.fence = c.Fence
					if c.Deadline > 0 {
						m.extend(c.Deadline, now)
					}
					m.ack(c, now)
				}
				return
			}
			m.do(path, target, c, true, "")
		})
		select {
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		drop(w)
		return
	}
	if r.URL.Path != "/hold" {
		m.w.mu.Lock()
		code, reason := m.do(r.URL.Path, target, c, false, r.RemoteAddr)
		now := time.Now()
		body := map[string]any{"clock_ms": m.clock(now), "born": m.born}
		if reason != "" {
			body["reason"] = reason
		}
		m.w.mu.Unlock()
		if code < 0 {
			drop(w)
			return
		}
		reply(w, code, body)
		return
	}
	deadline := time.After(time.Duration(c.Wait) * time.Millisecond)
	first := true
	var life int64
	for {
		m.w.mu.Lock()
		now := time.Now()
		if first {
			life = m.born
		}
		if m.state != "up" || life != m.born {
			m.w.mu.Unlock()
			drop(w)
			return
		}
		if target != m.id {
			m.w.mu.Unlock()
			reply(w, 421, nil)
			return
		}
		if c.Fence < m.fence {
			body := map[string]any{"clock_ms": m.clock(now), "born": m.born, "reason": "fence"}
			m.w.mu.Unlock()
			reply(w, 409, body)
			return
		}
		m.fence = c.Fence
		if first {
			if c.Deadline > 0 {
				m.extend(c.Deadline, now)
			}
			m.ack(c, now)
			first = false
		}
		ready := len(m.fin) > 0 || c.Wait == 0
		var body map[string]any
		if ready {
			body = m.listing(now)
		}
		ch := m.changed
		m.w.mu.Unlock()
		if ready {
			reply(w, 200, body)
			return
		}
		select {
		case <-ch:
		case <-r.Context().Done():
			return
		case <-deadline:
			c.Wait = 0
		}
	}
}

func (m *minion) serve(l net.Listener) { http.Serve(l, m) }

// lose ends the minion for good, as its machine loses power: nothing answers at its address,
// and connections hang. The caller holds w.mu.
func (m *minion) lose() {
	m.w.logf("minion %s %s is lost for good, %d runs", m.machine, m.id, len(m.run))
	m.state, m.silent = "down", true
	for _, r := range m.run {
		r.u.crashes++
		m.w.gone(r, "crash")
	}
	m.run = map[string]*run{}
	m.kick()
}
