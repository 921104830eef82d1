package bbrabuse

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryMB is limits.memoryMB of the entries, and the bound on their resident memory.
	memoryMB = 64
	// maxDescriptors is the bound on an entry's open descriptors.
	maxDescriptors = 270
	// quietDescriptors is more than an entry has open without a crowd.
	quietDescriptors = 60
	// patience bounds how long a test waits for a condition. It is long, so that no test
	// depends on the machine's speed.
	patience = 30 * time.Second
)

// programDir has the programs that the tests run.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "bbrabuse"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programDir)
	build := exec.Command("go", "build", "-o", programDir,
		"github.com/bluebellridge/bluebellridge/cmd/bluebellridged", "github.com/bluebellridge/bluebellridge/cmd/bbrstandin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}

// The ports are below the system's ephemeral ports and different from those of the
// scripts and of the soak test.
const firstPort = 13000

var lastPort atomic.Int32

func freeAddress(t *testing.T) netip.AddrPort {
	for {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+lastPort.Add(1)))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			require.Less(t, lastPort.Load(), int32(900), "no free port")
			continue
		}
		require.NoError(t, listener.Close())
		return address
	}
}

// system is an entry and the platform on which it runs.
type system struct {
	platform, callers, readiness, metrics, peers netip.AddrPort

	entry *exec.Cmd
	// exited is closed when the entry has exited.
	exited chan struct{}
	// jobs counts the ordinary jobs.
	jobs int
}

// start starts a process that is killed at the end of the test.
func start(t *testing.T, name string, args ...string) (*exec.Cmd, chan struct{}) {
	command := exec.Command(filepath.Join(programDir, name), args...)
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, command.Start())
	exited := make(chan struct{})
	w := &waiter{command: command, exited: exited}
	go w.run()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-2000):])
		}
	})
	return command, exited
}

// waiter waits for a process to exit.
type waiter struct {
	command *exec.Cmd
	exited  chan struct{}
}

func (w *waiter) run() {
	_ = w.command.Wait()
	close(w.exited)
}

// startFleet starts an entry on a stand-in fleet without a configuration.
func startFleet(t *testing.T) *system {
	s := &system{platform: freeAddress(t), callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	start(t, "bbrstandin", "fleet", "--listen", s.platform.String(), "--workers", fmt.Sprintf("%s,%s", freeAddress(t), freeAddress(t)), "--pools", "press")
	eventually(t, "the platform answers", func() bool { return status(http.MethodGet, s.platform, "/machines", "") == http.StatusOK })
	s.startFleetEntry(t)
	return s
}

// startFleetEntry starts an entry on the stand-in fleet.
func (s *system) startFleetEntry(t *testing.T) {
	s.startEntry(t, fmt.Sprintf("listen: {callers: %q, readiness: %q, metrics: %q, peers: %q}\nplatform: {protocol: fleet, address: %q, machines: %q}\n",
		s.callers, s.readiness, s.metrics, s.peers, s.platform, s.platform))
	eventually(t, "the entry listens", func() bool { return status(http.MethodGet, s.readiness, "/ready", "") != 0 })
}

// startOwn starts an entry of the project's own protocol without a configuration. Its
// metrics are on the listener of operators.
func startOwn(t *testing.T) *system {
	s := &system{platform: freeAddress(t), callers: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	start(t, "bbrstandin", "platform", "--listen", s.platform.String())
	eventually(t, "the platform answers", func() bool { return status(http.MethodGet, s.platform, "/", "") != 0 })
	s.startEntry(t, fmt.Sprintf("listen: {callers: %q, operators: %q, peers: %q}\nplatform: {address: %q}\noperators: {token: abuse-token-not-secret}\n",
		s.callers, s.metrics, s.peers, s.platform))
	eventually(t, "the entry listens", func() bool { return status(http.MethodGet, s.callers, "/_ready", "") != 0 })
	return s
}

func (s *system) startEntry(t *testing.T, settings string) {
	path := filepath.Join(t.TempDir(), "entry.yaml")
	text := fmt.Sprintf("entry: e1\nzone: a\n%slimits: {memoryMB: %d}\nshutdown: {balancerLag: 300ms, grace: 2s}\n", settings, memoryMB)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	s.entry, s.exited = start(t, "bluebellridged", "run", path)
}

const config = `{"version":1,"routes":[{"name":"q-press","host":"print.example","prefix":"/press/","timeout_ms":3000,"slo_ms":2000,"priority":0,"service":"press","attempts":3,"stretch":1.6}],"services":[{"name":"press","max_conns":64,"rejects_overload":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// configure puts a configuration in force.
func (s *system) configure(t *testing.T) {
	require.Equal(t, http.StatusOK, status(http.MethodPut, s.platform, "/operator/op/config", config))
	s.requireReady(t)
}

func (s *system) requireReady(t *testing.T) {
	eventually(t, "the entry is ready", func() bool { return status(http.MethodGet, s.readiness, "/ready", "") == http.StatusOK })
}

// runOrdinaryJob submits a job and requires that it is accepted and run.
func (s *system) runOrdinaryJob(t *testing.T) {
	s.jobs++
	before := s.unitsDone(t)
	path := fmt.Sprintf("/press/%016x", s.jobs)
	eventually(t, "an ordinary job is accepted", func() bool {
		return status(http.MethodPost, s.callers, path, `{"spec":"5ms","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":5}]}`) == http.StatusOK
	})
	eventually(t, "an ordinary job is run", func() bool { return s.unitsDone(t) > before })
}

func (s *system) unitsDone(t *testing.T) int {
	response, err := http.Get("http://" + s.platform.String() + "/facts")
	require.NoError(t, err)
	defer response.Body.Close()
	var facts struct{ Done int }
	require.NoError(t, json.NewDecoder(response.Body).Decode(&facts))
	return facts.Done
}

// status makes an ordinary request on a new connection and returns the status of the
// answer, or 0 if there is none.
func status(method string, address netip.AddrPort, path, body string) int {
	request, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "print.example"
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func eventually(t *testing.T, what string, condition func() bool) {
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(20 * time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "in vain: %s", what)
	}
}

// peakMemory returns the largest resident memory that the entry had, in bytes.
func (s *system) peakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.entry.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(data, []byte("VmHWM:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kilobytes, err := strconv.ParseInt(strings.TrimSpace(string(line)), 10, 64)
	return kilobytes << 10, err
}

// descriptors returns how many descriptors the entry has open.
func (s *system) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.entry.Process.Pid))
	return len(files)
}

// check requires that the entry lives and has kept within its bounds.
func (s *system) check(t *testing.T, label string, peakDescriptors int) {
	select {
	case <-s.exited:
		require.Fail(t, "the entry has exited", label)
	default:
	}
	memory, err := s.peakMemory()
	require.NoError(t, err, label)
	t.Logf("%s: peak of resident memory %d MB, of open descriptors %d", label, memory>>20, peakDescriptors)
	if memory > memoryMB<<20 {
		t.Errorf("%s: resident memory was %d MB, more than %d MB", label, memory>>20, memoryMB)
	}
	if peakDescriptors > maxDescriptors {
		t.Errorf("%s: %d descriptors were open, more than %d", label, peakDescriptors, maxDescriptors)
	}
}
