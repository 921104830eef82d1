package bbrowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// gathered returns the values of a metric by their reason, its first label.
func gathered(t *testing.T, metrics *bbrmetric.Set, name string) map[string]float64 {
	t.Helper()
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			values[metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return values
}

// TestWaitsAreMeasuredByReason holds that the gauge follows the oldest wait of
// each reason and has none that is over, and that the counter only rises.
func TestWaitsAreMeasuredByReason(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := true
	o := &Owner{
		Shard:     bbrwork.Shard{Service: "press"},
		Metrics:   bbrmetric.New(),
		Confirmed: func(time.Time) bool { return confirmed },
	}
	o.ledger = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, true, now)
	o.ledger.AddJob(&bbrwork.Job{ID: "a", Service: "press", Steps: []bbrwork.Step{{Count: 2}}, Accepted: now}, 0, nil, now)
	o.tellLoad(now.Add(2 * time.Second))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, gathered(t, o.Metrics, "bbr_oldest_wait_seconds"))
	require.Empty(t, gathered(t, o.Metrics, "bbr_slow_waits_total"))
	o.tellLoad(now.Add(4 * time.Second))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, gathered(t, o.Metrics, "bbr_slow_waits_total"))
	confirmed = false
	o.tellLoad(now.Add(6 * time.Second))
	require.Equal(t, map[string]float64{"claimUnconfirmed": 6}, gathered(t, o.Metrics, "bbr_oldest_wait_seconds"))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, gathered(t, o.Metrics, "bbr_slow_waits_total"))
	o.countWaits(bbrscheduler.WaitSummary{})
	require.Empty(t, gathered(t, o.Metrics, "bbr_oldest_wait_seconds"))
}
