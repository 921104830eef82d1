package bbrkv

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

// silentWatchStore is a store whose watches never return events and always last
// for their full time.
type silentWatchStore struct {
	mu    sync.Mutex
	items []Item
}

func (s *silentWatchStore) put(item Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, item)
}

func (s *silentWatchStore) store() *Store {
	return &Store{
		Range: func(context.Context, string, string) (Page, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return Page{Items: slices.Clone(s.items), AsOf: 100}, nil
		},
		Watch: func(ctx context.Context, _ string, _ Revision, wait time.Duration) (Page, error) {
			select {
			case <-time.After(wait):
				return Page{}, nil
			case <-ctx.Done():
				return Page{}, ErrAnswerLost
			}
		},
	}
}

// TestFollowerRereadsAfterSilentWatch checks that, where changes are expected, a
// change that a watch missed is read when that watch ends.
func TestFollowerRereadsAfterSilentWatch(t *testing.T) {
	for _, expectChanges := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			silent := &silentWatchStore{}
			var seen atomic.Int64
			f := &Follower{
				Store: silent.store(), Prefix: "servers/", WatchTimeout: 300 * time.Millisecond,
				ExpectChanges: func() bool { return expectChanges },
				OnSnapshot:    func(items []Item, _ Revision, _ time.Time) { seen.Store(int64(len(items))) },
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { f.Run(ctx) })
			time.Sleep(time.Millisecond)
			silent.put(Item{Key: "servers/new", Revision: 7})
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, expectChanges, seen.Load() == 1)
			cancel()
			wg.Wait()
		})
	}
}

// slowStore is a store whose pages take time, whose responses may be cut, and which
// discards its history early. One key changes with each page.
type slowStore struct {
	scannedStore
	pageTime time.Duration
	// history is how many revisions the store keeps.
	history Revision
	events  []Item
}

func (s *slowStore) store() *Store { return &Store{Scan: s.scanSlowly, Watch: s.watch} }

func (s *slowStore) scanSlowly(ctx context.Context, prefix, after string, each func(Item)) (ScanResult, error) {
	bbrpause.For(ctx, s.pageTime)
	result, err := s.scan(ctx, prefix, after, each)
	s.revision = max(s.revision, result.AsOf)
	s.change()
	return result, err
}

// change removes the first item and adds another one before the others.
func (s *slowStore) change() {
	s.revision++
	removed := s.items[0]
	s.events = append(s.events, Item{Key: removed.Key, Revision: s.revision, Deleted: true})
	s.revision++
	added := Item{Key: fmt.Sprintf("jobs/%06d-new-%d", 0, s.revision), Revision: s.revision}
	s.events = append(s.events, added)
	s.items = slices.Concat(s.items[1:], []Item{added})
	slices.SortFunc(s.items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
}

func (s *slowStore) watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Page, error) {
	if after < s.revision-s.history {
		return Page{}, ErrCompacted
	}
	page := Page{AsOf: s.revision}
	for _, event := range s.events {
		if event.Revision > after {
			page.Items = append(page.Items, event)
		}
	}
	if len(page.Items) == 0 {
		bbrpause.For(ctx, wait)
	}
	return page, nil
}

// TestFollowerReadsLargePrefix guards against a follower that reads a large prefix again from
// its beginning whenever a response is cut, or the history from before it began has been
// discarded at its end.
func TestFollowerReadsLargePrefix(t *testing.T) {
	// Some complete pages and a part of one, and then several responses without an item.
	cuts := slices.Repeat([]int{-1, -1, -1, 7, 0, 0, 0, 0, 0}, 6)
	for _, test := range []struct {
		name    string
		history Revision
		cuts    []int
	}{
		{"short history", 100, nil},
		{"cut responses", 1_000_000, cuts},
		{"cut responses and short history", 100, cuts},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := &slowStore{scannedStore: *newScannedStore(200, 10, test.cuts...), pageTime: 900 * time.Millisecond, history: test.history}
				items := make(map[string]Item)
				reported := make(map[Revision]bool)
				snapshots := 0
				var snapshotAsOf Revision
				f := &Follower{
					Store: slow.store(), Prefix: "jobs/", WatchTimeout: time.Second,
					OnSnapshot: func(all []Item, asOf Revision, _ time.Time) {
						snapshots++
						snapshotAsOf = asOf
						for _, item := range all {
							items[item.Key] = item
						}
					},
					OnChange: func(item Item, _ time.Time) {
						reported[item.Revision] = true
						items[item.Key] = item
						if item.Deleted {
							delete(items, item.Key)
						}
					},
				}
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() { f.Run(ctx) })
				time.Sleep(5 * time.Minute)
				cancel()
				wg.Wait()
				require.Equal(t, 1, snapshots)
				require.Less(t, slow.delivered, 260, "what arrived is not read again")
				want := make(map[string]Item)
				for _, item := range slow.items {
					want[item.Key] = item
				}
				require.Equal(t, want, items)
				for _, event := range slow.events {
					require.True(t, reported[event.Revision] || event.Revision <= snapshotAsOf, "whoever knows more than the snapshot learns of %v", event)
				}
			})
		})
	}
}

// TestFollowerReportsChangesWhileItRereads guards against changes that are reported only
// after all items have been read again.
func TestFollowerReportsChangesWhileItRereads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{scannedStore: *newScannedStore(200, 10), pageTime: 900 * time.Millisecond, history: 1_000_000}
		var changes, snapshots int
		f := &Follower{
			Store: slow.store(), Prefix: "jobs/", ReloadInterval: time.Minute, WatchTimeout: time.Second,
			OnSnapshot: func([]Item, Revision, time.Time) { snapshots++ },
			OnChange:   func(Item, time.Time) { changes++ },
		}
		f.StartAfter(slow.revision, time.Now().Add(-2*time.Minute))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(9 * time.Second)
		synctest.Wait()
		require.Zero(t, snapshots)
		require.GreaterOrEqual(t, changes, 10)
		cancel()
		wg.Wait()
	})
}
