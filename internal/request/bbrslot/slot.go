package bbrslot

import "sync/atomic"

const countBits = 32

// Slot is an entry's share of one instance. The zero value admits nothing.
type Slot struct {
	// word holds the limit in its upper and the count in its lower half.
	word atomic.Uint64
}

func pack(limit, count uint32) uint64 { return uint64(limit)<<countBits | uint64(count) }

func unpack(word uint64) (limit, count uint32) { return uint32(word >> countBits), uint32(word) }

// Acquire adds one request in flight if the limit has room.
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

// Release removes one request in flight.
func (s *Slot) Release() {
	for {
		word := s.word.Load()
		limit, count := unpack(word)
		if count == 0 {
			panic("bbrslot: release without take")
		}
		if s.word.CompareAndSwap(word, pack(limit, count-1)) {
			return
		}
	}
}

// CanTransfer reports whether a request in flight can hand its place to another one.
func (s *Slot) CanTransfer() bool {
	limit, count := unpack(s.word.Load())
	return count <= limit
}

// SetLimit changes the limit and returns how many requests are in flight.
func (s *Slot) SetLimit(limit int) int {
	for {
		word := s.word.Load()
		_, count := unpack(word)
		if s.word.CompareAndSwap(word, pack(uint32(max(0, limit)), count)) {
			return int(count)
		}
	}
}

// Load returns the limit and the number of requests in flight.
func (s *Slot) Load() (limit, inFlight int) {
	l, c := unpack(s.word.Load())
	return int(l), int(c)
}
