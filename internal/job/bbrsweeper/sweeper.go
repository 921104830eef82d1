// Package bbrsweeper removes the records of jobs that ended long ago.
package bbrsweeper

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// sweepEvery is the time for a sweep of all records. It goes by the first digit
	// of the IDs, so that no read is large.
	sweepEvery = 30 * time.Second
	digits     = "0123456789abcdefABCDEF"
	// keepMargin is added to the promised time: the entries' times of day differ,
	// and a late copy of a submission must still meet the record.
	keepMargin = time.Minute
)

// Sweeper removes old records while its entry holds the fleet duty.
type Sweeper struct {
	Store *bbrkv.Store
	// Condition is the claim of the fleet duty.
	Condition bbrkv.Condition
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for at := 0; ; at = (at + 1) % len(digits) {
		bbrpause.For(ctx, sweepEvery/time.Duration(len(digits)))
		if ctx.Err() != nil {
			return
		}
		removed, err := s.Sweep(ctx, digits[at:at+1], time.Now())
		if err != nil || removed > 0 {
			klog.InfoS("Ended jobs swept", "removed", removed, "failed", err != nil, "reason", bbrlog.Reason(err))
		}
	}
}

// Sweep removes the records that are old now, and demands to cancel jobs that
// have ended, of jobs whose IDs begin with the digits. It returns how many.
func (s *Sweeper) Sweep(ctx context.Context, begin string, now time.Time) (int, error) {
	items, _, err := s.Store.ReadAll(ctx, bbrrecord.StatusKey(begin))
	if err != nil {
		return 0, err
	}
	cancels, _, err := s.Store.ReadAll(ctx, bbrrecord.CancelPrefix)
	if err != nil {
		return 0, err
	}
	ended := s.ended(items)
	old := append(s.old(ended, now), needless(ended, cancels)...)
	removed := 0
	for len(old) > 0 {
		batch := old[:min(len(old), bbrkv.MaxTransactionSize-1)]
		old = old[len(batch):]
		if _, err := s.Store.Commit(ctx, bbrkv.Transaction{Conditions: []bbrkv.Condition{s.Condition}, Removals: batch}); err != nil {
			return removed, err
		}
		removed += len(batch)
	}
	return removed, nil
}

// ended returns when the jobs that have ended did, by ID.
func (s *Sweeper) ended(items []bbrkv.Item) map[string]time.Time {
	ended := make(map[string]time.Time)
	for _, item := range items {
		var status bbrrecord.Status
		if err := json.Unmarshal(item.Value, &status); err != nil {
			klog.ErrorS(err, "Record of a job unreadable", "key", item.Key)
			continue
		}
		if status.State != "" {
			ended[bbrrecord.JobID(item.Key)] = status.At
		}
	}
	return ended
}

// needless returns the keys of the demands to cancel jobs that have ended: they
// came too late for the owner to remove them with the job.
func needless(ended map[string]time.Time, cancels []bbrkv.Item) []string {
	var keys []string
	for _, item := range cancels {
		if _, gone := ended[bbrrecord.JobID(item.Key)]; gone {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// old returns the keys of the records whose time is over, in order.
func (s *Sweeper) old(ended map[string]time.Time, now time.Time) []string {
	var old []string
	for _, id := range slices.Sorted(maps.Keys(ended)) {
		if now.Sub(ended[id]) > s.Retention+keepMargin {
			old = append(old, bbrrecord.StatusKey(id))
		}
	}
	return old
}
