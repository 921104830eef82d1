package bbrsoak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
)

// entry is one entry's process, with the relay before its store.
type entry struct {
	soak     *Soak
	name     string
	settings string
	callers  netip.AddrPort
	readyAt  netip.AddrPort
	store    *bbrrelay.Relay

	// restarting is set while an event ends the process and starts it again.
	restarting atomic.Bool

	mu      sync.Mutex
	process *os.Process
	// gone is closed when the process has ended.
	gone chan struct{}
}

func newEntry(s *Soak, name string, store netip.AddrPort) (*entry, error) {
	e := &entry{soak: s, name: name, settings: filepath.Join(s.WorkDir, name+".yaml")}
	relay, through, err := relayTo(store)
	if err != nil {
		return nil, err
	}
	e.store = relay
	var addresses [4]netip.AddrPort
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	e.callers, e.readyAt = addresses[0], addresses[1]
	text := fmt.Sprintf("entry: %s\nzone: a\nlisten: {callers: %q, readiness: %q, metrics: %q, peers: %q}\nplatform: {protocol: fleet, address: %q, machines: %q}\nshutdown: {balancerLag: 300ms, grace: 2s}\n",
		name, addresses[0], addresses[1], addresses[2], addresses[3], through, through)
	return e, os.WriteFile(e.settings, []byte(text), 0o644)
}

// start starts the process.
func (e *entry) start() error {
	log, err := e.soak.log(e.name)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(e.soak.DaemonPath, "run", e.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.gone = command.Process, make(chan struct{})
	w := &waiter{command: command, gone: e.gone}
	go w.run()
	return nil
}

// waiter waits for a process.
type waiter struct {
	command *exec.Cmd
	gone    chan struct{}
}

func (w *waiter) run() {
	_ = w.command.Wait()
	close(w.gone)
}

func (e *entry) running() (*os.Process, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.gone
}

// signal sends a signal to the present process.
func (e *entry) signal(signal syscall.Signal) {
	if process, _ := e.running(); process != nil {
		_ = process.Signal(signal)
	}
}

// revive starts the process again once it has ended.
func (e *entry) revive(after time.Duration) error {
	_, gone := e.running()
	<-gone
	time.Sleep(after)
	return e.start()
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	if _, gone := e.running(); gone != nil {
		<-gone
	}
}

var probe = http.Client{Timeout: time.Second}

func (e *entry) ready() bool {
	response, err := probe.Get("http://" + e.readyAt.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
