package bbrscheduler

import "slices"

// numberSet is a set of numbers, in space that grows with its gaps only. The zero value is empty.
type numberSet struct {
	// ranges are ascending, and there is a gap between any two.
	ranges []numberRange
	count  int
}

// numberRange has the numbers from from up to, but not including, to.
type numberRange struct{ from, to int }

// has reports whether the number is in the set.
func (s *numberSet) has(n int) bool {
	at := s.search(n)
	return at < len(s.ranges) && s.ranges[at].from <= n && n < s.ranges[at].to
}

// search returns the index of the first range that ends at the number or after it.
func (s *numberSet) search(n int) int {
	at, _ := slices.BinarySearchFunc(s.ranges, n, func(r numberRange, n int) int { return r.to - n })
	return at
}

// add adds a number.
func (s *numberSet) add(n int) {
	if s.has(n) {
		return
	}
	s.count++
	at := s.search(n)
	follows := at < len(s.ranges) && s.ranges[at].to == n
	before := at
	if follows {
		before = at + 1
	}
	precedes := before < len(s.ranges) && s.ranges[before].from == n+1
	switch {
	case follows && precedes:
		s.ranges[at].to = s.ranges[before].to
		s.ranges = slices.Delete(s.ranges, before, before+1)
	case follows:
		s.ranges[at].to = n + 1
	case precedes:
		s.ranges[before].from = n
	default:
		s.ranges = slices.Insert(s.ranges, at, numberRange{n, n + 1})
	}
}

// nextAbsent returns the lowest number from n on that is not in the set.
func (s *numberSet) nextAbsent(n int) int {
	if at := s.search(n + 1); at < len(s.ranges) && s.ranges[at].from <= n {
		return s.ranges[at].to
	}
	return n
}
