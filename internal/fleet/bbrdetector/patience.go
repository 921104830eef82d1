package bbrdetector

import "time"

const (
	// leastPatience leaves room for an entry that has used up its processor time
	// for some periods of the scheduler.
	leastPatience = 400 * time.Millisecond
	// mostPatience is what a lease has left once two pings of that length failed.
	mostPatience = 1200 * time.Millisecond
	// Weights of a new round trip in the mean and in the mean deviation, and how
	// many deviations are waited for, as TCP has them.
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
)

// patience is how long the answer of an owner is waited for. It is learnt from
// the owner's own round trips: one on a full link, or short of processor time,
// answers late and is not gone. The zero value is ready.
type patience struct {
	mean, deviation time.Duration
	// backoff is what a false doubt adds.
	backoff time.Duration
}

// within returns the time that a ping may take.
func (p *patience) within() time.Duration {
	return min(mostPatience, max(leastPatience, p.mean+deviations*p.deviation)+p.backoff)
}

// answered learns from a round trip.
func (p *patience) answered(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	p.deviation += ((took - p.mean).Abs() - p.deviation) / deviationWeight
	p.mean += (took - p.mean) / meanWeight
	p.backoff -= p.backoff / meanWeight
}

// reached learns that others reach the owner, whose answer came too late here.
func (p *patience) reached() { p.backoff += leastPatience / 2 }
