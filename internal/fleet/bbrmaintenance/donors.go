package bbrmaintenance

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

func (round *balanceRound) fillRatio(request *CapacityRequest) float64 {
	return float64(round.size[request.Partition]) / float64(round.target[request.Partition])
}

// acquire returns an instance for a part: a spare one, or one of the part of its
// cell that has most more than it needs, or else much more of what it needs than
// this one.
func (round *balanceRound) acquire(recipient *CapacityRequest) (bbrmachine.Instance, bool) {
	if instance, ok := round.acquireSpare(recipient.Cell, ""); ok {
		return instance, true
	}
	return round.releaseFirst(append(round.donors(recipient), round.betterFilled(recipient)...), "")
}

// acquireByLabel returns an instance with the label for a part, a spare one or one
// that another part of its cell has too many.
func (round *balanceRound) acquireByLabel(recipient *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	if instance, ok := round.acquireSpare(recipient.Cell, label); ok {
		return instance, true
	}
	return round.releaseFirst(round.donors(recipient), label)
}

// acquireSpare returns an instance of the cell that is off; an empty label is any.
func (round *balanceRound) acquireSpare(cell int, label string) (bbrmachine.Instance, bool) {
	if round.sparePool == "" {
		return bbrmachine.Instance{}, false
	}
	spares := round.movable[Partition{Pool: round.sparePool, Cell: cell}]
	at := slices.IndexFunc(spares, func(instance bbrmachine.Instance) bool { return instance.HasLabel(label) })
	if at < 0 {
		return bbrmachine.Instance{}, false
	}
	instance := spares[at]
	round.movable[Partition{Pool: round.sparePool, Cell: cell}] = slices.Delete(slices.Clone(spares), at, at+1)
	return instance, true
}

// donors returns the other parts of the cell that have more than they want, those
// with most more first.
func (round *balanceRound) donors(recipient *CapacityRequest) []*CapacityRequest {
	var donors []*CapacityRequest
	for _, donor := range round.requests {
		if donor.Cell == recipient.Cell && donor.Pool != recipient.Pool && round.surplus(donor) > 0 {
			donors = append(donors, donor)
		}
	}
	slices.SortStableFunc(donors, func(left, right *CapacityRequest) int { return cmp.Compare(round.surplus(right), round.surplus(left)) })
	return donors
}

func (round *balanceRound) releaseFirst(donors []*CapacityRequest, label string) (bbrmachine.Instance, bool) {
	for _, donor := range donors {
		if instance, ok := round.release(donor, label); ok {
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

// minDonorAdvantage is how many times the share of what it wants a part must have that
// gives an instance which it needs itself: a move takes time on both sides.
const minDonorAdvantage = 2

// betterFilled returns the parts of the cell that want instances themselves but have
// much more of what they want, the richest first.
func (round *balanceRound) betterFilled(recipient *CapacityRequest) []*CapacityRequest {
	var donors []*CapacityRequest
	for _, request := range round.requests {
		remaining := round.size[request.Partition] - 1
		if round.tier != tierOther || request.Cell != recipient.Cell || round.surplus(request) > 0 || remaining < round.minSize(request) {
			continue
		}
		ratio := float64(remaining) / float64(round.target[request.Partition])
		if ratio >= minDonorAdvantage*float64(round.size[recipient.Partition]+1)/float64(round.target[recipient.Partition]) {
			donors = append(donors, request)
		}
	}
	slices.SortStableFunc(donors, func(left, right *CapacityRequest) int {
		return cmp.Compare(round.fillRatio(right), round.fillRatio(left))
	})
	return donors
}

// surplus returns how many instances a part has more than it wants.
func (round *balanceRound) surplus(request *CapacityRequest) int {
	return round.size[request.Partition] - round.target[request.Partition]
}

// release takes the next instance with the label that the part can give away; an empty
// label is any.
func (round *balanceRound) release(donor *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	movable := round.movable[donor.Partition]
	for i, upstream := range donor.Releasable {
		at := slices.IndexFunc(movable, func(instance bbrmachine.Instance) bool {
			return instance.Upstream == upstream && instance.HasLabel(label)
		})
		if at >= 0 {
			instance := movable[at]
			round.movable[donor.Partition] = slices.Delete(slices.Clone(movable), at, at+1)
			donor.Releasable = slices.Delete(slices.Clone(donor.Releasable), i, i+1)
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}
