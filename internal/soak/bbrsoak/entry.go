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

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
)

// entry is the process of one entry, with the relay in front of its store.
type entry struct {
	soak          *Soak
	name          string
	settingsPath  string
	callerAddress netip.AddrPort
	// submitAddress is where callers connect to: callerAddress, or a relay before it.
	submitAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	storeRelay       *bbrrelay.Relay

	// restarting is set while an event restarts the process.
	restarting atomic.Bool

	mu      sync.Mutex
	process *os.Process
	// starts counts the starts of the process.
	starts int
	// exited is closed when the process has exited.
	exited chan struct{}
}

func newEntry(s *Soak, name string, upstreams []netip.AddrPort) (*entry, error) {
	e := &entry{soak: s, name: name, settingsPath: filepath.Join(s.WorkDir, name+".yaml")}
	link := s.newLink()
	addresses, err := relayUpstreams(upstreams, link)
	if err != nil {
		return nil, err
	}
	store, err := startServer(s.fleet.HandlerFor(addresses))
	if err != nil {
		return nil, err
	}
	relay, relayAddress, err := newRelay(store, link)
	if err != nil {
		return nil, err
	}
	e.storeRelay = relay
	var ports [4]netip.AddrPort
	for i := range ports {
		if ports[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	e.callerAddress, e.readinessAddress, e.submitAddress = ports[0], ports[1], ports[0]
	if link != nil {
		if _, e.submitAddress, err = newRelay(e.callerAddress, link); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("entry: %s\nzone: a\nlisten: {callers: %q, readiness: %q, metrics: %q, peers: %q}\nplatform: {protocol: fleet, address: %q, machines: %q}\nshutdown: {balancerLag: 300ms, grace: 2s}\n",
		name, ports[0], ports[1], ports[2], ports[3], relayAddress, relayAddress)
	text += fmt.Sprintf("limits: {memoryMB: %d}\n", memoryMB)
	if s.optionalParts() {
		text += "jobs: {fairShares: true, separateInterfering: true, reservations: true, balanceByCapacity: true}\n"
	}
	return e, os.WriteFile(e.settingsPath, []byte(text), 0o644)
}

// relayUpstreams starts relays from an entry to the upstreams over its link, and returns
// their addresses; none if the entry has no link.
func relayUpstreams(upstreams []netip.AddrPort, link *bbrrelay.Link) (bbrfleet.Addresses, error) {
	if link == nil {
		return nil, nil
	}
	addresses := make(bbrfleet.Addresses)
	for _, registered := range upstreams {
		_, address, err := newRelay(registered, link)
		if err != nil {
			return nil, err
		}
		addresses[registered] = address
	}
	return addresses, nil
}

// optionalParts reports whether the entries run the parts that are off by default: with
// every odd seed, unless an earlier build, which does not know their settings, takes part.
func (s *Soak) optionalParts() bool { return s.Seed%2 == 1 && s.OlderDaemonPath == "" }

// start starts the process.
func (e *entry) start() error {
	log, err := e.soak.openLog(e.name)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(e.program(), "run", e.settingsPath)
	command.Stdout, command.Stderr = log, log
	if e.soak.SlowOwners || e.soak.Backlog {
		// An entry with several processors does all of its work in the shortest intervals.
		command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.exited = command.Process, make(chan struct{})
	e.starts++
	w := &processWaiter{command: command, exited: e.exited}
	go w.run()
	return nil
}

// program returns the program of the next start.
func (e *entry) program() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if older := e.soak.OlderDaemonPath; older != "" && e.starts%2 == 0 && !e.soak.upgraded.Load() {
		return older
	}
	return e.soak.DaemonPath
}

// completeUpgrade restarts the entries one after the other with the present build, if
// there is an older one.
func (s *Soak) completeUpgrade() {
	if s.OlderDaemonPath == "" {
		return
	}
	s.upgraded.Store(true)
	for _, e := range s.entries {
		e.signal(syscall.SIGTERM)
		if err := e.startAfterExit(0); err != nil {
			s.callers.reportFault("entry %s does not restart: %v", e.name, err)
		}
		s.eventually(readyTimeout, e.ready)
	}
}

// processWaiter waits for a process to exit.
type processWaiter struct {
	command *exec.Cmd
	exited  chan struct{}
}

func (w *processWaiter) run() {
	_ = w.command.Wait()
	close(w.exited)
}

func (e *entry) currentProcess() (*os.Process, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.exited
}

// signal sends a signal to the current process.
func (e *entry) signal(signal syscall.Signal) {
	if process, _ := e.currentProcess(); process != nil {
		_ = process.Signal(signal)
	}
}

// startAfterExit waits for the process to exit, and starts it again after a delay.
func (e *entry) startAfterExit(delay time.Duration) error {
	_, exited := e.currentProcess()
	<-exited
	time.Sleep(delay)
	return e.start()
}

// restart ends the process with a signal, and starts it again after a delay. It does
// nothing while another restart is under way.
func (e *entry) restart(signal syscall.Signal, after time.Duration) {
	if !e.restarting.CompareAndSwap(false, true) {
		return
	}
	defer e.restarting.Store(false)
	e.signal(signal)
	if err := e.startAfterExit(after); err != nil {
		e.soak.callers.reportFault("entry %s does not restart: %v", e.name, err)
	}
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	if _, exited := e.currentProcess(); exited != nil {
		<-exited
	}
}

var readinessClient = http.Client{Timeout: time.Second}

func (e *entry) ready() bool {
	response, err := readinessClient.Get("http://" + e.readinessAddress.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
