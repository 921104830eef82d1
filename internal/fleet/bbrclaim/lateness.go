package bbrclaim

import "time"

const (
	// lateFactor is the number of intervals between the beginnings of two rounds from which
	// the second is late. A round that begins on time may wait for the one before it and
	// for the pause after it.
	lateFactor = 3
	// maxLatePause bounds what one pause counts for, so that a process that was paused once
	// is not taken for a slow one.
	maxLatePause = time.Second
	// maxLateness is the time for which rounds must be late. Shorter times are bursts of
	// work, which a hand-over would prolong: a takeover takes up to ConfirmationTTL.
	maxLateness = 4 * time.Second
	// minHarmfulLateness is the time for which rounds must be late if leases were not renewed
	// in time besides. It is more than one pause counts for.
	minHarmfulLateness = 2 * time.Second
)

// Lateness is a measure of how late the regular rounds of a task are, by the monotonic clock
// of this process. Time with late rounds adds to it, and time with rounds in time reduces
// it. The zero value is ready to use.
type Lateness struct {
	previous time.Time
	late     time.Duration
}

// Record records that a round begins, one interval or less after the previous one if it is
// in time. It reports whether the rounds have been late for long enough to hand over.
func (l *Lateness) Record(now time.Time, interval time.Duration) bool {
	if previous := l.previous; !previous.IsZero() {
		l.RecordPause(now.Sub(previous), interval)
	}
	l.previous = now
	return l.late >= maxLateness
}

// RecordPause is Record for rounds that also wait for calls: pause is only the time that
// this process took itself.
func (l *Lateness) RecordPause(pause, interval time.Duration) bool {
	if pause > lateFactor*interval {
		l.late += min(pause, maxLatePause)
	} else {
		l.late = max(0, l.late-pause)
	}
	return l.late >= maxLateness
}

// RecordHarmful records that a round begins, as Record does, and reports whether the rounds
// have been late for long enough to be the cause of harm. However long they were late, they
// no longer are after maxLatePause of rounds in time.
func (l *Lateness) RecordHarmful(now time.Time, interval time.Duration) bool {
	l.Record(now, interval)
	l.late = min(l.late, minHarmfulLateness+maxLatePause)
	return l.late >= minHarmfulLateness
}

// Reset begins the measure anew, and returns what it was.
func (l *Lateness) Reset() time.Duration {
	late := l.late
	l.late = 0
	return late
}
