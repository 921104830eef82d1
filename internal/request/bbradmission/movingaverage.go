package bbradmission

import (
	"sync/atomic"
	"time"
)

// pastWeight is the weight of the past against one observation.
const pastWeight = 15

// MovingAverage learns a run time from observations. The zero value knows nothing
// and answers 0, which refuses nobody.
type MovingAverage struct {
	mean atomic.Int64
}

// Observe adds a run time. Concurrent observations may replace each other;
// each is one sample of many.
func (e *MovingAverage) Observe(runTime time.Duration) {
	mean := e.mean.Load()
	if mean == 0 {
		e.mean.Store(int64(runTime))
		return
	}
	e.mean.Store((mean*pastWeight + int64(runTime)) / (pastWeight + 1))
}

// Mean returns the learned run time, or 0.
func (e *MovingAverage) Mean() time.Duration { return time.Duration(e.mean.Load()) }
