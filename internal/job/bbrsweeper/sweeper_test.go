package bbrsweeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
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
// permitted size, each on the conditions of the claim and of the records as they were read.
func TestSweepRemovesOnlyExpiredRecords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ended := func(id string, age time.Duration) bbrkv.Item {
		record := bbrrecord.Status{State: bbrwork.Completed, At: now.Add(-age)}
		return bbrkv.Item{Key: bbrrecord.StatusKey(id), Value: bbrrecord.Encode(record), Revision: 5}
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
				return bbrkv.Page{Items: []bbrkv.Item{{Key: bbrrecord.CancelKey(press, "new"), Revision: 6}, {Key: bbrrecord.CancelKey(press, "active")}}}, nil
			}
			return bbrkv.Page{Items: items}, nil
		},
		Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			require.LessOrEqual(t, transaction.Size(), bbrkv.MaxTransactionSize)
			conditions := []bbrkv.Condition{claim}
			for _, key := range transaction.Removals {
				conditions = append(conditions, bbrkv.Condition{Key: key, Revision: map[bool]bbrkv.Revision{true: 5, false: 6}[strings.HasPrefix(key, bbrrecord.StatusPrefix)]})
			}
			require.Equal(t, conditions, transaction.Conditions)
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

// TestLateSweepKeepsLaterRecord guards against a removal that is done late, and removes the record of a
// later job with the same ID. The other records are swept.
func TestLateSweepKeepsLaterRecord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := &sizedStore{maxItems: 100, items: make(map[string]bbrkv.Item)}
	for i := range 40 {
		key := bbrrecord.StatusKey(fmt.Sprintf("7%015x", i))
		store.items[key] = bbrkv.Item{Key: key, Value: bbrrecord.Encode(bbrrecord.Status{State: bbrwork.Completed, At: now.Add(-time.Hour)}), Revision: 5}
	}
	later := bbrrecord.StatusKey(fmt.Sprintf("7%015x", 3))
	sweeper := &Sweeper{Retention: time.Minute, Store: &bbrkv.Store{Range: store.readRange, Commit: func(ctx context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
		store.items[later] = bbrkv.Item{Key: later, Value: bbrrecord.Encode(bbrrecord.Status{At: now}), Revision: 9}
		return store.commit(ctx, transaction)
	}}}
	removed, err := sweeper.Sweep(t.Context(), "7", now)
	require.NoError(t, err)
	require.Contains(t, store.items, later)
	require.Equal(t, 40-maxRemovals, removed)
}

// sizedStore is a store of records that loses the answer to each list of more than
// maxItems items, as a call's limit of time does on a slow link.
type sizedStore struct {
	maxItems int
	// away means that the answers to all lists are lost.
	away  bool
	items map[string]bbrkv.Item
	// reads is the number of lists.
	reads int
}

func (s *sizedStore) readRange(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
	s.reads++
	var page bbrkv.Page
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, s.items[key])
		}
	}
	if s.away || len(page.Items) > s.maxItems {
		return bbrkv.Page{}, bbrkv.ErrAnswerLost
	}
	return page, nil
}

func (s *sizedStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	for _, condition := range transaction.Conditions {
		if condition.Key != "" && s.items[condition.Key].Revision != condition.Revision {
			return 0, &bbrkv.Conflict{}
		}
	}
	for _, key := range transaction.Removals {
		delete(s.items, key)
	}
	return 1, nil
}

// TestSweepRemovesRecordsThatAreTooManyForOneRead guards against expired records that are
// kept for ever, since the list of them takes longer than a call may.
func TestSweepRemovesRecordsThatAreTooManyForOneRead(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := &sizedStore{maxItems: 10, items: make(map[string]bbrkv.Item)}
	for i := range 2000 {
		key := bbrrecord.StatusKey(fmt.Sprintf("7%015x", uint64(i)*0x9e3779b97f4a7c15>>4))
		store.items[key] = bbrkv.Item{Key: key, Value: bbrrecord.Encode(bbrrecord.Status{State: bbrwork.Completed, At: now.Add(-time.Hour)})}
	}
	sweeper := &Sweeper{Retention: time.Minute, Store: &bbrkv.Store{Range: store.readRange, Commit: store.commit}}
	count := len(store.items)
	removed, err := sweeper.Sweep(t.Context(), "7", now)
	require.NoError(t, err)
	require.Equal(t, count, removed)
	require.Empty(t, store.items)
}

// TestSweepGivesUpOnStoreThatIsAway guards against a sweep that calls a store that does
// not answer once for each narrower list.
func TestSweepGivesUpOnStoreThatIsAway(t *testing.T) {
	store := &sizedStore{away: true}
	sweeper := &Sweeper{Store: &bbrkv.Store{Range: store.readRange, Commit: store.commit}}
	_, err := sweeper.Sweep(t.Context(), "7", time.Unix(1_000_000, 0))
	require.ErrorIs(t, err, bbrkv.ErrAnswerLost)
	require.LessOrEqual(t, store.reads, maxPrefixLength)
}
