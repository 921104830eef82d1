package bbrgateway

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

// TestWaitingRequestGetsInstanceAfterEjection checks that a waiting request is
// granted a slot of an ejected instance once the ejection ends. No other request
// releases a slot meanwhile, so nothing but the periodic check can grant it.
func TestWaitingRequestGetsInstanceAfterEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := netip.MustParseAddrPort("10.0.0.1:7000")
		view := &bbrview.View{
			Entries:   map[netip.AddrPort]bbrview.Entry{self: {Active: true, Incarnation: "x"}},
			Instances: make(map[string]bbrview.Instance),
		}
		for _, id := range []string{"i-1", "i-2"} {
			view.Instances[id] = bbrview.Instance{ID: id, Pool: "press", Slots: 1, State: bbrview.Serving}
		}
		revision := &bbrrevision.Revision{Number: 1, Config: bbrrevision.Config{
			Pools:  map[string]bbrrevision.Pool{"press": {}},
			Queues: map[string]bbrrevision.Queue{"proofs": {Pool: "press", Bound: 10}},
		}}
		queue := new(bbrroute.Registry).Build(view, 1, revision, self).Queues["proofs"]
		now := time.Now()
		for range 3 {
			queue.Pool.Targets[0].Health.RecordFailure(now)
		}
		require.NotNil(t, queue.Pool.Acquire(bbrroute.Criteria{}, now), "another request occupies the instance that is not ejected")
		require.Nil(t, queue.Pool.Acquire(bbrroute.Criteria{}, now))
		target, refusal := new(Gateway).waitForSlot(t.Context(), &bbrjob.Job{Queue: "proofs"}, queue, Source{}, now.Add(20*time.Second), now)
		require.Nil(t, refusal, "refused after %v", time.Since(now))
		require.Equal(t, "i-1", target.ID)
		require.Less(t, time.Since(now), 3*time.Second)
	})
}
