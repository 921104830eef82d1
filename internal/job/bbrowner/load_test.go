package bbrowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// valuesByReason returns the values of a metric by its first label, the reason.
func valuesByReason(t *testing.T, metrics *bbrmetric.Set, name string) map[string]float64 {
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

// TestWaitMetrics checks that the gauge has the oldest wait for each reason and no
// wait that has ended, and that the counter never decreases.
func TestWaitMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := true
	o := &Owner{
		Shard:     bbrwork.Shard{Service: "press"},
		Metrics:   bbrmetric.New(),
		Confirmed: func(time.Time) bool { return confirmed },
	}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, true, now)
	o.scheduler.AddJob(&bbrwork.Job{ID: "a", Service: "press", Steps: []bbrwork.Step{{Count: 2}}, Accepted: now}, 0, nil, now)
	o.logLoad(now.Add(2 * time.Second))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, valuesByReason(t, o.Metrics, "bbr_oldest_wait_seconds"))
	require.Empty(t, valuesByReason(t, o.Metrics, "bbr_slow_waits_total"))
	o.logLoad(now.Add(4 * time.Second))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, valuesByReason(t, o.Metrics, "bbr_slow_waits_total"))
	confirmed = false
	o.logLoad(now.Add(6 * time.Second))
	require.Equal(t, map[string]float64{"claimUnconfirmed": 6}, valuesByReason(t, o.Metrics, "bbr_oldest_wait_seconds"))
	require.Equal(t, map[string]float64{"noUsableUpstream": 2}, valuesByReason(t, o.Metrics, "bbr_slow_waits_total"))
	o.updateWaitMetrics(bbrscheduler.WaitSummary{})
	require.Empty(t, valuesByReason(t, o.Metrics, "bbr_oldest_wait_seconds"))
}

// TestReservationMetrics checks that reservations are counted once each, and that the gauge
// has the present ones.
func TestReservationMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &Owner{Shard: bbrwork.Shard{Service: "press"}, Metrics: bbrmetric.New(), Confirmed: func(time.Time) bool { return true }, ReserveCapacity: true}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, true, now)
	o.scheduler.ReserveCapacity = o.ReserveCapacity
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 4000}}
	o.scheduler.RegisterUpstream(up, now)
	o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
	for i, need := range []int{2000, 3000} {
		step := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: need}, Estimate: time.Second}
		o.scheduler.AddJob(&bbrwork.Job{ID: string(rune('a' + i)), Service: "press", Steps: []bbrwork.Step{step}, Accepted: now}, 0, nil, now)
		o.scheduler.Plan(true, now)
		o.scheduler.ApplyStored(o.scheduler.Batch(10, now), 1, now)
		o.scheduler.Plan(true, now)
	}
	o.logLoad(now.Add(time.Millisecond))
	require.Equal(t, map[string]float64{"reservations": 1, "upstreams": 1}, valuesByReason(t, o.Metrics, "bbr_reservations"))
	o.scheduler.Cancel("b", now)
	o.scheduler.Plan(true, now)
	for range 2 {
		now = now.Add(2 * time.Second)
		o.logLoad(now)
	}
	require.Equal(t, map[string]float64{"reservations": 0, "upstreams": 0}, valuesByReason(t, o.Metrics, "bbr_reservations"))
	require.Equal(t, 1.0, valuesByReason(t, o.Metrics, "bbr_reservations_ended_total")["gone"])
}

// TestLapseMetrics checks that each run whose lease expired is counted once, by its cause.
func TestLapseMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newRenewalOwner(now)
	now = now.Add(10 * time.Second)
	end := bbrwork.RunEnd{Sequence: 1, Unit: bbrwork.Unit{Job: "a"}, Run: 1, Outcome: bbrwork.OutcomeLeaseExpired}
	listing := bbrwork.Listing{Clock: 11 * time.Second, StartMillis: 1, Ended: []bbrwork.RunEnd{end}}
	o.scheduler.ApplyListing(bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, &listing, now, now)
	for range 2 {
		now = now.Add(2 * time.Second)
		o.logLoad(now)
	}
	require.Equal(t, map[string]float64{"noRenewal": 1, "lostRenewals": 0, "takeover": 0}, valuesByReason(t, o.Metrics, "bbr_lapsed_runs_total"))
}

// TestUpstreamUseMetrics checks that the gauges of excluded upstreams and of late work have
// the present values, no reasons that have ended, and nothing once the owner has stopped.
func TestUpstreamUseMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newLoopOwner(0)
	o.Shard = bbrwork.Shard{Service: "press"}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, true, now)
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 4000}}
	o.scheduler.RegisterUpstream(up, now)
	step := bbrwork.Step{Count: 2, Need: bbrwork.Resources{MilliCPU: 1000}, Estimate: time.Second}
	o.scheduler.AddJob(&bbrwork.Job{ID: "a", Service: "press", Steps: []bbrwork.Step{step}, Accepted: now}, 0, nil, now)
	o.logLoad(now)
	require.Equal(t, map[string]float64{"unreached": 1}, valuesOf(t, o.Metrics, "bbr_excluded_upstreams", "reason"))
	require.Equal(t, map[string]float64{"units": 0, "reservedFits": 0}, valuesOf(t, o.Metrics, "bbr_late_work", "amount"))

	now = now.Add(time.Minute)
	o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
	o.scheduler.Plan(true, now)
	o.scheduler.ApplyStored(o.scheduler.Batch(10, now), 1, now)
	o.scheduler.SetReserved(map[string]bool{"i-1": true}, now)
	o.logLoad(now)
	require.Equal(t, map[string]float64{"reserved": 1}, valuesOf(t, o.Metrics, "bbr_excluded_upstreams", "reason"))
	require.Equal(t, map[string]float64{"units": 2, "reservedFits": 1}, valuesOf(t, o.Metrics, "bbr_late_work", "amount"))

	o.clearMetrics()
	require.Empty(t, valuesOf(t, o.Metrics, "bbr_excluded_upstreams", "reason"))
	require.Empty(t, valuesOf(t, o.Metrics, "bbr_late_work", "amount"))
}

// valuesOf returns the values of a gauge by one of its labels.
func valuesOf(t *testing.T, metrics *bbrmetric.Set, name, label string) map[string]float64 {
	t.Helper()
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if family.GetName() == name && pair.GetName() == label {
					values[pair.GetValue()] = metric.GetGauge().GetValue()
				}
			}
		}
	}
	return values
}

// TestUnlocatedMetric checks that the gauge has what a successor still looks for, and that
// an owner that has stopped leaves none behind.
func TestUnlocatedMetric(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newLoopOwner(0)
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{}, false, now)
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press"}
	o.scheduler.BeginLoading([]bbrwork.Upstream{up}, 5, now)
	o.scheduler.FinishLoading(now)
	o.logLoad(now.Add(time.Second))
	require.Equal(t, map[string]float64{"press/2": 1}, valuesByReason(t, o.Metrics, "bbr_unlocated_upstreams"))
	o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1}, now, now)
	o.logLoad(now.Add(2 * time.Second))
	require.Equal(t, map[string]float64{"press/2": 0}, valuesByReason(t, o.Metrics, "bbr_unlocated_upstreams"))
	o.clearMetrics()
	require.Empty(t, valuesByReason(t, o.Metrics, "bbr_unlocated_upstreams"))
}
