package bbrfairshare

import (
	"cmp"
	"math"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Organisation is what is known of the finite work of an organisation in a shard.
type Organisation struct {
	// Weight is 0 for an organisation without a share of its own, which is served once
	// the others are satisfied.
	Weight float64
	// Use is what counts as used, and Demand that and what could start as well.
	Use, Demand bbrwork.Resources
}

// Share is an organisation's part of the capacity. All amounts are dominant shares: the
// larger of the parts of the cores and of the memory.
type Share struct {
	Used, Wanted float64
	// Fair is the organisation's fair share, at most Wanted.
	Fair float64
	// Limit is the use up to which the organisation is within its share. It is at least
	// Fair, and infinite while the capacity suffices for everybody.
	Limit float64
}

// Beyond reports whether an organisation that uses as much is beyond its share.
func (s Share) Beyond(used float64) bool { return used >= s.Limit }

// Unsatisfied reports whether the organisation wants more than its fair share.
func (s Share) Unsatisfied() bool { return s.Wanted > s.Limit }

// Dominant returns the dominant share of an amount. A dimension without capacity does not
// count.
func Dominant(amount, capacity bbrwork.Resources) float64 {
	cpu, memory := parts(amount, capacity)
	return max(cpu, memory)
}

func parts(amount, capacity bbrwork.Resources) (cpu, memory float64) {
	if capacity.MilliCPU > 0 {
		cpu = float64(amount.MilliCPU) / float64(capacity.MilliCPU)
	}
	if capacity.MemoryMB > 0 {
		memory = float64(amount.MemoryMB) / float64(capacity.MemoryMB)
	}
	return cpu, memory
}

// Divide appends the organisations' shares of the capacity to shares, in their order. The
// shares grow at rates in proportion to the weights until the organisation has what it
// wants, or the cores or the memory are used up. Accelerators are not divided.
func Divide(capacity bbrwork.Resources, organisations []Organisation, shares []Share) []Share {
	first := len(shares)
	claims := make([]claim, 0, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		c := claim{index: first + i, weight: o.Weight}
		c.cpu, c.memory = parts(o.Demand, capacity)
		c.wanted = max(c.cpu, c.memory)
		claims = append(claims, c)
		shares = append(shares, Share{Used: Dominant(o.Use, capacity), Wanted: c.wanted, Fair: c.wanted, Limit: math.Inf(1)})
	}
	weighted := claims[:0:len(claims)]
	var others []claim
	for _, c := range claims {
		if c.weight > 0 {
			weighted = append(weighted, c)
			continue
		}
		c.weight = 1
		others = append(others, c)
	}
	rest := amounts{cpu: 1, memory: 1}
	rest = fill(weighted, rest, shares)
	fill(others, rest, shares)
	return shares
}

// claim is what an organisation wants, as parts of the capacity.
type claim struct {
	index               int
	weight              float64
	cpu, memory, wanted float64
}

// level returns the level, as a share for each unit of weight, at which the claim is
// satisfied.
func (c *claim) level() float64 { return c.wanted / c.weight }

// amounts are parts of the capacity.
type amounts struct{ cpu, memory float64 }

// fill divides rest among the claims and returns what remains of it.
func fill(claims []claim, rest amounts, shares []Share) amounts {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Or(cmp.Compare(a.level(), b.level()), cmp.Compare(a.index, b.index)) })
	// slope is what an increase of the level by one takes, for the claims that are not
	// satisfied yet.
	var slope amounts
	for i := range claims {
		c := &claims[i]
		if c.wanted > 0 {
			slope.cpu += c.weight * c.cpu / c.wanted
			slope.memory += c.weight * c.memory / c.wanted
		}
	}
	for i := range claims {
		c := &claims[i]
		if c.wanted == 0 {
			continue
		}
		limit := min(levelFor(rest.cpu, slope.cpu), levelFor(rest.memory, slope.memory))
		if limit < c.level() {
			limitAll(claims, limit, shares)
			return amounts{}
		}
		rest.cpu -= c.cpu
		rest.memory -= c.memory
		slope.cpu -= c.weight * c.cpu / c.wanted
		slope.memory -= c.weight * c.memory / c.wanted
	}
	return amounts{cpu: max(0, rest.cpu), memory: max(0, rest.memory)}
}

// levelFor returns the level at which the rest of one dimension is used up.
func levelFor(rest, slope float64) float64 {
	if slope <= 0 {
		return math.Inf(1)
	}
	return max(0, rest) / slope
}

// limitAll limits the claims to a level.
func limitAll(claims []claim, level float64, shares []Share) {
	for i := range claims {
		c := &claims[i]
		share := &shares[c.index]
		share.Limit = c.weight * level
		share.Fair = min(c.wanted, share.Limit)
	}
}
