package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var began = time.Now()

// temporary is the temporary folder, which is removed at the end.
var temporary string

// world is one run.
type world struct {
	f          *fleet
	s          *store
	entries    []*entry
	dir        string
	bin        string
	mu         sync.Mutex
	log        []string
	broken     []string
	spans      [][2]time.Time
	config     map[string]any
	version    int
	features   string
	extra      string
	stopping   bool
	clients    sync.WaitGroup
	recordFile string
}

type entry struct {
	w                            *world
	name, zone                   string
	front, ready, metrics, peers string
	port                         *storePort
	storeAddr, adviceAddr        string
	cmd                          *exec.Cmd
	expected                     bool
	startMu                      sync.Mutex
	alive                        bool
	file                         string
	out                          *os.File
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, fmt.Sprintf("%8.3f ", time.Since(began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) violate(rule, format string, args ...any) {
	line := fmt.Sprintf("%8.3f BROKEN ", time.Since(began).Seconds()) + rule + ": " + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) < 200 {
		w.log = append(w.log, line)
	}
	w.broken = append(w.broken, rule+": "+fmt.Sprintf(format, args...))
}

// disturb records a disturbance; the rules count it as near for contact_ms more.
func (w *world) disturb(what string, length time.Duration) {
	w.record("disturbance: %s for %v", what, length)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans = append(w.spans, [2]time.Time{time.Now(), time.Now().Add(length + 3*time.Second)})
}

func (w *world) disturbed(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.spans {
		if from.Before(s[1]) && to.After(s[0]) {
			return true
		}
	}
	return false
}

// nextPort is below the range from which the system takes ports for outgoing connections, so
// that a port stays free while its entry is down.
var nextPort = 20000 + rand.New(rand.NewSource(time.Now().UnixNano())).Intn(11000)

func freeAddr() string {
	for {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

func serve(h http.Handler) string { return listenAndServe(h) }

func (w *world) addEntry(zone string) *entry {
	e := &entry{w: w, name: fmt.Sprintf("edge-%s-%d", zone, len(w.entries)+1), zone: zone, port: newStorePort(w.s)}
	e.front, e.ready, e.metrics, e.peers = freeAddr(), freeAddr(), freeAddr(), freeAddr()
	e.storeAddr = serve(e.port)
	e.adviceAddr = plainServe(w.f.advise(e.name))
	e.file = filepath.Join(w.dir, e.name+".yaml")
	w.entries = append(w.entries, e)
	return e
}

func (w *world) settings(e *entry, cloud string) {
	text := fmt.Sprintf(`entry: %q
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
  features: %s
  valueBytes: 1048576
  advice: %q
limits:
  memoryMB: 284
  cpuShare: 0.4
  cpuCores: 1
  descriptors: 4100
  bandwidthMbps: 1000.0
jobs:
  hold: 6000ms
  notice: 4500ms
  farFactor: 1.5
  configApply: 2000ms
  keepEnded: 120s
  dutyLease: 3000ms
  upkeep: 2s
  stop: 400ms
%sshutdown:
  balancerLag: 2500ms
  grace: 2500ms
`, e.name, e.zone, e.front, e.ready, e.metrics, e.peers, e.storeAddr, cloud, w.features, e.adviceAddr, w.extra)
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

func (e *entry) start() {
	e.startMu.Lock()
	defer e.startMu.Unlock()
	e.w.mu.Lock()
	alive := e.alive || e.w.stopping
	e.w.mu.Unlock()
	if alive {
		return
	}
	if e.out == nil {
		e.out, _ = os.Create(filepath.Join(e.w.dir, e.name+".log"))
	}
	cmd := exec.Command(e.w.bin, "run", e.file)
	cmd.Stdout, cmd.Stderr = e.out, e.out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		e.w.record("cannot start %s: %v", e.name, err)
		e.w.finish(e.w.recordFile, true)
	}
	e.w.mu.Lock()
	e.cmd, e.expected, e.alive = cmd, false, true
	e.w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		e.w.mu.Lock()
		e.alive = false
		unexpected := !e.expected && e.cmd == cmd && !e.w.stopping
		e.w.mu.Unlock()
		if unexpected {
			e.w.violate("CRASH", "process %s ended by itself: %v", e.name, err)
			e.start()
		}
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.w.mu.Lock()
	cmd := e.cmd
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.expected = true
	}
	e.w.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

func (e *entry) kill(down time.Duration) {
	e.w.disturb("kill "+e.name, down)
	e.signal(syscall.SIGKILL)
	time.AfterFunc(down, e.start)
}

func (e *entry) term() {
	e.w.disturb("SIGTERM "+e.name, 8*time.Second)
	e.signal(syscall.SIGTERM)
	cmd := e.cmd
	time.AfterFunc(6*time.Second, func() {
		_ = cmd.Process.Kill()
		time.Sleep(200 * time.Millisecond)
		e.start()
	})
}

func (e *entry) freeze(length time.Duration) {
	e.w.disturb("freeze "+e.name, length)
	cmd := e.cmd
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
}

func (w *world) putConfig() {
	w.version += 1 + rand.Intn(3)
	w.config["version"] = w.version
	w.s.set("op/config", w.config)
	w.record("configuration %d written", w.version)
}

// route describes a queue.
type route struct {
	name, host, prefix, service string
	priority, attempts          int
	stretch                     float64
	slo                         int
	advice                      bool
	key, tenant                 string
	// sent has the services to which any configuration sent the queue.
	sent map[string]bool
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: false}}

func (w *world) call(e *entry, method string, q *route, id string, body []byte) (int, []byte) {
	req, _ := http.NewRequest(method, "http://"+e.front+q.prefix+id, bytes.NewReader(body))
	req.Host = q.host
	req.Header.Set("Bluebellridge-Deadline-Ms", "3000")
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() {
	for _, e := range w.entries {
		for {
			resp, err := client.Get("http://" + e.ready + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Since(began) > 20*time.Second {
				w.record("%s isn't ready after 20 s", e.name)
				w.finish(w.recordFile, true)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("all %d entries are ready", len(w.entries))
}

func (w *world) any() *entry { return w.entries[rand.Intn(len(w.entries))] }

func (w *world) submit(j *jobSpec, q *route) bool {
	wire := map[string]any{"spec": j.spec, "steps": j.steps}
	if j.runCount > 0 {
		wire["run_count"], wire["initial_delay_ms"], wire["interval_ms"] = j.runCount, j.firstMs, j.everyMs
	}
	body, _ := json.Marshal(wire)
	w.f.mu.Lock()
	j.sent, j.route = time.Now(), q
	w.f.jobs[j.id] = j
	w.f.mu.Unlock()
	for try := 0; try < 5; try++ {
		status, _ := w.call(w.any(), "POST", q, j.id, body)
		w.record("POST %s (%s): %d", j.id, j.queue, status)
		w.f.mu.Lock()
		if status == 0 || status == 502 || status == 504 {
			j.noAnswer++
		} else {
			j.replies[status]++
		}
		if status == 200 {
			j.accepted = time.Now()
		}
		w.f.mu.Unlock()
		if status == 200 {
			if rand.Intn(20) == 0 {
				time.AfterFunc(time.Duration(1+rand.Intn(5))*time.Second, func() { w.call(w.any(), "POST", q, j.id, body) })
			}
			return true
		}
		time.Sleep(time.Duration(200+rand.Intn(600)) * time.Millisecond)
	}
	return false
}

func (w *world) cancel(j *jobSpec, q *route) {
	w.f.mu.Lock()
	j.cancelSent = time.Now()
	w.f.mu.Unlock()
	for try := 0; try < 8; try++ {
		status, _ := w.call(w.any(), "DELETE", q, j.id, nil)
		w.record("DELETE %s: %d", j.id, status)
		if status == 200 || status == 410 {
			w.f.mu.Lock()
			j.cancelled = time.Now()
			w.f.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// look asks for the state of a job and checks the answer.
func (w *world) look(j *jobSpec, q *route) (string, int) {
	asked := time.Now()
	status, data := w.call(w.any(), "GET", q, j.id, nil)
	var out struct {
		State string `json:"state"`
	}
	if status == 200 {
		_ = json.Unmarshal(data, &out)
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	switch {
	case status == 410 && asked.Sub(j.accepted) > 3*time.Second && j.cancelSent.IsZero() && !w.disturbed(asked.Add(-3*time.Second), asked):
		w.violate("LOST", "GET for the accepted job %s is answered 410", j.id)
	case out.State == "completed" && j.shownCompleted.IsZero():
		j.shownCompleted = time.Now()
		for k := 0; k < max(1, j.runCount); k++ {
			for si := range j.steps {
				for i := 0; i < j.steps[si].Count; i++ {
					u := w.f.units[fmt.Sprintf("%s.%d.%d.%d", j.id, k, si, i)]
					if u == nil || u.doneAt.IsZero() {
						w.violate("MIXED", "job %s is shown as completed, and %d.%d.%d has not ended done", j.id, k, si, i)
						return out.State, status
					}
				}
			}
		}
	case out.State == "failed" && !j.crasher:
		cause := false
		for _, u := range w.f.units {
			cause = cause || u.job == j && (u.failed >= j.attempts || j.steps[u.step].Gang && u.failed > 0 || u.crashes >= 2)
		}
		if !cause {
			w.violate("LOST", "job %s is shown as failed without cause", j.id)
		}
	case out.State == "cancelled" && j.cancelSent.IsZero():
		w.violate("LOST", "job %s is shown as cancelled, and nobody cancelled it", j.id)
	}
	if out.State == "completed" || out.State == "failed" || out.State == "cancelled" {
		if j.final == "" {
			w.record("GET %s: %s", j.id, out.State)
		}
		j.final = out.State
	}
	return out.State, status
}

// follow submits a job and asks for its state until it has ended.
func (w *world) follow(j *jobSpec, q *route, cancelAfter time.Duration, until time.Time) {
	defer w.clients.Done()
	if !w.submit(j, q) {
		return
	}
	cancelAt := time.Time{}
	if cancelAfter > 0 {
		cancelAt = time.Now().Add(cancelAfter)
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(300+rand.Intn(700)) * time.Millisecond)
		if !cancelAt.IsZero() && time.Now().After(cancelAt) && j.cancelSent.IsZero() {
			w.cancel(j, q)
		}
		if state, _ := w.look(j, q); state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// checkEnd checks the rules for the end of the traffic.
func (w *world) checkEnd() {
	type open struct {
		j    *jobSpec
		idle time.Time
	}
	w.f.mu.Lock()
	var list []*open
	for _, j := range w.f.jobs {
		if !j.accepted.IsZero() && j.cancelSent.IsZero() && j.final == "" && !j.crasher {
			list = append(list, &open{j: j})
		}
	}
	w.f.mu.Unlock()
	for _, o := range list {
		if _, status := w.look(o.j, o.j.route); status != 200 {
			if _, status = w.look(o.j, o.j.route); status != 200 {
				w.violate("LOST", "job %s isn't known or gets no answer at the end: %d", o.j.id, status)
			}
		}
	}
	w.record("at the end %d jobs are open", len(list))
	reported := map[string]bool{}
	for i := 0; i < 45; i++ {
		time.Sleep(100 * time.Millisecond)
		w.f.mu.Lock()
		now := time.Now()
		for _, o := range list {
			if o.j.final != "" || reported[o.j.id] {
				continue
			}
			if why, waiting := w.f.couldRun(o.j); waiting {
				if o.idle.IsZero() {
					o.idle = now
				}
				if now.Sub(o.idle) > 3*time.Second {
					reported[o.j.id] = true
					w.violate("LOST", "job %s of %s has had nothing running for 3 s: %s", o.j.id, o.j.queue, why)
				}
			} else {
				o.idle = time.Time{}
			}
		}
		w.f.mu.Unlock()
	}
}

// couldRun reports whether the job has nothing running while a work unit's turn has come,
// there is capacity for it twice over, and under half of the service's capacity is in use.
func (f *fleet) couldRun(j *jobSpec) (string, bool) {
	for _, u := range f.units {
		if u.job == j && len(u.running) > 0 {
			return "", false
		}
	}
	if limit := f.caps[j.tenant]; j.tenant != "" && limit.CPU > 0 {
		running := 0
		for _, m := range f.minions {
			for _, r := range m.runs {
				if r.u.job.tenant == j.tenant {
					running += r.step.CPU
				}
			}
		}
		if 2*running >= limit.CPU {
			return "", false
		}
	}
	service := j.service
	if len(j.services) == 1 {
		for service = range j.services {
		}
	}
	now := time.Now()
	for k := 0; k < max(1, j.runCount); k++ {
		if j.runCount > 0 && now.UnixMilli() < j.firstMs+int64(k)*j.everyMs {
			continue
		}
		for si := range j.steps {
			st := &j.steps[si]
			ready := true
			for _, a := range st.After {
				for i := 0; i < j.steps[a].Count; i++ {
					u := f.units[fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i)]
					ready = ready && u != nil && !u.doneAt.IsZero()
				}
			}
			if !ready {
				continue
			}
			undone := 0
			for i := 0; i < st.Count; i++ {
				u := f.units[fmt.Sprintf("%s.%d.%d.%d", j.id, k, si, i)]
				if u == nil || u.doneAt.IsZero() {
					undone++
				}
			}
			if undone == 0 {
				continue
			}
			fit, used, total := 0, 0, 0
			for _, m := range f.minions {
				if m.pool != service || m.state != "up" || m.draining || m.dark || m.hang {
					continue
				}
				usedHere := m.used()
				total += m.cap.CPU
				used += usedHere.CPU
				if st.Requires != "" && !has(m.labels, st.Requires) {
					continue
				}
				if f.queueAdvice[j.queue] && !f.adviceGood(fmt.Sprintf("%s.%d.%d", j.id, k, si), m.id) {
					continue
				}
				here := 0
				for need := st.room(); usedHere.plus(need).fits(m.cap) && here < 1000; {
					usedHere = usedHere.plus(need)
					here++
				}
				if st.Apart > 0 {
					here = min(here, st.Apart)
				}
				fit += here
			}
			want := 2
			if st.Gang {
				want = 2 * st.Count
			}
			if fit >= want && 2*used < total {
				return fmt.Sprintf("step %d.%d (gang %v), %d undone, room for %d, %d of %d in use", k, si, st.Gang, undone, fit, used, total), true
			}
		}
	}
	return "", false
}

// checkRefused checks that nothing has run of jobs whose client was rejected each time.
func (w *world) checkRefused() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	for _, u := range w.f.units {
		j := u.job
		if u.starts > 0 && j.accepted.IsZero() && j.noAnswer == 0 && len(j.replies) > 0 {
			w.violate("REFUSED", "%s has started, and all attempts of its client were rejected: %v", u.name, j.replies)
		}
	}
}

func (w *world) finish(recordFile string, cantRun bool) {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
		}
	}
	if temporary != "" {
		_ = os.RemoveAll(temporary)
	}
	w.record("minions: %s", w.f.summary())
	w.checkRefused()
	answers := map[string]int{}
	w.f.mu.Lock()
	for _, j := range w.f.jobs {
		answers["jobs"]++
		if !j.accepted.IsZero() {
			answers["accepted"]++
		}
		answers["final "+j.final]++
		for s, n := range j.replies {
			answers[fmt.Sprintf("POST %d", s)] += n
		}
		answers["POST no answer"] += j.noAnswer
	}
	w.f.mu.Unlock()
	w.record("clients: %v", answers)
	w.record("broken rules: %d", len(w.broken))
	if recordFile != "" {
		_ = os.WriteFile(recordFile, []byte(strings.Join(w.log, "\n")+"\n"), 0o644)
	}
	count := map[string]int{}
	for _, b := range w.broken {
		count[strings.SplitN(b, ":", 2)[0]]++
	}
	fmt.Println("broken:", count, "clients:", answers)
	switch {
	case cantRun:
		os.Exit(2)
	case len(w.broken) > 0:
		os.Exit(1)
	}
	os.Exit(0)
}

func main() {
	seed := flag.Int64("seed", 1, "seed")
	bin := flag.String("bin", "target/bluebellridged", "program")
	dir := flag.String("dir", "", "temporary folder")
	recordFile := flag.String("record", "record.txt", "record")
	seconds := flag.Int("seconds", 40, "length of the traffic")
	mode := flag.String("mode", "mix", "scenario")
	after := flag.Duration("after", 50*time.Millisecond, "time from the return of a minion until it takes a late order")
	flag.Parse()
	rand.Seed(*seed)
	if *dir == "" {
		*dir, _ = os.MkdirTemp("", "review-standin-3-")
		temporary = *dir
	}
	_ = os.MkdirAll(*dir, 0o755)
	s := newStore()
	w := &world{s: s, f: newFleet(s), dir: *dir, bin: *bin, features: `["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]`}
	w.recordFile = *recordFile
	w.f.record, w.f.violate, w.f.disturbed = w.record, w.violate, w.disturbed
	w.f.adviceGood = func(step, id string) bool { return (len(step)+int(id[len(id)-1]))%3 != 0 }
	trouble := os.Getenv("TROUBLE") != "0"
	length := time.Duration(*seconds) * time.Second
	w.record("scenario %s, seed %d, trouble %v", *mode, *seed, trouble)
	switch *mode {
	case "budget":
		runBudget(w, trouble, length, true, false)
	case "instant":
		runBudget(w, trouble, length, false, true)
	case "late":
		runLate(w, trouble, length, *after)
	case "giveup":
		runGiveUp(w, trouble, length)
	case "fuzz":
		runFuzz(w, *mode, length)
	case "replaced":
		runReplaced(w, trouble, length, *after)
	case "gang":
		runGang(w, trouble, length)
	default:
		run(w, *mode, length)
	}
	w.finish(*recordFile, false)
}
