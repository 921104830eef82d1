package bbrintake

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Waiting returns how many jobs of the queue have not started anything: by the last report
// of each shard's owner or, if the present owner has not reported yet or there is none, by
// the stored jobs of the shard.
func (i *Intake) Waiting(ctx context.Context, queue *bbrwork.Queue) (int, bbrcode.Code) {
	items, _, err := i.Store.ReadAll(ctx, bbrrecord.ReportPrefixOf(queue.Service))
	if err != nil {
		return 0, bbrcode.StoreUnavailable
	}
	reports := make(map[string]bbrkv.Item, len(items))
	for _, item := range items {
		reports[item.Key] = item
	}
	waiting := 0
	for cell := range i.Cells().Count() {
		shard := bbrwork.Shard{Service: queue.Service, Cell: cell}
		count, err := i.waitingInShard(ctx, shard, queue.Name, reports[bbrrecord.ReportKey(shard)])
		if err != nil {
			klog.InfoS("Failed to count the waiting jobs of a shard", "shard", shard, "reason", err.Error())
			return 0, bbrcode.StoreUnavailable
		}
		waiting += count
	}
	return waiting, bbrcode.StateReported
}

// waitingInShard returns how many of the queue's jobs in the shard have not started. The
// item is the last report of an owner of the shard.
func (i *Intake) waitingInShard(ctx context.Context, shard bbrwork.Shard, queue string, item bbrkv.Item) (int, error) {
	if !i.reportIsCurrent(shard, item) {
		waiting, err := i.stored.count(ctx, i.Store, shard, time.Now())
		return waiting[queue], err
	}
	if len(item.Value) == 0 {
		return 0, nil
	}
	var record bbrrecord.Report
	err := json.Unmarshal(item.Value, &record)
	return record.Waiting[queue], err
}

// reportIsCurrent reports whether the present owner of the shard has written the report.
func (i *Intake) reportIsCurrent(shard bbrwork.Shard, item bbrkv.Item) bool {
	if i.OwnerToken == nil {
		return true
	}
	token, owned := i.OwnerToken(shard)
	return owned && item.Revision > token
}
