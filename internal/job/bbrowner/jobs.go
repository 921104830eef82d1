package bbrowner

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// addJobs adds stored jobs with their progress to the scheduler. The caller holds the
// lock.
func (o *Owner) addJobs(jobs, progress []bbrkv.Item, now time.Time) {
	progressByID := make(map[string][]byte, len(progress))
	for _, item := range progress {
		progressByID[bbrrecord.JobID(item.Key)] = item.Value
	}
	for _, item := range jobs {
		var job bbrwork.Job
		if err := json.Unmarshal(item.Value, &job); err != nil {
			klog.ErrorS(err, "Failed to decode stored job", "key", item.Key, "revision", item.Revision)
			continue
		}
		o.scheduler.AddJob(&job, item.Revision, progressByID[job.ID], now)
	}
}

// restoreCrashes restores the stored crash records, and marks those of jobs that are
// not stored any more for removal. The caller holds the lock.
func (o *Owner) restoreCrashes(items []bbrkv.Item, now time.Time) {
	o.staleCrashKeys = nil
	for _, item := range items {
		if !o.scheduler.RestoreCrashes(bbrrecord.JobID(item.Key), item.Value, now) {
			o.staleCrashKeys = append(o.staleCrashKeys, item.Key)
		}
	}
	if len(o.staleCrashKeys) > 0 {
		klog.InfoS("Crash records of ended jobs will be removed", "shard", o.Shard, "count", len(o.staleCrashKeys))
	}
}

// jobsSnapshot adds the jobs that the store has.
func (o *Owner) jobsSnapshot(items []bbrkv.Item, _ bbrkv.Revision, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addJobs(items, nil, now)
	o.requestPlan()
}

// jobChanged adds a job that was stored. The removal of a job changes nothing: the
// owner itself removes jobs, when they end.
func (o *Owner) jobChanged(item bbrkv.Item, now time.Time) {
	if item.Deleted {
		return
	}
	o.jobsSnapshot([]bbrkv.Item{item}, item.Revision, now)
}

// loadRecorded reads the upstreams on which, as an earlier owner recorded, work of
// the shard may run.
func (o *Owner) loadRecorded(ctx context.Context) ([]bbrwork.Upstream, error) {
	var recorded []bbrwork.Upstream
	_, err := o.readRecord(ctx, stageRecorded, bbrrecord.IncarnationsKey(o.Shard), func(item bbrkv.Item) error {
		if len(item.Value) == 0 {
			return nil
		}
		return json.Unmarshal(item.Value, &recorded)
	})
	return recorded, err
}

const (
	// cancellationInterval is the time between two reads of the cancellation requests.
	cancellationInterval = 500 * time.Millisecond
)

// runCancellations reads the cancellation requests until ctx ends.
func (o *Owner) runCancellations(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		items, _, err := o.Store.ReadAll(ctx, bbrrecord.CancelPrefixOf(o.Shard))
		if err == nil {
			o.cancelJobs(items, time.Now())
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Reading cancellation requests started or stopped failing", "shard", o.Shard, "failing", failing)
		}
		bbrpause.For(ctx, cancellationInterval)
	}
}

func (o *Owner) cancelJobs(items []bbrkv.Item, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range items {
		o.scheduler.Cancel(bbrrecord.JobID(item.Key), now)
	}
	if len(items) > 0 {
		o.requestPlan()
	}
}
