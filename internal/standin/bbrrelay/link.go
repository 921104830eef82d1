package bbrrelay

import (
	"sync"
	"time"
)

// maxChunk is how many bytes a connection passes at once over a link, so that other
// connections get their turn.
const maxChunk = 4 << 10

// Link is a network link of limited rate that relays share, as all connections of a
// machine share its network interface. Its zero value has no limit.
type Link struct {
	mu sync.Mutex
	// bytesPerSecond is the rate of each direction; 0 for no limit.
	bytesPerSecond int
	// toTargets and fromTargets are when each direction has passed what it has accepted.
	toTargets, fromTargets time.Time
}

// SetRate limits each direction to the rate in bytes per second; 0 removes the limit.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// accept accepts bytes in one direction, and returns how long they take to pass from
// now on, behind what was accepted before.
func (l *Link) accept(byteCount int, fromTarget bool, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytesPerSecond == 0 {
		return 0
	}
	passed := &l.toTargets
	if fromTarget {
		passed = &l.fromTargets
	}
	if passed.Before(now) {
		*passed = now
	}
	*passed = passed.Add(time.Duration(byteCount) * time.Second / time.Duration(l.bytesPerSecond))
	return passed.Sub(now)
}
