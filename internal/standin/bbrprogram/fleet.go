package bbrprogram

import (
	"context"
	"net/netip"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

type fleetCommand struct {
	Listen  netip.AddrPort   `help:"Address of the store and the machines." required:""`
	Workers []netip.AddrPort `help:"Addresses of the upstreams." required:""`
	Pools   []string         `help:"Pools, to which the upstreams are dealt in turn." required:""`
}

// Run serves the stand-in fleet until the process is told to stop.
func (c *fleetCommand) Run() error {
	fleet := bbrfleet.New(context.Background(), bbrfleet.Config{Workers: c.Workers, Pools: c.Pools})
	return serve(c.Listen, fleet.Handler())
}
