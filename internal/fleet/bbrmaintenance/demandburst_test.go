package bbrmaintenance

import (
	"testing"
	"time"
)

// fluidBurst models a burst of demand on a pool as a flow of work, in cores. It rises
// linearly to a level, stays there, and ends. Work that does not start within the slack
// is lost to its caller.
type fluidBurst struct {
	rise, length, slack    time.Duration
	level, initialCapacity float64
	// leadTime is the time from an instance's order to its first work unit; forecast is
	// how far ahead of the demand it is ordered.
	leadTime, forecast time.Duration
}

// demand returns the demand at a time since the start of the burst.
func (burst fluidBurst) demand(at time.Duration) float64 {
	switch {
	case at < 0 || at > burst.length:
		return 0
	case at < burst.rise:
		return burst.level * at.Seconds() / burst.rise.Seconds()
	default:
		return burst.level
	}
}

// capacity returns the capacity of the pool, which is what was ordered one lead time
// before.
func (burst fluidBurst) capacity(at time.Duration) float64 {
	requestedAt := at - burst.leadTime + burst.forecast
	if requestedAt > burst.rise {
		return burst.level
	}
	return max(burst.initialCapacity, burst.demand(requestedAt))
}

// served returns, for each window in order of arrival, the share of its work that starts
// in time.
func (burst fluidBurst) served(window time.Duration) []float64 {
	const step = 10 * time.Millisecond
	type parcel struct {
		at   time.Duration
		left float64
	}
	var queue []parcel
	arrived, started := make([]float64, burst.length/window+1), make([]float64, burst.length/window+1)
	for at := time.Duration(0); at < burst.length+burst.slack; at += step {
		work := burst.demand(at) * step.Seconds()
		queue = append(queue, parcel{at: at, left: work})
		if at < burst.length {
			arrived[at/window] += work
		}
		capacity := burst.capacity(at) * step.Seconds()
		for len(queue) > 0 && (capacity > 0 || at-queue[0].at > burst.slack) {
			head := &queue[0]
			if at-head.at <= burst.slack {
				used := min(capacity, head.left)
				capacity -= used
				head.left -= used
				started[min(head.at, burst.length-step)/window] += used
				if head.left > 0 {
					break
				}
			}
			queue = queue[1:]
		}
	}
	shares := make([]float64, 0, len(arrived))
	for i := range arrived {
		if arrived[i] > 0 {
			shares = append(shares, started[i]/arrived[i])
		}
	}
	return shares
}

// TestMeasureServedShareOfDemandBurst prints the share of a burst that a policy can serve
// that orders exactly what arrives, by the lead time of an instance and by how far ahead
// the demand is known. The demand rises to 1,450 cores in 4 s, the pool starts with 400,
// and work can wait 1.2 s.
func TestMeasureServedShareOfDemandBurst(t *testing.T) {
	for _, leadTime := range []time.Duration{2000, 3500, 5000} {
		for _, forecast := range []time.Duration{0, 1000, 2000} {
			burst := fluidBurst{rise: 4 * time.Second, length: 8 * time.Second, slack: 1200 * time.Millisecond, level: 1450, initialCapacity: 400,
				leadTime: leadTime * time.Millisecond, forecast: forecast * time.Millisecond}
			t.Logf("lead time %v, forecast %v: share served in windows of 2 s %.2f", burst.leadTime, burst.forecast, burst.served(2*time.Second))
		}
	}
}
