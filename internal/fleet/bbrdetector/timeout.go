package bbrdetector

import "time"

const (
	// minTimeout tolerates an entry that the kernel throttles for some scheduling
	// periods because it has used up its processor quota.
	minTimeout = 400 * time.Millisecond
	// maxTimeout is bounded by the lease: two failed pings of this length take about
	// as long as the lease has left, so that a longer timeout would gain nothing over
	// its expiry.
	maxTimeout = 1200 * time.Millisecond
	// The weights of a new round trip in the mean and in the mean deviation are
	// 1/meanWeight and 1/deviationWeight, and the timeout is the mean plus
	// deviationFactor mean deviations, as for TCP's retransmission timeout.
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor = 4
)

// timeoutEstimator estimates the ping timeout of an owner from the owner's own
// round trips, because an owner on a congested link or short of processor time
// answers late without having failed. The zero value is ready to use.
type timeoutEstimator struct {
	mean, deviation time.Duration
	// backoff is added to the timeout after false suspicions.
	backoff time.Duration
}

// timeout returns the current ping timeout, between minTimeout and maxTimeout.
func (e *timeoutEstimator) timeout() time.Duration {
	return min(maxTimeout, max(minTimeout, e.mean+deviationFactor*e.deviation)+e.backoff)
}

// observe updates the estimate with the round trip of an answered ping.
func (e *timeoutEstimator) observe(roundTrip time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = roundTrip, roundTrip/2
		return
	}
	e.deviation += ((roundTrip - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (roundTrip - e.mean) / meanWeight
	e.backoff -= e.backoff / meanWeight
}

// addBackoff raises the timeout after a false suspicion: a peer reaches the owner
// whose answer came too late here.
func (e *timeoutEstimator) addBackoff() { e.backoff += minTimeout / 2 }
