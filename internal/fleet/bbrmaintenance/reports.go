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

// readReports learns what the owners need, and which reserved upstreams they
// have cleared.
func (k *Controller) readReports(ctx context.Context, now time.Time) error {
	items, _, err := k.Store.ReadAll(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return err
	}
	clear(k.cleared)
	earlier := k.demands
	k.demands = make(map[bbrwork.Shard]reported, len(items))
	for _, item := range items {
		shard, record, err := parseReport(item)
		if err != nil {
			k.tellUnreadable(item, err)
			continue
		}
		for _, id := range record.Drained {
			k.cleared[id] = slices.Contains(k.reserved, id)
		}
		report := reported{demand: record.Demand, at: now, revision: item.Revision}
		if before, known := earlier[shard]; known && before.revision == item.Revision {
			report.at = before.at
		}
		k.demands[shard] = report
	}
	k.reportsRead = now
	return nil
}

func parseReport(item bbrkv.Item) (shard bbrwork.Shard, record bbrrecord.Report, err error) {
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return shard, record, err
	}
	shard, err = bbrwork.ParseShard(strings.TrimPrefix(item.Key, bbrrecord.ReportPrefix))
	return shard, record, err
}

// tellUnreadable logs a report that cannot be read, once for each of its changes.
func (k *Controller) tellUnreadable(item bbrkv.Item, reason error) {
	if k.unreadable == nil {
		k.unreadable = make(map[string]bbrkv.Revision)
	}
	if k.unreadable[item.Key] != item.Revision {
		k.unreadable[item.Key] = item.Revision
		klog.InfoS("Report unreadable", "key", item.Key, "revision", item.Revision, "reason", reason.Error())
	}
}

// reported is a demand with when this holder first read it: the owner's time of day
// may differ.
type reported struct {
	demand   bbrscheduler.Demand
	at       time.Time
	revision bbrkv.Revision
}

// reportFor is how long a report counts. Owners report more often than that.
const reportFor = 4 * time.Second

// needs returns what the owners ask for. The part of an owner without a recent report
// is left out: what it needs is not known, so it gets nothing and nothing is taken from
// it.
func (k *Controller) needs(pools []Pool, now time.Time) []CapacityRequest {
	var needs []CapacityRequest
	for cell := range k.divided.Count() {
		for _, pool := range pools {
			need, known := k.needOf(Partition{Pool: pool.Name, Cell: cell}, now)
			if known && !pool.Spare {
				needs = append(needs, need)
			}
		}
	}
	return needs
}

// needOf returns what a part asks for. One without an owner asks for nothing.
func (k *Controller) needOf(part Partition, now time.Time) (need CapacityRequest, known bool) {
	report := k.demands[bbrwork.Shard{Service: part.Pool, Cell: part.Cell}]
	if now.Sub(report.at) >= reportFor {
		return CapacityRequest{Partition: part}, !k.HasOwner(part.Pool)
	}
	demand := report.demand
	return CapacityRequest{Partition: part, MilliCPU: demand.MilliCPU, LongRunningMilliCPU: demand.LongRunningMilliCPU, Exclusive: demand.Exclusive, Occupied: demand.Occupied, ExclusiveByLabel: demand.ExclusiveByLabel, MinInstances: demand.MinUpstreams, Releasable: demand.Releasable}, true
}

// isCleared tells whether an instance can be taken away: nothing runs in its
// life, or no service's owner puts anything there.
func (k *Controller) isCleared(instance bbrmachine.Instance) bool {
	return instance.Upstream == "" || k.cleared[instance.Upstream] || !k.HasOwner(instance.Pool)
}
