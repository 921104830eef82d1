package bbrmaintenance

import "cmp"

// Shortfall is why a round of balancing left a partition below its target size. Each reason
// implies that its cell has no spare instance that can be moved.
type Shortfall string

// Values of Shortfall.
const (
	// ShortfallNone: the partition has its target size.
	ShortfallNone Shortfall = ""
	// ShortfallNoDonor: no other partition of the cell has a surplus or is much closer to
	// its target size.
	ShortfallNoDonor Shortfall = "noDonor"
	// ShortfallNoneReleasable: the owners of the donors list no releasable instance.
	ShortfallNoneReleasable Shortfall = "noneReleasable"
	// ShortfallNoneMovable: the donors list releasable instances, but none of them can be
	// moved: up, without a task or directive, and with no order in doubt or abandoned.
	ShortfallNoneMovable Shortfall = "noneMovable"
	// ShortfallNotTried: a partition of the cell with a lower fill ratio after a move got no
	// instance, so that this one gets none either.
	ShortfallNotTried Shortfall = "notTried"
)

// shortfallOf returns why the donors release no instance.
func shortfallOf(donors []*CapacityRequest) Shortfall {
	if len(donors) == 0 {
		return ShortfallNoDonor
	}
	for _, donor := range donors {
		if len(donor.Releasable) > 0 {
			return ShortfallNoneMovable
		}
	}
	return ShortfallNoneReleasable
}

// shortfall returns why the partition is below its target size after the last tier.
func (round *balanceRound) shortfall(request *CapacityRequest) Shortfall {
	if round.surplus(request) >= 0 {
		return ShortfallNone
	}
	return cmp.Or(round.shortfalls[request.Partition], ShortfallNotTried)
}
