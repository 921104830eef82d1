package bbrintake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// longList is a store with a long list of jobs. A page takes pageTime, and longer while other
// pages are read.
type longList struct {
	pages    int
	pageTime time.Duration

	mu sync.Mutex
	// reading and most count the pages that are read at a time, and total all pages.
	reading, most, total int
}

func (l *longList) readRange(ctx context.Context, prefix, after string) (bbrkv.Page, error) {
	if !strings.HasPrefix(prefix, bbrrecord.JobPrefix) {
		return bbrkv.Page{}, nil
	}
	l.mu.Lock()
	l.reading++
	l.total++
	l.most = max(l.most, l.reading)
	wait := time.Duration(l.reading) * l.pageTime
	l.mu.Unlock()
	defer l.end()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return bbrkv.Page{}, bbrkv.ErrAnswerLost
	}
	number := 0
	if after != "" {
		_, err := fmt.Sscanf(bbrrecord.JobID(after), "%d", &number)
		if err != nil {
			return bbrkv.Page{}, err
		}
	}
	item := bbrkv.Item{Key: fmt.Sprintf("%s%06d", prefix, number+1), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "q"})}
	return bbrkv.Page{Items: []bbrkv.Item{item}, More: number+1 < l.pages}, nil
}

func (l *longList) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading--
}

// TestWaitingOfALargeBacklogIsAnswered guards against queries that each read the whole list
// of a shard: if that takes longer than a query lasts, none is answered, and the lists fill
// the entry's link.
func TestWaitingOfALargeBacklogIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &longList{pages: 20, pageTime: 200 * time.Millisecond}
		intake := &Intake{
			Cells:      func() *bbrcell.Cells { return nil },
			Store:      &bbrkv.Store{Range: list.readRange},
			OwnerToken: func(bbrwork.Shard) (bbrkv.Revision, bool) { return 0, false },
		}
		var answered, refused int
		var mu sync.Mutex
		var wg sync.WaitGroup
		const seconds = 20
		for range 10 * seconds {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				waiting, code := intake.Waiting(ctx, &bbrwork.Queue{Name: "q", Service: "press"})
				mu.Lock()
				defer mu.Unlock()
				if code != bbrcode.StateReported {
					refused++
					return
				}
				require.Equal(t, 20, waiting)
				answered++
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		require.Equal(t, 1, list.most, "lists of one shard that are read at a time")
		require.LessOrEqual(t, list.total, 2*list.pages, "pages read in 20 s")
		require.GreaterOrEqual(t, answered, 10*10, "refused: %d", refused)
		time.Sleep(storedCountTimeout)
	})
}

// TestFailedCountIsNotReused guards against queries that fail for long after a call to the
// store has failed.
func TestFailedCountIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, failing := &longList{pages: 1, pageTime: time.Second}, true
		store := &bbrkv.Store{Range: func(ctx context.Context, prefix, after string) (bbrkv.Page, error) {
			if failing {
				return bbrkv.Page{}, bbrkv.ErrRefused
			}
			return list.readRange(ctx, prefix, after)
		}}
		intake, shard := &Intake{Store: store}, bbrwork.Shard{Service: "press"}
		counts := &intake.counts
		_, err := counts.current(t.Context(), intake, shard, 0, time.Now()).get(t.Context())
		require.ErrorIs(t, err, bbrkv.ErrRefused)
		failing = false
		waiting, err := counts.current(t.Context(), intake, shard, 0, time.Now()).get(t.Context())
		require.NoError(t, err)
		require.Equal(t, map[string]int{"q": 1}, waiting)
		_, err = counts.current(t.Context(), intake, shard, 0, time.Now()).get(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, list.total, "a recent count is reused")
		time.Sleep(storedCountReuse * time.Second)
		_, err = counts.current(t.Context(), intake, shard, 0, time.Now()).get(t.Context())
		require.NoError(t, err)
		require.Equal(t, 2, list.total, "an old one is not")
	})
}

// TestLongListIsNotReadWhileAnOwnerLoadsIt guards against all entries that read the long list of
// a shard for their callers while its next owner reads it, however long that takes, and against
// queries that wait when it is known that there is no answer.
func TestLongListIsNotReadWhileAnOwnerLoadsIt(t *testing.T) {
	for _, test := range []struct {
		name string
		// reportsAfter is when the next owner reports; 0 for never.
		reportsAfter time.Duration
		code         bbrcode.Code
		want         int
	}{
		{name: "the owner reports", reportsAfter: 3 * time.Second, code: bbrcode.StateReported, want: 70},
		{name: "the owner does not report", code: bbrcode.StoreUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shard := bbrwork.Shard{Service: "press"}
				list := &longList{pages: 20, pageTime: 50 * time.Millisecond}
				begin := time.Now()
				report := func() bbrkv.Item {
					item := bbrkv.Item{Key: bbrrecord.ReportKey(shard), Revision: 20, Value: bbrrecord.Encode(bbrrecord.Report{Waiting: map[string]int{"q": maxQuickCount + 1}})}
					if test.reportsAfter > 0 && time.Since(begin) >= test.reportsAfter {
						item.Revision, item.Value = 40, bbrrecord.Encode(bbrrecord.Report{Waiting: map[string]int{"q": 70}})
					}
					return item
				}
				intake := &Intake{
					Cells: func() *bbrcell.Cells { return nil },
					Store: &bbrkv.Store{
						Get: func(context.Context, string) (bbrkv.Item, error) { return report(), nil },
						Range: func(ctx context.Context, prefix, after string) (bbrkv.Page, error) {
							if strings.HasPrefix(prefix, bbrrecord.ReportPrefix) {
								return bbrkv.Page{Items: []bbrkv.Item{report()}}, nil
							}
							return list.readRange(ctx, prefix, after)
						},
					},
					OwnerToken: func(bbrwork.Shard) (bbrkv.Revision, bool) { return 30, true },
				}
				for time.Since(begin) < maxReportWait+2*time.Second {
					ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
					_, _ = intake.Waiting(ctx, &bbrwork.Queue{Name: "q", Service: "press"})
					cancel()
					time.Sleep(100 * time.Millisecond)
				}
				asked := time.Now()
				waiting, code := intake.Waiting(t.Context(), &bbrwork.Queue{Name: "q", Service: "press"})
				require.Equal(t, test.code, code)
				require.Equal(t, test.want, waiting)
				require.Zero(t, list.total, "pages read")
				require.Less(t, time.Since(asked), time.Second)
			})
		})
	}
}
