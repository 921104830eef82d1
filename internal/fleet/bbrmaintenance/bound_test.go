package bbrmaintenance

import (
	"testing"
	"time"
)

// fluidTurn is a turn of demand on a pool as a flow of work, in cores: it rises
// evenly to a level, stays, and ends. Work must begin within the slack or is lost
// to its caller.
type fluidTurn struct {
	rise, length, slack time.Duration
	level, held         float64
	// lead is how long an instance takes from its order to its first work unit;
	// foreseen is how far ahead of demand it is ordered.
	lead, foreseen time.Duration
}

func (f fluidTurn) demand(at time.Duration) float64 {
	switch {
	case at < 0 || at > f.length:
		return 0
	case at < f.rise:
		return f.level * at.Seconds() / f.rise.Seconds()
	default:
		return f.level
	}
}

// room returns what the pool has: as much as was asked for one lead before.
func (f fluidTurn) room(at time.Duration) float64 {
	asked := at - f.lead + f.foreseen
	if asked > f.rise {
		return f.level
	}
	return max(f.held, f.demand(asked))
}

// served returns the share of the work of each window that begins in time, the
// latest deadline last.
func (f fluidTurn) served(window time.Duration) []float64 {
	const step = 10 * time.Millisecond
	type parcel struct {
		at   time.Duration
		left float64
	}
	var queue []parcel
	arrived, begun := make([]float64, f.length/window+1), make([]float64, f.length/window+1)
	for at := time.Duration(0); at < f.length+f.slack; at += step {
		work := f.demand(at) * step.Seconds()
		queue = append(queue, parcel{at: at, left: work})
		if at < f.length {
			arrived[at/window] += work
		}
		room := f.room(at) * step.Seconds()
		for len(queue) > 0 && (room > 0 || at-queue[0].at > f.slack) {
			head := &queue[0]
			if at-head.at <= f.slack {
				taken := min(room, head.left)
				room -= taken
				head.left -= taken
				begun[min(head.at, f.length-step)/window] += taken
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
			shares = append(shares, begun[i]/arrived[i])
		}
	}
	return shares
}

// TestMeasureBoundOfATurn prints what a policy that orders exactly what arrives
// can serve of a turn, by how long an instance takes to come and how far ahead
// demand is known. The load: 1,450 cores after 4 s, a pool that holds 400, work
// that can wait 1.2 s.
func TestMeasureBoundOfATurn(t *testing.T) {
	for _, lead := range []time.Duration{2000, 3500, 5000} {
		for _, foreseen := range []time.Duration{0, 1000, 2000} {
			f := fluidTurn{rise: 4 * time.Second, length: 8 * time.Second, slack: 1200 * time.Millisecond, level: 1450, held: 400,
				lead: lead * time.Millisecond, foreseen: foreseen * time.Millisecond}
			t.Logf("lead %v, foreseen %v: served by windows of 2 s %.2f", f.lead, f.foreseen, f.served(2*time.Second))
		}
	}
}
