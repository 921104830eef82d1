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

// Soak is one run.
type Soak struct {
	// Seed decides the trouble and the jobs.
	Seed uint64
	// Duration is how long there is trouble.
	Duration time.Duration
	// DaemonPath is the program of the entries.
	DaemonPath    string
	EntryCount    int
	UpstreamCount int
	// CheckDelays means that work which waits too long counts as a fault, too. It is a verdict
	// on speed, for a machine that is not busy.
	CheckDelays bool
	// WorkDir takes the entries' settings and logs.
	WorkDir string
	Out     io.Writer

	fleet   *bbrfleet.Fleet
	entries []*entry
	// workers are the relays before the upstreams.
	workers []*bbrrelay.Relay
	callers *callers
	wg      sync.WaitGroup
}

// pools are the pools with queues; sparePool has the instances that are off.
var pools = []string{"press", "proofs"}

const sparePool = "attic"

const (
	// contactFor is how long the weather must have been calm before waiting work is
	// watched, and calmFor how long callers submit then.
	contactFor = 4 * time.Second
	calmFor    = 12 * time.Second
	// settleFor bounds how long the jobs may take to end in calm weather. It is no
	// verdict on speed.
	settleFor = 90 * time.Second
	readyFor  = 30 * time.Second
)

// Run soaks and returns what broke a promise.
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
	if !s.eventually(readyFor, func() bool { return s.ready() == len(s.entries) }) {
		return []string{"the entries did not get ready"}, nil
	}
	calling, endCalls := context.WithCancel(ctx)
	s.wg.Go(func() { s.callers.run(calling) })
	s.trouble(ctx)
	s.calm()
	s.checkWaves()
	watching, endWatch := context.WithCancel(ctx)
	w := newWatch(s)
	time.Sleep(contactFor)
	var watched sync.WaitGroup
	if s.CheckDelays {
		watched.Go(func() { w.run(watching) })
	}
	time.Sleep(calmFor)
	endCalls()
	s.wg.Wait()
	s.settle()
	endWatch()
	watched.Wait()
	return s.verdict(), nil
}

// build makes the fleet, the relays and the entries' settings.
func (s *Soak) build(ctx context.Context) error {
	if err := usePortBlock(); err != nil {
		return err
	}
	setup := bbrfleet.Setup{Pools: append(slices.Clone(pools), sparePool)}
	for range s.UpstreamCount {
		worker, err := freeAddress()
		if err != nil {
			return err
		}
		relay, address, err := relayTo(worker)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, relay)
		setup.Workers = append(setup.Workers, worker)
		setup.Shown = append(setup.Shown, address)
	}
	s.fleet = bbrfleet.New(ctx, setup)
	store, err := serve(s.fleet.Handler())
	if err != nil {
		return err
	}
	s.fleet.Put("op/config", config(1))
	for i := range s.EntryCount {
		e, err := newEntry(s, fmt.Sprintf("e%d", i+1), store)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	s.callers = newCallers(s)
	return nil
}

// relayTo returns a relay before an address, and where it listens.
func relayTo(to netip.AddrPort) (*bbrrelay.Relay, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	r := &bbrrelay.Relay{To: to}
	go r.Run(listener)
	return r, netip.MustParseAddrPort(listener.Addr().String()), nil
}

// Ports of processes that are started again must stay free meanwhile. They are
// below those that the system gives to connections and apart from those of the
// demo and the scripts, and each soak has a block of its own.
const (
	firstPort  = 14000
	portBlock  = 240
	portBlocks = 16
)

// nextPort is after the port that was given last.
var nextPort atomic.Int32

// blockHolder listens on the first port of the process's block, which keeps other
// soaks out of it; nil before the first run.
var blockHolder net.Listener

// usePortBlock begins at the process's block again.
func usePortBlock() (err error) {
	for i := 0; blockHolder == nil && i < portBlocks; i++ {
		first := firstPort + (os.Getpid()+i)%portBlocks*portBlock
		blockHolder, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
	}
	if blockHolder == nil {
		return err
	}
	nextPort.Store(int32(netip.MustParseAddrPort(blockHolder.Addr().String()).Port()))
	return nil
}

func freeAddress() (netip.AddrPort, error) {
	var err error
	for range portBlock {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(nextPort.Add(1)))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address.String()); err == nil {
			return address, listener.Close()
		}
	}
	return netip.AddrPort{}, err
}

// served is an HTTP server for the process's life.
type served struct {
	server   http.Server
	listener net.Listener
}

func (s *served) run() { _ = s.server.Serve(s.listener) }

func serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &served{server: http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener: listener}
	go s.run()
	return netip.ParseAddrPort(listener.Addr().String())
}

// config is the operators' configuration of a version. Each version has one
// queue more, so that it can be told from the one before.
func config(version int) []byte {
	routes := ""
	for _, pool := range pools {
		routes += route(pool, pool) + ","
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s%s],"services":[{"name":"press","max_conns":64,"rejects_overload":true},{"name":"proofs","max_conns":64,"rejects_overload":true},{"name":%q,"max_conns":64,"rejects_overload":true,"spare":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`,
		version, routes, route(extraQueue(version), "press"), sparePool)
}

func extraQueue(version int) string { return fmt.Sprintf("extra%d", version) }

func route(name, service string) string {
	return fmt.Sprintf(`{"name":"q-%s","host":"print.example","prefix":"/%s/","timeout_ms":3000,"slo_ms":2000,"priority":0,"service":"%s","attempts":3,"stretch":1.6}`, name, name, service)
}

// ready counts the entries that say they are ready.
func (s *Soak) ready() int {
	count := 0
	for _, e := range s.entries {
		if e.ready() {
			count++
		}
	}
	return count
}

func (s *Soak) eventually(within time.Duration, holds func() bool) bool {
	const pause = 100 * time.Millisecond
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(pause) {
		if holds() {
			return true
		}
	}
	return false
}

// random returns the source of one part of the run.
func (s *Soak) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, part)) }

// say writes a line with the time since the beginning.
func (s *Soak) say(began time.Time, format string, args ...any) {
	fmt.Fprintf(s.Out, "%7.2f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *Soak) stop() {
	for _, e := range s.entries {
		e.kill()
	}
}

func (s *Soak) log(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.WorkDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
