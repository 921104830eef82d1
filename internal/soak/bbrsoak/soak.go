package bbrsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
)

// Soak is one soak test run.
type Soak struct {
	// Seed determines the faults and the jobs.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// DaemonPath is the file name of the entries' program.
	DaemonPath string
	// OlderDaemonPath is the program of an earlier build; empty for none. All entries
	// begin with it, and every second start of an entry uses it until the faults end. Then
	// all entries get the present build. Starts of work that crashes its upstreams are not
	// limited in such runs, as the earlier build may not limit them.
	OlderDaemonPath string
	EntryCount      int
	UpstreamCount   int
	// CheckDelays makes work that waits too long count as a violation, too. This checks
	// speed, and is meant for a machine that is not busy.
	CheckDelays bool
	// SlowOwners replaces the random faults by owners of shards that stay in office but are
	// slow, and checks during all of it that long-running work runs again in time.
	SlowOwners bool
	// Restarts replaces the random faults by upstreams that restart under their IDs and are
	// cut off soon after, while long work runs.
	Restarts bool
	// Backlog replaces the random faults by owners of shards with many waiting jobs that end,
	// lose power and pause, while the links of the entries are slow. It checks that no shard
	// stays claimed without being loaded, and that accepted jobs start in time after the
	// faults.
	Backlog bool
	// LateCommits replaces the random faults by a store that loses answers and does transactions
	// seconds later, and by entries that are killed.
	LateCommits bool
	// WorkDir is the directory for the entries' settings and logs.
	WorkDir string
	Out     io.Writer

	fleet   *bbrfleet.Fleet
	entries []*entry
	// upstreamRelays are the relays in front of the upstreams.
	upstreamRelays []*bbrrelay.Relay
	callers        *callers
	// disturbances knows when faults were active; nil unless SlowOwners is set.
	disturbances *disturbances
	// upgraded is set once all starts use the present build.
	upgraded atomic.Bool
	wg       sync.WaitGroup
}

// keepsLongRunningJobs reports whether callers keep their long-running jobs, and submit
// none that crashes its upstreams.
func (s *Soak) keepsLongRunningJobs() bool { return s.SlowOwners || s.Restarts || s.Backlog }

// pools are the pools with queues; sparePool has the instances that are switched off.
var pools = []string{"press", "proofs"}

const sparePool = "attic"

const (
	// monitorDelay is how long there must have been no faults before waiting work is
	// monitored; callers submit jobs for faultFreeDuration after that.
	monitorDelay      = 4 * time.Second
	faultFreeDuration = 12 * time.Second
	// settleTimeout bounds how long the jobs may take to end without faults. It is
	// generous, and no check of speed.
	settleTimeout = 90 * time.Second
	readyTimeout  = 30 * time.Second
)

// Run runs the soak test and returns the violations of guarantees.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.build(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if !s.eventually(readyTimeout, func() bool { return s.ready() == len(s.entries) }) {
		return []string{"not all entries became ready in time"}, nil
	}
	if s.Backlog {
		s.reduceAllCapacity(missingPercent)
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	s.wg.Go(func() { s.callers.run(callersCtx) })
	if s.OlderDaemonPath == "" {
		// Earlier builds hold all that is to come.
		schedules := &scheduleCaller{soak: s}
		s.wg.Go(func() { schedules.run(callersCtx) })
	}
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	var monitoring sync.WaitGroup
	for _, e := range s.entries {
		memory := &memoryMonitor{entry: e}
		monitoring.Go(func() { memory.run(monitorCtx) })
	}
	if s.Backlog {
		loads := newLoadMonitor(s)
		monitoring.Go(func() { loads.run(monitorCtx) })
	}
	s.injectMonitoredFaults(ctx)
	s.endFaults()
	s.completeUpgrade()
	s.checkWaves()
	starts := newStartMonitor(s, time.Now())
	if s.Backlog {
		monitoring.Go(func() { starts.run(monitorCtx) })
	}
	time.Sleep(monitorDelay)
	if s.CheckDelays && !s.Backlog {
		stalls := newStallMonitor(s)
		monitoring.Go(func() { stalls.run(monitorCtx) })
	}
	time.Sleep(s.faultFreeTime())
	stopCallers()
	s.wg.Wait()
	s.awaitJobs()
	stopMonitor()
	monitoring.Wait()
	starts.finish()
	return s.violations(), nil
}

// faultFreeTime returns how long callers submit jobs before they wait for the ends.
func (s *Soak) faultFreeTime() time.Duration {
	if s.Backlog {
		return 0 // The jobs that wait have a limit of their own.
	}
	return faultFreeDuration
}

