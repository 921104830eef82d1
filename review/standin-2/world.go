package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type world struct {
	// keep reports whether a call to a minion gets no answer now; nil for none. It is called
	// with mu held.
	keep    func(m *minion, path string, c call) bool
	mu      sync.Mutex
	seed    int64
	st      *store
	ids     int
	minions []*minion
	jobs    map[string]*job
	units   map[string]*unitRec
	gangs   map[string]map[*run]bool
	regs    map[string]time.Time
	rec     *os.File
	t0      time.Time
	breaks  []string
	// troubleAt is when the last disturbance ended or, if one lasts, now.
	troubleAt time.Time
	troubles  int
	gangMs    int64
	stopMs    int64
	holdMax   int64
	tickets   map[string]time.Time
	starts    int
	dones     int
}

func (w *world) logf(f string, a ...any) {
	if w.rec != nil {
		fmt.Fprintf(w.rec, "%9.3f ", time.Since(w.t0).Seconds())
		fmt.Fprintf(w.rec, f+"\n", a...)
	}
}

func (w *world) bad(rule, f string, a ...any) {
	s := fmt.Sprintf("%.3f %s: ", time.Since(w.t0).Seconds(), rule) + fmt.Sprintf(f, a...)
	w.breaks = append(w.breaks, s)
	w.logf("BREAK %s", s)
}

func (w *world) calm(d time.Duration) bool { return w.troubles == 0 && time.Since(w.troubleAt) > d }

func (w *world) trouble(on bool) {
	if on {
		w.troubles++
	} else {
		w.troubles--
	}
	w.troubleAt = time.Now()
}

// unit returns the record of the work unit of the name; nil if no client sent it.
func (w *world) unit(task string) *unitRec {
	if u := w.units[task]; u != nil {
		return u
	}
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil
	}
	j := w.jobs[p[0]]
	k, _ := strconv.Atoi(p[1])
	s, _ := strconv.Atoi(p[2])
	i, _ := strconv.Atoi(p[3])
	if j == nil || s >= len(j.Steps) || i >= j.Steps[s].Count || k >= j.occ() {
		return nil
	}
	u := &unitRec{j: j, st: &j.Steps[s], k: k, s: s, i: i, active: map[*run]bool{}, failed: map[int]bool{}, failAcked: map[int]time.Time{}, ckpts: map[string]bool{}}
	w.units[task] = u
	return u
}

func (w *world) gang(r *run) []*run {
	var out []*run
	for o := range w.gangs[r.gangKey] {
		out = append(out, o)
	}
	return out
}

func (w *world) gangPresent(r *run) bool {
	seen := map[int]bool{}
	ck := ""
	first := true
	for o := range w.gangs[r.gangKey] {
		if o.m.run[o.task] != o || o.stopping {
			continue
		}
		if first {
			ck, first = o.startCk, false
		} else if o.startCk != ck {
			return false
		}
		seen[o.u.i] = true
	}
	return len(seen) == r.u.st.Count
}

func (w *world) breakGang(r *run) {
	for o := range w.gangs[r.gangKey] {
		if o != r && o.m.run[o.task] == o {
			o.m.finish(o, "broken")
		}
	}
}

func (w *world) gone(r *run, how string) {
	delete(r.u.active, r)
	delete(w.gangs[r.gangKey], r)
	r.u.lastEnd = time.Now()
	r.u.log = append(r.u.log, fmt.Sprintf("%.3f %s run %d on %s", time.Since(w.t0).Seconds(), how, r.n, r.m.id))
	w.logf("%s %s run %d on %s", how, r.task, r.n, r.m.id)
	if r.u.st.Gang {
		for o := range w.gangs[r.gangKey] {
			if o != r && o.m.run[o.task] == o {
				o.m.finish(o, "broken")
			}
		}
	}
}

func (w *world) ended(r *run, how string, now time.Time) {
	u := r.u
	delete(u.active, r)
	delete(w.gangs[r.gangKey], r)
	u.lastEnd, u.everEnd = now, true
	if how == "done" {
		w.dones++
		if u.doneAt.IsZero() {
			u.doneAt = now
		}
	}
	if how == "failed" {
		u.failed[r.n] = true
	}
	if how == "alone" && u.j.cancelSent.IsZero() && w.calm(6*time.Second) {
		w.bad("GANG", "%s run %d ends alone on %s", r.task, r.n, r.m.id)
	}
	u.log = append(u.log, fmt.Sprintf("%.3f %s run %d on %s", time.Since(w.t0).Seconds(), how, r.n, r.m.id))
	w.logf("end %s run %d on %s: %s", r.task, r.n, r.m.id, how)
}

