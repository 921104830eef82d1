package bbrowner

import (
	"context"
	"time"
)

// startSlotTimeout is how long a start waits for a slot. With bbrorder.Timeout, it stays within
// the time for which an order to start may be in flight.
const startSlotTimeout = 600 * time.Millisecond

// StartSlots bounds the starts in flight of all owners of an entry, so that on a full link
// renewals and the starts themselves are answered in time. A nil value bounds nothing.
type StartSlots struct {
	slots chan struct{}
}

// NewStartSlots returns slots for count starts.
func NewStartSlots(count int) *StartSlots { return &StartSlots{slots: make(chan struct{}, count)} }

// acquire waits for a slot, and returns false if there is none for startSlotTimeout or ctx
// ends. The caller releases a slot that it got.
func (s *StartSlots) acquire(ctx context.Context) bool {
	if s == nil {
		return true
	}
	timer := time.NewTimer(startSlotTimeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s *StartSlots) release() {
	if s != nil {
		<-s.slots
	}
}
