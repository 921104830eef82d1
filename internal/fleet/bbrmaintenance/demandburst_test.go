package bbrmaintenance

import (
	"testing"
	"time"
)

// fluidBurst is a turn of demand on a pool as a flow of work, in cores: it rises
// evenly to a level, stays, and ends. Work must begin within the slack or is lost
// to its caller.
type fluidBurst struct {
	rise, length, slack    time.Duration
	level, initialCapacity float64
	// leadTime is how long an instance takes from its order to its first work unit;
	// foreseen is how far ahead of demand it is ordered.
	leadTime, forecast time.Duration
}

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

// capacity returns what the pool has: as much as was asked for one lead before.
func (burst fluidBurst) capacity(at time.Duration) float64 {
	requestedAt := at - burst.leadTime + burst.forecast
	if requestedAt > burst.rise {
		return burst.level
	}
	return max(burst.initialCapacity, burst.demand(requestedAt))
}

// served returns the share of the work of each window that begins in time, the
// latest deadline last.
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

// TestMeasureServedShareOfDemandBurst prints what a policy that orders exactly what arrives
// can serve of a turn, by how long an instance takes to come and how far ahead
// demand is known. The load: 1,450 cores after 4 s, a pool that holds 400, work
// that can wait 1.2 s.
func TestMeasureServedShareOfDemandBurst(t *testing.T) {
	for _, leadTime := range []time.Duration{2000, 3500, 5000} {
		for _, forecast := range []time.Duration{0, 1000, 2000} {
			burst := fluidBurst{rise: 4 * time.Second, length: 8 * time.Second, slack: 1200 * time.Millisecond, level: 1450, initialCapacity: 400,
				leadTime: leadTime * time.Millisecond, forecast: forecast * time.Millisecond}
			t.Logf("lead %v, foreseen %v: served by windows of 2 s %.2f", burst.leadTime, burst.forecast, burst.served(2*time.Second))
		}
	}
}
