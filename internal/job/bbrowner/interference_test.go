package bbrowner

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestInterferenceRecordFitsIntoTransaction guards against transactions that the store
// rejects as too large because they have the record of interfering images as well.
func TestInterferenceRecordFitsIntoTransaction(t *testing.T) {
	var committed bbrkv.Transaction
	commit := func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		committed = transaction
		return 1, nil
	}
	shard := bbrwork.Shard{Service: "press"}
	o := &Owner{Shard: shard, Store: &bbrkv.Store{Commit: commit}, Metrics: bbrmetric.New()}
	f := &flusher{owner: o}
	batch := bbrscheduler.Batch{Recorded: []bbrwork.Upstream{}, Interference: &bbrinterference.Record{}}
	for range bbrkv.MaxTransactionSize {
		batch.Writes = append(batch.Writes, bbrscheduler.Write{Job: &bbrwork.Job{ID: "00000000000000a1", Service: "press"}})
	}
	fitting, complete := fitTransaction(batch, false)
	require.False(t, complete)
	require.NoError(t, f.commit(t.Context(), fitting, report{}, true, time.Now()))
	require.Equal(t, bbrkv.MaxTransactionSize, committed.Size())
	require.Contains(t, committed.Puts, bbrkv.Put{Key: bbrrecord.InterferenceKey(shard), Value: bbrrecord.Encode(batch.Interference)})
}

// TestInterferenceRecordDelaysNoTakeover checks that an owner begins without a record that
// does not exist or cannot be read, and does not read it without the setting.
func TestInterferenceRecordDelaysNoTakeover(t *testing.T) {
	stored := []byte(`{"pairs":[]}`)
	tests := []struct {
		name string
		item bbrkv.Item
		err  error
		off  bool
		want []byte
	}{
		{name: "stored", item: bbrkv.Item{Value: stored}, want: stored},
		{name: "none", err: bbrkv.ErrNotFound},
		{name: "store away", err: errors.New("connection reset")},
		{name: "off", off: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reads, shard := 0, bbrwork.Shard{Service: "press"}
			get := func(_ context.Context, key string) (bbrkv.Item, error) {
				require.Equal(t, bbrrecord.InterferenceKey(shard), key)
				reads++
				return test.item, test.err
			}
			o := &Owner{Shard: shard, Store: &bbrkv.Store{Get: get}, Metrics: bbrmetric.New(), SeparateInterfering: !test.off}
			require.Equal(t, test.want, o.loadInterference(t.Context()))
			require.Equal(t, test.off, reads == 0)
		})
	}
}

// TestSeparationMetrics checks that the metrics exist only with the setting.
func TestSeparationMetrics(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := &Owner{Shard: bbrwork.Shard{Service: "press"}, Metrics: bbrmetric.New(), SeparateInterfering: on}
		o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, true, time.Now())
		o.updateSeparationMetrics()
		require.Equal(t, on, len(valuesByReason(t, o.Metrics, "bbr_interfering_pairs")) == 1)
	}
}
