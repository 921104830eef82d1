package bbrruntime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stream draws run times and estimates whose logarithms deviate by the given amounts.
type stream struct {
	random           *rand.Rand
	spread, estimate float64
	// bias is a factor that all estimates have.
	bias float64
}

func (s *stream) next() (estimate, taken time.Duration) {
	logTaken := s.spread * s.random.NormFloat64()
	taken = time.Duration(math.Exp(logTaken) * float64(time.Second))
	return time.Duration(s.bias * math.Exp(logTaken+s.estimate*s.random.NormFloat64()) * float64(time.Second)), taken
}

// errorOf returns the root of the mean squared error of the predictions of logarithms.
func errorOf(predicted, taken []time.Duration) float64 {
	sum := 0.0
	for i := range predicted {
		deviation := math.Log(predicted[i].Seconds() / taken[i].Seconds())
		sum += deviation * deviation
	}
	return math.Sqrt(sum / float64(len(predicted)))
}

// TestPredictionIsAsGoodAsItsParts checks that a prediction is never much worse than the
// better of the estimate and the queue's mean, whichever that is: deployments with good
// estimates keep them, and others stop believing them.
func TestPredictionIsAsGoodAsItsParts(t *testing.T) {
	const (
		count = 600
		// tolerance covers the noise of the learned moments.
		tolerance = 1.15
		slack     = 0.03
	)
	rapid.Check(t, func(rt *rapid.T) {
		s := stream{
			random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
			spread:   rapid.Float64Range(0.05, 1).Draw(rt, "spread"),
			estimate: rapid.Float64Range(0.02, 1.2).Draw(rt, "estimate"),
			bias:     rapid.Float64Range(0.3, 3).Draw(rt, "bias"),
		}
		var p Predictor
		var predicted, unbiased, mean, taken []time.Duration
		for i := range count {
			estimate, actual := s.next()
			if i >= 200 {
				predicted = append(predicted, p.Predict(estimate))
				unbiased = append(unbiased, time.Duration(float64(estimate)/s.bias))
				mean, taken = append(mean, time.Second), append(taken, actual)
			}
			p.Observe(estimate, actual)
		}
		better := min(errorOf(unbiased, taken), errorOf(mean, taken))
		require.LessOrEqual(rt, errorOf(predicted, taken), tolerance*better+slack)
	})
}

// TestEstimatesAreUsedUntilEnoughIsKnown checks that a few observations change nothing.
func TestEstimatesAreUsedUntilEnoughIsKnown(t *testing.T) {
	var p Predictor
	for range minObservations - 1 {
		p.Observe(time.Second, 5*time.Second)
		require.Equal(t, 3*time.Second, p.Predict(3*time.Second))
	}
	p.Observe(time.Second, 5*time.Second)
	require.InDelta(t, 5, p.Predict(time.Second).Seconds(), 0.1)
	require.Zero(t, p.Predict(0))
	var unknown *Predictor
	require.Equal(t, time.Second, unknown.Predict(time.Second))
}

func BenchmarkPredict(b *testing.B) {
	var p Predictor
	for b.Loop() {
		p.Observe(time.Second, 1200*time.Millisecond)
		p.Predict(time.Second)
	}
}
