package bbrprogram

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrsubmitter"
)

type fleetCommand struct {
	Listen  netip.AddrPort   `help:"Address of the store and the machines." required:""`
	Workers []netip.AddrPort `help:"Addresses of the upstreams." required:""`
	Pools   []string         `help:"Pools, to which the upstreams are dealt in turn." required:""`
}

type jobsCommand struct {
	Entry   []netip.AddrPort `help:"Callers' addresses of entries." required:""`
	Host    string           `help:"Host of the queue." required:""`
	Prefix  string           `help:"Path before a job's ID." required:""`
	Jobs    int              `help:"How many jobs." default:"20"`
	Pause   time.Duration    `help:"Time between two submissions." default:"50ms"`
	Units   int              `help:"Work units in each of a job's two steps." default:"3"`
	Work    time.Duration    `help:"How long a work unit takes." default:"200ms"`
	Timeout time.Duration    `help:"How long to wait for a job's end." default:"60s"`
	Seed    uint64           `help:"Seed of the jobs' IDs and of the entries asked." default:"1"`
}

// Run implements the command.
func (c *fleetCommand) Run() error {
	fleet := bbrfleet.New(context.Background(), bbrfleet.Setup{Workers: c.Workers, Pools: c.Pools})
	return serve(c.Listen, fleet.Handler())
}

var errUnfinished = errors.New("some jobs were not completed")

// Run implements the command.
func (c *jobsCommand) Run(o output) error {
	load := bbrsubmitter.Load{
		Entries: c.Entry, Host: c.Host, Prefix: c.Prefix, Jobs: c.Jobs, Pause: c.Pause,
		Units: c.Units, Work: c.Work, Timeout: c.Timeout, Seed: c.Seed,
	}
	counts := load.Run(context.Background())
	if err := json.NewEncoder(o.out).Encode(counts); err != nil {
		return err
	}
	if !counts.Good() {
		return errUnfinished
	}
	return nil
}
