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

// jobsSnapshot adds the jobs that the store has. While jobs are loaded, it leaves out those
// from before the claim: the loader adds them, with their progress. Later ones have none that
// the owner has not stored itself.
func (o *Owner) jobsSnapshot(items []bbrkv.Item, _ bbrkv.Revision, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range items {
		if o.isLoading() && item.Created <= o.Held.Token {
			continue
		}
		var job bbrwork.Job
		if err := json.Unmarshal(item.Value, &job); err != nil {
			klog.ErrorS(err, "Failed to decode stored job", "key", item.Key, "revision", item.Revision)
			continue
		}
		o.scheduler.AddJob(&job, item.Revision, nil, now)
	}
	o.requestPlan()
}

// jobChanged adds a job that was stored. The removal of a job changes nothing: the
// owner itself removes jobs, when they end. An event that is reported again is ignored, as the
// job may have ended since: after the history was compacted, the watch goes on from a revision
// that may be lower than the ones that were followed before.
func (o *Owner) jobChanged(item bbrkv.Item, now time.Time) {
	if item.Revision <= o.followedRevision {
		return
	}
	o.eventRevision = max(o.eventRevision, item.Revision)
	if item.Deleted {
		return
	}
	o.jobsSnapshot([]bbrkv.Item{item}, item.Revision, now)
}

// jobsFollowed records that all events of an answer have been applied. They may be of one
// revision.
func (o *Owner) jobsFollowed(time.Time) { o.followedRevision = o.eventRevision }

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
