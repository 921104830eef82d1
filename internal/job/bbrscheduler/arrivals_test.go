package bbrscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

var arrivalsStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// simulate adds random arrivals for a while, at a rate per second that depends on
// the time since the start.
func (a *arrivals) simulate(seed uint64, length time.Duration, rate func(at float64) float64) time.Time {
	random := rand.New(rand.NewPCG(seed, 0))
	const step = time.Millisecond
	now := arrivalsStart
	for ; now.Sub(arrivalsStart) < length; now = now.Add(step) {
		if random.Float64() < rate(now.Sub(arrivalsStart).Seconds())*step.Seconds() {
			a.add(now, 1)
		}
	}
	return now
}

// TestForecastAnticipatesRise checks that during a demand burst that rises for
// seconds the forecast exceeds the present arrivals, but not the later ones. A
// single forecast can miss the rise, as insignificant increases are left out.
func TestForecastAnticipatesRise(t *testing.T) {
	const seeds = 40
	const slope, length = 60.0, 4 * time.Second
	now, expected := slope*length.Seconds(), slope*(length+provisioningLead).Seconds()
	sum := 0.0
	for seed := range uint64(seeds) {
		var a arrivals
		sum += a.forecast(a.simulate(seed, length, func(at float64) float64 { return slope * at }))
	}
	require.Greater(t, sum/seeds, 1.1*now)
	require.Less(t, sum/seeds, expected)
}

// TestForecastIgnoresRandomVariation checks that constant demand seldom leads to a
// forecast, and that falling demand never does.
func TestForecastIgnoresRandomVariation(t *testing.T) {
	const seeds = 200
	falsePositives := 0
	for seed := range uint64(seeds) {
		var even arrivals
		if now := even.simulate(seed, 3*time.Second, func(float64) float64 { return 20 }); even.forecast(now) > 0 {
			falsePositives++
		}
		var falling arrivals
		now := falling.simulate(seed, 3*time.Second, func(at float64) float64 { return 40 * (3 - at) })
		require.Zero(t, falling.forecast(now))
	}
	require.Less(t, falsePositives, seeds/8)
}

func TestArrivalsDropExpired(t *testing.T) {
	var a arrivals
	now := a.simulate(1, 10*time.Second, func(float64) float64 { return 50 })
	require.Less(t, len(a), 150)
	require.Zero(t, a.forecast(now.Add(2*arrivalWindow)))
	require.Zero(t, (arrivals)(nil).forecast(now))
	require.NotPanics(t, func() { a.forecast(arrivalsStart) }, "forecast for a time before the arrivals")
}

// TestDemandAnticipatesRise simulates the beginning of a demand burst on a pool
// that can take all of it. The requested capacity must be ahead of the arrivals, so
// that instances are ready in time.
func TestDemandAnticipatesRise(t *testing.T) {
	s := newPool(t, 20)
	number, need := 0, 0.0
	for second := range 3 {
		arriving := 10 * (second + 1) * (second + 1)
		for range arriving {
			s.accept(fmt.Sprintf("%016x", number), unitStep(2))
			number++
			s.advance(time.Second / time.Duration(arriving))
		}
		need = float64(arriving) * 2 * 1000
	}
	require.Greater(t, float64(s.sched.Demand(s.now).MilliCPU), 1.5*need)
}

// TestJobsFoundAtTakeoverAreNoRise checks that jobs that a successor reads from the
// store do not count as the beginning of a demand burst.
func TestJobsFoundAtTakeoverAreNoRise(t *testing.T) {
	s := newScene(t, false, "i-1")
	for number := range 200 {
		s.accept(fmt.Sprintf("%016x", number), unitStep(2))
	}
	require.Zero(t, s.sched.arrivals.forecast(s.now))
	scheduled := &bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Schedule: bbrwork.Schedule{Count: 1, Every: time.Second}}
	s.advance(2 * loadPeriod)
	s.sched.AddJob(scheduled, 0, nil, s.now)
	require.Empty(t, s.sched.arrivals)
}
