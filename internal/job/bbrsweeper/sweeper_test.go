package bbrsweeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestSweepRemovesOnlyExpiredRecords checks that a sweep keeps the records of jobs that
// have not ended or are within the retention period and its margin, is not stopped by
// a record that cannot be decoded, and removes the rest in transactions of the
// permitted size, each on the condition of the claim.
func TestSweepRemovesOnlyExpiredRecords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ended := func(id string, age time.Duration) bbrkv.Item {
		record := bbrrecord.Status{State: bbrwork.Completed, At: now.Add(-age)}
		return bbrkv.Item{Key: bbrrecord.StatusKey(id), Value: bbrrecord.Encode(record)}
	}
	items := []bbrkv.Item{ended("new", time.Minute), ended("kept", 2*time.Minute+retentionMargin), {Key: bbrrecord.StatusKey("odd"), Value: []byte("{")},
		{Key: bbrrecord.StatusKey("active"), Value: bbrrecord.Encode(bbrrecord.Status{At: now.Add(-time.Hour)})}}
	for i := range 40 {
		items = append(items, ended(fmt.Sprintf("old%02d", i), 2*time.Minute+retentionMargin+time.Second))
	}
	press := bbrwork.Shard{Service: "press"}
	var removed []string
	claim := bbrkv.Condition{Key: "claim", Revision: 7}
	sweeper := &Sweeper{Retention: 2 * time.Minute, Condition: claim, Store: &bbrkv.Store{
		Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
			if prefix == bbrrecord.CancelPrefix {
				return bbrkv.Page{Items: []bbrkv.Item{{Key: bbrrecord.CancelKey(press, "new")}, {Key: bbrrecord.CancelKey(press, "active")}}}, nil
			}
			return bbrkv.Page{Items: items}, nil
		},
		Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			require.LessOrEqual(t, transaction.Size(), bbrkv.MaxTransactionSize)
			require.Equal(t, []bbrkv.Condition{claim}, transaction.Conditions)
			removed = append(removed, transaction.Removals...)
			return 1, nil
		},
	}}
	count, err := sweeper.Sweep(t.Context(), "", now)
	require.NoError(t, err)
	require.Equal(t, 41, count)
	for i, key := range removed[:40] {
		require.Equal(t, bbrrecord.StatusKey(fmt.Sprintf("old%02d", i)), key)
	}
	require.Equal(t, bbrrecord.CancelKey(press, "new"), removed[40], "the cancellation request for a job that has ended must be removed")
}
