package bbrserve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestWaitsOfAnEarlierOwnerAreNotUsed guards against jobs that are refused by what an owner
// told that no longer has the shard: its successor begins with an empty memory.
func TestWaitsOfAnEarlierOwnerAreNotUsed(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		shard, now := bbrwork.Shard{Service: "press"}, time.Now()
		directory := &bbrclaim.Directory{}
		owners := &owners{daemon: &daemon{directory: directory, settings: bbrsettings.Settings{Jobs: bbrsettings.Jobs{RefuseBeyondShare: enabled}}}}
		known := func() bool {
			_, known := owners.expectedWait(shard, "press", "proofs", now)
			return known
		}
		claim := bbrkv.Item{Key: bbrclaim.ClaimKey(shard.String()), Value: []byte(`{"entry":"e-1","incarnation":"x"}`), Revision: 5, Created: 5}
		directory.Snapshot([]bbrkv.Item{claim}, 0, now)
		present, owned := directory.Owner(shard.String())
		require.True(t, owned)
		answer := bbrinquiry.HintResponse{Accepted: true, Waits: []bbrfairshare.Wait{{Organisation: "press", Queue: "proofs", Expected: time.Minute}}}
		owners.recordAnswer(bbrowner.NewHint(present, &bbrwork.Job{Service: "press"}, 6), answer, now)
		require.Equal(t, enabled, known())

		claim.Value, claim.Revision, claim.Created = []byte(`{"entry":"e-2","incarnation":"y"}`), 9, 9
		directory.Change(claim, now)
		require.False(t, known())
		claim.Deleted, claim.Revision = true, 11
		directory.Change(claim, now)
		require.False(t, known(), "no owner")
	}
}
