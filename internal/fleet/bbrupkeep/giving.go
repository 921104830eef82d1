package bbrupkeep

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

func (b *balancing) share(part *Need) float64 {
	return float64(b.size[part.Part]) / float64(b.want[part.Part])
}

// take returns an instance for a part: a spare one, or one of the part of its
// cell that has most more than it needs, or else much more of what it needs than
// this one.
func (b *balancing) take(needy *Need) (bbrmachine.Instance, bool) {
	to := needy.Part
	off := Part{Pool: b.spare, Cell: to.Cell}
	if spares := b.members[off]; b.spare != "" && len(spares) > 0 {
		b.members[off] = spares[1:]
		return spares[0], true
	}
	var givers []*Need
	for _, giver := range b.parts {
		if giver.Cell == to.Cell && giver.Pool != to.Pool && b.excess(giver) > 0 {
			givers = append(givers, giver)
		}
	}
	slices.SortStableFunc(givers, func(x, y *Need) int { return cmp.Compare(b.excess(y), b.excess(x)) })
	for _, giver := range append(givers, b.richer(needy)...) {
		if instance, ok := b.give(giver); ok {
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

// muchMore is how many times the share of what it wants a part must have that
// gives an instance which it needs itself: a move takes time on both sides.
const muchMore = 2

// richer returns the parts of the cell that want instances themselves but have
// much more of what they want, the richest first.
func (b *balancing) richer(needy *Need) []*Need {
	var richer []*Need
	for _, part := range b.parts {
		left := b.size[part.Part] - 1
		if b.tier != tierRest || part.Cell != needy.Cell || b.excess(part) > 0 || left < b.least(part) {
			continue
		}
		after := float64(left) / float64(b.want[part.Part])
		if after >= muchMore*float64(b.size[needy.Part]+1)/float64(b.want[needy.Part]) {
			richer = append(richer, part)
		}
	}
	slices.SortStableFunc(richer, func(x, y *Need) int { return cmp.Compare(b.share(y), b.share(x)) })
	return richer
}

// excess returns how many instances a part has more than it wants.
func (b *balancing) excess(part *Need) int { return b.size[part.Part] - b.want[part.Part] }

// give takes the next instance that the part can give away.
func (b *balancing) give(part *Need) (bbrmachine.Instance, bool) {
	for len(part.Give) > 0 {
		life := part.Give[0]
		part.Give = part.Give[1:]
		members := b.members[part.Part]
		at := slices.IndexFunc(members, func(instance bbrmachine.Instance) bool { return instance.Upstream == life })
		if at >= 0 {
			instance := members[at]
			b.members[part.Part] = slices.Delete(slices.Clone(members), at, at+1)
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}
