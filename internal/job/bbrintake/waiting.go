package bbrintake

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Waiting returns how many jobs of the queue have not started anything: by the last report
// of each shard's owner or, if the present owner has not reported yet or there is none, by
// its next report or the stored jobs of the shard, as they were when they were last counted.
// Jobs stay with the service that the queue had when they were accepted, so that the services
// that it had before count as well.
func (i *Intake) Waiting(ctx context.Context, queue *bbrwork.Queue) (int, bbrcode.Code) {
	waiting := 0
	var counts []*storedCount
	for _, service := range i.servicesOf(queue, time.Now()) {
		items, _, err := i.Store.ReadAll(ctx, bbrrecord.ReportPrefixOf(service))
		if err != nil {
			return 0, bbrcode.StoreUnavailable
		}
		reports := make(map[string]bbrkv.Item, len(items))
		for _, item := range items {
			reports[item.Key] = item
		}
		for cell := range i.Cells().Count() {
			shard := bbrwork.Shard{Service: service, Cell: cell}
			reported, count, err := i.waitingInShard(ctx, shard, queue.Name, reports[bbrrecord.ReportKey(shard)])
			if err != nil {
				return 0, countFailed(shard, err)
			}
			waiting += reported
			if count != nil {
				counts = append(counts, count)
			}
		}
	}
	for _, count := range counts {
		stored, err := count.get(ctx)
		if err != nil {
			return 0, countFailed(count.shard, err)
		}
		waiting += stored[queue.Name]
	}
	return waiting, bbrcode.StateReported
}

// servicesOf returns the services that may have waiting jobs of the queue, sorted.
func (i *Intake) servicesOf(queue *bbrwork.Queue, now time.Time) []string {
	services := append(i.FormerServices.Of(queue.Name, now), queue.Service)
	if i.ReroutedServices != nil {
		services = append(services, i.ReroutedServices(queue.Name)...)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// countFailed logs that the waiting jobs of the shard are not known, and returns the answer.
func countFailed(shard bbrwork.Shard, err error) bbrcode.Code {
	klog.InfoS("Failed to count the waiting jobs of a shard", "shard", shard, "reason", err.Error())
	return bbrcode.StoreUnavailable
}

// waitingInShard returns how many of the queue's jobs in the shard have not started, or the
// count of its stored jobs that tells it. The item is the last report of an owner of the shard.
func (i *Intake) waitingInShard(ctx context.Context, shard bbrwork.Shard, queue string, item bbrkv.Item) (int, *storedCount, error) {
	var record bbrrecord.Report
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return 0, nil, err
		}
	}
	if i.reportIsCurrent(shard, item) {
		return record.Waiting[queue], nil, nil
	}
	reported := 0
	for _, count := range record.Waiting {
		reported += count
	}
	return 0, i.counts.current(ctx, i, shard, reported, time.Now()), nil
}

// reportIsCurrent reports whether the present owner of the shard has written the report.
func (i *Intake) reportIsCurrent(shard bbrwork.Shard, item bbrkv.Item) bool {
	if i.OwnerToken == nil {
		return true
	}
	token, owned := i.OwnerToken(shard)
	return owned && item.Revision > token
}
