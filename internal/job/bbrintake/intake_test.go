package bbrintake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestStateFromOwnerOrStore checks that an owner's answer saves reads of the store,
// and that a job is unknown only if the store does not have it.
func TestStateFromOwnerOrStore(t *testing.T) {
	ended := map[string][]byte{bbrrecord.StatusKey("stored"): bbrrecord.Encode(bbrrecord.Status{State: bbrwork.Failed})}
	tests := []struct {
		name  string
		job   string
		known bool
		want  bbrwork.State
		code  bbrcode.Code
		reads int
	}{
		{name: "the owner knows", job: "owned", known: true, want: bbrwork.Running, code: bbrcode.StateReported},
		{name: "only the store knows", job: "stored", want: bbrwork.Failed, code: bbrcode.StateReported, reads: 1},
		{name: "neither knows", job: "other", code: bbrcode.UnknownJob, reads: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reads := 0
			intake := &Intake{
				Cells:  func() *bbrcell.Cells { return nil },
				Config: func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
				Store: &bbrkv.Store{Get: func(_ context.Context, key string) (bbrkv.Item, error) {
					reads++
					value, ok := ended[key]
					if !ok {
						return bbrkv.Item{}, bbrkv.ErrNotFound
					}
					return bbrkv.Item{Key: key, Value: value}, nil
				}},
				QueryOwner: func(_ context.Context, shard bbrwork.Shard, id string, _ time.Time) (bbrwork.State, bool) {
					require.Equal(t, bbrwork.Shard{Service: "press"}, shard)
					return bbrwork.Running, test.known
				},
			}
			state, code := intake.State(t.Context(), &bbrwork.Queue{Service: "press"}, test.job, "", time.Now())
			require.Equal(t, test.code, code)
			require.Equal(t, test.want, state)
			require.Equal(t, test.reads, reads)
		})
	}
}

// TestStateIsQueriedAtShardOfJob checks that an entry that does not know the shard of
// a job reads it only once, and never queries the owner of another shard.
func TestStateIsQueriedAtShardOfJob(t *testing.T) {
	reads := 0
	cells := &bbrcell.Cells{Sizes: []int{64, 64}}
	intake := &Intake{
		Cells:  func() *bbrcell.Cells { return cells },
		Config: func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
		Store: &bbrkv.Store{Get: func(_ context.Context, key string) (bbrkv.Item, error) {
			reads++
			require.Equal(t, bbrrecord.StatusKey("a"), key)
			return bbrkv.Item{Key: key, Value: bbrrecord.Encode(bbrrecord.Status{Service: "press", Cell: 1})}, nil
		}},
		QueryOwner: func(_ context.Context, shard bbrwork.Shard, _ string, _ time.Time) (bbrwork.State, bool) {
			require.Equal(t, bbrwork.Shard{Service: "press", Cell: 1}, shard)
			return bbrwork.Running, true
		},
	}
	for range 3 {
		state, code := intake.State(t.Context(), &bbrwork.Queue{Service: "press"}, "a", "", time.Now())
		require.Equal(t, bbrcode.StateReported, code)
		require.Equal(t, bbrwork.Running, state)
	}
	require.Equal(t, 1, reads)
}
