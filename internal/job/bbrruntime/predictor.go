package bbrruntime

import (
	"math"
	"time"
)

const (
	// minObservations is the number of observations before which the estimate is used
	// as it is.
	minObservations = 20
	// retained is the share of an earlier observation's weight that the next one leaves.
	retained = 0.99
	// minVariance bounds the trust in either predictor. It is the variance of a
	// logarithm: about a tenth of the run time.
	minVariance = 0.01
)

// Predictor predicts the run times of a queue's work units from their estimates. It
// combines the mean of the queue with the estimate, corrected by the mean error of
// estimates, each weighted by the inverse of its variance. The zero value trusts the
// estimates.
type Predictor struct {
	// observations counts the observations, up to minObservations.
	observations int
	// taken has the logarithms of the run times, and ratio those of the run times
	// relative to their estimates.
	taken, ratio moments
}

// Observe records the run time of a work unit with an estimate. Run times and estimates
// that are not positive say nothing.
func (p *Predictor) Observe(estimate, taken time.Duration) {
	if estimate <= 0 || taken <= 0 {
		return
	}
	p.observations = min(p.observations+1, minObservations)
	logTaken := math.Log(taken.Seconds())
	p.taken.add(logTaken)
	p.ratio.add(logTaken - math.Log(estimate.Seconds()))
}

// Predict returns the run time to be expected for a work unit with an estimate.
func (p *Predictor) Predict(estimate time.Duration) time.Duration {
	if p == nil || estimate <= 0 || p.observations < minObservations {
		return estimate
	}
	byQueue, byEstimate := 1/p.taken.variance(), 1/p.ratio.variance()
	corrected := math.Log(estimate.Seconds()) + p.ratio.mean
	logTaken := (byQueue*p.taken.mean + byEstimate*corrected) / (byQueue + byEstimate)
	return time.Duration(math.Exp(logTaken) * float64(time.Second))
}

// moments are the mean and the variance of a stream in which older values count less.
type moments struct {
	weight, mean, squares float64
}

func (m *moments) add(value float64) {
	m.weight = retained*m.weight + 1
	m.squares *= retained
	deviation := value - m.mean
	m.mean += deviation / m.weight
	m.squares += deviation * (value - m.mean)
}

func (m *moments) variance() float64 { return max(minVariance, m.squares/m.weight) }
