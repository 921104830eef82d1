package bbrprogram

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrcaller"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrplatform"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrupstream"
)

// arguments is the command line.
type arguments struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform."`
	Upstream upstreamCommand `cmd:"" help:"Run stand-ins for upstreams."`
	Relay    relayCommand    `cmd:"" help:"Run a stand-in for the network before one address."`
	Caller   callerCommand   `cmd:"" help:"Send a bounded load and check every answer."`
	Fleet    fleetCommand    `cmd:"" help:"Run a stand-in for the platform's fleet: store, machines and upstreams."`
	Jobs     jobsCommand     `cmd:"" help:"Submit a bounded load of jobs and wait for their ends."`
	Load     loadCommand     `cmd:"" help:"Submit a seeded load with turns of demand and report what callers got."`
	Compare  compareCommand  `cmd:"" help:"Compare reports of load."`
	Pairs    pairsCommand    `cmd:"" help:"Compare two builds by pairs of plays from the journal of the bench."`
	Soak     soakCommand     `cmd:"" help:"Run entries as processes under seeded trouble and check the promises."`
}

type platformCommand struct {
	Listen     netip.AddrPort `help:"Address." required:""`
	Lag        time.Duration  `help:"How far the list of instances is behind." default:"500ms"`
	RebootTime time.Duration  `help:"How long a reboot takes." default:"1s"`
}

type upstreamCommand struct {
	Listen []netip.AddrPort `help:"Addresses, one upstream each." required:""`
}

type relayCommand struct {
	Listen  netip.AddrPort `help:"Address." required:""`
	To      netip.AddrPort `help:"Where connections go." required:""`
	Control netip.AddrPort `help:"Address of the switches." required:""`
}

type callerCommand struct {
	Entry       []netip.AddrPort `help:"Callers' addresses of entries." required:""`
	Queue       []string         `help:"Queues." required:""`
	Requests    int              `help:"How many requests." default:"100"`
	Concurrency int              `help:"How many at once." default:"8"`
	Work        time.Duration    `help:"How long an upstream works on each." default:"5ms"`
	Pause       time.Duration    `help:"Pause after each answer." default:"0s"`
	Submissions float64          `help:"Share of submissions, 0 to 1." default:"0.3"`
	Timeout     time.Duration    `help:"How long to wait for an answer." default:"30s"`
	JSON        bool             `help:"Print all counts as JSON."`
}

// output is where commands print their results.
type output struct{ out io.Writer }

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	var parsed arguments
	exited := -1
	parser, err := kong.New(&parsed, kong.Name("bbrstandin"), kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }), kong.Vars{"tempDir": os.TempDir()})
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err == nil {
		err = command.Run(output{out: out})
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

// httpServer is an HTTP server that closes when the process is told to stop.
type httpServer struct{ server http.Server }

func (s *httpServer) run(ctx context.Context) {
	<-ctx.Done()
	_ = s.server.Close()
}

// serve serves HTTP until the process receives SIGTERM or SIGINT.
func serve(address netip.AddrPort, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &httpServer{server: http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: time.Minute}}
	go s.run(ctx)
	if err := s.server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Run serves the stand-in platform until the process is told to stop.
func (c *platformCommand) Run() error {
	server := &bbrplatform.Server{}
	server.Fleet.Lag = c.Lag
	server.Fleet.RebootTime = c.RebootTime
	server.Fleet.OnReboot = func(instance bbrlist.Instance) {
		r := &upstreamRestart{address: instance.Address}
		go r.run()
	}
	return serve(c.Listen, server.Handler())
}

// upstreamRestart restarts a stand-in upstream whose instance reboots.
type upstreamRestart struct{ address netip.AddrPort }

func (r *upstreamRestart) run() {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+r.address.String()+"/restart", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// Run serves the stand-in upstreams until the process is told to stop.
func (c *upstreamCommand) Run() error {
	last := len(c.Listen) - 1
	for _, address := range c.Listen[:last] {
		u := &upstreamServer{address: address}
		go u.run()
	}
	return serve(c.Listen[last], (&bbrupstream.Server{Name: c.Listen[last].String()}).Handler())
}

// upstreamServer serves one stand-in upstream.
type upstreamServer struct{ address netip.AddrPort }

func (u *upstreamServer) run() {
	_ = serve(u.address, (&bbrupstream.Server{Name: u.address.String()}).Handler())
}

// Run forwards connections until the process is told to stop.
func (c *relayCommand) Run() error {
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return err
	}
	r := &relayServer{relay: bbrrelay.Relay{Target: c.To}, listener: listener}
	go r.run()
	return serve(c.Control, r.relay.Handler())
}

// relayServer runs a relay on its listener.
type relayServer struct {
	relay    bbrrelay.Relay
	listener net.Listener
}

func (r *relayServer) run() { r.relay.Run(r.listener) }

var errBadAnswers = errors.New("some responses were partial, of another request or missing")

// Run sends the requests and prints the counts. It fails unless every request was
// refused or got a complete response of its own.
func (c *callerCommand) Run(o output) error {
	load := bbrcaller.Load{
		Entries: c.Entry, Queues: c.Queue, Requests: c.Requests, Concurrency: c.Concurrency,
		Work: c.Work, Pause: c.Pause, SubmissionShare: c.Submissions, Timeout: c.Timeout,
	}
	counts := load.Run(context.Background())
	if c.JSON {
		_ = json.NewEncoder(o.out).Encode(counts)
	} else {
		fmt.Fprintln(o.out, counts)
	}
	if !counts.AllAnswered() {
		return errBadAnswers
	}
	return nil
}
