package bbrapi

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// TestExplainNamesTheInstance checks that the command names the instance that the entry would
// choose, or says that the request waits, and takes no slot.
func TestExplainNamesTheInstance(t *testing.T) {
	now, self := time.Now(), netip.MustParseAddrPort("10.0.0.1:7000")
	state := bbrentry.New(bbrentry.Identity{Name: "a1", Zone: "a", Incarnation: "x", Peer: self}, time.Hour, now)
	x := &Executor{State: state, Metrics: bbrmetric.New()}
	require.Equal(t, bbrcode.UnknownQueue, x.Execute(t.Context(), Request{Line: "explain proofs"}).Code)
	require.Equal(t, bbrcode.WrongState, x.Execute(t.Context(), Request{Line: "explain proofs file job.json"}).Code)
	state.OfferRevision(&bbrrevision.Revision{Number: 1, Config: bbrrevision.Config{
		Pools:  map[string]bbrrevision.Pool{"press": {}},
		Queues: map[string]bbrrevision.Queue{"proofs": {Pool: "press"}},
	}}, now)
	row := func() string {
		result := x.Execute(t.Context(), Request{Line: "explain proofs"})
		require.Equal(t, bbrcode.Done, result.Code, result.Text)
		return result.Rows[2][1]
	}
	require.Equal(t, "waits for a slot, 0 of 0 are free, or goes to another entry", row())
	state.OfferView(bbrview.View{Zone: "a",
		Entries:   map[netip.AddrPort]bbrview.Entry{self: {Active: true, Incarnation: "x"}},
		Instances: map[string]bbrview.Instance{"i-1": {ID: "i-1", Rack: "r-1", Pool: "press", Slots: 1, State: bbrview.Serving}},
	}, 1, now)
	for range 2 {
		require.Equal(t, "instance i-1 in rack r-1, or one with an equal load", row())
	}
}
