package bbrsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// restartsInARow is how often each upstream of a series restarts and is cut off.
	restartsInARow = 3
	// A restart takes up to maxOutage. The upstream is cut off minUntilCut to maxUntilCut
	// later, every second time to maxPromptCut, for minCut to maxCut, in which the longest
	// lease of its runs ends.
	maxOutage                = 2 * time.Second
	minUntilCut, maxUntilCut = 100 * time.Millisecond, 4 * time.Second
	maxPromptCut             = 1500 * time.Millisecond
	minCut, maxCut           = 6 * time.Second, 10 * time.Second
	// One upstream, and one more for each upstreamsPerSeries upstreams, takes part in a
	// series.
	upstreamsPerSeries = 6
	// maxLateShare is the largest share of orders that upstreams carry out late.
	maxLateShare = 0.5
	// Each series is accompanied by accompanyingFaults faults. They begin up to
	// maxRestartPause after each other: owners are to stay in office for most leases.
	accompanyingFaults = 3
	maxRestartPause    = 4 * time.Second
)

// drawRestartRound returns the events of a round of a soak test with Restarts: a series of
// restarts, and then the faults that accompany it.
func (injector *faultInjector) drawRestartRound() []*event {
	kinds := []eventKind{injector.kill, injector.terminate, injector.freeze, injector.pauseOwner, injector.lateOrders, injector.upstreamPathFault}
	round := []*event{newEvent(injector.restartAndCut, injector.drawDuration())}
	for _, i := range injector.random.Perm(len(kinds))[:accompanyingFaults] {
		round = append(round, newEvent(kinds[i], injector.drawDuration()))
	}
	return round
}

// restartAndCut returns a series in which upstreams of one pool restart under their IDs and
// are cut off soon after, several times in a row.
func (injector *faultInjector) restartAndCut(time.Duration) *event {
	s, end := injector.soak, injector.end
	pool, order := pools[injector.random.IntN(len(pools))], injector.random.Perm(s.UpstreamCount)
	cycles := make([][]restartCycle, 1+s.UpstreamCount/upstreamsPerSeries)
	for i := range cycles {
		cycles[i] = drawRestartCycles(injector.random)
	}
	return &event{name: "series of restarts and cuts in pool " + pool, begin: func() {
		var running sync.WaitGroup
		for i, number := range s.upstreamsOf(pool, order, len(cycles)) {
			running.Go(func() { s.runRestartCycles(number, cycles[i], end) })
		}
		running.Wait()
	}}
}

// upstreamsOf returns the first upstreams of a pool in the order, at most count.
func (s *Soak) upstreamsOf(pool string, order []int, count int) []int {
	inPool := make(map[int]bool)
	for _, up := range s.fleet.Upstreams() {
		inPool[up.Number] = up.Pool == pool
	}
	var numbers []int
	for _, number := range order {
		if inPool[number] && len(numbers) < count {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// restartCycle is a restart of an upstream that is cut off soon after.
type restartCycle struct {
	outage, untilCut, cut time.Duration
	// silent means that open connections stay open, without answers, when it restarts.
	silent bool
	// untilRestart is the time from the cut until it restarts again; it does not if this
	// is not below cut.
	untilRestart time.Duration
}

func drawRestartCycles(random *rand.Rand) []restartCycle {
	cycles := make([]restartCycle, restartsInARow)
	for i := range cycles {
		latestCut := []time.Duration{maxPromptCut, maxUntilCut}[random.IntN(2)]
		cycles[i] = restartCycle{
			outage: randomDuration(random, 0, maxOutage), untilCut: randomDuration(random, minUntilCut, latestCut),
			cut: randomDuration(random, minCut, maxCut), silent: random.IntN(2) == 0, untilRestart: randomDuration(random, 0, 2*maxCut),
		}
	}
	return cycles
}

// runRestartCycles carries out the cycles that begin before end.
func (s *Soak) runRestartCycles(number int, cycles []restartCycle, end time.Time) {
	for _, cycle := range cycles {
		if time.Now().Before(end) {
			cycle.run(s, number)
		}
	}
}

func (cycle *restartCycle) run(s *Soak, number int) {
	relay := s.upstreamRelays[number]
	fmt.Fprintf(s.Out, "%s upstream m-%d restarts, %v; is cut off after %v for %v; silent %v, restarts again after %v\n", time.Now().Format(clockFormat), number+1,
		cycle.outage.Round(time.Millisecond), cycle.untilCut.Round(time.Millisecond), cycle.cut.Round(time.Millisecond), cycle.silent, cycle.untilRestart.Round(time.Millisecond))
	relay.SetPartitioned(cycle.silent)
	s.fleet.Restart(number, cycle.outage)
	time.Sleep(cycle.outage)
	relay.SetPartitioned(false)
	time.Sleep(cycle.untilCut)
	relay.SetPartitioned(true)
	untilRestart := min(cycle.untilRestart, cycle.cut)
	time.Sleep(untilRestart)
	if untilRestart < cycle.cut {
		s.fleet.Restart(number, cycle.outage)
	}
	time.Sleep(cycle.cut - untilRestart)
	relay.SetPartitioned(false)
}

// lateOrders lets some orders to all upstreams be carried out late.
func (injector *faultInjector) lateOrders(time.Duration) *event {
	share := maxLateShare * injector.random.Float64()
	set := func(share float64) func() {
		return func() {
			for number := range injector.soak.upstreamRelays {
				injector.soak.fleet.SetLateOrders(number, share)
			}
		}
	}
	return &event{name: fmt.Sprintf("%.0f%% of the orders are carried out late", percent*share), begin: set(share), end: set(0)}
}

const percent = 100

// pauseOwner pauses an owner again and again.
func (injector *faultInjector) pauseOwner(duration time.Duration) *event {
	series := injector.drawPauseSeries()
	return &event{name: series.describe(), begin: func() {
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		series.run(ctx)
	}}
}
