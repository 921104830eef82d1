package bbrkv

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scannedStore is a store with sorted items that reads pages of pageItems items and cuts
// a response after as many items as cuts says, in turn.
type scannedStore struct {
	items     []Item
	pageItems int
	// cuts has the number of items after which a response is cut; negative ones mean
	// that it is complete. Responses after the last are complete.
	cuts     []int
	revision Revision
	// delivered counts the items of all responses.
	delivered, calls int
}

func newScannedStore(count, pageItems int, cuts ...int) *scannedStore {
	s := &scannedStore{pageItems: pageItems, cuts: cuts, revision: Revision(count)}
	for i := range count {
		s.items = append(s.items, Item{Key: fmt.Sprintf("jobs/%06d", i), Revision: Revision(i + 1)})
	}
	return s
}

func (s *scannedStore) store() *Store { return &Store{Scan: s.scan, Range: s.readRange} }

func (s *scannedStore) readRange(_ context.Context, prefix, after string) (Page, error) {
	page := Page{AsOf: s.revision}
	for _, item := range s.items {
		if !strings.HasPrefix(item.Key, prefix) || item.Key <= after {
			continue
		}
		if len(page.Items) == s.pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (s *scannedStore) scan(ctx context.Context, prefix, after string, each func(Item)) (ScanResult, error) {
	s.calls++
	cut := -1
	if len(s.cuts) > 0 {
		cut, s.cuts = s.cuts[0], s.cuts[1:]
	}
	page, _ := s.readRange(ctx, prefix, after)
	asOf := s.revision
	s.revision += 10
	for i, item := range page.Items {
		if i == cut {
			return ScanResult{Bytes: 100 * i}, ErrAnswerLost
		}
		s.delivered++
		each(item)
	}
	if cut >= 0 {
		return ScanResult{Bytes: 100 * len(page.Items)}, ErrAnswerLost
	}
	return ScanResult{More: page.More, AsOf: asOf, Bytes: 100 * len(page.Items)}, nil
}

// TestListingContinuesBehindLastItem guards against a listing that reads again what has
// arrived: a list that takes longer than the store stays up is never read then.
func TestListingContinuesBehindLastItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScannedStore(25, 10, 3, 0, 7, -1)
		var keys []string
		listing := Listing{Store: s.store(), Prefix: "jobs/", OnItem: func(item Item) { keys = append(keys, item.Key) }}
		require.Zero(t, listing.Progress())
		begin := time.Now()
		require.ErrorIs(t, listing.Read(t.Context()), ErrAnswerLost)
		require.Equal(t, ListingProgress{Items: 3, Bytes: 300, LastItem: begin, AsOf: 3}, listing.Progress())
		time.Sleep(time.Second)
		require.ErrorIs(t, listing.Read(t.Context()), ErrAnswerLost)
		require.Equal(t, begin, listing.Progress().LastItem, "nothing arrived")
		require.ErrorIs(t, listing.Read(t.Context()), ErrAnswerLost)
		require.Equal(t, ListingProgress{Items: 10, Bytes: 1000, LastItem: time.Now(), AsOf: 3}, listing.Progress())
		require.NoError(t, listing.Read(t.Context()))
		require.Equal(t, ListingProgress{Items: 25, Pages: 2, Bytes: 2500, LastItem: time.Now(), AsOf: 3, Done: true}, listing.Progress())
		require.Len(t, slices.Compact(keys), 25)
		require.True(t, slices.IsSorted(keys))
		calls := s.calls
		require.NoError(t, listing.Read(t.Context()))
		require.Equal(t, calls, s.calls, "all is read")
	})
}

// TestListingWatchesFromItsBeginning guards against a revision from which a watch misses
// changes of items that a response brought that was cut before its own revision arrived.
func TestListingWatchesFromItsBeginning(t *testing.T) {
	s := newScannedStore(4, 10, 2)
	listing := Listing{Store: s.store(), Prefix: "jobs/", OnItem: func(Item) {}}
	require.Error(t, listing.Read(t.Context()))
	require.NoError(t, listing.Read(t.Context()))
	require.Equal(t, Revision(2), listing.Progress().AsOf, "the store was at 4 or later, and the second call says 14")

	s = newScannedStore(4, 10, 0)
	listing = Listing{Store: s.store(), Prefix: "jobs/", OnItem: func(Item) {}}
	require.Error(t, listing.Read(t.Context()))
	require.NoError(t, listing.Read(t.Context()))
	require.Equal(t, Revision(14), listing.Progress().AsOf, "the first call brought nothing")
}

// TestListingWithoutScanUsesRange guards against stores without Scan that cannot be read.
func TestListingWithoutScanUsesRange(t *testing.T) {
	s := newScannedStore(25, 10)
	items, asOf, err := (&Store{Range: s.readRange}).ReadAll(t.Context(), "jobs/")
	require.NoError(t, err)
	require.Equal(t, s.items, items)
	require.Equal(t, Revision(25), asOf)
	items, _, err = (&Store{Range: s.readRange}).ReadAll(t.Context(), "other/")
	require.NoError(t, err)
	require.Empty(t, items)
}

// TestReadAllEnds checks that all items are read once although responses are cut, as long
// as each brings an item, and that nothing arrives twice.
func TestReadAllEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(rt, "items")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 12), 0, 60).Draw(rt, "cuts")
		s := newScannedStore(count, rapid.IntRange(1, 20).Draw(rt, "pageItems"), cuts...)
		synctest.Test(t, func(*testing.T) {
			items, asOf, err := s.store().ReadAll(context.Background(), "jobs/")
			require.Equal(rt, count, s.delivered)
			if err != nil {
				// Nothing was left to read, and the responses that say so were cut.
				require.ErrorIs(rt, err, ErrAnswerLost)
				return
			}
			require.Equal(rt, s.items, items)
			require.LessOrEqual(rt, asOf, Revision(count))
		})
	})
}

// TestReadAllGivesUpWithoutProgress guards against a caller that waits without end.
func TestReadAllGivesUpWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScannedStore(25, 10, 3, 0, 0, 0)
		_, _, err := s.store().ReadAll(t.Context(), "jobs/")
		require.ErrorIs(t, err, ErrAnswerLost)
		require.Equal(t, 1+maxFruitless, s.calls)
		s = newScannedStore(25, 10, 0)
		_, _, err = s.store().ReadAll(t.Context(), "jobs/")
		require.ErrorIs(t, err, ErrAnswerLost)
		require.Equal(t, 1, s.calls, "there is nothing to lose")
		refused := 0
		store := Store{Scan: func(_ context.Context, _, _ string, each func(Item)) (ScanResult, error) {
			refused++
			each(Item{Key: fmt.Sprint("jobs/", refused)})
			return ScanResult{}, errors.Wrap(ErrRefused, "status 429")
		}}
		_, _, err = store.ReadAll(t.Context(), "jobs/")
		require.ErrorIs(t, err, ErrRefused)
		require.Equal(t, 1, refused, "a store over its rate limit gets no further call")
	})
}
