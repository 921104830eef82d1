package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds it.
const program = "target/bluebellridged"

// entry is one entry daemon, a process of its own, with the store as it sees it.
type entry struct {
	w     *world
	name  string
	file  string
	front string
	ready string
	sf    *front
	log   *os.File
	// pid, done and expected are replaced at each start and guarded by w.mu.
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool
	// overLimit counts how often the process exceeded its memory.
	overLimit int
	peakMB    int
}

// settings are those that platform/entry.yaml.tmpl renders for the installation of the pages.
const settings = `entry: %s
zone: z1
listen:
  callers: %q
  readiness: %q
  metrics: %q
  peers: %q
platform:
  protocol: fleet
  address: %q
  machines: %q
  features: ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
  valueBytes: 1048576
  advice: %q
limits:
  memoryMB: 284
  cpuShare: 0.4
  cpuCores: 1
  descriptors: 4100
  bandwidthMbps: 1000
jobs:
  hold: 6000ms
  notice: 4500ms
  farFactor: 3
  configApply: 2000ms
  keepEnded: 120s
  dutyLease: 3000ms
  upkeep: 2s
  stop: 900ms
shutdown:
  balancerLag: 2500ms
  grace: 2500ms
`

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// lastPort is the last port that was handed out by freeAddr.
var lastPort = 11000 + os.Getpid()%4000*4

