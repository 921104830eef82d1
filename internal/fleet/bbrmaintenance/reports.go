package bbrmaintenance

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// readReports reads the capacity that owners request, and which reserved upstreams they
// have drained.
func (controller *Controller) readReports(ctx context.Context, now time.Time) error {
	items, _, err := controller.Store.ReadAll(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return err
	}
	clear(controller.drained)
	previous := controller.reports
	controller.reports = make(map[bbrwork.Shard]ownerReport, len(items))
	held, oldest := int64(0), now
	for _, item := range items {
		shard, record, err := parseReport(item)
		if err != nil {
			controller.logUnreadable(item, err)
			continue
		}
		held += int64(record.HeldBytes)
		controller.addDrained(record.Drained, item.Revision)
		report := ownerReport{demand: record.Demand, receivedAt: now, revision: item.Revision}
		if earlier, known := previous[shard]; known && earlier.revision == item.Revision {
			report.receivedAt = earlier.receivedAt
		}
		controller.reports[shard] = report
		if now.Sub(report.receivedAt) < reportTTL && report.receivedAt.Before(oldest) {
			oldest = report.receivedAt
		}
	}
	controller.reportsReadAt, controller.held.total, controller.held.oldest = now, held, oldest
	return nil
}

// addDrained adds the upstreams that a report of the revision lists as drained, if they have been
// reserved since before it was stored. Work may have started between two reservations.
func (controller *Controller) addDrained(upstreams []string, revision bbrkv.Revision) {
	for _, id := range upstreams {
		if slices.Contains(controller.reserved, id) && revision > controller.reservedSince[id] {
			controller.drained[id] = true
		}
	}
}

func parseReport(item bbrkv.Item) (shard bbrwork.Shard, record bbrrecord.Report, err error) {
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return shard, record, err
	}
	shard, err = bbrwork.ParseShard(strings.TrimPrefix(item.Key, bbrrecord.ReportPrefix))
	return shard, record, err
}

// logUnreadable logs a report that cannot be decoded, once for each of its revisions.
func (controller *Controller) logUnreadable(item bbrkv.Item, err error) {
	if controller.unreadableRevisions == nil {
		controller.unreadableRevisions = make(map[string]bbrkv.Revision)
	}
	if controller.unreadableRevisions[item.Key] != item.Revision {
		controller.unreadableRevisions[item.Key] = item.Revision
		klog.InfoS("Owner report cannot be decoded", "key", item.Key, "revision", item.Revision, "reason", err.Error())
	}
}

// ownerReport is the demand that an owner reported. receivedAt is when this leader first
// read that revision, since the owner's clock may differ.
type ownerReport struct {
	demand     bbrscheduler.Demand
	receivedAt time.Time
	revision   bbrkv.Revision
}

// reportTTL is how long a report is valid. Owners report more often than that.
const reportTTL = 4 * time.Second

// requests returns the owners' capacity requests. A partition whose owner has no valid
// report is left out: its needs are unknown, so it neither receives nor releases
// instances.
func (controller *Controller) requests(pools []Pool, now time.Time) []CapacityRequest {
	var requests []CapacityRequest
	for cell := range controller.cells.Count() {
		for _, pool := range pools {
			request, known := controller.requestOf(Partition{Pool: pool.Name, Cell: cell}, now)
			if known && !pool.Spare {
				requests = append(requests, request)
			}
		}
	}
	return requests
}

// requestOf returns the capacity request of a partition, and whether it is known. A
// partition without an owner requests nothing.
func (controller *Controller) requestOf(partition Partition, now time.Time) (request CapacityRequest, known bool) {
	report := controller.reports[bbrwork.Shard{Service: partition.Pool, Cell: partition.Cell}]
	if now.Sub(report.receivedAt) >= reportTTL {
		return CapacityRequest{Partition: partition}, !controller.HasOwner(partition.Pool)
	}
	demand := report.demand
	return CapacityRequest{Partition: partition, MilliCPU: demand.MilliCPU, HeldMilliCPU: demand.HeldMilliCPU, LongRunningMilliCPU: demand.LongRunningMilliCPU, Exclusive: demand.Exclusive, Occupied: demand.Occupied, ExclusiveByLabel: demand.ExclusiveByLabel, MinInstances: demand.MinUpstreams, SpreadInstances: demand.SpreadUpstreams, Releasable: demand.Releasable, Needed: demand.Needed}, true
}

// isDrained reports whether an instance can be moved or maintained: nothing runs in its
// present incarnation, or its pool has no owner that places work there.
func (controller *Controller) isDrained(instance bbrmachine.Instance) bool {
	return instance.Upstream == "" || controller.drained[instance.Upstream] || !controller.HasOwner(instance.Pool)
}
