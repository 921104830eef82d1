package bbrcell

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Room is what the shard of a service in a cell can take, as its owner published it.
type Room struct {
	Cell int
	// MilliCPU is the capacity for finite work of the upstreams that may take work.
	MilliCPU int
	// Drain is how long that capacity needs for the open finite work.
	Drain time.Duration
	// Age is how long ago the owner determined the room.
	Age time.Duration
}

const (
	// MaxRoomAge is the age from which a published room is not used.
	MaxRoomAge = 2 * time.Second
	// drainScale is the drain time that halves the weight of a cell. At twice MaxRoomAge,
	// cells that are overloaded by a factor of two do not oscillate even if all entries
	// act on information of the greatest age.
	drainScale = 2 * MaxRoomAge
	// minShare is the least share of a cell, as a part of its share by size. Some jobs
	// show how the cell's room changes, and let the service get instances there.
	minShare = 0.125
	// Jobs of a service are balanced by room once the share of a cell differs from its
	// share by size by startImbalance of the latter, until none differs by stopImbalance.
	startImbalance = 0.25
	stopImbalance  = 0.125
)

// Reason tells why a job goes to its cell.
type Reason string

// Reasons for the choice of a cell.
const (
	// ReasonOnlyCell: the fleet has one cell.
	ReasonOnlyCell Reason = "onlyCell"
	// ReasonManyUpstreams: the job needs many upstreams at once.
	ReasonManyUpstreams Reason = "manyUpstreams"
	// ReasonData: the cell has the job's data.
	ReasonData Reason = "data"
	// ReasonID: the job's ID selects the cell, as the entry does not balance by room.
	ReasonID Reason = "jobID"
	// ReasonUnknownRoom: the job's ID selects the cell, as the room of fewer than two cells
	// is known.
	ReasonUnknownRoom Reason = "unknownRoom"
	// ReasonEvenRoom: the job's ID selects the cell, as the room follows the sizes of the
	// cells.
	ReasonEvenRoom Reason = "evenRoom"
	// ReasonRoomKept and ReasonRoomMoved: the service is balanced by room, and the job
	// stays in the cell that its ID selects or goes to one with more room.
	ReasonRoomKept  Reason = "roomKept"
	ReasonRoomMoved Reason = "roomMoved"
)

// ChooseByRoom returns the cell for a new job as ChooseForJob does, but moves jobs from the
// cells with less room than their size suggests to those with more. rooms has the rooms
// that are known and not too old, by cell. As few IDs as possible change their cell, and
// entries with similar information select the same cell for an ID.
func (c *Cells) ChooseByRoom(job *bbrwork.Job, homeCell int, rooms map[int]Room) (int, Reason) {
	cell, candidates, reason := c.choose(job, homeCell)
	if reason != ReasonEvenRoom {
		return cell, reason
	}
	bySize := c.sharesBySize(candidates)
	byRoom := sharesByRoom(candidates, bySize, rooms)
	fraction := fractionOf(job.ID)
	at := slices.Index(candidates, cell)
	kept := 1.0
	if bySize[at] > 0 {
		kept = byRoom[at] / bySize[at]
	}
	if fraction < kept {
		return cell, ReasonRoomKept
	}
	// The fraction is uniform in [kept, 1) for the IDs that leave the cell.
	return pickSurplus(candidates, bySize, byRoom, (fraction-kept)/(1-kept)), ReasonRoomMoved
}

// Balance reports whether the jobs of a service are to be balanced by room, given whether
// they have been, and the largest relative difference of a cell's share from that by size.
func (c *Cells) Balance(balanced bool, rooms map[int]Room) (bool, float64) {
	cells := c.all()
	bySize := c.sharesBySize(cells)
	byRoom := sharesByRoom(cells, bySize, rooms)
	imbalance := 0.0
	for i, share := range bySize {
		if share > 0 {
			imbalance = max(imbalance, math.Abs(byRoom[i]/share-1))
		}
	}
	if balanced {
		return imbalance >= stopImbalance, imbalance
	}
	return imbalance >= startImbalance, imbalance
}

// sharesBySize returns the shares of the cells in the jobs that their IDs assign.
func (c *Cells) sharesBySize(cells []int) []float64 {
	total := 0
	for _, cell := range cells {
		total += c.sizeOf(cell)
	}
	shares := make([]float64, len(cells))
	for i, cell := range cells {
		if total > 0 {
			shares[i] = float64(c.sizeOf(cell)) / float64(total)
		}
	}
	return shares
}

// sizeOf returns the size of a cell; 0 before the fleet is divided.
func (c *Cells) sizeOf(cell int) int {
	if c == nil || cell >= len(c.Sizes) {
		return 0
	}
	return c.Sizes[cell]
}

// sharesByRoom returns the shares of the cells by room. A cell whose room is unknown keeps
// its share by size; the others divide the rest in proportion to their weights.
func sharesByRoom(cells []int, bySize []float64, rooms map[int]Room) []float64 {
	knownShare, knownWeight := 0.0, 0.0
	for i, cell := range cells {
		if room, known := rooms[cell]; known {
			knownShare += bySize[i]
			knownWeight += room.weight()
		}
	}
	if knownWeight == 0 {
		return bySize
	}
	shares := slices.Clone(bySize)
	total := 0.0
	for i, cell := range cells {
		if room, known := rooms[cell]; known {
			shares[i] = max(minShare*bySize[i], knownShare*room.weight()/knownWeight)
		}
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// weight returns the capacity, reduced by the drain time of the work that waits for it.
func (r Room) weight() float64 {
	return float64(r.MilliCPU) * float64(drainScale) / float64(drainScale+r.Drain)
}

// valid reports whether an owner can have published the room.
func (r Room) valid(cellCount int) bool {
	return r.Cell >= 0 && r.Cell < cellCount && r.MilliCPU >= 0 && r.Drain >= 0 && r.Age >= 0 && r.Age < MaxRoomAge
}

// pickSurplus returns the cell that a fraction of 1 selects among those whose share by room
// exceeds that by size, in proportion to the excess.
func pickSurplus(cells []int, bySize, byRoom []float64, fraction float64) int {
	total := 0.0
	for i := range cells {
		total += max(0, byRoom[i]-bySize[i])
	}
	offset, last := fraction*total, cells[0]
	for i, cell := range cells {
		surplus := byRoom[i] - bySize[i]
		if surplus <= 0 {
			continue
		}
		if last = cell; offset < surplus {
			return cell
		}
		offset -= surplus
	}
	return last
}
