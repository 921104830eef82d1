// Package bbrsweeper removes the records of jobs that ended long ago.
package bbrsweeper

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

const (
	// sweepEvery is between two sweeps; each reads all records of ended jobs.
	sweepEvery = 30 * time.Second
	// keepMargin is added to the promised time: the entries' times of day differ,
	// and a late copy of a submission must still meet the record.
	keepMargin = time.Minute
)

// Sweeper removes old records while its entry holds the fleet duty.
type Sweeper struct {
	Store *bbritem.Store
	// Condition is the claim of the fleet duty.
	Condition bbritem.Condition
	// Keep is how long the state of an ended job can be asked for.
	Keep time.Duration
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		bbrpause.For(ctx, sweepEvery)
		if ctx.Err() != nil {
			return
		}
		removed, err := s.Sweep(ctx, time.Now())
		if err != nil || removed > 0 {
			klog.InfoS("Ended jobs swept", "removed", removed, "failed", err != nil, "reason", bbrlog.Reason(err))
		}
	}
}

// Sweep removes the records that are old now, and demands to cancel jobs that
// have ended, and returns how many.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	items, _, err := s.Store.All(ctx, bbrrecord.EndedPrefix)
	if err != nil {
		return 0, err
	}
	cancels, _, err := s.Store.All(ctx, bbrrecord.CancelPrefix)
	if err != nil {
		return 0, err
	}
	old := append(s.old(items, now), needless(items, cancels)...)
	removed := 0
	for len(old) > 0 {
		batch := old[:min(len(old), bbritem.MaxTransaction-1)]
		old = old[len(batch):]
		if _, err := s.Store.Commit(ctx, bbritem.Transaction{Conditions: []bbritem.Condition{s.Condition}, Removals: batch}); err != nil {
			return removed, err
		}
		removed += len(batch)
	}
	return removed, nil
}

// needless returns the keys of the demands to cancel jobs that have ended: they
// came too late for the owner to remove them with the job.
func needless(ended, cancels []bbritem.Item) []string {
	gone := make(map[string]bool, len(ended))
	for _, item := range ended {
		gone[strings.TrimPrefix(item.Key, bbrrecord.EndedPrefix)] = true
	}
	var keys []string
	for _, item := range cancels {
		if gone[strings.TrimPrefix(item.Key, bbrrecord.CancelPrefix)] {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// old returns the keys of the records whose time is over.
func (s *Sweeper) old(items []bbritem.Item, now time.Time) []string {
	var old []string
	for _, item := range items {
		var record bbrrecord.Ended
		if err := json.Unmarshal(item.Value, &record); err != nil {
			klog.ErrorS(err, "Record of an ended job unreadable", "key", item.Key)
			continue
		}
		if now.Sub(record.At) > s.Keep+keepMargin {
			old = append(old, item.Key)
		}
	}
	return old
}
