package bbrowner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// loadEvery is between two lines about what the shard has and uses.
const loadEvery = time.Second

func (o *Owner) tellLoad(now time.Time) {
	if now.Sub(o.loadTold) < loadEvery {
		return
	}
	o.loadTold = now
	load := o.ledger.Load(o.Confirmed(now), now)
	o.countWaits(load.Waits)
	klog.InfoS("Load", append([]any{"shard", o.Shard, "token", o.Held.Token, "jobs", load.Jobs, "late", load.Late,
		"upstreams", load.Upstreams, "reached", load.Reached, "reserved", load.Reserved, "suspect", load.Suspect, "silent", load.Silent, "usable", load.Usable,
		"runs", load.Runs, "unconfirmed", load.Unconfirmed, "waitingUnits", load.Waits.Units,
		"demandMilliCPU", load.Demand.MilliCPU, "keep", load.Demand.MinUpstreams, "whole", load.Demand.Exclusive, "occupied", load.Demand.Occupied,
		"milliCPU", load.Used.MilliCPU, "ofMilliCPU", load.Capacity.MilliCPU, "memoryMB", load.Used.MemoryMB, "ofMemoryMB", load.Capacity.MemoryMB,
		"lastingMilliCPU", load.LongRunning.MilliCPU, "lastingMemoryMB", load.LongRunning.MemoryMB,
		"largestFreeMilliCPU", load.LargestFree.MilliCPU, "largestFreeMB", load.LargestFree.MemoryMB}, oldestFields(load.Waits.Oldest, now)...)...)
}

// oldestFields tells of the wait that is longest; nothing where none is.
func oldestFields(oldest bbrscheduler.Wait, now time.Time) []any {
	if oldest.Reason == "" {
		return nil
	}
	return []any{"oldest", oldest.Unit.String(), "waited", now.Sub(oldest.Since).Round(time.Millisecond),
		"reason", oldest.Reason, "for", oldest.WaitsFor, "duty", oldest.Responsible}
}

// countWaits brings the metrics up to date.
func (o *Owner) countWaits(waits bbrscheduler.WaitSummary) {
	shard := o.Shard.String()
	for _, reason := range bbrscheduler.Reasons {
		if waited, waiting := waits.LongestByReason[reason]; waiting {
			o.Metrics.OldestWait(shard, string(reason), waited)
		} else {
			o.Metrics.NoWait(shard, string(reason))
		}
		if slow := waits.SlowByReason[reason]; slow > 0 {
			o.Metrics.SlowWaits(string(reason), slow)
		}
	}
}
