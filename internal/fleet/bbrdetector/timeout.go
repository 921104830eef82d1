package bbrdetector

import "time"

const (
	// minTimeout leaves room for an entry that has used up its processor time
	// for some periods of the scheduler.
	minTimeout = 400 * time.Millisecond
	// maxTimeout is what a lease has left once two pings of that length failed.
	maxTimeout = 1200 * time.Millisecond
	// Weights of a new round trip in the mean and in the mean deviation, and how
	// many deviations are waited for, as TCP has them.
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor = 4
)

// timeoutEstimator is how long the answer of an owner is waited for. It is learnt from
// the owner's own round trips: one on a full link, or short of processor time,
// answers late and is not gone. The zero value is ready.
type timeoutEstimator struct {
	mean, deviation time.Duration
	// backoff is what a false doubt adds.
	backoff time.Duration
}

// timeout returns the time that a ping may take.
func (e *timeoutEstimator) timeout() time.Duration {
	return min(maxTimeout, max(minTimeout, e.mean+deviationFactor*e.deviation)+e.backoff)
}

// observe learns from a round trip.
func (e *timeoutEstimator) observe(roundTrip time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = roundTrip, roundTrip/2
		return
	}
	e.deviation += ((roundTrip - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (roundTrip - e.mean) / meanWeight
	e.backoff -= e.backoff / meanWeight
}

// addBackoff learns that others reach the owner, whose answer came too late here.
func (e *timeoutEstimator) addBackoff() { e.backoff += minTimeout / 2 }
