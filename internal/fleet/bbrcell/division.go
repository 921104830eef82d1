package bbrcell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

const (
	// maxInstances is the target number of instances of all pools in a cell, if the fleet
	// is large enough and entries have the capacity. It bounds an owner's work: in a burst
	// of its service's demand the owner has about half of them.
	maxInstances = 128
	// minInstances is the least target size. It gives a cell enough instances of each pool
	// for some to be moved.
	minInstances = 32
	// fullSizeMilliCPU is the processor capacity that an entry needs to own a shard of a
	// cell with maxInstances, in thousandths of a core.
	fullSizeMilliCPU = 400
)

// TargetSize returns how many instances a cell should have if its owners are entries with
// the processor capacity, in thousandths of a core. A capacity of 0 means that it is
// unknown.
func TargetSize(milliCPU int) int {
	if milliCPU == 0 {
		return maxInstances
	}
	return min(maxInstances, max(minInstances, maxInstances*milliCPU/fullSizeMilliCPU))
}

// rack holds the instances of one rack.
type rack struct {
	name, pool, zone string
	instances        []bbrmachine.Instance
}

// Divide returns the division extended by the racks of the instances that have no cell
// yet, or the receiver if there are none. The racks of each pool and zone are spread over
// the cells, which have about cellSize instances. A rack never changes its cell, so a fleet
// that has grown gets further cells of new racks, and cells are never merged.
func (c *Cells) Divide(instances []bbrmachine.Instance, cellSize int) *Cells {
	newRacks := c.newRacks(instances)
	if len(newRacks) == 0 && c != nil {
		return c
	}
	builder := newDivisionBuilder(c, instances)
	builder.addCells(len(instances), cellSize, newRacks)
	for _, r := range newRacks {
		builder.addRack(r)
	}
	return builder.cells
}

// newRacks returns the racks that have no cell, sorted by pool, zone and name.
func (c *Cells) newRacks(instances []bbrmachine.Instance) []rack {
	racks := make(map[string]*rack)
	for _, instance := range instances {
		name := instance.Rack()
		if c != nil {
			if _, known := c.CellByRack[name]; known {
				continue
			}
		}
		r := racks[name]
		if r == nil {
			r = &rack{name: name, pool: instance.Pool, zone: instance.Zone}
			racks[name] = r
		}
		r.instances = append(r.instances, instance)
	}
	list := make([]rack, 0, len(racks))
	for _, r := range racks {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(left, right rack) int {
		return cmp.Or(cmp.Compare(left.pool, right.pool), cmp.Compare(left.zone, right.zone), cmp.Compare(left.name, right.name))
	})
	return list
}

// divisionBuilder extends a division by further racks.
type divisionBuilder struct {
	cells *Cells
	// poolCounts and zoneCounts are, by cell, the numbers of its instances by pool and by
	// zone.
	poolCounts, zoneCounts []map[string]int
}

// newDivisionBuilder returns a builder that starts from a copy of the previous division.
func newDivisionBuilder(previous *Cells, instances []bbrmachine.Instance) *divisionBuilder {
	cells := &Cells{CellByRack: make(map[string]int), CellsByLabel: make(map[string][]int)}
	if previous != nil {
		cells.Sizes = slices.Clone(previous.Sizes)
		maps.Copy(cells.CellByRack, previous.CellByRack)
		for label, labelCells := range previous.CellsByLabel {
			cells.CellsByLabel[label] = slices.Clone(labelCells)
		}
	}
	builder := &divisionBuilder{cells: cells}
	for range cells.Sizes {
		builder.poolCounts, builder.zoneCounts = append(builder.poolCounts, make(map[string]int)), append(builder.zoneCounts, make(map[string]int))
	}
	for _, instance := range instances {
		if cell, known := cells.CellByRack[instance.Rack()]; known {
			builder.poolCounts[cell][instance.Pool]++
			builder.zoneCounts[cell][instance.Zone]++
		}
	}
	return builder
}

// addCells adds the cells that a fleet of the size lacks, as far as the new racks can fill
// them.
func (builder *divisionBuilder) addCells(fleetSize, cellSize int, newRacks []rack) {
	newInstances := 0
	for _, r := range newRacks {
		newInstances += len(r.instances)
	}
	target := max(1, fleetSize/cellSize)
	for len(builder.cells.Sizes) == 0 || len(builder.cells.Sizes) < target && newInstances >= cellSize {
		builder.cells.Sizes = append(builder.cells.Sizes, 0)
		builder.poolCounts, builder.zoneCounts = append(builder.poolCounts, make(map[string]int)), append(builder.zoneCounts, make(map[string]int))
		newInstances -= cellSize
	}
}

// addRack assigns a rack to the cell that compareCells orders first.
func (builder *divisionBuilder) addRack(r rack) {
	best := 0
	for cell := range builder.cells.Sizes {
		if builder.compareCells(r, cell, best) < 0 {
			best = cell
		}
	}
	builder.cells.CellByRack[r.name] = best
	builder.cells.Sizes[best] += len(r.instances)
	builder.poolCounts[best][r.pool] += len(r.instances)
	builder.zoneCounts[best][r.zone] += len(r.instances)
	for i := range r.instances {
		for _, label := range r.instances[i].Labels {
			builder.addLabel(r, label, best)
		}
	}
}

// compareCells orders two cells by how suitable they are for the rack: the fewest
// instances of its pool first, then the smallest, then the fewest of its zone.
func (builder *divisionBuilder) compareCells(r rack, left, right int) int {
	return cmp.Or(
		cmp.Compare(builder.poolCounts[left][r.pool], builder.poolCounts[right][r.pool]),
		cmp.Compare(builder.cells.Sizes[left], builder.cells.Sizes[right]),
		cmp.Compare(builder.zoneCounts[left][r.zone], builder.zoneCounts[right][r.zone]),
	)
}

// addLabel records that the cell has an instance with the label, unless the label names
// the rack.
func (builder *divisionBuilder) addLabel(r rack, label string, cell int) {
	labelCells := builder.cells.CellsByLabel[label]
	at, found := slices.BinarySearch(labelCells, cell)
	if label != r.name && !found {
		builder.cells.CellsByLabel[label] = slices.Insert(labelCells, at, cell)
	}
}