// freeAddr returns a loopback address below the ephemeral ports that nobody listens on.
func freeAddr() string {
	for {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

func newEntry(w *world, dir, name, advice string) *entry {
	e := &entry{w: w, name: name, file: filepath.Join(dir, name+".yaml"), front: freeAddr(), ready: freeAddr()}
	e.sf = &front{s: w.st, who: name, rnd: rand.Float64}
	storeListener, cloudListener := listen(), listen()
	go http.Serve(storeListener, e.sf)
	go http.Serve(cloudListener, &cloud{w: w})
	text := fmt.Sprintf(settings, name, e.front, e.ready, freeAddr(), freeAddr(), storeListener.Addr(), cloudListener.Addr(), advice)
	check(os.WriteFile(e.file, []byte(text), 0o644))
	var err error
	e.log, err = os.Create(filepath.Join(dir, name+".log"))
	check(err)
	return e
}

// check ends the program if the case could not run.
func check(err error) {
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

// start starts the process. The caller holds w.mu.
func (e *entry) start() {
	c := exec.Command(program, "run", e.file)
	c.Stdout, c.Stderr = e.log, e.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	e.cmd, e.done, e.expected = c, make(chan struct{}), false
	e.w.logf("entry %s starts", e.name)
	go e.wait(c, e.done)
}

func (e *entry) wait(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.w.logf("entry %s has ended: %v", e.name, err)
	if !e.expected {
		e.w.bad("Fault", "entry %s ends by itself: %v", e.name, err)
	}
	close(done)
}

// residentMB returns the resident memory of the process, in units of 2^20 bytes.
func (e *entry) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// end ends all processes.
func endAll(es []*entry) {
	for _, e := range es {
		e.w.mu.Lock()
		e.expected = true
		cmd, done := e.cmd, e.done
		e.w.mu.Unlock()
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		<-done
	}
}

// queue is a route of the configuration.
type queue struct{ name, prefix, service string }

var queues = []queue{{"q-a", "/qa/", "alpha"}, {"q-b", "/qb/", "beta"}}

func config(version int) map[string]any {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": "h.example", "prefix": q.prefix, "timeout_ms": 3000, "slo_ms": 2000, "priority": 0, "service": q.service, "attempts": 3, "stretch": 1.6})
	}
	return map[string]any{"version": version, "routes": routes, "services": []map[string]any{
		{"name": "alpha", "max_conns": 64, "rejects_overload": true}, {"name": "beta", "max_conns": 64, "rejects_overload": true},
		{"name": "spare", "max_conns": 64, "rejects_overload": true, "spare": true}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}
}

// poolOf returns the pool of a minion at the start.
var poolOf = func(number int) string { return []string{"alpha", "beta"}[number%2] }

// rackOf returns the rack of a minion.
var rackOf = func(number int) string { return fmt.Sprintf("r%d", number/4+1) }

// newWorld starts the store, the minions and the entries, and waits until all are ready.
func newWorld(dir, record string, minions, entries int) (*world, []*entry) {
	w := &world{st: newStore(), jobs: map[string]*job{}, units: map[string]*unitRec{}, gangs: map[string]map[*run]bool{}, regs: map[string]time.Time{}, t0: time.Now(),
		gangMs: 3000, stopMs: 900, holdMax: 6000, tickets: map[string]time.Time{}}
	var err error
	w.rec, err = os.Create(record)
	check(err)
	adviceListener := listen()
	go http.Serve(adviceListener, &adviser{w: w})
	for i := range minions {
		l := listen()
		m := &minion{w: w, num: i, machine: fmt.Sprintf("m%d", i), addr: l.Addr().String(), rack: rackOf(i), kind: "k", pool: poolOf(i), zone: "z1",
			guards: true, cpu: 16000, mem: 65536, wake: make(chan struct{}), wavesDone: map[int64]bool{}}
		w.mu.Lock()
		m.boot()
		m.register()
		w.mu.Unlock()
		w.minions = append(w.minions, m)
		go m.serve(l)
	}
	go w.run()
	w.st.put("op/config", config(3))
	var es []*entry
	for i := range entries {
		e := newEntry(w, dir, fmt.Sprintf("e%d", i+1), adviceListener.Addr().String())
		es = append(es, e)
		w.mu.Lock()
		e.start()
		w.mu.Unlock()
	}
	for range 150 {
		if allReady(es) {
			time.Sleep(2 * time.Second)
			return w, es
		}
		time.Sleep(100 * time.Millisecond)
	}
	endAll(es)
	check(fmt.Errorf("the entries are not ready"))
	return nil, nil
}

func allReady(es []*entry) bool {
	for _, e := range es {
		resp, err := client.Get("http://" + e.ready + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			return false
		}
	}
	return true
}

// run moves the work of all minions on, and keeps their entries in the store.
func (w *world) run() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, m := range w.minions {
			m.tick(now)
			if m.state == "up" && now.Sub(m.regAt) > 1500*time.Millisecond {
				m.register()
			}
		}
		for id, at := range w.regs {
			if now.Sub(at) > 4500*time.Millisecond {
				delete(w.regs, id)
				w.st.remove("servers/" + id)
			}
		}
		w.mu.Unlock()
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}, Timeout: 3 * time.Second}

// call makes one call of a client. The status is 0 if there is no complete answer.
func (w *world) call(e *entry, method, path string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, _ := http.NewRequest(method, "http://"+e.front+path, reader)
	r.Host = "h.example"
	r.Header.Set("Bluebellridge-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	status, answer := 0, []byte(nil)
	if resp, err := client.Do(r); err == nil {
		defer resp.Body.Close()
		if answer, err = io.ReadAll(resp.Body); err == nil {
			status = resp.StatusCode
		}
	}
	w.mu.Lock()
	w.logf("%s %s at %s: %d %s", method, path, e.name, status, bytes.TrimSpace(answer))
	w.mu.Unlock()
	return status, answer
}

func (j *job) body() map[string]any {
	b := map[string]any{"spec": j.spec, "steps": j.Steps}
	if j.runCount > 0 {
		b["run_count"], b["initial_delay_ms"], b["interval_ms"] = j.runCount, j.first, j.every
	}
	return b
}

// submit hands the job in, at another entry each time, until it is accepted or 10 s have passed.
func (w *world) submit(es []*entry, q queue, j *job) bool {
	j.queue, j.service = q.name, q.service
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	first := rand.Intn(len(es))
	for n, since := 0, time.Now(); time.Since(since) < 10*time.Second; n++ {
		status, _ := w.call(es[(first+n)%len(es)], "POST", q.prefix+j.id, j.body())
		if status >= 200 && status < 300 {
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks an entry for the state of a job.
func (w *world) state(e *entry, q queue, j *job) (int, string) {
	status, answer := w.call(e, "GET", q.prefix+j.id, nil)
	var v struct {
		State string `json:"state"`
	}
	if status == 200 {
		json.Unmarshal(answer, &v)
	}
	return status, v.State
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
