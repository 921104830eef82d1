package bbrowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// shareGauges returns the gauges of organisations' shares, by organisation and amount.
func shareGauges(t *testing.T, metrics *bbrmetric.Set) map[string]float64 {
	t.Helper()
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "bbr_organisation_share" {
			continue
		}
		for _, metric := range family.GetMetric() {
			name := ""
			for _, label := range metric.GetLabel() {
				if label.GetName() != "shard" {
					name = label.GetValue() + " " + name
				}
			}
			values[name] = metric.GetGauge().GetValue()
		}
	}
	return values
}

// TestSharesAreReported guards against shares that operators and entries do not learn of,
// against gauges that stay when the capacity suffices, and against an owner whose claim is
// not confirmed and that has jobs refused all the same.
func TestSharesAreReported(t *testing.T) {
	now, confirmed := time.Unix(1000, 0), true
	o := &Owner{Shard: bbrwork.Shard{Service: "press"}, Metrics: bbrmetric.New(), Confirmed: func(time.Time) bool { return confirmed }}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{StartTimeout: time.Second, RunLease: time.Second}, true, now)
	o.scheduler.FairShares = true
	queue := &bbrwork.Queue{Name: "proofs", Service: "press", Attempts: 1, Stretch: 1.6, Objective: time.Second}
	config, err := bbrwork.NewConfig(1, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{{Name: "a", Weight: 1}})
	require.NoError(t, err)
	o.scheduler.SetConfig(config)
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 4000, MemoryMB: 4000}}
	o.scheduler.RegisterUpstream(up, now)
	o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
	for i := range 12 {
		step := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second}
		o.scheduler.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016x", i+1), Queue: "proofs", Service: "press", Organisation: "a", Steps: []bbrwork.Step{step}, Accepted: now}, 0, nil, now)
	}
	o.scheduler.Plan(true, now)
	o.scheduler.ApplyStored(o.scheduler.Batch(100, now), 1, now)
	require.Len(t, o.scheduler.Plan(true, now).Starts, 4)
	o.logLoad(now)
	require.Equal(t, map[string]float64{"a used ": 0, "a fair ": 1, "a waiting ": 3}, shareGauges(t, o.Metrics))
	waits := o.ExpectedWaits(now)
	require.Len(t, waits, 1)
	require.Equal(t, "a", waits[0].Organisation)
	require.Equal(t, 3*time.Second, waits[0].Expected)
	confirmed = false
	require.Empty(t, o.ExpectedWaits(now))

	for i := range 12 {
		o.scheduler.Cancel(fmt.Sprintf("%016x", i+1), now)
	}
	now = now.Add(2 * time.Second)
	o.scheduler.Plan(true, now)
	o.logLoad(now)
	require.Empty(t, shareGauges(t, o.Metrics))
}
