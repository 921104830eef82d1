package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
)

// wideLoad is a stream of small jobs that fills a shard, and wide jobs among them.
type wideLoad struct {
	*overload
	// rate is the number of small jobs a second.
	rate      float64
	wide      map[string]time.Time
	wideStart map[string]time.Duration
	// longestHeld is the longest time for which a reservation held an upstream.
	longestHeld time.Duration
	smallInTime int
	wideInTime  int
}

const (
	wideInterval = 600 * time.Millisecond
	wideRunTime  = time.Second
)

func newWideLoad(t *testing.T, seed uint64, rate float64, reserve bool) *wideLoad {
	l := &wideLoad{rate: rate, overload: newOverload(t, seed, false), wide: make(map[string]time.Time), wideStart: make(map[string]time.Duration)}
	l.sched.ReserveCapacity = reserve
	return l
}

func (l *wideLoad) play() {
	arrivals := 0.0
	for tick := range int(overloadLength / overloadTick) {
		l.now = l.start.Add(time.Duration(tick) * overloadTick)
		for arrivals += l.rate * overloadTick.Seconds(); arrivals >= 1; arrivals-- {
			l.acceptJob()
			if id := fmt.Sprintf("%016x", len(l.runTimes)); l.random.Float64() < 0.03 {
				l.runTimes[id] *= 7
			}
		}
		if at := time.Duration(tick) * overloadTick; at%wideInterval == 0 {
			id := fmt.Sprintf("%016x", len(l.runTimes)+1)
			l.runTimes[id], l.accepted[id], l.wide[id] = wideRunTime, l.now, l.now
			l.accept(id, wideUnit(wideRunTime))
		}
		l.endRuns(tick)
		l.startRuns(tick)
		l.observe()
	}
	l.smallInTime = l.inTime - l.wideInTime
}

// observe records the starts of wide jobs and how long capacity is held.
func (l *wideLoad) observe() {
	for id, accepted := range l.wide {
		if _, seen := l.wideStart[id]; !seen && l.sched.jobs[id] != nil && l.sched.jobs[id].mayHaveBegun() {
			l.wideStart[id] = l.now.Sub(accepted)
			if end := l.now.Add(wideRunTime); end.Sub(accepted) <= 1600*time.Millisecond+600*time.Millisecond && end.Before(l.start.Add(overloadLength)) {
				l.wideInTime++
			}
		}
	}
	for _, up := range l.sched.upstreams {
		if up.hold != nil {
			l.longestHeld = max(l.longestHeld, l.now.Sub(up.hold.reservation.MadeAt))
		}
	}
}

// TestWideWorkDoesNotStarve plays loads that leave gaps for small work only, with estimates
// that are off by a factor of 2.5 and one small job in thirty that takes seven times as
// long. It guards against wide jobs that miss their objectives behind small ones, against
// reservations that cost more callers than they serve, and against capacity that is held
// beyond the bound.
func TestWideWorkDoesNotStarve(t *testing.T) {
	const seeds = 8
	tests := []struct {
		name string
		rate float64
		// minGain is the least ratio of wide callers in time with and without reservations,
		// and maxCost the largest share of small ones that it may cost.
		minGain, maxCost float64
	}{
		// The jobs take about 108% of the capacity.
		{name: "almost full", rate: 4, minGain: 1.1, maxCost: 0.05},
		// The jobs take about 130%: what wide work gets, small work loses.
		{name: "overload", rate: 5, minGain: 1.8, maxCost: 0.18},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var wide, small [2]int
			jobs := 0
			for seed := range uint64(seeds) {
				for i, reserve := range []bool{false, true} {
					l := newWideLoad(t, seed, test.rate, reserve)
					l.play()
					wide[i], small[i] = wide[i]+l.wideInTime, small[i]+l.smallInTime
					require.LessOrEqual(t, l.longestHeld, bbrreservation.MaxLife+overloadTick)
					jobs += len(l.runTimes)
				}
			}
			t.Logf("wide callers in time: %d without reservations, %d with; small: %d, %d; of %d", wide[0], wide[1], small[0], small[1], jobs/2)
			require.GreaterOrEqual(t, float64(wide[1]), test.minGain*float64(wide[0]))
			require.GreaterOrEqual(t, float64(small[1]), (1-test.maxCost)*float64(small[0]))
			require.Greater(t, wide[1]+small[1], wide[0]+small[0])
		})
	}
}

// TestSmallWorkIsDelayedWithinBound guards against reservations that follow each other so
// closely that small work waits for longer than the life of one and the run of its work.
// Three small units always run where four fit, so that no wide one ever does without a
// reservation.
func TestSmallWorkIsDelayedWithinBound(t *testing.T) {
	const runTime, interval, wideTime = 900 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond
	s := newReservingScene(t, "i-1")
	ends, accepted := make(map[string]time.Time), make(map[string]time.Time)
	wideStarted, number := 0, 1
	for next := s.now; s.now.Sub(s.start) < 12*time.Second; s.advance(10 * time.Millisecond) {
		for ; !s.now.Before(next); next = next.Add(interval) {
			id := jobID(number)
			number++
			accepted[id] = s.now
			s.accept(id, smallStep(runTime))
			if number%20 == 10 {
				s.accept(fmt.Sprintf("%015xb", number), wideUnit(wideTime))
			}
		}
		for id, end := range ends {
			if !s.now.Before(end) {
				delete(ends, id)
				s.endRun(id)
			}
		}
		for _, id := range s.startedJobs() {
			ends[id] = s.now.Add(runTime)
			if at, small := accepted[id]; small {
				require.LessOrEqual(t, s.now.Sub(at), bbrreservation.MaxLife+wideTime)
			} else {
				ends[id] = s.now.Add(wideTime)
				wideStarted++
			}
		}
	}
	require.Equal(t, 2, wideStarted)
}
