package bbradmission

import (
	"sync/atomic"
	"time"
)

// pastWeight is the weight of the past average relative to one observation.
const pastWeight = 15

// MovingAverage is an exponentially weighted moving average of run times. The zero
// value has no observations; its mean of 0 leads to no refusals.
type MovingAverage struct {
	mean atomic.Int64
}

// Observe adds a run time. Concurrent calls may overwrite each other's
// observations, which is acceptable because each is one sample of many.
func (e *MovingAverage) Observe(runTime time.Duration) {
	mean := e.mean.Load()
	if mean == 0 {
		e.mean.Store(int64(runTime))
		return
	}
	e.mean.Store((mean*pastWeight + int64(runTime)) / (pastWeight + 1))
}

// Mean returns the average run time, or 0 if there are no observations.
func (e *MovingAverage) Mean() time.Duration { return time.Duration(e.mean.Load()) }
