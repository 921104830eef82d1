package bbrscheduler

import "time"

// failedStartPeriod is how long failed starts on an upstream count after the last one.
// Starts whose answers were lost have kept their work units for up to 3.5 s in soak runs.
// 8 s outlast two of them, so that a third upstream is tried before the first one again.
const failedStartPeriod = 8 * time.Second

// failedStarts counts the consecutive starts that failed on an upstream.
type failedStarts struct {
	count int
	last  time.Time
}

func (f *failedStarts) add(now time.Time) {
	f.count, f.last = f.recent(now)+1, now
}

// recent returns the number of failed starts, or 0 if the last one was too long ago to tell
// how the next start will end.
func (f *failedStarts) recent(now time.Time) int {
	if f.count == 0 || now.Sub(f.last) >= failedStartPeriod {
		return 0
	}
	return f.count
}
