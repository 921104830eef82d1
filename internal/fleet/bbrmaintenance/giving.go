package bbrmaintenance

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

func (b *balancing) share(part *CapacityRequest) float64 {
	return float64(b.size[part.Partition]) / float64(b.want[part.Partition])
}

// take returns an instance for a part: a spare one, or one of the part of its
// cell that has most more than it needs, or else much more of what it needs than
// this one.
func (b *balancing) take(needy *CapacityRequest) (bbrmachine.Instance, bool) {
	if instance, ok := b.takeSpare(needy.Cell, ""); ok {
		return instance, true
	}
	return b.giveFirst(append(b.givers(needy), b.richer(needy)...), "")
}

// takeLabelled returns an instance with the label for a part, a spare one or one
// that another part of its cell has too many.
func (b *balancing) takeLabelled(needy *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	if instance, ok := b.takeSpare(needy.Cell, label); ok {
		return instance, true
	}
	return b.giveFirst(b.givers(needy), label)
}

// takeSpare returns an instance of the cell that is off; an empty label is any.
func (b *balancing) takeSpare(cell int, label string) (bbrmachine.Instance, bool) {
	if b.spare == "" {
		return bbrmachine.Instance{}, false
	}
	spares := b.members[Partition{Pool: b.spare, Cell: cell}]
	at := slices.IndexFunc(spares, func(instance bbrmachine.Instance) bool { return instance.HasLabel(label) })
	if at < 0 {
		return bbrmachine.Instance{}, false
	}
	instance := spares[at]
	b.members[Partition{Pool: b.spare, Cell: cell}] = slices.Delete(slices.Clone(spares), at, at+1)
	return instance, true
}

// givers returns the other parts of the cell that have more than they want, those
// with most more first.
func (b *balancing) givers(needy *CapacityRequest) []*CapacityRequest {
	var givers []*CapacityRequest
	for _, giver := range b.parts {
		if giver.Cell == needy.Cell && giver.Pool != needy.Pool && b.excess(giver) > 0 {
			givers = append(givers, giver)
		}
	}
	slices.SortStableFunc(givers, func(x, y *CapacityRequest) int { return cmp.Compare(b.excess(y), b.excess(x)) })
	return givers
}

func (b *balancing) giveFirst(givers []*CapacityRequest, label string) (bbrmachine.Instance, bool) {
	for _, giver := range givers {
		if instance, ok := b.give(giver, label); ok {
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
func (b *balancing) richer(needy *CapacityRequest) []*CapacityRequest {
	var richer []*CapacityRequest
	for _, part := range b.parts {
		left := b.size[part.Partition] - 1
		if b.tier != tierRest || part.Cell != needy.Cell || b.excess(part) > 0 || left < b.least(part) {
			continue
		}
		after := float64(left) / float64(b.want[part.Partition])
		if after >= muchMore*float64(b.size[needy.Partition]+1)/float64(b.want[needy.Partition]) {
			richer = append(richer, part)
		}
	}
	slices.SortStableFunc(richer, func(x, y *CapacityRequest) int { return cmp.Compare(b.share(y), b.share(x)) })
	return richer
}

// excess returns how many instances a part has more than it wants.
func (b *balancing) excess(part *CapacityRequest) int {
	return b.size[part.Partition] - b.want[part.Partition]
}

// give takes the next instance with the label that the part can give away; an empty
// label is any.
func (b *balancing) give(part *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	members := b.members[part.Partition]
	for i, life := range part.Releasable {
		at := slices.IndexFunc(members, func(instance bbrmachine.Instance) bool {
			return instance.Upstream == life && instance.HasLabel(label)
		})
		if at >= 0 {
			instance := members[at]
			b.members[part.Partition] = slices.Delete(slices.Clone(members), at, at+1)
			part.Releasable = slices.Delete(slices.Clone(part.Releasable), i, i+1)
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}