// build creates the fleet, the relays and the entries' settings.
func (s *Soak) build(ctx context.Context) error {
	if err := resetPortBlock(); err != nil {
		return err
	}
	setup := bbrfleet.Config{Pools: append(slices.Clone(pools), sparePool)}
	for range s.UpstreamCount {
		upstream, err := freeAddress()
		if err != nil {
			return err
		}
		relay, address, err := newRelay(upstream, nil)
		if err != nil {
			return err
		}
		s.upstreamRelays = append(s.upstreamRelays, relay)
		setup.Workers = append(setup.Workers, upstream)
		setup.RegisteredAddresses = append(setup.RegisteredAddresses, address)
	}
	setup.UnlimitedCrashes = s.OlderDaemonPath != ""
	s.fleet = bbrfleet.New(ctx, setup)
	s.fleet.Put("op/config", encodeConfig(1))
	for i := range s.EntryCount {
		e, err := newEntry(s, fmt.Sprintf("e%d", i+1), setup.RegisteredAddresses)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	s.callers = newCallers(s)
	return nil
}

// newLink returns the link of an entry; nil if it has no limit.
func (s *Soak) newLink() *bbrrelay.Link {
	if !s.Backlog {
		return nil
	}
	link := &bbrrelay.Link{}
	link.SetRate(linkBytesPerSecond)
	return link
}

// newRelay starts a relay in front of an address, over a link unless that is nil, and
// returns where it listens.
func newRelay(to netip.AddrPort, link *bbrrelay.Link) (*bbrrelay.Relay, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	r := &bbrrelay.Relay{Target: to, Link: link}
	go r.Run(listener)
	return r, netip.MustParseAddrPort(listener.Addr().String()), nil
}

// The ports of a process must stay free while it restarts. They are therefore below
// the system's ephemeral ports and different from those of the demo and the scripts,
// and each concurrent soak test has a block of its own.
const (
	firstPort     = 14000
	portsPerBlock = 240
	blockCount    = 16
)

// lastPort is the port that was allocated last.
var lastPort atomic.Int32

// blockListener listens on the first port of the process's block, which keeps other
// soak tests from using the block. It is nil before the first run.
var blockListener net.Listener

// resetPortBlock reserves a block of ports for the process, if it has none, and starts
// allocating at its beginning.
func resetPortBlock() (err error) {
	for i := 0; blockListener == nil && i < blockCount; i++ {
		first := firstPort + (os.Getpid()+i)%blockCount*portsPerBlock
		blockListener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
	}
	if blockListener == nil {
		return err
	}
	lastPort.Store(int32(netip.MustParseAddrPort(blockListener.Addr().String()).Port()))
	return nil
}

func freeAddress() (netip.AddrPort, error) {
	var err error
	for range portsPerBlock {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(lastPort.Add(1)))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address.String()); err == nil {
			return address, listener.Close()
		}
	}
	return netip.AddrPort{}, err
}

// httpServer is an HTTP server that runs until the process ends.
type httpServer struct {
	server   http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) }

func startServer(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &httpServer{server: http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener: listener}
	go s.run()
	return netip.ParseAddrPort(listener.Addr().String())
}

// encodeConfig returns the operators' configuration of a version. Each version has an
// extra queue of its own, by which it is distinguished from the previous one.
func encodeConfig(version int) []byte {
	routes := ""
	for _, pool := range pools {
		routes += route(pool, pool) + ","
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s%s],"services":[{"name":"press","max_conns":64,"rejects_overload":true},{"name":"proofs","max_conns":64,"rejects_overload":true},{"name":%q,"max_conns":64,"rejects_overload":true,"spare":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144},"tenants":%s}`,
		version, routes, route(extraQueue(version), "press"), sparePool, encodeOrganisations(version))
}

func extraQueue(version int) string { return fmt.Sprintf("extra%d", version) }

func route(name, service string) string {
	return fmt.Sprintf(`{"name":"q-%s","host":"print.example","prefix":"/%s/","timeout_ms":3000,"slo_ms":2000,"priority":0,"service":"%s","attempts":3,"stretch":1.6}`, name, name, service)
}

// ready returns the number of entries that report ready.
func (s *Soak) ready() int {
	count := 0
	for _, e := range s.entries {
		if e.ready() {
			count++
		}
	}
	return count
}

func (s *Soak) eventually(timeout time.Duration, condition func() bool) bool {
	const pause = 100 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pause) {
		if condition() {
			return true
		}
	}
	return false
}

// random returns the random source for one part of the run.
func (s *Soak) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, part)) }

// logEvent writes a line with the time since the start.
func (s *Soak) logEvent(start time.Time, format string, args ...any) {
	fmt.Fprintf(s.Out, "%7.2f %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
}

func (s *Soak) stop() {
	for _, e := range s.entries {
		e.kill()
	}
}

func (s *Soak) openLog(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.WorkDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