// noted records that an end was acknowledged.
func (w *world) noted(e *end, now time.Time) {
	u := e.u
	if e.how == "done" && !e.laps && !u.st.Long {
		if u.doneAcked.IsZero() {
			u.doneAcked = now
		}
		if u.lastStart.After(e.at) && !u.st.Dup && !u.st.Gang {
			w.bad("TWICE", "%s run %d done at %.3f is acknowledged, started again at %.3f: %v", e.task, e.run, e.at.Sub(w.t0).Seconds(), u.lastStart.Sub(w.t0).Seconds(), u.log)
		}
	}
	if e.how == "failed" {
		u.failAcked[e.run] = now
	}
	w.logf("noted %d %s run %d %s", e.n, e.task, e.run, e.how)
}

func (w *world) begun(r *run, c call, over bool, now time.Time) {
	u, j, m := r.u, r.u.j, r.m
	w.starts++
	u.log = append(u.log, fmt.Sprintf("%.3f start run %d on %s late=%v fence=%d", now.Sub(w.t0).Seconds(), r.n, m.id, r.late, c.Fence))
	w.logf("start %s run %d on %s late=%v fence=%d ck=%q", r.task, r.n, m.id, r.late, c.Fence, c.Checkpoint)
	if over {
		cpu, mem := m.used()
		w.bad("LIMIT", "start of %s brings %s to %d+%d cpu of %d, %d+%d MB of %d", r.task, m.id, cpu, u.st.CPU, m.cpu, mem, u.st.Mem, m.mem)
	}
	if !u.st.Dup {
		for o := range u.active {
			if o.m != m || o.m.run[o.task] == o {
				w.bad("TWICE", "%s run %d on %s while run %d runs on %s: %v", r.task, r.n, m.id, o.n, o.m.id, u.log)
			}
		}
		if !u.doneAcked.IsZero() && !u.st.Long {
			w.bad("TWICE", "%s run %d on %s after the done end was noted at %.3f: %v", r.task, r.n, m.id, u.doneAcked.Sub(w.t0).Seconds(), u.log)
		}
	}
	for _, a := range u.st.After {
		for i := 0; i < j.Steps[a].Count; i++ {
			d := w.units[fmt.Sprintf("%s.%d.%d.%d", j.id, u.k, a, i)]
			if d == nil || d.doneAt.IsZero() {
				w.bad("ORDER", "%s starts before step %d unit %d is done", r.task, a, i)
				break
			}
		}
	}
	if j.runCount > 0 && now.UnixMilli() < j.first+int64(u.k)*j.every-250 {
		w.bad("ORDER", "%s starts %d ms early", r.task, j.first+int64(u.k)*j.every-now.UnixMilli())
	}
	if m.pool != j.service {
		w.bad("ROUTE", "%s starts on %s of %s", r.task, m.id, m.pool)
	}
	if u.st.Requires != "" && u.st.Requires != m.kind && u.st.Requires != m.rack {
		w.bad("ROUTE", "%s needs %s, starts on %s %s", r.task, u.st.Requires, m.kind, m.rack)
	}
	if u.st.Anti > 0 {
		n := 1
		for _, o := range m.run {
			if o.u.j == j && o.u.k == u.k && o.u.s == u.s {
				n++
			}
		}
		if n > u.st.Anti {
			w.bad("ROUTE", "%s is number %d of its step on %s, anti_affinity %d", r.task, n, m.id, u.st.Anti)
		}
	}
	if len(u.failAcked) >= j.attempts && !u.st.Long && !u.st.Dup {
		w.bad("BUDGET", "%s run %d after %d failed runs, attempts %d", r.task, r.n, len(u.failAcked), j.attempts)
	}
	if c.Spec != j.spec {
		w.bad("UNASKED", "%s with another spec", r.task)
	}
	if c.Checkpoint != "" {
		ok := u.ckpts[c.Checkpoint]
		if u.st.Gang {
			for i := 0; i < u.st.Count; i++ {
				if o := w.units[fmt.Sprintf("%s.%d.%d.%d", j.id, u.k, u.s, i)]; o != nil && o.ckpts[c.Checkpoint] {
					ok = true
				}
			}
		}
		if !ok {
			w.bad("UNASKED", "%s with foreign checkpoint %q", r.task, c.Checkpoint)
		}
	}
	j.mu.Lock()
	if !j.cancelAck.IsZero() && now.Sub(j.cancelAck) > 3*time.Second && !r.late && w.calm(6*time.Second) {
		w.bad("UNASKED", "%s starts %.1f s after its cancel was acknowledged", r.task, now.Sub(j.cancelAck).Seconds())
	}
	if j.shown == "completed" && now.Sub(j.shownAt) > time.Second {
		w.bad("TWICE", "%s starts after its job was shown as completed", r.task)
	}
	j.started = true
	j.mu.Unlock()
	u.lastStart = now
	u.active[r] = true
	if w.gangs[r.gangKey] == nil {
		w.gangs[r.gangKey] = map[*run]bool{}
	}
	w.gangs[r.gangKey][r] = true
}

