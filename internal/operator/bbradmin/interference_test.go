package bbradmin

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestShowInterference checks that operators see the stored pairs of all shards, and that a
// damaged record hides no other one.
func TestShowInterference(t *testing.T) {
	record := bbrinterference.Record{At: time.Now(), Pairs: []bbrinterference.StoredPair{
		{Affected: "encode", Neighbour: "render", Effect: 0.6931, Observations: 41.7, FoundAt: time.Now()},
	}}
	x := &Executor{
		Metrics: bbrmetric.New(),
		Store: &bbrkv.Store{Range: func(context.Context, string, string) (bbrkv.Page, error) {
			return bbrkv.Page{Items: []bbrkv.Item{
				{Key: bbrrecord.InterferenceKey(bbrwork.Shard{Service: "press"}), Value: []byte("{")},
				{Key: bbrrecord.InterferenceKey(bbrwork.Shard{Service: "press", Cell: 2}), Value: bbrrecord.Encode(record)},
			}}, nil
		}},
	}
	result := x.Execute(t.Context(), bbrapi.Request{Line: "show interference"})
	require.Len(t, result.Rows, 1)
	require.Equal(t, []string{"encode", "render", "press", "2", "2.00", "41"}, result.Rows[0][:6])
}
