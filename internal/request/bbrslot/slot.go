package bbrslot

import "sync/atomic"

// countBits is the width of the count in Slot.word.
const countBits = 32

// Slot is an entry's share of one instance: the limit and the count of its
// requests in flight. It is safe for concurrent use. The zero value admits
// nothing.
type Slot struct {
	// word contains the limit in its upper and the count in its lower half.
	word atomic.Uint64
}

func pack(limit, count uint32) uint64 { return uint64(limit)<<countBits | uint64(count) }

func unpack(word uint64) (limit, count uint32) { return uint32(word >> countBits), uint32(word) }

// Acquire adds a request in flight, and returns false if the count has reached the
// limit.
func (s *Slot) Acquire() bool {
	for {
		word := s.word.Load()
		limit, count := unpack(word)
		if count >= limit {
			return false
		}
		if s.word.CompareAndSwap(word, pack(limit, count+1)) {
			return true
		}
	}
}

// Release removes a request in flight. It panics if there is none.
func (s *Slot) Release() {
	for {
		word := s.word.Load()
		limit, count := unpack(word)
		if count == 0 {
			panic("bbrslot: Release without Acquire")
		}
		if s.word.CompareAndSwap(word, pack(limit, count-1)) {
			return
		}
	}
}

// CanTransfer reports whether a request in flight may pass its part of the share
// to another request instead of releasing it. It may not while the count exceeds
// the limit, which happens after the limit was lowered.
func (s *Slot) CanTransfer() bool {
	limit, count := unpack(s.word.Load())
	return count <= limit
}

// SetLimit changes the limit and returns the number of requests in flight. A
// negative limit counts as 0.
func (s *Slot) SetLimit(limit int) int {
	for {
		word := s.word.Load()
		_, count := unpack(word)
		if s.word.CompareAndSwap(word, pack(uint32(max(0, limit)), count)) {
			return int(count)
		}
	}
}

// Load returns the limit and the number of requests in flight at the same instant.
func (s *Slot) Load() (limit, inFlight int) {
	l, c := unpack(s.word.Load())
	return int(l), int(c)
}