func (w *world) ticketOK(t, task, id string) bool {
	p := strings.LastIndex(task, ".")
	end, ok := w.tickets[t]
	return ok && strings.HasPrefix(t, task[:p]+"|"+id+"|") && time.Now().Before(end)
}

// adviser is the advice service.
type adviser struct {
	w  *world
	mu sync.Mutex
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	a.mu.Lock()
	time.Sleep(time.Duration(20+2*len(in.Workers)) * time.Millisecond)
	a.mu.Unlock()
	good := [][]string{}
	a.w.mu.Lock()
	for _, id := range in.Workers {
		h := 0
		for _, c := range in.Step + id {
			h = h*31 + int(c)
		}
		if h%4 == 0 {
			continue
		}
		born := int64(0)
		for _, m := range a.w.minions {
			if m.id == id {
				born = m.born
			}
		}
		t := fmt.Sprintf("%s|%s|%d|%d", in.Step, id, born, time.Now().UnixNano())
		a.w.tickets[t] = time.Now().Add(1500 * time.Millisecond)
		good = append(good, []string{id, t})
	}
	a.w.mu.Unlock()
	reply(w, 200, map[string]any{"good": good})
}

// cloud serves the platform's list of machines and the calls to them.
type cloud struct {
	w *world
}

func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := c.w
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	switch r.URL.Path {
	case "/machines":
		rows := []map[string]any{}
		w.mu.Lock()
		for _, m := range w.minions {
			id := m.id
			if m.state != "up" {
				id = ""
			}
			rows = append(rows, map[string]any{"machine": m.machine, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "headroom": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "id": id})
		}
		w.mu.Unlock()
		reply(out, 200, map[string]any{"machines": rows, "next": nil})
	case "/machine-move", "/machine-upkeep":
		json.NewDecoder(r.Body).Decode(&in)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range w.minions {
			if m.machine != in.Machine {
				continue
			}
			w.logf("cloud %s %+v by %s token %s; %d runs", r.URL.Path, in, r.Header.Get("Bluebellridge-Duty-Holder"), r.Header.Get("Bluebellridge-Fencing-Token"), len(m.run))
			if r.URL.Path == "/machine-move" && m.pool == in.Pool || in.Wave != 0 && m.wavesDone[in.Wave] {
				reply(out, 200, struct{}{})
				return
			}
			if m.state != "up" {
				reply(out, 409, map[string]string{"reason": "busy"})
				return
			}
			for _, o := range m.run {
				w.gone(o, "taken")
			}
			m.run = map[string]*run{}
			m.kick()
			old := m.id
			time.AfterFunc(1500*time.Millisecond, func() { w.st.remove("servers/" + old) })
			d := 1500 * time.Millisecond
			if in.Wave != 0 {
				m.state, m.wavesDone[in.Wave] = "upkeep", true
				d = 2 * time.Second
			} else {
				m.state = "moving"
				m.moves++
			}
			time.AfterFunc(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if in.Pool != "" {
					m.pool = in.Pool
				}
				m.boot()
				m.register()
			})
			reply(out, 200, struct{}{})
			return
		}
		reply(out, 400, nil)
	default:
		out.WriteHeader(404)
	}
}
