package bbrserve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrfollow"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestShardOfAServiceWithoutQueuesIsTakenOver guards against orphaned jobs of a
// service to which no queue is routed any more: an entry that started after the
// change claims the service's shard when its owner is gone, and reports that the
// service has an owner.
func TestShardOfAServiceWithoutQueuesIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := bbrwork.NewConfig(2, nil, []*bbrwork.Service{{Name: "press"}}, bbrwork.Limits{})
		follower := &bbrfollow.Follower{
			Store: &bbrkv.Store{
				Get: func(context.Context, string) (bbrkv.Item, error) {
					return bbrkv.Item{Key: "config", Revision: 1}, nil
				},
				Range: func(context.Context, string, string) (bbrkv.Page, error) { return bbrkv.Page{}, bbrkv.ErrRefused },
			},
			Key: "config", Decode: func([]byte) (*bbrwork.Config, error) { return config, nil }, MaxApplyDelay: time.Second,
		}
		followCtx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		follower.Run(followCtx)
		directory := &bbrclaim.Directory{}
		owners := &owners{daemon: &daemon{config: follower, directory: directory}, services: make(map[string]bool)}
		shard := bbrwork.Shard{Service: "press"}.String()
		claim := bbrkv.Item{Key: bbrclaim.ClaimKey(shard), Value: []byte(`{"entry":"e-1","incarnation":"x"}`), Revision: 5, Created: 5}
		directory.Snapshot([]bbrkv.Item{claim}, 0, time.Now())
		require.Contains(t, owners.claimNames(), bbrclaim.LeadershipName)
		claim.Deleted, claim.Revision = true, 9
		directory.Change(claim, time.Now())
		require.Contains(t, owners.claimNames(), shard)
		require.True(t, owners.hasOwner("press"))
	})
}
