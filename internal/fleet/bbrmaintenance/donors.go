package bbrmaintenance

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// fillRatio returns the size of a partition relative to its target size.
func (round *balanceRound) fillRatio(request *CapacityRequest) float64 {
	return float64(round.size[request.Partition]) / float64(round.target[request.Partition])
}

// fillRatioAfterMove returns the fill ratio of a partition with one more instance.
func (round *balanceRound) fillRatioAfterMove(request *CapacityRequest) float64 {
	return float64(round.size[request.Partition]+1) / float64(round.target[request.Partition])
}

// acquire returns an instance for a partition: a spare one, or one of the partition of
// its cell with the largest surplus, or else one of a partition that is much closer to
// its target than the recipient.
func (round *balanceRound) acquire(recipient *CapacityRequest) (bbrmachine.Instance, bool) {
	if instance, ok := round.acquireSpare(recipient.Cell, ""); ok {
		return instance, true
	}
	return round.releaseFirst(round.allDonors(recipient), recipient, "")
}

// allDonors returns the partitions from which the recipient may get an instance, in the
// order in which they are asked.
func (round *balanceRound) allDonors(recipient *CapacityRequest) []*CapacityRequest {
	return append(round.donors(recipient), round.betterFilled(recipient)...)
}

// acquireByLabel returns an instance with the label for a partition: a spare one, or one
// of a partition of its cell with a surplus.
func (round *balanceRound) acquireByLabel(recipient *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	if instance, ok := round.acquireSpare(recipient.Cell, label); ok {
		return instance, true
	}
	return round.releaseFirst(round.donors(recipient), recipient, label)
}

// acquireSpare returns an instance of the cell that is in the spare pool. An empty label
// matches any instance.
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

// donors returns the other partitions of the recipient's cell that have a surplus, the
// largest surplus first.
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

// releaseFirst returns an instance of the first donor that can release one. Instances that a
// donor's late work needs are released only for long-running work, or to a recipient with a
// much lower fill ratio.
func (round *balanceRound) releaseFirst(donors []*CapacityRequest, recipient *CapacityRequest, label string) (bbrmachine.Instance, bool) {
	for _, donor := range donors {
		releaseNeeded := round.tier == tierLongRunning || round.isBetterFilled(donor, recipient)
		if instance, ok := round.release(donor, label, releaseNeeded); ok {
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

// minDonorAdvantage is the least ratio between the fill ratios of the recipient and a donor
// that has no surplus, or whose late work needs the instance, after the move. It is well above
// 1 because a move costs both sides time.
const minDonorAdvantage = 2

// betterFilled returns the partitions of the cell that have no surplus but a much higher
// fill ratio than the recipient, the highest ratio first.
func (round *balanceRound) betterFilled(recipient *CapacityRequest) []*CapacityRequest {
	var donors []*CapacityRequest
	for _, request := range round.requests {
		remaining := round.size[request.Partition] - 1
		if round.tier != tierOther || request.Cell != recipient.Cell || round.surplus(request) > 0 || remaining < round.minSize(request) {
			continue
		}
		if round.isBetterFilled(request, recipient) {
			donors = append(donors, request)
		}
	}
	slices.SortStableFunc(donors, func(left, right *CapacityRequest) int {
		return cmp.Compare(round.fillRatio(right), round.fillRatio(left))
	})
	return donors
}

// isBetterFilled reports whether the donor has a much higher fill ratio than the recipient
// even after a move. A surplus does not raise its ratio.
func (round *balanceRound) isBetterFilled(donor, recipient *CapacityRequest) bool {
	ratio := min(1, float64(round.size[donor.Partition]-1)/float64(round.target[donor.Partition]))
	return ratio >= minDonorAdvantage*round.fillRatioAfterMove(recipient)
}

// surplus returns the number of instances that a partition has above its target size;
// it is negative below the target.
func (round *balanceRound) surplus(request *CapacityRequest) int {
	return round.size[request.Partition] - round.target[request.Partition]
}

// release removes and returns the next instance with the label that the donor can
// release. An empty label matches any instance. Instances that its late work needs are left
// out unless releaseNeeded is set.
func (round *balanceRound) release(donor *CapacityRequest, label string, releaseNeeded bool) (bbrmachine.Instance, bool) {
	movable := round.movable[donor.Partition]
	for i, upstream := range donor.Releasable {
		if !releaseNeeded && slices.Contains(donor.Needed, upstream) {
			continue
		}
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
