package bbrcore

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
)

// registerGauges registers gauges of the entry's state.
func registerGauges(state *bbrentry.State, metrics *bbrmetric.Set) {
	metrics.Gauge("bbr_view_version", "Version of the view that is obeyed.", func() float64 {
		return float64(state.Snapshot().Version)
	})
	metrics.Gauge("bbr_config_revision", "Revision of the configuration that is in force.", func() float64 {
		return float64(state.Revision().Number)
	})
	metrics.Gauge("bbr_slots", "Slots that the entry owns.", func() float64 {
		return sumPools(state, func(slots, _ int) int { return slots })
	})
	metrics.Gauge("bbr_slots_free", "Slots that the entry owns and does not use.", func() float64 {
		return sumPools(state, func(_, free int) int { return free })
	})
	metrics.Gauge("bbr_queued_requests", "Requests that wait for a slot.", func() float64 {
		waiting := 0
		for _, pool := range state.Table().Pools {
			waiting += pool.WaitQueue.Len()
		}
		return float64(waiting)
	})
	metrics.Gauge("bbr_may_send", "1 while the registration is confirmed.", func() float64 {
		if state.MaySend(time.Now()) {
			return 1
		}
		return 0
	})
	metrics.Gauge("bbr_confirmation_age_seconds", "Time since the last confirmation of the registration.", func() float64 {
		return state.ConfirmationAge(time.Now()).Seconds()
	})
}

// sumPools returns the sum of a value over all pools.
func sumPools(state *bbrentry.State, value func(slots, free int) int) float64 {
	sum := 0
	for _, pool := range state.Table().Pools {
		sum += value(pool.Slots(), pool.FreeSlots())
	}
	return float64(sum)
}
