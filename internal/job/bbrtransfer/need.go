package bbrtransfer

import (
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Need is what the work units of one step without a run need.
type Need struct {
	Allocation bbrwork.Resources
	Units      int
	// Label is one that the upstreams must have; empty for any.
	Label string
	// MaxPerUpstream bounds the work units on one upstream; 0 for no bound.
	MaxPerUpstream int
	// Whole means that all of the work units must find capacity, and OneUpstream that they
	// must on a single upstream.
	Whole, OneUpstream bool
}

// Place takes the capacity that the needs find on the upstreams, and reports whether that
// suffices: all work units of the needs that are whole, and one work unit at least. If it does
// not suffice, nothing is taken.
func Place(needs []Need, upstreams []Upstream) bool {
	taken := make(map[int]bbrwork.Resources)
	placed := 0
	for i := range needs {
		count := needs[i].place(upstreams, taken)
		if needs[i].Whole && count < needs[i].Units {
			return false
		}
		placed += count
	}
	if placed == 0 {
		return false
	}
	for at, used := range taken {
		upstreams[at].Free = upstreams[at].Free.Minus(used)
	}
	return true
}

// place adds to taken what the work units take on the upstreams, by index, and returns how many
// of them found capacity.
func (n *Need) place(upstreams []Upstream, taken map[int]bbrwork.Resources) int {
	left := n.Units
	for at := 0; at < len(upstreams) && left > 0; at++ {
		up := &upstreams[at]
		if n.Label != "" && !slices.Contains(up.Labels, n.Label) {
			continue
		}
		limit := left
		if n.MaxPerUpstream > 0 {
			limit = min(limit, n.MaxPerUpstream)
		}
		count := n.Allocation.FitCount(up.Free.Minus(taken[at]), limit)
		if count == 0 || n.OneUpstream && count < n.Units {
			continue
		}
		taken[at] = taken[at].Plus(n.Allocation.Times(count))
		left -= count
	}
	return n.Units - left
}
