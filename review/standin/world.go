package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	host       = "press.example"
	prefix     = "/press/"
	service    = "press"
	clientTime = 3 * time.Second
	retries    = 4
)

// world is a small deployment: the platform, minions, entries and clients.
type world struct {
	log     *recorder
	store   *store
	minions []*minion
	entries []*entry
	program string
	folder  string

	mu    sync.Mutex
	works map[string]work
	next  int
	// lastFence is that of the last start that a minion carried out.
	lastFence int64
	// crashed is called after a minion has crashed under a deadly work unit.
	crashed func(record *startRecord)
}

// entry is one process of the system.
type entry struct {
	world    *world
	name     string
	zone     string
	front    string
	ready    string
	settings string
	// platform and machines are the addresses of the store and of the list of machines.
	platform string
	machines string
	cmd      *exec.Cmd
	done     chan struct{}
	// startedAt is when the process was last started.
	startedAt time.Time
}

func newWorld(folder, program, record string, minions, entries int) (*world, error) {
	log, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	w := &world{log: log, store: newStore(log), program: program, folder: folder, works: map[string]work{}}
	w.writeConfig()
	w.guard()
	for n := range minions {
		m := newMinion(w, n, service)
		if err := m.start(); err != nil {
			return nil, err
		}
		w.minions = append(w.minions, m)
	}
	machines, err := serveOn(w.machines())
	if err != nil {
		return nil, err
	}
	for n := range entries {
		e, err := w.newEntry(n, machines)
		if err != nil {
			return nil, err
		}
		w.entries = append(w.entries, e)
	}
	return w, nil
}

// guard ends the case and its processes at a signal or when its time is over.
func (w *world) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
			fmt.Println("the case could not run: its time is over")
		}
		w.stopAll()
		os.RemoveAll(w.folder)
		os.Exit(exitNotShown)
	}()
}

// writeConfig writes the operator's configuration.
func (w *world) writeConfig() {
	w.store.write("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "press", "host": host, "prefix": prefix, "service": service, "type": "non_idempotent", "timeout_ms": 3000,
			"slo_ms": 600, "priority": 0, "attempts": 2, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 64, "rejects_overload": true, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	})
}

func serveOn(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// settings follows the project's template with the figures of a small deployment.
const settings = `entry: %q
zone: %q
listen:
  callers: %q
  readiness: %q
  metrics: %q
  peers: %q
platform:
  protocol: fleet
  address: %q
  machines: %q
limits:
  memoryMB: 284
  cpuShare: 0.4
  cpuCores: 1
jobs:
  hold: 6000ms
  notice: 4500ms
  farFactor: 1.5
  configApply: 2000ms
  keepEnded: 120s
  dutyLease: 3000ms
  upkeep: 2s
  stop: 400ms
shutdown:
  balancerLag: 2500ms
  grace: 2500ms
`

func (w *world) newEntry(n int, machines string) (*entry, error) {
	platform, err := serveOn(w.store.handler(fmt.Sprintf("edge-%d", n+1)))
	if err != nil {
		return nil, err
	}
	return &entry{world: w, name: fmt.Sprintf("edge-%d", n+1), zone: zones[n%len(zones)], platform: platform, machines: machines}, nil
}

// configure writes the settings with addresses whose ports are free.
func (e *entry) configure() error {
	var addresses []any
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	e.front, e.ready = addresses[0].(string), addresses[1].(string)
	e.settings = filepath.Join(e.world.folder, e.name+".yaml")
	text := fmt.Sprintf(settings, append(append([]any{e.name, e.zone}, addresses...), e.platform, e.machines)...)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// start runs the process with the command of the deploy file.
func (e *entry) start() error {
	e.startedAt = time.Now()
	out, err := os.OpenFile(filepath.Join(e.world.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(e.world.program, "run", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.world.log.note("%s starts", e.name)
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}(e.cmd, e.done)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.world.log.note("%s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// firstStart starts the process and waits until it is ready. Another process may take one of
// its ports before it does; then it gets others.
func (e *entry) firstStart() error {
	for range 5 {
		if err := e.configure(); err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		waitFor(10*time.Second, func() bool { return e.isReady() || !e.running() })
		if e.running() && e.isReady() {
			return nil
		}
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	return fmt.Errorf("%s does not get ready", e.name)
}

// startAll starts all entries at about the same time and waits until they are ready.
func (w *world) startAll() error {
	results := make(chan error, len(w.entries))
	for _, e := range w.entries {
		go func() { results <- e.firstStart() }()
	}
	var failed error
	for range w.entries {
		if err := <-results; err != nil {
			failed = err
		}
	}
	time.Sleep(3 * time.Second)
	return failed
}

// stopAll ends all processes that the case started.
func (w *world) stopAll() {
	for _, e := range w.entries {
		if e.cmd != nil && e.running() {
			_ = e.cmd.Process.Kill()
			<-e.done
		}
	}
}

func (w *world) entryNamed(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// step is a step of a submission.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMs int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
}

// job is a submission with the time that its work units take.
type job struct {
	id       string
	steps    []step
	duration time.Duration
	deadly   bool
	until    time.Time
	runCount int
	first    time.Time
	interval time.Duration
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("5c0e7a21d94b%04x", w.next)
}

func (w *world) workOf(task string) (work, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	unit, ok := w.works[jobOf(task)]
	return unit, ok
}

// call sends a client's request to an entry and returns the status, 0 for no answer.
func (w *world) call(e *entry, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Bluebellridge-Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	client := http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// ask sends a request to one ready entry after the other until one accepts it.
func (w *world) ask(first int, method, path string, body any, accept func(status int) bool) (int, string) {
	status, text := 0, "no entry is ready"
	for attempt := range retries + 1 {
		e := w.entries[(first+attempt)%len(w.entries)]
		if !e.running() {
			continue
		}
		status, text = w.call(e, method, path, body)
		if accept(status) {
			return status, text
		}
	}
	return status, text
}

func success(status int) bool { return status >= 200 && status < 300 }

// submit hands a job in and reports whether it was accepted.
func (w *world) submit(j *job, first int) bool {
	w.mu.Lock()
	w.works[j.id] = work{cpu: j.steps[0].CPU, memMB: j.steps[0].MemMB, duration: j.duration, until: j.until, deadly: j.deadly}
	w.mu.Unlock()
	body := map[string]any{"spec": "edition", "steps": j.steps}
	if j.runCount > 0 {
		body["run_count"], body["initial_delay_ms"], body["interval_ms"] = j.runCount, j.first.UnixMilli(), j.interval.Milliseconds()
	}
	status, text := w.ask(first, http.MethodPost, prefix+j.id, body, success)
	w.log.note("client: POST %s (%d work units a step, run_count %d) -> %d %s", j.id, j.steps[0].Count, j.runCount, status, text)
	return success(status)
}

// state asks for a job's state; empty if there is no such job or no answer.
func (w *world) state(id string, first int) string {
	status, text := w.ask(first, http.MethodGet, prefix+id, nil, func(status int) bool { return success(status) || status == http.StatusGone })
	var out struct {
		State string `json:"state"`
	}
	if !success(status) || json.Unmarshal([]byte(text), &out) != nil {
		w.log.note("client: GET %s -> %d %s", id, status, text)
		return ""
	}
	return out.State
}
