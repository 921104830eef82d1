package bbrscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// burst simulates the beginning of a demand burst on a pool that receives more
// upstreams as it requests them, each some time after the request.
type burst struct {
	*scene
	random *rand.Rand
	// forecasts means that rising demand is anticipated.
	forecasts bool
	upstreams map[string]*burstUpstream
	// provisioning has the times at which the requested upstreams are ready.
	provisioning []time.Time
	jobs         int
	submittedAt  map[string]time.Time
	// inTime counts the jobs completed within their objective.
	inTime int
}

// burstUpstream is an upstream of the simulated pool.
type burstUpstream struct {
	running map[runKey]time.Time
	ended   int64
}

const (
	burstStep        = 20 * time.Millisecond
	burstUnitTime    = 600 * time.Millisecond
	burstObjective   = 1560 * time.Millisecond
	burstLength      = 6 * time.Second
	burstUtilization = 0.75
	// burstProvisioningTime is the time from the request for an upstream until it
	// is ready.
	burstProvisioningTime = 1800 * time.Millisecond
	burstCapacity         = 4000
)

func newBurst(t *testing.T, seed uint64, forecasts bool) *burst {
	b := &burst{scene: newScene(t, true), random: rand.New(rand.NewPCG(seed, 0)), forecasts: forecasts, upstreams: make(map[string]*burstUpstream), submittedAt: make(map[string]time.Time)}
	for range 6 {
		b.addUpstream()
	}
	return b
}

func (b *burst) addUpstream() {
	id := fmt.Sprintf("i-%03d", len(b.upstreams))
	b.upstreams[id] = &burstUpstream{running: make(map[runKey]time.Time)}
	b.register(id)
	b.list(id)
}

// run simulates the burst and the time until its work is done, and returns the
// share of jobs completed within their objective.
func (b *burst) run(rate func(at float64) float64) float64 {
	for at := time.Duration(0); at < burstLength+3*time.Second; at += burstStep {
		if at < burstLength && b.random.Float64() < rate(at.Seconds())*burstStep.Seconds() {
			b.submit()
		}
		b.runRound()
		b.requestUpstreams()
		b.advance(burstStep - 2*time.Millisecond)
	}
	return float64(b.inTime) / float64(b.jobs)
}

func (b *burst) submit() {
	id := jobID(b.jobs)
	b.jobs++
	b.submittedAt[id] = b.now
	work := unitStep(6)
	work.Estimate = burstUnitTime
	b.accept(id, work)
}

// runRound ends the runs that are due, stores the results, and starts what fits.
func (b *burst) runRound() {
	for id, up := range b.upstreams {
		var ends []bbrwork.RunEnd
		var running []bbrwork.Run
		for key, until := range up.running {
			if b.now.Before(until) {
				running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
				continue
			}
			delete(up.running, key)
			up.ended++
			ends = append(ends, bbrwork.RunEnd{Sequence: up.ended, Unit: key.unit, Run: key.number, Outcome: bbrwork.OutcomeDone})
		}
		if len(ends) > 0 {
			b.sched.ApplyListing(b.upstream(id).Incarnation, &bbrwork.Listing{Clock: b.now.Sub(b.start), StartMillis: 1000, Running: running, Ended: ends}, b.now, b.now)
		}
	}
	for _, write := range b.store() {
		if write.FinalState == bbrwork.Completed && b.now.Sub(b.submittedAt[write.Job.ID]) <= burstObjective {
			b.inTime++
		}
	}
	plan := b.plan()
	for _, order := range plan.Starts {
		b.upstreams[order.Upstream.ID].running[runKey{order.Start.Unit, order.Start.Run}] = b.now.Add(burstUnitTime)
	}
	b.answerStarts(plan, nil)
}

// requestUpstreams requests as many upstreams as the demand needs.
func (b *burst) requestUpstreams() {
	if !b.forecasts {
		b.sched.arrivals = nil
	}
	target := int(float64(b.sched.Demand(b.now).MilliCPU)/(burstUtilization*burstCapacity)) + 1
	for len(b.upstreams)+len(b.provisioning) < target {
		b.provisioning = append(b.provisioning, b.now.Add(burstProvisioningTime))
	}
	b.provisioning = slices.DeleteFunc(b.provisioning, func(at time.Time) bool {
		if b.now.Before(at) {
			return false
		}
		b.addUpstream()
		return true
	})
}

// rising is the arrival rate of a burst that rises for all of its length.
func rising(at float64) float64 { return 2 + 25*at }

// TestDemandBurstsAreServedInTime checks that forecasts save at least a fifth of
// the jobs that miss their objective at the beginning of a burst if upstreams are
// requested for the present arrivals only. It also checks that a step of demand,
// which looks like a rise at first, requests at most twice as many upstreams with
// forecasts as without.
func TestDemandBurstsAreServedInTime(t *testing.T) {
	const seeds = 10
	withForecast, withoutForecast := 0.0, 0.0
	forecastUpstreams, baseUpstreams := 0, 0
	for seed := range uint64(seeds) {
		withForecast += newBurst(t, seed, true).run(rising) / seeds
		withoutForecast += newBurst(t, seed, false).run(rising) / seeds
		step := func(float64) float64 { return 60 }
		predictive, reactive := newBurst(t, seed, true), newBurst(t, seed, false)
		predictive.run(step)
		reactive.run(step)
		forecastUpstreams += len(predictive.upstreams)
		baseUpstreams += len(reactive.upstreams)
	}
	t.Logf("in time: %.3f with forecasts, %.3f without; upstreams for a step of demand: %d with, %d without", withForecast, withoutForecast, forecastUpstreams/seeds, baseUpstreams/seeds)
	require.Less(t, 1-withForecast, 0.8*(1-withoutForecast))
	require.LessOrEqual(t, forecastUpstreams, 2*baseUpstreams)
}
