package bbrowner

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
)

// loadInterference reads the record of interfering images. It returns nil if there is none,
// or if it cannot be read: a takeover does not wait for it, as its loss does no harm.
func (o *Owner) loadInterference(ctx context.Context) []byte {
	if !o.SeparateInterfering {
		return nil
	}
	item, err := o.readRecord(ctx, stageInterference, bbrrecord.InterferenceKey(o.Shard), nil)
	if err != nil {
		klog.InfoS("Failed to read the record of interfering images, beginning without", "shard", o.Shard, "reason", err.Error())
	}
	return item.Value
}

// updateSeparationMetrics updates the metrics of interfering images. The caller holds the
// lock.
func (o *Owner) updateSeparationMetrics() {
	if !o.SeparateInterfering {
		return
	}
	counts, before := o.scheduler.SeparationCounts(), o.separationCounts
	o.separationCounts = counts
	o.Metrics.SetInterferingPairs(o.Shard.String(), counts.Pairs)
	o.Metrics.Separations("avoided", counts.Avoided-before.Avoided)
	o.Metrics.Separations("unavoidable", counts.Unavoidable-before.Unavoidable)
}
