package bbrowner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestOfferAge guards against jobs that are sent by the offer of an owner that is gone, also
// while the clocks of entries differ.
func TestOfferAge(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, skew := range []time.Duration{0, time.Minute, -time.Minute} {
		var ages offerAges
		at := now.Add(skew)
		require.Equal(t, skew == 0, ages.fresh(1, 5, at, now), "with another clock, the age of the first one is not known")
		require.Equal(t, skew == 0, ages.fresh(1, 5, at, now.Add(offerTTL/2)))
		require.True(t, ages.fresh(1, 6, at.Add(offerTTL/2), now.Add(offerTTL/2)), "it has changed")
		require.True(t, ages.fresh(1, 6, at.Add(offerTTL/2), now.Add(offerTTL)))
		require.False(t, ages.fresh(1, 6, at.Add(offerTTL/2), now.Add(2*offerTTL)))
	}
}

// TestOffersOfOtherShards guards against jobs that are sent to an owner of an earlier build,
// which would not read their progress, and to a shard of another service.
func TestOffersOfOtherShards(t *testing.T) {
	now := time.Unix(1000, 0)
	item := func(service string, cell int, offer *bbrtransfer.Offer) bbrkv.Item {
		return bbrkv.Item{Key: bbrrecord.ReportKey(bbrwork.Shard{Service: service, Cell: cell}), Value: bbrrecord.Encode(bbrrecord.Report{At: now, Offer: offer}), Revision: 7}
	}
	offer := &bbrtransfer.Offer{Token: 3, Groups: []bbrtransfer.Group{{Count: 2, Free: bbrwork.Resources{MilliCPU: 1000}}}}
	damaged := item("press", 4, offer)
	damaged.Value = damaged.Value[:10]
	var ages offerAges
	cells := ages.parse(bbrwork.Shard{Service: "press"}, []bbrkv.Item{item("press", 0, offer), item("press", 1, offer), item("press", 2, nil), item("print", 3, offer), damaged}, now)
	require.Equal(t, []bbrtransfer.Cell{{Cell: 1, Offer: *offer, Revision: 7}}, cells)
}

// TestOfferLeavesRoomForOwnWork guards against shards that offer what their own waiting work
// takes a moment later, and that offer anything before their upstreams have answered.
func TestOfferLeavesRoomForOwnWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newCellsModel(1, 2, 1)
		o := m.owners[0]
		require.Empty(t, o.offer(time.Now()).Groups)
		m.run(2 * time.Second)
		free := func() int {
			count := 0
			for _, g := range o.offer(time.Now()).Groups {
				count += g.Count * g.Free.MilliCPU / cellsUnitCores
			}
			return count
		}
		require.Equal(t, 4, free())
		m.accept(0, cellsFinite(3, time.Minute))
		o.jobsSnapshot(m.list(bbrrecord.JobPrefixOf(o.Shard)), 0, time.Now())
		require.Equal(t, 1, free())
		o.Confirmed = func(time.Time) bool { return false }
		require.Nil(t, o.offer(time.Now()))
	})
}
