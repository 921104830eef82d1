package bbrintake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Intake answers callers' questions and takes their jobs.
type Intake struct {
	Acceptor *Acceptor
	Store    *bbrkv.Store
	// Config returns the configuration in force, or nil.
	Config func() *bbrwork.Config
	// Cells returns the division of the fleet.
	Cells func() *bbrcell.Cells
	// Shards remembers where jobs run.
	Shards ShardCache
	// QueryOwner returns the state of a job from its shard's owner, where there is
	// one that knows; nil where owners cannot be asked.
	QueryOwner func(ctx context.Context, shard bbrwork.Shard, id string, now time.Time) (state bbrwork.State, known bool)
	// NotifyOwner tells the shard's owner of a job that was stored just now, at
	// the revision, and does not wait; nil for nobody. The owner would hear of it
	// from the store a little later.
	NotifyOwner func(job *bbrwork.Job, stored bbrkv.Revision, now time.Time)
	// StoreAvailable tells whether the store answered lately.
	StoreAvailable func(now time.Time) bool
}

// Submit stores a job of the queue.
func (i *Intake) Submit(job *bbrwork.Job, queue *bbrwork.Queue, id string, deadline, now time.Time) bbrcode.Code {
	if !i.StoreAvailable(now) {
		return bbrcode.StoreAway
	}
	job.ID, job.Queue, job.Service, job.Accepted = id, queue.Name, queue.Service, now.Round(0)
	job.Policy = queue.Policy()
	job.Cell = i.Cells().ChooseForJob(job, i.Config().ServiceIndex(queue.Service))
	code, stored := i.Acceptor.Accept(job, deadline)
	if stored == 0 {
		return code
	}
	i.Shards.Add(id, job.Shard())
	if i.NotifyOwner != nil {
		i.NotifyOwner(job, stored, now)
	}
	return code
}

// State returns the state of a job of the queue, from its owner or else from
// the store. That a job does not exist is told by the store only.
func (i *Intake) State(ctx context.Context, queue *bbrwork.Queue, id string, now time.Time) (bbrwork.State, bbrcode.Code) {
	cachedShard, cached := i.Shards.Lookup(id, queue.Service, i.Cells().Count())
	if cached {
		if state, known := i.queryOwner(ctx, cachedShard, id, now); known {
			return state, bbrcode.StateTold
		}
	}
	status, err := i.readStatus(ctx, id)
	switch {
	case errors.Is(err, bbrkv.ErrNotFound):
		return "", bbrcode.UnknownJob
	case err != nil:
		return "", bbrcode.StoreAway
	case status.State != "":
		return status.State, bbrcode.StateTold
	}
	i.Shards.Add(id, status.Shard())
	if shard := status.Shard(); !cached || shard != cachedShard {
		if state, known := i.queryOwner(ctx, shard, id, now); known {
			return state, bbrcode.StateTold
		}
	}
	return i.activeState(ctx, status.Shard(), id)
}

// queryOwner returns the state of a job from its shard's owner.
func (i *Intake) queryOwner(ctx context.Context, shard bbrwork.Shard, id string, now time.Time) (bbrwork.State, bool) {
	if i.QueryOwner == nil {
		return "", false
	}
	return i.QueryOwner(ctx, shard, id, now)
}

// readStatus reads the short record of a job.
func (i *Intake) readStatus(ctx context.Context, id string) (bbrrecord.Status, error) {
	var status bbrrecord.Status
	item, err := i.Store.Get(ctx, bbrrecord.StatusKey(id))
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(item.Value, &status)
}

// activeState returns the state of a job that has not ended.
func (i *Intake) activeState(ctx context.Context, shard bbrwork.Shard, id string) (bbrwork.State, bbrcode.Code) {
	_, err := i.Store.Get(ctx, bbrrecord.ProgressKey(shard, id))
	switch {
	case errors.Is(err, bbrkv.ErrNotFound):
		return bbrwork.Pending, bbrcode.StateTold
	case err != nil:
		return "", bbrcode.StoreAway
	default:
		return bbrwork.Running, bbrcode.StateTold
	}
}

// Cancel stores a demand to cancel a job.
func (i *Intake) Cancel(ctx context.Context, id string) bbrcode.Code {
	for range cancelAttempts {
		code, err := i.tryCancel(ctx, id)
		if err == nil {
			return code
		}
		if errors.Is(err, bbrkv.ErrRefused) {
			return bbrcode.StoreAway
		}
		if ctx.Err() != nil {
			break
		}
	}
	return bbrcode.StoreUnsettled
}

// cancelAttempts bounds the tries of a cancellation whose answers are lost.
const cancelAttempts = 3

func (i *Intake) tryCancel(ctx context.Context, id string) (bbrcode.Code, error) {
	item, err := i.Store.Get(ctx, bbrrecord.StatusKey(id))
	if errors.Is(err, bbrkv.ErrNotFound) {
		return bbrcode.UnknownJob, nil
	}
	if err != nil {
		return 0, err
	}
	var status bbrrecord.Status
	if err := json.Unmarshal(item.Value, &status); err != nil {
		return 0, err
	}
	if status.State != "" {
		return bbrcode.CancelStored, nil
	}
	_, err = i.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{{Key: item.Key, Revision: item.Revision}},
		Puts:       []bbrkv.Put{{Key: bbrrecord.CancelKey(status.Shard(), id), Value: []byte("{}")}},
	})
	return bbrcode.CancelStored, err
}

// Waiting returns how many jobs of the queue have nothing started, by the last
// reports of its service's owners.
func (i *Intake) Waiting(ctx context.Context, queue *bbrwork.Queue) (int, bbrcode.Code) {
	items, _, err := i.Store.ReadAll(ctx, bbrrecord.ReportPrefixOf(queue.Service))
	if err != nil {
		return 0, bbrcode.StoreAway
	}
	waiting := 0
	for _, item := range items {
		var record bbrrecord.Report
		if err := json.Unmarshal(item.Value, &record); err != nil {
			klog.ErrorS(err, "Owner's report unreadable", "key", item.Key, "revision", item.Revision)
			return 0, bbrcode.StoreAway
		}
		waiting += record.Waiting[queue.Name]
	}
	return waiting, bbrcode.StateTold
}
